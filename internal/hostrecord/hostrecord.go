// Package hostrecord is the one record the system keeps per host: the pool it
// belongs to and where it stands in maintenance. Belonging to exactly one pool
// is one compare-and-swap on it.
package hostrecord

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"strings"
	"time"
)

// Phase is where a host stands.
type Phase string

// The phases, in the order in which maintenance goes through them.
const (
	// Serving hosts take new work.
	Serving Phase = "serving"
	// Draining hosts get no new work; in-flight work ends.
	Draining Phase = "draining"
	// Rebooting hosts were told to restart.
	Rebooting Phase = "rebooting"
	// Verifying hosts are back and must stay healthy for a while.
	Verifying Phase = "proving"
	// Failed hosts never came back from maintenance, or came back unhealthy.
	Failed Phase = "failed"
)

// Result is how a wave's visit to a host ended.
type Result string

// The results of a visit.
const (
	Maintained Result = "maintained"
	GaveUp     Result = "failed"
)

// Record is a host's record.
type Record struct {
	Host string `json:"host"`
	// Pool is empty for a host that belongs to no pool yet.
	Pool  string `json:"pool,omitempty"`
	Phase Phase  `json:"phase"`
	// Wave and Operation name the maintenance under way; empty while serving.
	Wave      string `json:"wave,omitempty"`
	Operation string `json:"operation,omitempty"`
	// GrantedServices names the services in whose ledgers the operation holds a grant.
	// The pool's services may change while the host is out.
	GrantedServices []string `json:"granted,omitempty"`
	// LastOperation is the operation of the maintenance before, of which an
	// act may still be on its way.
	LastOperation string `json:"lastOperation,omitempty"`
	// BootID is the boot seen before the reboot, to tell a return from a host
	// that hasn't gone down yet.
	BootID string `json:"bootId,omitempty"`
	// OutSince is the wall-clock time at which the maintenance under way
	// began. Clocks differ between members: it feeds estimates, no decision.
	OutSince time.Time `json:"outSince,omitzero"`
	// AlreadyDown says that the host was down before the maintenance under way
	// began, so that what becomes of it says nothing about the wave.
	AlreadyDown bool `json:"alreadyDown,omitempty"`
	// NextPool, when set, is the pool the host joins on its return.
	NextPool string `json:"nextPool,omitempty"`
	// PreviousPool is the pool that a host in a move has just left: its grants
	// are given back once the host serves again.
	PreviousPool string `json:"previousPool,omitempty"`
	// Zone and Rack are where the host was when it got its first pool. They
	// tell a lost zone from lost hosts when the platform lists neither.
	Zone string `json:"zone,omitempty"`
	Rack string `json:"rack,omitempty"`
	// WaveOutcomes holds how each wave that still exists ended on this host, so that
	// a wave's progress survives the controller that drove it.
	WaveOutcomes map[string]WaveOutcome `json:"visits,omitempty"`
	// WriteID identifies the write that made this version.
	WriteID string `json:"writeId,omitempty"`
	// UnknownFields holds the fields that this build doesn't know. They are written
	// back as they were: during an upgrade old and new controllers take turns
	// at the same record, and an old one must not wipe out what a new one noted.
	UnknownFields map[string]json.RawMessage `json:"-"`
}

// WaveOutcome is how one wave ended on one host.
type WaveOutcome struct {
	Result Result `json:"result"`
	Reason string `json:"reason,omitempty"`
	// Sequence orders the visits of one wave, from 1; visits that ended in the
	// same round may share a number. The wave's width is derived from it.
	Sequence int `json:"sequence,omitempty"`
	// ResumeGeneration is the wave's resume generation as the visit ended.
	ResumeGeneration int `json:"generation,omitempty"`
	// DowntimeSeconds is how long the host was out; zero when it isn't known.
	DowntimeSeconds int `json:"seconds,omitempty"`
	// RecoveredLate says that the host came back after it had counted as failed.
	RecoveredLate bool `json:"late,omitempty"`
	// AlreadyDown is copied from the record.
	AlreadyDown bool `json:"alreadyDown,omitempty"`
}

// CorruptError says that a stored host record can't be read.
type CorruptError struct {
	Key   string
	Cause error
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("host record %q is damaged: %v", e.Key, e.Cause)
}

func (e *CorruptError) Unwrap() error { return e.Cause }

// Parse decodes a stored record.
func Parse(key string, value []byte) (Record, error) {
	var record Record
	if err := json.Unmarshal(value, &record); err != nil {
		return Record{}, &CorruptError{Key: key, Cause: err}
	}
	record.UnknownFields = unknownFields(value)
	return record, nil
}

func unknownFields(value []byte) map[string]json.RawMessage {
	var fields map[string]json.RawMessage
	if json.Unmarshal(value, &fields) != nil {
		return nil
	}
	for name := range knownFields {
		delete(fields, name)
	}
	if len(fields) == 0 {
		return nil
	}
	return fields
}

// knownFields are the names of Record's own fields as stored.
var knownFields = func() map[string]bool {
	names := make(map[string]bool)
	for field := range reflect.TypeFor[Record]().Fields() {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		names[name] = true
	}
	return names
}()

// Encode returns the stored form.
func (r Record) Encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		// A Record holds plain values and maps of them only.
		panic(err)
	}
	if len(r.UnknownFields) == 0 {
		return data
	}
	return r.withUnknown(data)
}

func (r Record) withUnknown(data []byte) []byte {
	fields := make(map[string]json.RawMessage)
	if err := json.Unmarshal(data, &fields); err != nil {
		// It was encoded a moment ago.
		panic(err)
	}
	maps.Copy(fields, r.UnknownFields)
	merged, err := json.Marshal(fields)
	if err != nil {
		// Both parts were read from valid JSON.
		panic(err)
	}
	return merged
}

// TakesWork reports whether callers' requests and new tasks may go to the host.
func (r Record) TakesWork() bool { return r.Phase == Serving || r.Phase == "" }
