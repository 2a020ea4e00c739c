// Package hostrecord defines the record that is stored per host: the pool the
// host belongs to and its phase of maintenance. Each change of pool is one
// compare-and-swap on this record, so that a host belongs to at most one pool.
package hostrecord

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"strings"
	"time"
)

// Phase is a host's phase of maintenance.
type Phase string

// The phases, in the order in which maintenance goes through them.
const (
	// Serving hosts take new work.
	Serving Phase = "serving"
	// Draining hosts take no new work; work in flight runs to its end.
	Draining Phase = "draining"
	// Rebooting hosts have been asked to reboot.
	Rebooting Phase = "rebooting"
	// Verifying hosts have rebooted and must stay healthy for a minimum time.
	Verifying Phase = "proving"
	// Failed hosts have not come back from maintenance, or came back unhealthy.
	Failed Phase = "failed"
)

// Result is the result of a wave on one host.
type Result string

// The results of a wave on a host.
const (
	Maintained   Result = "maintained"
	MarkedFailed Result = "failed"
)

// Record is a host's record.
type Record struct {
	Host string `json:"host"`
	// Pool is empty for a host that does not belong to a pool yet.
	Pool  string `json:"pool,omitempty"`
	Phase Phase  `json:"phase"`
	// Wave and Operation identify the maintenance in progress; empty while
	// serving.
	Wave      string `json:"wave,omitempty"`
	Operation string `json:"operation,omitempty"`
	// GrantedServices lists the services whose grant sets hold a grant of the
	// operation. The pool's services may change while the host is out.
	GrantedServices []string `json:"granted,omitempty"`
	// LastOperation is the operation of the previous maintenance; one of its
	// actions may still be in flight.
	LastOperation string `json:"lastOperation,omitempty"`
	// BootID is the boot observed before the reboot. It tells a host that has
	// rebooted from one that has not gone down yet.
	BootID string `json:"bootId,omitempty"`
	// OutSince is the wall-clock time at which the maintenance in progress
	// began. Clocks differ between members, so it is used for estimates only,
	// never for decisions.
	OutSince time.Time `json:"outSince,omitzero"`
	// AlreadyDown reports that the host was down before the maintenance in
	// progress began, so that its result is no evidence about the wave.
	AlreadyDown bool `json:"alreadyDown,omitempty"`
	// NextPool, when set, is the pool that the host joins after the reboot.
	NextPool string `json:"nextPool,omitempty"`
	// PreviousPool is the pool that a moving host has left. Its disruption
	// grants are released once the host serves again.
	PreviousPool string `json:"previousPool,omitempty"`
	// Zone and Rack are the host's location when it was assigned its first
	// pool. They distinguish the loss of a zone from the loss of single hosts
	// when the platform no longer lists the hosts.
	Zone string `json:"zone,omitempty"`
	Rack string `json:"rack,omitempty"`
	// WaveOutcomes holds the outcome on this host of each wave that still
	// exists, so that the progress of a wave survives a change of controller.
	WaveOutcomes map[string]WaveOutcome `json:"visits,omitempty"`
	// WriteID identifies the write that stored this version.
	WriteID string `json:"writeId,omitempty"`
	// UnknownFields holds fields that this build does not define. They are
	// written back unchanged: during an upgrade controllers of both versions
	// write the same record, and an old one must not erase the fields of a new
	// one.
	UnknownFields map[string]json.RawMessage `json:"-"`
}

// WaveOutcome is the outcome of one wave on one host.
type WaveOutcome struct {
	Result Result `json:"result"`
	Reason string `json:"reason,omitempty"`
	// Sequence orders the outcomes of one wave, from 1; outcomes of the same
	// reconcile may share a number. The wave's parallelism
	// is derived from it.
	Sequence int `json:"sequence,omitempty"`
	// ResumeGeneration is the wave's resume generation at the time of the
	// outcome.
	ResumeGeneration int `json:"generation,omitempty"`
	// DowntimeSeconds is how long the host was out of service; zero if unknown.
	DowntimeSeconds int `json:"seconds,omitempty"`
	// RecoveredLate reports that the host came back after it had been marked
	// failed.
	RecoveredLate bool `json:"late,omitempty"`
	// AlreadyDown is copied from Record.AlreadyDown.
	AlreadyDown bool `json:"alreadyDown,omitempty"`
}

// CorruptError reports that a stored host record cannot be decoded.
type CorruptError struct {
	Key   string
	Cause error
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("host record %q is corrupt: %v", e.Key, e.Cause)
}

func (e *CorruptError) Unwrap() error { return e.Cause }

// Parse decodes the record stored under key. It returns *CorruptError when the
// value is not valid JSON for a Record.
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

// knownFields holds the stored names of the fields of Record.
var knownFields = func() map[string]bool {
	names := make(map[string]bool)
	for field := range reflect.TypeFor[Record]().Fields() {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		names[name] = true
	}
	return names
}()

// Encode returns the record in its stored form, including UnknownFields.
func (r Record) Encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		// Unreachable: a Record holds only plain values and maps of them.
		panic(err)
	}
	if len(r.UnknownFields) == 0 {
		return data
	}
	return r.mergeUnknownFields(data)
}

func (r Record) mergeUnknownFields(data []byte) []byte {
	fields := make(map[string]json.RawMessage)
	if err := json.Unmarshal(data, &fields); err != nil {
		// Unreachable: data is the output of json.Marshal.
		panic(err)
	}
	maps.Copy(fields, r.UnknownFields)
	merged, err := json.Marshal(fields)
	if err != nil {
		// Unreachable: all values were read from valid JSON.
		panic(err)
	}
	return merged
}

// Schedulable reports whether the host may receive callers' requests and new tasks.
func (r Record) Schedulable() bool { return r.Phase == Serving || r.Phase == "" }
