package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/worker"
)

// Guards against a lease that nobody waits for: a host has restarted under its ID just
// before the takeover, and a renewal of the holder before that was under way has reached it.
func TestStrayLeaseOfTheHolderBeforeIsWaitedFor(t *testing.T) {
	s := newRestartScript(t)
	s.p = New(s.p.Config, Roster{InUse: []string{"w"}}, s.now)
	s.host.Born += 2500
	s.up = s.now.Add(-500 * time.Millisecond)
	s.list()
	s.pass(100 * time.Millisecond)
	s.reply(worker.HeartbeatReply{})
	s.storeRoster()
	accept(s.p, s.now)
	for _, order := range s.orders() {
		must.NotEqOp(t, Start, order.Verb)
	}
}
