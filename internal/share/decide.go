package share

import (
	"slices"
	"time"
)

// Contact is what asking a member about its share has brought.
type Contact int

// The contacts.
const (
	// Silent: no answer; the member may be alive.
	Silent Contact = iota
	// Behind: it answered, and may still use more than the next view gives it.
	Behind
	// Confirmed: it answered that it uses no more than the next view gives it.
	Confirmed
	// Gone: its process has ended, since another process has its address or
	// the address refuses connections.
	Gone
)

// Heard is the last contact with a member and for how long it has been so
// without a change, on the asker's monotonic clock.
type Heard struct {
	Contact Contact
	For     time.Duration
}

// Waits are the times that stand in for an answer that doesn't come.
type Waits struct {
	// Gone is how long an address must refuse connections before its process
	// counts as ended: longer than a restart of the listener alone takes.
	Gone time.Duration
	// Fence is how long a silent member must be without a lease before it has
	// certainly stopped using its share: the life of a promise and the longest
	// request timeout.
	Fence time.Duration
	// Escape is Fence for when so many members are silent that they could hold
	// on to their shares among themselves.
	Escape time.Duration
}

// Observed is everything that the next step depends on.
type Observed struct {
	Agreement Agreement
	// Live is the view by the membership and the records in force.
	Live View
	// Heard is by member ID, for members of both views.
	Heard map[string]Heard
	// Unleased is for how long a member has been without a membership record,
	// on the observer's clock; absent for one that has one.
	Unleased map[string]time.Duration
	// Unchanged is for how long the agreement has been what it is.
	Unchanged time.Duration
	Waits     Waits
}

// Verb is what to do.
type Verb string

// The verbs.
const (
	// Rest: nothing is to be done.
	Rest Verb = "rest"
	// Wait: the next view can't be settled yet.
	Wait Verb = "wait"
	// Propose: write the live view as the next one.
	Propose Verb = "propose"
	// Settle: make the next view the settled one.
	Settle Verb = "settle"
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
func Decide(o Observed) Step {
	target := o.Agreement.Target()
	sameMembers := target.SameMembers(&o.Live)
	sameServices := target.SameServices(&o.Live)
	switch {
	case len(o.Live.Members) == 0:
		return Step{Verb: Rest, Reason: "no live gateway is known"}
	case !sameMembers:
		return o.propose("the membership changed")
	case target.limitsDiffer(&o.Live):
		return o.propose("the services or their limits changed")
	case !sameServices && o.Unchanged >= rosterHold:
		return o.propose("the endpoints changed")
	case o.Agreement.Next == nil:
		return Step{Verb: Rest, Reason: "the settled view is the live one"}
	}
	if step, ready := o.ready(); !ready {
		return step
	}
	return Step{Verb: Settle, Reason: "every member confirmed", Agreement: Agreement{Settled: *o.Agreement.Next}}
}

// propose replaces a next view that was never settled: nobody grew into it, so
// what is in use is still bounded by the settled view.
func (o *Observed) propose(reason string) Step {
	live := o.Live
	return Step{Verb: Propose, Reason: reason, Agreement: Agreement{
		Settled: o.Agreement.Settled, Next: &live, Left: o.Agreement.Left,
	}}
}

// ready reports whether the next view may be settled.
func (o *Observed) ready() (Step, bool) {
	for _, m := range o.Agreement.Next.Members {
		if o.Heard[m.ID].Contact != Confirmed {
			return Step{Verb: Wait, Reason: m.ID + " has not confirmed"}, false
		}
	}
	wait, why := o.Waits.Fence, " may still use its share"
	if !o.Agreement.Settled.Quorum(o.promisesNothing) {
		wait, why = o.Waits.Escape, " may hold its share with others"
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
func (o *Observed) promisesNothing(id string) bool {
	heard := o.Heard[id]
	known := heard.Contact == Confirmed || heard.Contact == Gone
	return slices.Contains(o.Agreement.Left, id) || known && heard.For >= o.Waits.Fence
}

// ended reports whether a departed member certainly uses nothing any more: it
// says so, its process has ended, or all clocks that bound it have run out,
// which are its own lease and the promises of those that confirmed.
func (o *Observed) ended(id string, wait time.Duration) bool {
	heard := o.Heard[id]
	switch heard.Contact {
	case Confirmed:
		return true
	case Gone:
		return heard.For >= o.Waits.Gone
	case Behind:
		return false
	case Silent:
	}
	unleased, without := o.Unleased[id]
	return without && unleased >= wait && o.confirmedFor() >= o.Waits.Fence
}

// confirmedFor is for how long every member of the next view has confirmed.
func (o *Observed) confirmedFor() time.Duration {
	shortest := o.Unchanged
	for _, m := range o.Agreement.Next.Members {
		shortest = min(shortest, o.Heard[m.ID].For)
	}
	return shortest
}
