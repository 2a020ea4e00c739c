// Package admission decides whether an operator's change may be accepted, from
// the change and the records in force. It is pure.
package admission

import (
	"fmt"

	"auburnglade.example/glade/internal/catalog"
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

// CheckPut validates a record that an operator wants in force. maxSchema is
// the newest schema that every live member understands. It returns
// *record.InvalidError or *record.SchemaError.
func CheckPut(snapshot *catalog.Snapshot, envelope record.Envelope, maxSchema int) error {
	spec, err := record.Decode(envelope)
	if err != nil {
		return err
	}
	if envelope.Schema > maxSchema {
		return &record.SchemaError{ID: envelope.ID(), Schema: envelope.Schema, Min: record.MinSchema, Max: maxSchema}
	}
	faults := unknownFields(envelope)
	faults = append(faults, missingReferences(snapshot, spec)...)
	faults = append(faults, clashes(snapshot, envelope.Name, spec)...)
	if len(faults) > 0 {
		return &record.InvalidError{ID: envelope.ID(), Faults: faults}
	}
	return nil
}

func unknownFields(envelope record.Envelope) record.FieldErrors {
	var faults record.FieldErrors
	for _, path := range record.UnknownFields(envelope) {
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

func missingReferences(snapshot *catalog.Snapshot, spec record.Spec) record.FieldErrors {
	var faults record.FieldErrors
	for _, ref := range references(spec) {
		if _, ok := snapshot.Items[ref.target]; !ok {
			faults = append(faults, record.FieldError{Field: ref.field, Got: ref.target.Name, Want: "the name of a " + string(ref.target.Kind) + " in force"})
		}
	}
	return faults
}

// clashes finds what may stand only once: a service's budget, a path prefix, a
// team's quota.
func clashes(snapshot *catalog.Snapshot, name string, spec record.Spec) record.FieldErrors {
	for id, item := range snapshot.Items {
		if id.Name == name || id.Kind != spec.Kind() {
			continue
		}
		field, value := sameIdentity(spec, item.Spec)
		if field != "" {
			return record.FieldErrors{{Field: field, Got: value, Want: "a value that " + id.String() + " doesn't have"}}
		}
	}
	return nil
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
func CheckDelete(snapshot *catalog.Snapshot, id record.ID) error {
	var by []record.ID
	for other, item := range snapshot.Items {
		for _, ref := range references(item.Spec) {
			if ref.target == id {
				by = append(by, other)
			}
		}
	}
	if len(by) > 0 {
		return &ReferencedError{ID: id, By: by}
	}
	return nil
}
