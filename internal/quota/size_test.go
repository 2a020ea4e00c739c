package quota

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/work"
)

// maxLedgerBytes is the largest ledger that the store takes, as one of its values may be.
const maxLedgerBytes = 1 << 20

// The ledger of 33 organisations in 261 pools, each with allocations and covers in all
// resources, fits in a value of the store.
func TestLargestLedgerFitsInTheStore(t *testing.T) {
	size := func(pools, organisations int) int {
		l := &Ledger{}
		for p := range pools {
			allocations, covers := make(map[string]Allocation), make(map[string]Cover)
			for o := range organisations {
				name := fmt.Sprintf("organisation-%02d", o)
				allocations[name] = Allocation{Held: work.Resources{MilliCPU: 123_456, MemMB: 234_567, GPU: 12}}
				covers[name] = coverCPU | coverMemory | coverGPU
			}
			l = l.with(fmt.Sprintf("pool-%03d", p), int64(p)<<20, allocations, covers)
		}
		return len(l.Encode())
	}
	t.Logf("12 pools, 20 organisations: %d bytes", size(12, 20))
	must.Less(t, maxLedgerBytes, size(261, 33))
}
