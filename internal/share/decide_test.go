package share

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var testWaits = Waits{Gone: time.Second, Fence: 10 * time.Second, Escape: time.Minute}

func viewOf(ids ...string) View {
	view := View{Services: map[string]Service{"match": {Slots: 8, Connections: 64, Hosts: []string{"host-001"}}}}
	for _, id := range ids {
		view.Members = append(view.Members, Member{ID: id})
	}
	return view
}

func settling(settled, next View) Observed {
	return Observed{
		Agreement: Agreement{Revision: 7, Settled: settled, Next: &next}, Live: next,
		Heard: map[string]Heard{}, Unleased: map[string]time.Duration{}, Unchanged: time.Hour, Waits: testWaits,
	}
}

func (o Observed) with(contact Contact, lasting time.Duration, ids ...string) Observed {
	for _, id := range ids {
		o.Heard[id] = Heard{Contact: contact, For: lasting}
	}
	return o
}

// A gateway joins while another hasn't shrunk yet. Settling now would let the
// newcomer grow while the other still uses its old share: the endpoint would
// see a ninth request.
func TestJoinWaitsForEveryConfirmation(t *testing.T) {
	o := settling(viewOf("a", "b"), viewOf("a", "b", "c")).with(Confirmed, 0, "a", "c").with(Behind, time.Hour, "b")
	must.EqOp(t, Wait, Decide(o).Verb)
	step := Decide(o.with(Confirmed, 0, "b"))
	must.EqOp(t, Settle, step.Verb)
	must.Nil(t, step.Agreement.Next)
	must.Len(t, 3, step.Agreement.Settled.Members)
}

// A gateway departs. Its process may be paused with requests in flight, cut off
// from the store, or dead; only what is certain lets the others grow.
func TestDepartureWaitsForACertainEnd(t *testing.T) {
	cases := []struct {
		name     string
		contact  Contact
		lasting  time.Duration
		unleased time.Duration
		want     Verb
	}{
		{"alive and not within the next view", Behind, time.Hour, time.Hour, Wait},
		{"says it uses nothing", Confirmed, 0, 0, Settle},
		{"listener just away", Gone, time.Second / 2, time.Hour, Wait},
		{"process ended", Gone, time.Second, 0, Settle},
		{"silent, lease just ended", Silent, time.Hour, time.Second, Wait},
		{"silent, all clocks run out", Silent, time.Hour, 10 * time.Second, Settle},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := settling(viewOf("a", "b", "c"), viewOf("a", "b")).with(Confirmed, time.Hour, "a", "b").with(c.contact, c.lasting, "c")
			o.Unleased["c"] = c.unleased
			must.EqOp(t, c.want, Decide(o).Verb)
		})
	}
}

// The store comes back after an outage and one gateway reaches it first. All
// others' records have lapsed, but they still serve on one another's promises.
// It must not take all eight slots.
func TestMinorityDoesNotTakeAQuorumsShares(t *testing.T) {
	o := settling(viewOf("a", "b", "c"), viewOf("a")).with(Confirmed, time.Hour, "a").with(Silent, time.Hour, "b", "c")
	o.Unleased["b"], o.Unleased["c"] = 30*time.Second, 30*time.Second
	must.EqOp(t, Wait, Decide(o).Verb)
	o.Unleased["b"], o.Unleased["c"] = time.Minute, time.Minute
	must.EqOp(t, Settle, Decide(o).Verb)
}

// A promise given just before the confirmation still holds.
func TestSilentMemberKeepsFreshPromises(t *testing.T) {
	o := settling(viewOf("a", "b", "c"), viewOf("a", "b")).with(Confirmed, time.Second, "a", "b").with(Silent, time.Hour, "c")
	o.Unleased["c"] = time.Hour
	must.EqOp(t, Wait, Decide(o).Verb)
}

// A gateway that has said that it stopped isn't waited for.
func TestLeftMemberIsNotWaitedFor(t *testing.T) {
	settled := Agreement{Settled: viewOf("a", "b", "c")}
	o := settling(viewOf("a", "b", "c"), viewOf("a", "b")).with(Confirmed, 0, "a", "b")
	o.Agreement = settled.Without("c")
	must.EqOp(t, Settle, Decide(o).Verb)
}

// Two disjoint sets of gateways can't both be a quorum.
func TestQuorumsIntersect(t *testing.T) {
	for size := 1; size <= 6; size++ {
		view := viewOf(names("g", size)...)
		for set := range 1 << size {
			in := func(wanted bool) func(string) bool {
				return func(id string) bool {
					for i, m := range view.Members {
						if m.ID == id {
							return set&(1<<i) != 0 == wanted
						}
					}
					return false
				}
			}
			must.False(t, view.Quorum(in(true)) && view.Quorum(in(false)))
		}
	}
}

// While two views may be in use, the sums of the smaller shares stay within
// the limit, also for an endpoint that one of them doesn't list.
func TestTablesNeverSumBeyondTheLimit(t *testing.T) {
	next := viewOf("b", "c", "d", "e")
	agreement := Agreement{Settled: viewOf("a", "b", "c"), Next: &next}
	for _, host := range []string{"host-001", "host-unlisted"} {
		slots, connections := 0, 0
		for _, id := range []string{"a", "b", "c", "d", "e"} {
			units := NewTable(&agreement, id).Of("match", host)
			slots += units.Slots
			connections += units.Connections
		}
		must.LessEq(t, 8, slots)
		must.LessEq(t, 64, connections)
	}
	must.EqOp(t, Units{}, NewTable(&agreement, "d").Of("match", "host-001"))
}
