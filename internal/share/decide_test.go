package share

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var testTimeouts = Timeouts{Exited: time.Second, Fence: 10 * time.Second, QuorumFence: time.Minute}

func viewOf(ids ...string) View {
	view := View{Services: map[string]Service{"match": {Slots: 8, Connections: 64, Hosts: []string{"host-001"}}}}
	for _, id := range ids {
		view.Members = append(view.Members, Member{ID: id})
	}
	return view
}

func committingInput(committed, next View) Input {
	return Input{
		Agreement: Agreement{Revision: 7, Committed: committed, Next: &next}, Live: next,
		MemberStates: map[string]MemberState{}, UnleasedFor: map[string]time.Duration{}, UnchangedFor: time.Hour, Timeouts: testTimeouts,
	}
}

func (in Input) with(status MemberStatus, age time.Duration, ids ...string) Input {
	for _, id := range ids {
		in.MemberStates[id] = MemberState{Status: status, StatusAge: age}
	}
	return in
}

// A gateway joins while another has not yet reduced its use. If the view were committed
// now, the new gateway would use its share while the other still uses its old one, and
// the endpoint would get a ninth request.
func TestJoinWaitsForEveryConfirmation(t *testing.T) {
	in := committingInput(viewOf("a", "b"), viewOf("a", "b", "c")).with(Confirmed, 0, "a", "c").with(Unconfirmed, time.Hour, "b")
	must.EqOp(t, Wait, Decide(in).Verb)
	step := Decide(in.with(Confirmed, 0, "b"))
	must.EqOp(t, Commit, step.Verb)
	must.Nil(t, step.Agreement.Next)
	must.Len(t, 3, step.Agreement.Committed.Members)
}

// A gateway departs. Its process may be paused with requests in flight, cut off from
// the store, or ended. The others may grow only when its use has certainly stopped.
func TestDepartureWaitsUntilUseHasCertainlyStopped(t *testing.T) {
	cases := []struct {
		name        string
		status      MemberStatus
		age         time.Duration
		unleasedFor time.Duration
		want        Verb
	}{
		{"running and not within the next view", Unconfirmed, time.Hour, time.Hour, Wait},
		{"reports that it uses nothing", Confirmed, 0, 0, Commit},
		{"listener refuses connections briefly", Exited, time.Second / 2, time.Hour, Wait},
		{"process ended", Exited, time.Second, 0, Commit},
		{"unresponsive, lease just expired", Unresponsive, time.Hour, time.Second, Wait},
		{"unresponsive, all timeouts elapsed", Unresponsive, time.Hour, 10 * time.Second, Commit},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			in := committingInput(viewOf("a", "b", "c"), viewOf("a", "b")).with(Confirmed, time.Hour, "a", "b").with(c.status, c.age, "c")
			in.UnleasedFor["c"] = c.unleasedFor
			must.EqOp(t, c.want, Decide(in).Verb)
		})
	}
}

// The store returns after an outage and one gateway reaches it first. The records of
// all others have expired, but they still serve on one another's promises, so the first
// gateway must not take all eight slots.
func TestMinorityDoesNotTakeSharesOfQuorum(t *testing.T) {
	in := committingInput(viewOf("a", "b", "c"), viewOf("a")).with(Confirmed, time.Hour, "a").with(Unresponsive, time.Hour, "b", "c")
	in.UnleasedFor["b"], in.UnleasedFor["c"] = 30*time.Second, 30*time.Second
	must.EqOp(t, Wait, Decide(in).Verb)
	in.UnleasedFor["b"], in.UnleasedFor["c"] = time.Minute, time.Minute
	must.EqOp(t, Commit, Decide(in).Verb)
}

// A promise given just before the confirmation is still valid, so the view must not be
// committed yet.
func TestUnresponsiveMemberKeepsRecentPromises(t *testing.T) {
	in := committingInput(viewOf("a", "b", "c"), viewOf("a", "b")).with(Confirmed, time.Second, "a", "b").with(Unresponsive, time.Hour, "c")
	in.UnleasedFor["c"] = time.Hour
	must.EqOp(t, Wait, Decide(in).Verb)
}

// A gateway that has reported that it stopped is not waited for.
func TestStoppedMemberIsNotWaitedFor(t *testing.T) {
	committed := Agreement{Committed: viewOf("a", "b", "c")}
	in := committingInput(viewOf("a", "b", "c"), viewOf("a", "b")).with(Confirmed, 0, "a", "b")
	in.Agreement = committed.WithoutMember("c")
	must.EqOp(t, Commit, Decide(in).Verb)
}

// Two disjoint sets of gateways must not both be a quorum.
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

// While two views may be in use, the sum of the smaller shares must stay within the
// limit, also for an endpoint that one of the views does not list.
func TestTablesNeverSumAboveLimit(t *testing.T) {
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
