package quota

import (
	"testing"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/work"
)

// Guards against a replaced holder that reads what its successor has taken of a limit and
// uses it too.
func TestAccountOfAReplacedHolderIsFrozen(t *testing.T) {
	limits := Limits{Revision: 3, ByOrganisation: map[string]work.Resources{org: cores(10)}}
	ledger := (&Ledger{}).with("p", 8, map[string]Allocation{org: {Held: cores(6)}}, map[string]Cover{org: coverCPU})
	for fence, frozen := range map[int64]Reason{7: Taken, 8: "", 9: ""} {
		a := NewAccount("p", fence)
		a.SetLimits(limits)
		a.Read(ledger, 4, 3)
		must.EqOp(t, frozen, a.Quotas(true)[org].Frozen)
		must.EqOp(t, frozen != "", a.Replaced())
	}
}
