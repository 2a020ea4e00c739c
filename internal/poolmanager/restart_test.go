package poolmanager_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/emulate"
	"auburnglade.example/glade/internal/work"
)

// Guards against tasks that run again on a host that has restarted under its ID, since
// the ends of its next incarnation are acknowledged by the count of the one before.
func TestTasksRunOnceOnAHostThatRestartsUnderItsID(t *testing.T) {
	config := emulate.WorkersConfig{Seed: 1, KeepsID: func(string) bool { return true }}
	runEnv(t, config, 1, func(e *env) {
		m := e.takeOver(true)
		host := e.workers.IDs(pool)[0]
		e.waitForState(m, e.submit(m, shortStep(16)), work.Done, 6*time.Second)
		time.Sleep(2 * time.Second)
		e.workers.Crash(host)
		time.Sleep(8 * time.Second)
		starts := e.workers.Checker.Starts()
		e.waitForState(m, e.submit(m, shortStep(4)), work.Done, 3*time.Second)
		must.EqOp(t, 4, e.workers.Checker.Starts()-starts)
	})
}
