package share

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var testWaits = Timeouts{Exited: time.Second, Fence: 10 * time.Second, QuorumFence: time.Minute}

func viewOf(ids ...string) View {
	view := View{Services: map[string]Service{"match": {Slots: 8, Connections: 64, Hosts: []string{"host-001"}}}}
	for _, id := range ids {
		view.Members = append(view.Members, Member{ID: id})
	}
	return view
}

func settling(settled, next View) Input {
	return Input{
		Agreement: Agreement{Revision: 7, Committed: settled, Next: &next}, Live: next,
		MemberStates: map[string]MemberState{}, UnleasedFor: map[string]time.Duration{}, UnchangedFor: time.Hour, Timeouts: testWaits,
	}
}

func (o Input) with(contact MemberStatus, lasting time.Duration, ids ...string) Input {
	for _, id := range ids {
		o.MemberStates[id] = MemberState{Status: contact, StatusAge: lasting}
	}
	return o
}

// A gateway joins while another hasn't shrunk yet. Settling now would let the
// newcomer grow while the other still uses its old share: the endpoint would
// see a ninth request.
func TestJoinWaitsForEveryConfirmation(t *testing.T) {
	o := settling(viewOf("a", "b"), viewOf("a", "b", "c")).with(Confirmed, 0, "a", "c").with(Unconfirmed, time.Hour, "b")
	must.EqOp(t, Wait, Decide(o).Verb)
	step := Decide(o.with(Confirmed, 0, "b"))
	must.EqOp(t, Commit, step.Verb)
	must.Nil(t, step.Agreement.Next)
	must.Len(t, 3, step.Agreement.Committed.Members)
}

// A gateway departs. Its process may be paused with requests in flight, cut off
// from the store, or dead; only what is certain lets the others grow.
func TestDepartureWaitsForACertainEnd(t *testing.T) {
	cases := []struct {
		name     string
		contact  MemberStatus
		lasting  time.Duration
		unleased time.Duration
		want     Verb
	}{
		{"alive and not within the next view", Unconfirmed, time.Hour, time.Hour, Wait},
		{"says it uses nothing", Confirmed, 0, 0, Commit},
		{"listener just away", Exited, time.Second / 2, time.Hour, Wait},
		{"process ended", Exited, time.Second, 0, Commit},
		{"silent, lease just ended", Unresponsive, time.Hour, time.Second, Wait},
		{"silent, all clocks run out", Unresponsive, time.Hour, 10 * time.Second, Commit},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := settling(viewOf("a", "b", "c"), viewOf("a", "b")).with(Confirmed, time.Hour, "a", "b").with(c.contact, c.lasting, "c")
			o.UnleasedFor["c"] = c.unleased
			must.EqOp(t, c.want, Decide(o).Verb)
		})
	}
}

// The store comes back after an outage and one gateway reaches it first. All
// others' records have lapsed, but they still serve on one another's promises.
// It must not take all eight slots.
func TestMinorityDoesNotTakeAQuorumsShares(t *testing.T) {
	o := settling(viewOf("a", "b", "c"), viewOf("a")).with(Confirmed, time.Hour, "a").with(Unresponsive, time.Hour, "b", "c")
	o.UnleasedFor["b"], o.UnleasedFor["c"] = 30*time.Second, 30*time.Second
	must.EqOp(t, Wait, Decide(o).Verb)
	o.UnleasedFor["b"], o.UnleasedFor["c"] = time.Minute, time.Minute
	must.EqOp(t, Commit, Decide(o).Verb)
}

// A promise given just before the confirmation still holds.
func TestSilentMemberKeepsFreshPromises(t *testing.T) {
	o := settling(viewOf("a", "b", "c"), viewOf("a", "b")).with(Confirmed, time.Second, "a", "b").with(Unresponsive, time.Hour, "c")
	o.UnleasedFor["c"] = time.Hour
	must.EqOp(t, Wait, Decide(o).Verb)
}

// A gateway that has said that it stopped isn't waited for.
func TestLeftMemberIsNotWaitedFor(t *testing.T) {
	settled := Agreement{Committed: viewOf("a", "b", "c")}
	o := settling(viewOf("a", "b", "c"), viewOf("a", "b")).with(Confirmed, 0, "a", "b")
	o.Agreement = settled.Without("c")
	must.EqOp(t, Commit, Decide(o).Verb)
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
			must.False(t, view.HasQuorum(in(true)) && view.HasQuorum(in(false)))
		}
	}
}

// While two views may be in use, the sums of the smaller shares stay within
// the limit, also for an endpoint that one of them doesn't list.
func TestTablesNeverSumBeyondTheLimit(t *testing.T) {
	next := viewOf("b", "c", "d", "e")
	agreement := Agreement{Committed: viewOf("a", "b", "c"), Next: &next}
	for _, host := range []string{"host-001", "host-unlisted"} {
		slots, connections := 0, 0
		for _, id := range []string{"a", "b", "c", "d", "e"} {
			units := NewTable(&agreement, id).Allocation("match", host)
			slots += units.Slots
			connections += units.Connections
		}
		must.LessEq(t, 8, slots)
		must.LessEq(t, 64, connections)
	}
	must.EqOp(t, Allocation{}, NewTable(&agreement, "d").Allocation("match", "host-001"))
}
