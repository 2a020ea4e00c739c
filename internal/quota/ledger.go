// Package quota divides organisations' limits among the pools. Each pool's holder may
// start an organisation's tasks only within what a ledger in the store allocates to its
// pool, so that all holders together stay within the limit in whatever order they take
// over from each other. It does no I/O.
package quota

import (
	"encoding/json"
	"maps"

	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/work"
)

// LedgerKey is the key of the ledger in the store.
const LedgerKey = "glade/quota"

// Allocation is what one pool may use of one organisation's limit.
type Allocation struct {
	Held work.Resources `json:"h"`
	// Extra is the part of Held beyond the limit: an organisation whose use is below
	// its limit may start one more task, whatever its size.
	Extra work.Resources `json:"x,omitzero"`
}

// Ledger holds the allocations by pool and organisation. It is not modified once it is
// in use.
type Ledger struct {
	Pools map[string]map[string]Allocation `json:"p"`
	// Fences holds the fencing token of the holder that last wrote each pool's
	// allocations.
	Fences map[string]int64 `json:"f,omitempty"`
	// Covers holds for each pool what its allocations cover, by organisation. In a pool that
	// is missing no task of an organisation was started, or its holder is of a version that
	// writes none.
	Covers map[string]map[string]Cover `json:"c,omitempty"`
}

// Encode returns the stored form.
func (l *Ledger) Encode() []byte {
	data, err := json.Marshal(l)
	if err != nil {
		// Not reached: all fields are numbers and maps by name.
		panic(err)
	}
	return data
}

// DecodeLedger decodes a stored ledger or returns *work.CorruptError. The ledger of an
// absent entry is empty.
func DecodeLedger(entry store.Entry) (*Ledger, error) {
	l := &Ledger{}
	if entry.ModRevision == 0 {
		return l, nil
	}
	if err := json.Unmarshal(entry.Value, l); err != nil {
		return nil, &work.CorruptError{What: "quota ledger", Cause: err}
	}
	return l, nil
}

// allocation returns what a pool may use of an organisation's limit.
func (l *Ledger) allocation(pool, organisation string) Allocation { return l.Pools[pool][organisation] }

// others returns the sum of the allocations of all other pools.
func (l *Ledger) others(pool, organisation string) (sum Allocation) {
	for name, allocations := range l.Pools {
		if name != pool {
			a := allocations[organisation]
			sum.Held, sum.Extra = sum.Held.Plus(a.Held), sum.Extra.Plus(a.Extra)
		}
	}
	return sum
}

// with returns a copy of the ledger with other allocations and covers for one pool, written
// by the holder with a fencing token.
func (l *Ledger) with(pool string, fence int64, allocations map[string]Allocation, covers map[string]Cover) *Ledger {
	next := &Ledger{
		Pools: make(map[string]map[string]Allocation, len(l.Pools)+1), Fences: make(map[string]int64, len(l.Fences)+1),
		Covers: make(map[string]map[string]Cover, len(l.Covers)+1),
	}
	maps.Copy(next.Pools, l.Pools)
	maps.Copy(next.Fences, l.Fences)
	maps.Copy(next.Covers, l.Covers)
	next.Pools[pool], next.Fences[pool], next.Covers[pool] = allocations, fence, covers
	return next
}
