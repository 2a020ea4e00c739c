package entryhost_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/poolmanager"
	"auburnglade.example/glade/internal/poolstore"
	"auburnglade.example/glade/internal/quota"
	"auburnglade.example/glade/internal/work"
)

// weightSource are organisations that have weights and no limits.
type weightSource map[string]int

func (w weightSource) Limits() quota.Limits         { return quota.Limits{Revision: 1, Weights: w} }
func (w weightSource) LimitsCurrent(time.Time) bool { return true }
func (w weightSource) ConfigKey() string            { return operatorKey }

// Guards against a job that its pool's holder refuses for want of room and that the entry
// host which took it stores in another way, so that it runs although its client was told
// that it never does.
func TestJobRefusedForRoomIsNotStoredAnotherWay(t *testing.T) {
	prepare := func(dep *deployment) { dep.weights = map[string]int{"loud": 1, "quiet": 3} }
	runTestOf(t, 3, prepare, func(dep *deployment) {
		time.Sleep(4 * time.Second)
		holder := dep.entries[dep.holder("day")]
		refused := make(map[*entry][]string)
		for i := range 400 {
			e := holder
			if i%2 == 0 {
				e = dep.other("day")
			}
			record := dep.record("day", quick(16))
			record.Organisation = "loud"
			reply := e.Jobs.SubmitJob(dep.ctx, record)
			if reply.Result == poolmanager.Stored {
				continue
			}
			must.EqOp(t, poolmanager.OverShare, reply.Result)
			must.Between(t, time.Second, reply.RetryAfter, 15*time.Second)
			refused[e] = append(refused[e], record.ID)
		}
		must.Greater(t, 50, len(refused[holder]))
		must.MapLen(t, 3, refused)
		must.SliceEmpty(t, dep.store.Snapshot(poolstore.InboxPrefix("day")))
		time.Sleep(time.Minute)
		for _, ids := range refused {
			for _, id := range ids {
				_, known, ok := holder.Jobs.JobState(dep.ctx, work.JobRef{Pool: "day", ID: id, Organisation: "loud"})
				must.True(t, ok)
				must.False(t, known)
			}
		}
	})
}
