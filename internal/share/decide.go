package share

import (
	"slices"
	"time"
)

// MemberStatus is what asking a member about its share has brought.
type MemberStatus int

// The contacts.
const (
	// Unresponsive: no answer; the member may be alive.
	Unresponsive MemberStatus = iota
	// Unconfirmed: it answered, and may still use more than the next view gives it.
	Unconfirmed
	// Confirmed: it answered that it uses no more than the next view gives it.
	Confirmed
	// Exited: its process has ended, since another process has its address or
	// the address refuses connections.
	Exited
)

// MemberState is the last contact with a member and for how long it has been so
// without a change, on the asker's monotonic clock.
type MemberState struct {
	Status    MemberStatus
	StatusAge time.Duration
}

// Timeouts are the times that stand in for an answer that doesn't come.
type Timeouts struct {
	// Exited is how long an address must refuse connections before its process
	// counts as ended: longer than a restart of the listener alone takes.
	Exited time.Duration
	// Fence is how long a silent member must be without a lease before it has
	// certainly stopped using its share: the life of a promise and the longest
	// request timeout.
	Fence time.Duration
	// QuorumFence is Fence for when so many members are silent that they could hold
	// on to their shares among themselves.
	QuorumFence time.Duration
}

// Input is everything that the next step depends on.
type Input struct {
	Agreement Agreement
	// Live is the view by the membership and the records in force.
	Live View
	// MemberStates is by member ID, for members of both views.
	MemberStates map[string]MemberState
	// UnleasedFor is for how long a member has been without a membership record,
	// on the observer's clock; absent for one that has one.
	UnleasedFor map[string]time.Duration
	// UnchangedFor is for how long the agreement has been what it is.
	UnchangedFor time.Duration
	Timeouts     Timeouts
}

// Verb is what to do.
type Verb string

// The verbs.
const (
	// NoOp: nothing is to be done.
	NoOp Verb = "rest"
	// Wait: the next view can't be settled yet.
	Wait Verb = "wait"
	// Propose: write the live view as the next one.
	Propose Verb = "propose"
	// Commit: make the next view the settled one.
	Commit Verb = "settle"
)

// Step is one decision with its reason.
type Step struct {
	Verb   Verb
	Reason string
	// Agreement is what to write, for Propose and Settle. Its WriteID is empty.
	Agreement Agreement
}

// rosterHold is how long changes of endpoints alone are gathered before a view
// is made of them. Nothing waits for it: an endpoint that no view lists is
// shared too, only less evenly.
const rosterHold = 2 * time.Second

// Decide returns the next step towards the live view being settled.
func Decide(o Input) Step {
	target := o.Agreement.Target()
	sameMembers := target.SameMembers(&o.Live)
	sameServices := target.SameServices(&o.Live)
	switch {
	case len(o.Live.Members) == 0:
		return Step{Verb: NoOp, Reason: "no live gateway is known"}
	case !sameMembers:
		return o.propose("the membership changed")
	case target.limitsDiffer(&o.Live):
		return o.propose("the services or their limits changed")
	case !sameServices && o.UnchangedFor >= rosterHold:
		return o.propose("the endpoints changed")
	case o.Agreement.Next == nil:
		return Step{Verb: NoOp, Reason: "the settled view is the live one"}
	}
	if step, ready := o.ready(); !ready {
		return step
	}
	return Step{Verb: Commit, Reason: "every member confirmed", Agreement: Agreement{Committed: *o.Agreement.Next}}
}

// propose replaces a next view that was never settled: nobody grew into it, so
// what is in use is still bounded by the settled view.
func (o *Input) propose(reason string) Step {
	live := o.Live
	return Step{Verb: Propose, Reason: reason, Agreement: Agreement{
		Committed: o.Agreement.Committed, Next: &live, Stopped: o.Agreement.Stopped,
	}}
}

// ready reports whether the next view may be settled.
func (o *Input) ready() (Step, bool) {
	for _, m := range o.Agreement.Next.Members {
		if o.MemberStates[m.ID].Status != Confirmed {
			return Step{Verb: Wait, Reason: m.ID + " has not confirmed"}, false
		}
	}
	wait, why := o.Timeouts.Fence, " may still use its share"
	if !o.Agreement.Committed.HasQuorum(o.promisesNothing) {
		wait, why = o.Timeouts.QuorumFence, " may hold its share with others"
	}
	for _, m := range o.Agreement.Departed() {
		if !o.ended(m.ID, wait) {
			return Step{Verb: Wait, Reason: m.ID + why}, false
		}
	}
	return Step{}, true
}

// promisesNothing reports whether a settled member's promises to others about
// the settled view have all run out.
func (o *Input) promisesNothing(id string) bool {
	heard := o.MemberStates[id]
	known := heard.Status == Confirmed || heard.Status == Exited
	return slices.Contains(o.Agreement.Stopped, id) || known && heard.StatusAge >= o.Timeouts.Fence
}

// ended reports whether a departed member certainly uses nothing any more: it
// says so, its process has ended, or all clocks that bound it have run out,
// which are its own lease and the promises of those that confirmed.
func (o *Input) ended(id string, wait time.Duration) bool {
	heard := o.MemberStates[id]
	switch heard.Status {
	case Confirmed:
		return true
	case Exited:
		return heard.StatusAge >= o.Timeouts.Exited
	case Unconfirmed:
		return false
	case Unresponsive:
	}
	unleased, without := o.UnleasedFor[id]
	return without && unleased >= wait && o.confirmedFor() >= o.Timeouts.Fence
}

// confirmedFor is for how long every member of the next view has confirmed.
func (o *Input) confirmedFor() time.Duration {
	shortest := o.UnchangedFor
	for _, m := range o.Agreement.Next.Members {
		shortest = min(shortest, o.MemberStates[m.ID].StatusAge)
	}
	return shortest
}
