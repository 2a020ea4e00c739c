// Package member maintains a process's membership record under its lease, and
// reads the records of other processes.
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

// Role is the role of a process.
type Role string

// The roles.
const (
	RoleGateway    Role = "gateway"
	RoleController Role = "controller"
)

// Member is the membership record of one process.
type Member struct {
	// ID is unique per process start, so that a replacement process is never
	// mistaken for its predecessor.
	ID   string `json:"id"`
	Role Role   `json:"role"`
	Zone string `json:"zone"`
	// PeerAddress is the IP address and port of its peer interface.
	PeerAddress string `json:"peerAddress"`
	// MaxSchema is the newest record schema that it supports.
	MaxSchema int `json:"maxSchema"`
}

// CorruptError reports that a membership record can't be decoded.
type CorruptError struct {
	Key   string
	Cause error
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("membership record %q is corrupt: %v", e.Key, e.Cause)
}

func (e *CorruptError) Unwrap() error { return e.Cause }

// Parse decodes a stored membership record. It returns *CorruptError when that
// fails.
func Parse(entry store.Entry) (Member, error) {
	var m Member
	if err := json.Unmarshal(entry.Value, &m); err != nil {
		return Member{}, &CorruptError{Key: entry.Key, Cause: err}
	}
	return m, nil
}

// All returns the members in a snapshot, sorted by ID. Corrupt records are
// skipped: their process registers again.
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

// OfRole returns the members with a role, sorted by ID.
func OfRole(snapshot *configstate.Snapshot, role Role) []Member {
	var found []Member
	for _, m := range All(snapshot) {
		if m.Role == role {
			found = append(found, m)
		}
	}
	return found
}

// SupportedSchema returns the newest schema that every member supports; own is
// the schema of this process and applies before any process has registered. A
// member whose record can't be decoded is assumed to support only the oldest
// schema.
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
		// A Member holds only strings and numbers.
		panic(err)
	}
	return data
}

func (m Member) key() string { return storekeys.Member(m.ID) }
