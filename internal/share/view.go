package share

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"auburnglade.example/glade/internal/store"
)

// LoanMargin is the time by which a lender counts a lent slot for longer than the
// longest request timeout. The borrower can start new requests on the slot for that
// long.
const LoanMargin = 2 * time.Second

// Member is one gateway in a view.
type Member struct {
	// ID is unique per process start.
	ID string `json:"id"`
	// PeerAddress is the IP address and port of its peer interface.
	PeerAddress string `json:"peerAddress"`
}

// Service holds the limits and endpoints of a service in a view.
type Service struct {
	Slots       int `json:"slots"`
	Connections int `json:"connections"`
	// Hosts are the hosts that run its endpoints, sorted.
	Hosts []string `json:"hosts"`
}

// Sorted returns the service with its hosts sorted. It sorts the slice in place.
func (s Service) Sorted() Service {
	slices.Sort(s.Hosts)
	return s
}

// View is the complete input from which shares are computed. Gateways with the same
// view compute the same shares.
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
		otherService, ok := other.Services[name]
		if !ok || !service.equal(otherService) {
			return false
		}
	}
	return true
}

// limitsDiffer reports whether other has a service that v lacks, or different limits
// for a service.
func (v *View) limitsDiffer(other *View) bool {
	for name, otherService := range other.Services {
		service, ok := v.Services[name]
		if !ok || service.Slots != otherService.Slots || service.Connections != otherService.Connections {
			return true
		}
	}
	return false
}

func (s Service) equal(other Service) bool {
	return s.Slots == other.Slots && s.Connections == other.Connections && slices.Equal(s.Hosts, other.Hosts)
}

// Agreement is the stored record of the views that may be in use. The committed view is
// the last one that gateways were allowed to grow into. While Next is set, every
// gateway uses the smaller of its shares in the two views. The sum over all gateways is
// then within the limit, whichever of the two each gateway has read.
type Agreement struct {
	// Revision is the revision of the stored record; it is not part of the value.
	Revision store.Revision `json:"-"`
	// WriteID is unique per write. It identifies a process's own write after its response
	// was lost.
	WriteID   string `json:"writeId"`
	Committed View   `json:"settled"`
	Next      *View  `json:"next,omitempty"`
	// Stopped lists the committed members that have stopped and reported so themselves,
	// after their last request.
	Stopped []string `json:"left,omitempty"`
}

// CorruptError reports that the stored agreement cannot be parsed.
type CorruptError struct{ Cause error }

func (e *CorruptError) Error() string {
	return fmt.Sprintf("stored share agreement is corrupt: %v", e.Cause)
}

func (e *CorruptError) Unwrap() error { return e.Cause }

// Parse parses a stored agreement. It returns *CorruptError if the value is invalid.
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
		// Cannot happen: an Agreement holds strings and numbers only.
		panic(err)
	}
	return data
}

// Target returns the view that the gateways are moving to: the next view, or the
// committed one if there is none.
func (a *Agreement) Target() *View {
	if a.Next != nil {
		return a.Next
	}
	return &a.Committed
}

// Departed returns the committed members that are not in the next view and have not
// reported that they have stopped.
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

// HasQuorum reports whether the members for which has returns true form a quorum of the
// view: more than half, or exactly half including the first member. No two disjoint
// sets can both be a quorum. An empty view always has a quorum.
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

// WithoutMember returns the agreement that follows when a member reports that it has stopped.
// The shares of the others still count that member until the next view is committed.
func (a *Agreement) WithoutMember(id string) Agreement {
	target := *a.Target()
	next := View{Services: target.Services}
	for _, m := range target.Members {
		if m.ID != id {
			next.Members = append(next.Members, m)
		}
	}
	stopped := append(slices.Clone(a.Stopped), id)
	return Agreement{Committed: a.Committed, Next: &next, Stopped: stopped}
}
