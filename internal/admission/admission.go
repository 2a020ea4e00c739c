// Package admission decides whether an operator's change may be accepted, from
// the change and the records in force. It is pure.
package admission

import (
	"fmt"
	"slices"
	"strings"

	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/record"
)

// ReferencedError says that a record can't be deleted while others name it.
type ReferencedError struct {
	ID record.ID
	By []record.ID
}

func (e *ReferencedError) Error() string {
	return fmt.Sprintf("record %s is named by %v", e.ID, e.By)
}

// PreservedFields are paths of fields that this build doesn't know and that the
// version to be replaced has already.
type PreservedFields []string

// CheckPut validates a record that an operator wants in force. maxSchema is
// the newest schema that every live member understands; known are the unknown
// fields to be kept. It returns *record.InvalidError or *record.SchemaError.
func CheckPut(snapshot *configstate.Snapshot, envelope record.Envelope, maxSchema int, known PreservedFields) error {
	spec, err := record.Decode(envelope)
	if err != nil {
		return err
	}
	if envelope.Schema > maxSchema {
		return &record.SchemaError{ID: envelope.ID(), Schema: envelope.Schema, Min: record.MinSchema, Max: maxSchema}
	}
	faults := unknownFields(envelope, known)
	faults = append(faults, missingReferences(snapshot, spec)...)
	faults = append(faults, clashes(snapshot, envelope.Name, spec)...)
	if len(faults) > 0 {
		return &record.InvalidError{ID: envelope.ID(), Faults: faults}
	}
	return nil
}

// unknownFields refuses fields that nobody wrote before: at a schema that this
// build knows they are misspellings. Those of the version before were written
// by a newer build and pass, or no older gladectl could amend the record.
func unknownFields(envelope record.Envelope, known PreservedFields) record.FieldErrors {
	var faults record.FieldErrors
	for _, path := range record.UnknownFields(envelope) {
		if slices.Contains(known, path) {
			continue
		}
		faults = append(faults, record.FieldError{Field: path, Got: "set", Want: "a field that schema " + fmt.Sprint(envelope.Schema) + " has"})
	}
	return faults
}

// reference is one place where a record names another.
type reference struct {
	field  string
	target record.ID
}

func references(spec record.Spec) []reference {
	var found []reference
	many := func(field string, kind record.Kind, names []string) {
		for i, name := range names {
			found = append(found, reference{fmt.Sprintf("%s[%d]", field, i), record.ID{Kind: kind, Name: name}})
		}
	}
	switch s := spec.(type) {
	case *record.Pool:
		many("spec.services", record.KindService, s.Services)
	case *record.Wave:
		many("spec.pools", record.KindPool, s.Pools)
	case *record.Budget:
		found = append(found, reference{"spec.service", record.ID{Kind: record.KindService, Name: s.Service}})
	case *record.Job:
		found = append(found, reference{"spec.pool", record.ID{Kind: record.KindPool, Name: s.Pool}})
	}
	return found
}

// MissingRecords returns the records that the envelope names and the snapshot lacks.
func MissingRecords(snapshot *configstate.Snapshot, envelope record.Envelope) []record.ID {
	spec, err := record.Decode(envelope)
	if err != nil {
		return nil
	}
	var missing []record.ID
	for _, ref := range references(spec) {
		if _, ok := snapshot.Records[ref.target]; !ok {
			missing = append(missing, ref.target)
		}
	}
	return missing
}

func missingReferences(snapshot *configstate.Snapshot, spec record.Spec) record.FieldErrors {
	var faults record.FieldErrors
	for _, ref := range references(spec) {
		if _, ok := snapshot.Records[ref.target]; !ok {
			faults = append(faults, record.FieldError{Field: ref.field, Got: ref.target.Name, Want: "the name of a " + string(ref.target.Kind) + " in force"})
		}
	}
	return faults
}

// clashes finds what may stand only once: a service's budget, a path prefix, a
// team's quota.
func clashes(snapshot *configstate.Snapshot, name string, spec record.Spec) record.FieldErrors {
	var faults record.FieldErrors
	for id, item := range snapshot.Records {
		if id.Name == name || id.Kind != spec.Kind() {
			continue
		}
		field, value := sameIdentity(spec, item.Spec)
		if field != "" {
			faults = append(faults, record.FieldError{Field: field, Got: value, Want: "a value that " + id.String() + " doesn't have"})
		}
	}
	slices.SortFunc(faults, func(a, b record.FieldError) int { return strings.Compare(a.Want, b.Want) })
	return faults
}

func sameIdentity(a, b record.Spec) (field, value string) {
	switch s := a.(type) {
	case *record.Service:
		if s.PathPrefix == b.(*record.Service).PathPrefix {
			return "spec.pathPrefix", s.PathPrefix
		}
	case *record.Budget:
		if s.Service == b.(*record.Budget).Service {
			return "spec.service", s.Service
		}
	case *record.Quota:
		if s.Team == b.(*record.Quota).Team {
			return "spec.team", s.Team
		}
	}
	return "", ""
}

// CheckDelete refuses to delete a record that others name.
func CheckDelete(snapshot *configstate.Snapshot, id record.ID) error {
	var by []record.ID
	for other, item := range snapshot.Records {
		for _, ref := range references(item.Spec) {
			if ref.target == id {
				by = append(by, other)
			}
		}
	}
	slices.SortFunc(by, func(a, b record.ID) int { return strings.Compare(a.String(), b.String()) })
	if len(by) > 0 {
		return &ReferencedError{ID: id, By: by}
	}
	return nil
}
