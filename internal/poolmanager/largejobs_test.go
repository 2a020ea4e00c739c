package poolmanager_test

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/emulate"
	"auburnglade.example/glade/internal/poolmanager"
)

// Guards against large jobs that are refused for ones that are long over, and against ordinary
// jobs that are refused beside them.
func TestLargeJobsThatAreOverLeaveTheirMemory(t *testing.T) {
	runEnv(t, emulate.WorkersConfig{}, 2, func(e *env) {
		const large = 60_000
		e.memory = poolmanager.NewJobMemory(large + large/2)
		m := e.takeOver(true)
		time.Sleep(4 * time.Second)
		step := shortStep(1)
		ordinary := e.record(step)
		step.Image = strings.Repeat("x", large)
		first, second := e.record(step), e.record(step)
		m.ConfirmClaim(time.Now())
		must.EqOp(t, poolmanager.Stored, m.Submit(e.ctx, first).Result)
		refusal := m.Submit(e.ctx, second)
		must.EqOp(t, poolmanager.NoRoom, refusal.Result)
		must.GreaterEq(t, time.Second, refusal.RetryAfter)
		must.EqOp(t, poolmanager.Stored, m.Submit(e.ctx, ordinary).Result)
		must.EqOp(t, poolmanager.Stored, m.Submit(e.ctx, first).Result)
		for range 90 {
			time.Sleep(time.Second)
			m.ConfirmClaim(time.Now())
		}
		// Another pool of the process asks next: it must not find what is long gone.
		must.EqOp(t, 0, e.memory.Used())
		must.EqOp(t, poolmanager.Stored, m.Submit(e.ctx, second).Result)
	})
}
