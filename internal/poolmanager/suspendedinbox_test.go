package poolmanager

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a job that is refused although it was accepted through the inbox: a holder
// that resumes after a suspension still counts the inbox as read.
func TestInboxIsNotCurrentAfterASuspension(t *testing.T) {
	m := New(Config{Pool: "p", Metrics: NewMetrics(nil)}, Takeover{})
	now := time.Now()
	m.claimConfirmedAt = now
	m.inboxCurrentAt = beforeSuspension(t, now, time.Minute)
	must.False(t, m.seesStore(now))
}
