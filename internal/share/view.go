package share

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"auburnglade.example/glade/internal/store"
)

// LoanMargin is how much longer than the longest request a lent slot is counted
// by its lender: for as long it can be used for new requests.
const LoanMargin = 2 * time.Second

// Member is one gateway in a view.
type Member struct {
	// ID is unique per process start.
	ID string `json:"id"`
	// PeerAddress is IP number and port of its peer interface.
	PeerAddress string `json:"peerAddress"`
}

// Service is one service's limits and endpoints in a view.
type Service struct {
	Slots       int `json:"slots"`
	Connections int `json:"connections"`
	// Hosts run its endpoints; sorted.
	Hosts []string `json:"hosts"`
}

// Sorted returns the service with its hosts sorted.
func (s Service) Sorted() Service {
	slices.Sort(s.Hosts)
	return s
}

// View is all that the shares are worked out from. Gateways with the same view
// work out the same shares; nothing else enters.
type View struct {
	// Members are sorted by ID.
	Members  []Member           `json:"members"`
	Services map[string]Service `json:"services"`
}

// Has reports whether id is a member.
func (v *View) Has(id string) bool {
	return slices.ContainsFunc(v.Members, func(m Member) bool { return m.ID == id })
}

// IDs returns the members' IDs, sorted.
func (v *View) IDs() []string {
	ids := make([]string, len(v.Members))
	for i, m := range v.Members {
		ids[i] = m.ID
	}
	return ids
}

// SameMembers reports whether two views have the same members.
func (v *View) SameMembers(other *View) bool { return slices.Equal(v.Members, other.Members) }

// SameServices reports whether two views have the same limits and endpoints.
func (v *View) SameServices(other *View) bool {
	if len(v.Services) != len(other.Services) {
		return false
	}
	for name, service := range v.Services {
		theirs, ok := other.Services[name]
		if !ok || !service.same(theirs) {
			return false
		}
	}
	return true
}

// limitsDiffer reports whether other has a service that v lacks, or has other
// limits for it.
func (v *View) limitsDiffer(other *View) bool {
	for name, theirs := range other.Services {
		service, ok := v.Services[name]
		if !ok || service.Slots != theirs.Slots || service.Connections != theirs.Connections {
			return true
		}
	}
	return false
}

func (s Service) same(other Service) bool {
	return s.Slots == other.Slots && s.Connections == other.Connections && slices.Equal(s.Hosts, other.Hosts)
}

// Agreement is the store's record of which views may be in use. The settled
// view is the last one that gateways could grow into. While a next one is set,
// every gateway uses the smaller of its shares in the two, so that the sum
// over all gateways is within the limit whichever of the two each has seen.
type Agreement struct {
	// Revision is that of the stored record; it isn't part of the value.
	Revision store.Revision `json:"-"`
	// WriteID is unique per write, to find one's own write after a lost answer.
	WriteID   string `json:"writeId"`
	Committed View   `json:"settled"`
	Next      *View  `json:"next,omitempty"`
	// Stopped names settled members that have stopped and said so themselves,
	// after their last request.
	Stopped []string `json:"left,omitempty"`
}

// CorruptError says that the stored agreement can't be read.
type CorruptError struct{ Cause error }

func (e *CorruptError) Error() string {
	return fmt.Sprintf("the agreement on shares is damaged: %v", e.Cause)
}

func (e *CorruptError) Unwrap() error { return e.Cause }

// Parse reads a stored agreement. It returns *DamagedError.
func Parse(entry store.Entry) (Agreement, error) {
	var a Agreement
	if err := json.Unmarshal(entry.Value, &a); err != nil {
		return Agreement{}, &CorruptError{Cause: err}
	}
	a.Revision = entry.ModRevision
	return a, nil
}

// Encode returns the value to store.
func (a Agreement) Encode() []byte {
	data, err := json.Marshal(a)
	if err != nil {
		// An Agreement holds strings and numbers only.
		panic(err)
	}
	return data
}

// Target is the view that the gateways are on their way to.
func (a *Agreement) Target() *View {
	if a.Next != nil {
		return a.Next
	}
	return &a.Committed
}

// Departed returns the settled members that the next view doesn't have and
// that haven't said themselves that they have stopped.
func (a *Agreement) Departed() []Member {
	if a.Next == nil {
		return nil
	}
	var departed []Member
	for _, m := range a.Committed.Members {
		if !a.Next.Has(m.ID) && !slices.Contains(a.Stopped, m.ID) {
			departed = append(departed, m)
		}
	}
	return departed
}

// HasQuorum reports whether the members for which has is true are so many of the
// view that no two disjoint sets can both be: more than half, or half with the
// first member among them. An empty view has a quorum always.
func (v *View) HasQuorum(has func(id string) bool) bool {
	count := 0
	for _, m := range v.Members {
		if has(m.ID) {
			count++
		}
	}
	switch total := len(v.Members); {
	case total == 0 || 2*count > total:
		return true
	case 2*count == total:
		return has(v.Members[0].ID)
	}
	return false
}

// Without returns the agreement that follows when a member has stopped and
// says so. The others' shares still count it until the next view is settled.
func (a *Agreement) Without(id string) Agreement {
	target := *a.Target()
	next := View{Services: target.Services}
	for _, m := range target.Members {
		if m.ID != id {
			next.Members = append(next.Members, m)
		}
	}
	left := append(slices.Clone(a.Stopped), id)
	return Agreement{Committed: a.Committed, Next: &next, Stopped: left}
}
