// Package admission decides whether an operator's change may be accepted, given the
// change and the active records. All its functions are pure.
package admission

import (
	"fmt"
	"slices"
	"strings"

	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/record"
)

// ReferencedError reports that a record cannot be deleted because other records refer
// to it.
type ReferencedError struct {
	ID record.ID
	By []record.ID
}

func (e *ReferencedError) Error() string {
	return fmt.Sprintf("record %s is named by %v", e.ID, e.By)
}

// PreservedFields are the paths of fields that this build does not recognise and that
// the version to be replaced already contains.
type PreservedFields []string

// CheckPut validates a record that an operator wants to activate. maxSchema is the
// newest schema that every live member supports; preserved lists the unrecognised
// fields to keep. It returns *record.InvalidError or *record.SchemaError, or the error
// of record.Decode.
func CheckPut(snapshot *configstate.Snapshot, envelope record.Envelope, maxSchema int, preserved PreservedFields) error {
	spec, err := record.Decode(envelope)
	if err != nil {
		return err
	}
	if envelope.Schema > maxSchema {
		return &record.SchemaError{ID: envelope.ID(), Schema: envelope.Schema, Min: record.MinSchema, Max: maxSchema}
	}
	fieldErrors := unknownFields(envelope, preserved)
	fieldErrors = append(fieldErrors, missingReferences(snapshot, spec)...)
	fieldErrors = append(fieldErrors, duplicates(snapshot, envelope.Name, spec)...)
	if len(fieldErrors) > 0 {
		return &record.InvalidError{ID: envelope.ID(), FieldErrors: fieldErrors}
	}
	return nil
}

// unknownFields rejects unrecognised fields that the previous version does not contain:
// at a schema that this build supports they are misspellings. Those of the previous
// version were written by a newer build and are accepted, as otherwise an older
// gladectl could not amend the record.
func unknownFields(envelope record.Envelope, preserved PreservedFields) record.FieldErrors {
	var fieldErrors record.FieldErrors
	for _, path := range record.UnknownFields(envelope) {
		if slices.Contains(preserved, path) {
			continue
		}
		fieldErrors = append(fieldErrors, record.FieldError{Field: path, Got: "set", Want: "a field that schema " + fmt.Sprint(envelope.Schema) + " has"})
	}
	return fieldErrors
}

// reference is a field of a record that refers to another record.
type reference struct {
	field  string
	target record.ID
}

func references(spec record.Spec) []reference {
	var refs []reference
	addList := func(field string, kind record.Kind, names []string) {
		for i, name := range names {
			refs = append(refs, reference{fmt.Sprintf("%s[%d]", field, i), record.ID{Kind: kind, Name: name}})
		}
	}
	switch s := spec.(type) {
	case *record.Pool:
		addList("spec.services", record.KindService, s.Services)
	case *record.Wave:
		addList("spec.pools", record.KindPool, s.Pools)
	case *record.Budget:
		refs = append(refs, reference{"spec.service", record.ID{Kind: record.KindService, Name: s.Service}})
	case *record.Job:
		refs = append(refs, reference{"spec.pool", record.ID{Kind: record.KindPool, Name: s.Pool}})
	}
	return refs
}

// MissingRecords returns the records that the envelope refers to and the snapshot
// lacks. It returns nil if the envelope cannot be decoded.
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
	var fieldErrors record.FieldErrors
	for _, ref := range references(spec) {
		if _, ok := snapshot.Records[ref.target]; !ok {
			fieldErrors = append(fieldErrors, record.FieldError{Field: ref.field, Got: ref.target.Name, Want: "the name of a " + string(ref.target.Kind) + " in force"})
		}
	}
	return fieldErrors
}

// duplicates reports values that must be unique among records of a kind: the service of
// a budget, the path prefix of a service and the team of a quota.
func duplicates(snapshot *configstate.Snapshot, name string, spec record.Spec) record.FieldErrors {
	var fieldErrors record.FieldErrors
	for id, item := range snapshot.Records {
		if id.Name == name || id.Kind != spec.Kind() {
			continue
		}
		field, value := sharedUniqueField(spec, item.Spec)
		if field != "" {
			fieldErrors = append(fieldErrors, record.FieldError{Field: field, Got: value, Want: "a value that " + id.String() + " doesn't have"})
		}
	}
	slices.SortFunc(fieldErrors, func(a, b record.FieldError) int { return strings.Compare(a.Want, b.Want) })
	return fieldErrors
}

func sharedUniqueField(a, b record.Spec) (field, value string) {
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

// CheckDelete returns *ReferencedError if other records refer to the record.
func CheckDelete(snapshot *configstate.Snapshot, id record.ID) error {
	var referrers []record.ID
	for other, item := range snapshot.Records {
		for _, ref := range references(item.Spec) {
			if ref.target == id {
				referrers = append(referrers, other)
			}
		}
	}
	slices.SortFunc(referrers, func(a, b record.ID) int { return strings.Compare(a.String(), b.String()) })
	if len(referrers) > 0 {
		return &ReferencedError{ID: id, By: referrers}
	}
	return nil
}
