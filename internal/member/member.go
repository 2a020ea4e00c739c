// Package member keeps a process's membership record under its lease, and
// reads those of others.
package member

import (
	"encoding/json"
	"fmt"
	"sort"

	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/storekeys"
)

// Role is what a process does.
type Role string

// The roles.
const (
	RoleGateway    Role = "gateway"
	RoleController Role = "controller"
)

// Member is one process as it describes itself.
type Member struct {
	// ID is unique per process start, so that a replaced process never passes
	// for its predecessor.
	ID   string `json:"id"`
	Role Role   `json:"role"`
	Zone string `json:"zone"`
	// PeerAddress is IP number and port of its peer interface.
	PeerAddress string `json:"peerAddress"`
	// MaxSchema is the newest record schema it understands.
	MaxSchema int `json:"maxSchema"`
}

// CorruptError says that a membership record can't be read.
type CorruptError struct {
	Key   string
	Cause error
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("membership record %q is damaged: %v", e.Key, e.Cause)
}

func (e *CorruptError) Unwrap() error { return e.Cause }

// Parse reads a stored membership record.
func Parse(entry store.Entry) (Member, error) {
	var m Member
	if err := json.Unmarshal(entry.Value, &m); err != nil {
		return Member{}, &CorruptError{Key: entry.Key, Cause: err}
	}
	return m, nil
}

// All returns the members a snapshot shows, sorted by ID. Damaged records are
// left out: their process re-registers.
func All(snapshot *configstate.Snapshot) []Member {
	members := make([]Member, 0, len(snapshot.Members))
	for _, entry := range snapshot.Members {
		if m, err := Parse(entry); err == nil {
			members = append(members, m)
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	return members
}

// OfRole returns the members of one role, sorted by ID.
func OfRole(snapshot *configstate.Snapshot, role Role) []Member {
	var found []Member
	for _, m := range All(snapshot) {
		if m.Role == role {
			found = append(found, m)
		}
	}
	return found
}

// SupportedSchema returns the newest schema that every member understands;
// own is this process's, for the time before anyone has registered. A member
// whose record can't be read is taken to understand the oldest one only.
func SupportedSchema(snapshot *configstate.Snapshot, own int) int {
	supported := own
	for _, entry := range snapshot.Members {
		m, err := Parse(entry)
		if err != nil {
			return record.MinSchema
		}
		supported = min(supported, m.MaxSchema)
	}
	return supported
}

func (m Member) encode() []byte {
	data, err := json.Marshal(m)
	if err != nil {
		// A Member holds strings and numbers only.
		panic(err)
	}
	return data
}

func (m Member) key() string { return storekeys.Member(m.ID) }
