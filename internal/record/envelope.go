// Package record defines the operators' records: pools, availability budgets,
// maintenance waves, job placements, services, quotas and policies. It does no
// I/O and keeps no state.
package record

import (
	"bytes"
	"encoding/json"
	"regexp"
)

// Kind is the type of a record.
type Kind string

// The kinds of records that operators write.
const (
	KindService Kind = "Service"
	KindPool    Kind = "Pool"
	KindBudget  Kind = "AvailabilityBudget"
	KindWave    Kind = "MaintenanceWave"
	KindJob     Kind = "JobPlacement"
	KindQuota   Kind = "Quota"
	KindPolicy  Kind = "Policy"
)

// Kinds lists every kind in dependency order: applying a file in this order
// never refers to a missing record.
var Kinds = []Kind{KindService, KindPool, KindBudget, KindPolicy, KindQuota, KindWave, KindJob}

// The range of schema versions supported by this build. A record with a newer
// schema is stored unchanged and reported; it is never applied in part.
const (
	MinSchema = 1
	MaxSchema = 2
)

const maxNameLength = 63

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)

// ID identifies a record.
type ID struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

func (id ID) String() string { return string(id.Kind) + "/" + id.Name }

// Envelope is a record as it is stored and sent. The spec stays raw JSON so
// that fields unknown to this build survive a read-modify-write.
type Envelope struct {
	Kind   Kind            `json:"kind"`
	Name   string          `json:"name"`
	Schema int             `json:"schema"`
	Spec   json.RawMessage `json:"spec"`
	// WriteID identifies the write that made this version, so that a writer
	// that lost the response can recognise its own write.
	WriteID string `json:"writeId,omitempty"`
	// Author is the identity that made the write, as authenticated by the
	// operators' API.
	Author string `json:"author,omitempty"`
}

// ID returns the record's kind and name.
func (e Envelope) ID() ID { return ID{Kind: e.Kind, Name: e.Name} }

// Spec is the typed body of a record.
type Spec interface {
	// Kind returns the kind that this spec belongs to.
	Kind() Kind
	// Validate returns every fault found, or nil. It checks the spec alone,
	// without reference to other records.
	Validate() FieldErrors
}

// ParseEnvelope decodes one stored or sent envelope. It returns *SyntaxError
// for malformed JSON and for unknown envelope fields; spec fields are checked
// by Decode.
func ParseEnvelope(data []byte) (Envelope, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var envelope Envelope
	if err := decoder.Decode(&envelope); err != nil {
		return Envelope{}, &SyntaxError{Offset: decoder.InputOffset(), Cause: err}
	}
	if decoder.More() {
		return Envelope{}, &SyntaxError{Offset: decoder.InputOffset(), Cause: errTrailingData}
	}
	return envelope, nil
}

// Decode returns the typed spec of an envelope. Spec fields unknown to this
// build are ignored; UnknownFields lists them. Decode returns *SchemaError for
// an unsupported schema and *InvalidError with every fault found.
func Decode(envelope Envelope) (Spec, error) { return DecodeWithMaxSchema(envelope, MaxSchema) }

// DecodeWithMaxSchema is Decode for a build that supports schemas only up to
// maxSchema, so that upgrades can be tested with one build.
func DecodeWithMaxSchema(envelope Envelope, maxSchema int) (Spec, error) {
	spec := newSpec(envelope.Kind)
	if spec == nil {
		return nil, invalid(envelope.ID(), FieldError{Field: "kind", Got: string(envelope.Kind), Want: kindList()})
	}
	if faults := checkName("name", envelope.Name); len(faults) > 0 {
		return nil, invalid(envelope.ID(), faults...)
	}
	if envelope.Schema < MinSchema || envelope.Schema > maxSchema {
		return nil, &SchemaError{ID: envelope.ID(), Schema: envelope.Schema, Min: MinSchema, Max: maxSchema}
	}
	if err := json.Unmarshal(envelope.Spec, spec); err != nil {
		return nil, invalid(envelope.ID(), jsonFault(err))
	}
	faults := spec.Validate()
	faults = append(faults, newerFields(envelope, spec)...)
	faults = append(faults, misspelledFields(envelope, spec)...)
	if len(faults) > 0 {
		return nil, invalid(envelope.ID(), faults...)
	}
	return spec, nil
}

// NewEnvelope wraps a typed spec in an envelope with the oldest schema that
// supports all of its fields. It panics only when the spec can't be encoded,
// which the Spec types rule out.
func NewEnvelope(name string, spec Spec) Envelope {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	envelope := Envelope{Kind: spec.Kind(), Name: name, Schema: MinSchema, Spec: raw}
	if len(newerFields(envelope, spec)) > 0 {
		envelope.Schema = MaxSchema
	}
	return envelope
}

func newSpec(kind Kind) Spec {
	switch kind {
	case KindService:
		return &Service{}
	case KindPool:
		return &Pool{}
	case KindBudget:
		return &Budget{}
	case KindWave:
		return &Wave{}
	case KindJob:
		return &Job{}
	case KindQuota:
		return &Quota{}
	case KindPolicy:
		return &Policy{}
	}
	return nil
}
