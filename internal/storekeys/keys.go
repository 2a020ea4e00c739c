// Package storekeys defines the keys of the platform's store. An operator's spec
// and the system's status have different keys, so that an operator's change never
// conflicts with a status write.
package storekeys

import (
	"strings"

	"auburnglade.example/glade/internal/record"
)

// Prefixes under which the system keeps its state.
const (
	Root = "/glade/"
	// SharedPrefix holds what every process watches, so that one watch is
	// enough: records, host records and members. Its revision is the version of
	// the configuration.
	SharedPrefix = Root + "shared/"
	// SpecPrefix holds the operators' records.
	SpecPrefix = SharedPrefix + "spec/"
	// HostPrefix holds one record per host: its pool and its maintenance phase.
	HostPrefix = SharedPrefix + "host/"
	// MemberPrefix holds one record per running process, bound to its lease.
	MemberPrefix = SharedPrefix + "member/"

	// SharesKey holds the entry hosts' agreement on their shares of the endpoints.
	SharesKey = SharedPrefix + "shares"

	// StatePrefix holds what only few processes read; no process watches all of
	// it.
	StatePrefix = Root + "state/"
	// StatusPrefix holds the status of each record.
	StatusPrefix = StatePrefix + "status/"
	// GrantSetPrefix holds one set of disruption grants per service.
	GrantSetPrefix = StatePrefix + "ledger/"
	// IdempotencyPrefix holds claims of idempotency keys.
	IdempotencyPrefix = StatePrefix + "claim/"
	// MoveReasonsKey holds the age of each reason to move a host.
	MoveReasonsKey = StatePrefix + "moves"
	// PlacementPrefix holds one record per pool with its jobs' tasks.
	PlacementPrefix = StatePrefix + "placement/"
	// HistoryPrefix holds one record per maintenance wave: its effect on
	// availability.
	HistoryPrefix = StatePrefix + "history/"
	// AuditPrefix holds one record per accepted change.
	AuditPrefix = StatePrefix + "audit/"
)

// Spec returns the key of an operator's record.
func Spec(id record.ID) string { return SpecPrefix + string(id.Kind) + "/" + id.Name }

// Status returns the key of a record's status.
func Status(id record.ID) string { return StatusPrefix + string(id.Kind) + "/" + id.Name }

// History returns the key of a wave's history.
func History(wave string) string { return HistoryPrefix + wave }

// Host returns the key of a host's record.
func Host(host string) string { return HostPrefix + host }

// GrantSet returns the key of a service's disruption grants.
func GrantSet(service string) string { return GrantSetPrefix + service }

// Placement returns the key of a pool's tasks.
func Placement(pool string) string { return PlacementPrefix + pool }

// Member returns the key of a process's membership record.
func Member(id string) string { return MemberPrefix + id }

// ParseSpec returns the ID of the record that a spec key names, and whether key
// is a valid spec key.
func ParseSpec(key string) (record.ID, bool) {
	rest, ok := strings.CutPrefix(key, SpecPrefix)
	if !ok {
		return record.ID{}, false
	}
	kind, name, ok := strings.Cut(rest, "/")
	return record.ID{Kind: record.Kind(kind), Name: name}, ok && name != ""
}
