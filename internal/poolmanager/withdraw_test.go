package poolmanager

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/sched"
	"auburnglade.example/glade/internal/work"
)

// Guards against a caller that is refused as its time ends and takes back the same job of
// another caller, who would wait for it in vain.
func TestRefusedCallerDoesNotTakeBackJobOfAnother(t *testing.T) {
	m := New(Config{Pool: "p", Metrics: NewMetrics(nil)}, Takeover{})
	m.pool = sched.New(sched.Config{}, sched.Roster{}, time.Now())
	go func() {
		for msg := range m.messages {
			msg.run()
		}
	}()
	defer close(m.messages)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	record := &work.JobRecord{ID: "5c0e7a21d94b36f8"}
	for _, refusal := range []Result{NoRoom, OverShare, Conflict} {
		for range 30 {
			other := &submission{record: record}
			other.add()
			m.submissions[record.ID] = other
			must.EqOp(t, refusal, m.awaitSubmit(ended, record.ID, resolved(refusal)))
			must.EqOp(t, other, m.submissions[record.ID])
		}
	}
}
