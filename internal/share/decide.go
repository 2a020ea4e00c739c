package share

import (
	"slices"
	"time"
)

// MemberStatus is the result of probing a member about its share.
type MemberStatus int

// Statuses of a member.
const (
	// Unresponsive: no response; the process may still be running.
	Unresponsive MemberStatus = iota
	// Unconfirmed: it responded, and may still use more than the next view allocates to it.
	Unconfirmed
	// Confirmed: it responded that it uses no more than the next view allocates to it.
	Confirmed
	// Exited: its process has ended, because another process has its address or the address
	// refuses connections.
	Exited
)

// MemberState is a member's last status and for how long it has had that status, on the
// prober's monotonic clock.
type MemberState struct {
	Status    MemberStatus
	StatusAge time.Duration
}

// Timeouts are the times after which a missing response is treated as decisive.
type Timeouts struct {
	// Exited is how long an address must refuse connections before its process counts as
	// ended. It must exceed the time in which a listener alone is restarted.
	Exited time.Duration
	// Fence is how long an unresponsive member must be without a lease before it has
	// certainly stopped using its share: the TTL of a promise plus the longest request
	// timeout. A promise is another member's response that it has confirmed no newer
	// agreement; it lets the member keep its share without a lease until it expires.
	Fence time.Duration
	// QuorumFence replaces Fence when so many members are unresponsive that they could keep
	// their shares on one another's promises.
	QuorumFence time.Duration
}

// Input is everything that the next step depends on.
type Input struct {
	Agreement Agreement
	// Live is the view derived from the current membership and the active records.
	Live View
	// MemberStates holds the state of members of both views, by member ID.
	MemberStates map[string]MemberState
	// UnleasedFor is how long a member has been without a membership record, on the
	// observer's clock. A member that has a record is absent.
	UnleasedFor map[string]time.Duration
	// UnchangedFor is the time since the agreement last changed.
	UnchangedFor time.Duration
	Timeouts     Timeouts
}

// Verb is the action of a step.
type Verb string

// Verbs of a step.
const (
	// NoOp: nothing to do.
	NoOp Verb = "rest"
	// Wait: the next view cannot be committed yet.
	Wait Verb = "wait"
	// Propose: write the live view as the next one.
	Propose Verb = "propose"
	// Commit: make the next view the committed one.
	Commit Verb = "settle"
)

// Step is a decision and the reason for it.
type Step struct {
	Verb   Verb
	Reason string
	// Agreement is the agreement to write, for Propose and Commit. Its WriteID is empty.
	Agreement Agreement
}

// endpointChangeDelay is how long changes of endpoints alone are batched before a view
// is proposed. The delay is harmless: an endpoint that no view lists is shared too,
// only less evenly.
const endpointChangeDelay = 2 * time.Second

// Decide returns the next step towards committing the live view.
func Decide(in Input) Step {
	target := in.Agreement.Target()
	sameMembers := target.SameMembers(&in.Live)
	sameServices := target.SameServices(&in.Live)
	switch {
	case len(in.Live.Members) == 0:
		return Step{Verb: NoOp, Reason: "no live gateway is known"}
	case !sameMembers:
		return in.propose("the membership changed")
	case target.limitsDiffer(&in.Live):
		return in.propose("the services or their limits changed")
	case !sameServices && in.UnchangedFor >= endpointChangeDelay:
		return in.propose("the endpoints changed")
	case in.Agreement.Next == nil:
		return Step{Verb: NoOp, Reason: "the settled view is the live one"}
	}
	if step, ready := in.canCommit(); !ready {
		return step
	}
	return Step{Verb: Commit, Reason: "every member confirmed", Agreement: Agreement{Committed: *in.Agreement.Next}}
}

// propose replaces a next view that was never committed. No gateway has grown into it,
// so use is still bounded by the committed view.
func (in *Input) propose(reason string) Step {
	live := in.Live
	return Step{Verb: Propose, Reason: reason, Agreement: Agreement{
		Committed: in.Agreement.Committed, Next: &live, Stopped: in.Agreement.Stopped,
	}}
}

// canCommit reports whether the next view may be committed; if not, it returns the step
// that waits.
func (in *Input) canCommit() (Step, bool) {
	for _, m := range in.Agreement.Next.Members {
		if in.MemberStates[m.ID].Status != Confirmed {
			return Step{Verb: Wait, Reason: m.ID + " has not confirmed"}, false
		}
	}
	fence, why := in.Timeouts.Fence, " may still use its share"
	if !in.Agreement.Committed.HasQuorum(in.promisesExpired) {
		fence, why = in.Timeouts.QuorumFence, " may hold its share with others"
	}
	for _, m := range in.Agreement.Departed() {
		if !in.certainlyStopped(m.ID, fence) {
			return Step{Verb: Wait, Reason: m.ID + why}, false
		}
	}
	return Step{}, true
}

// promisesExpired reports whether all promises that a committed member made to others
// about the committed view have expired.
func (in *Input) promisesExpired(id string) bool {
	state := in.MemberStates[id]
	conclusive := state.Status == Confirmed || state.Status == Exited
	return slices.Contains(in.Agreement.Stopped, id) || conclusive && state.StatusAge >= in.Timeouts.Fence
}

// certainlyStopped reports whether a departed member has certainly stopped using its
// share: it has confirmed that, its process has ended, or all timeouts that bound its
// use have elapsed. Those are its own lease and the promises of the members that
// confirmed the next view.
func (in *Input) certainlyStopped(id string, fence time.Duration) bool {
	state := in.MemberStates[id]
	switch state.Status {
	case Confirmed:
		return true
	case Exited:
		return state.StatusAge >= in.Timeouts.Exited
	case Unconfirmed:
		return false
	case Unresponsive:
	}
	unleased, tracked := in.UnleasedFor[id]
	return tracked && unleased >= fence && in.confirmedFor() >= in.Timeouts.Fence
}

// confirmedFor returns how long every member of the next view has confirmed it, at most
// the age of the agreement.
func (in *Input) confirmedFor() time.Duration {
	shortest := in.UnchangedFor
	for _, m := range in.Agreement.Next.Members {
		shortest = min(shortest, in.MemberStates[m.ID].StatusAge)
	}
	return shortest
}
