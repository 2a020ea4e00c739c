package record

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"sort"
	"strings"
)

// schemaTag is the struct tag of spec fields that were added by a later schema
// version: `schema:"2"`. The field is refused in records with an older schema,
// so that a process that supports only the older schema never silently ignores
// it.
const schemaTag = "schema"

// UnknownFields returns the sorted paths of the spec fields that are unknown to
// this build. The operators' API refuses them at supported schemas, where they
// are spelling mistakes.
func UnknownFields(envelope Envelope) []string {
	spec := newSpec(envelope.Kind)
	if spec == nil {
		return nil
	}
	var found []unknownField
	walkUnknown("spec", envelope.Spec, reflect.TypeOf(spec).Elem(), &found)
	var unknown []string
	for _, field := range found {
		unknown = append(unknown, field.path)
	}
	sort.Strings(unknown)
	return unknown
}

type unknownField struct {
	path string
	// knownName is the known field whose name differs only in case, or empty.
	knownName string
}

// misspelledFields reports the fields that encoding/json would match to a known
// field regardless of case. If they were ignored, "MaxPerRack" would take
// effect in spite of the schema check, and Patch would leave it next to the
// field that it writes.
func misspelledFields(envelope Envelope, spec Spec) FieldErrors {
	var found []unknownField
	walkUnknown("spec", envelope.Spec, reflect.TypeOf(spec).Elem(), &found)
	var faults FieldErrors
	for _, field := range found {
		if field.knownName != "" {
			faults = append(faults, FieldError{Field: field.path, Got: "set", Want: "the spelling " + field.knownName})
		}
	}
	sort.Slice(faults, func(i, j int) bool { return faults[i].Field < faults[j].Field })
	return faults
}

func walkUnknown(path string, raw json.RawMessage, typ reflect.Type, unknown *[]unknownField) {
	if isStructList(typ) {
		var elements []json.RawMessage
		if json.Unmarshal(raw, &elements) != nil {
			return
		}
		for i, element := range elements {
			walkUnknown(fmt.Sprintf("%s[%d]", path, i), element, typ.Elem(), unknown)
		}
		return
	}
	if typ.Kind() != reflect.Struct {
		return
	}
	var object map[string]json.RawMessage
	if json.Unmarshal(raw, &object) != nil {
		return
	}
	fields := jsonFields(typ)
	for name, value := range object {
		field, ok := fields[name]
		if !ok {
			*unknown = append(*unknown, unknownField{path: path + "." + name, knownName: findKnownName(fields, name)})
			continue
		}
		walkUnknown(path+"."+name, value, field.Type, unknown)
	}
}

func findKnownName(fields map[string]reflect.StructField, name string) string {
	for known := range fields {
		if strings.EqualFold(known, name) {
			return known
		}
	}
	return ""
}

func isStructList(typ reflect.Type) bool {
	return typ.Kind() == reflect.Slice && typ.Elem().Kind() == reflect.Struct
}

// Patch returns raw with every field known to spec's type set as in spec, and
// every other field unchanged. List elements keep their unknown fields when the
// element itself is unchanged, or is at the same index in a list of the same
// length.
func Patch(raw json.RawMessage, spec Spec) (json.RawMessage, error) {
	encoded, err := json.Marshal(spec)
	if err != nil {
		return nil, &SyntaxError{Cause: err}
	}
	return merge(raw, encoded, reflect.TypeOf(spec).Elem())
}

func merge(raw, encoded json.RawMessage, typ reflect.Type) (json.RawMessage, error) {
	switch {
	case typ.Kind() == reflect.Struct:
		return mergeObject(raw, encoded, typ)
	case isStructList(typ):
		return mergeList(raw, encoded, typ.Elem())
	}
	return encoded, nil
}

func mergeObject(raw, encoded json.RawMessage, typ reflect.Type) (json.RawMessage, error) {
	var before, after map[string]json.RawMessage
	if err := json.Unmarshal(encoded, &after); err != nil {
		return nil, &SyntaxError{Cause: err}
	}
	if json.Unmarshal(raw, &before) != nil || before == nil {
		return encoded, nil
	}
	for name, field := range jsonFields(typ) {
		value, set := after[name]
		if !set {
			delete(before, name)
			continue
		}
		merged, err := merge(before[name], value, field.Type)
		if err != nil {
			return nil, err
		}
		before[name] = merged
	}
	return marshalRaw(before)
}

func mergeList(raw, encoded json.RawMessage, typ reflect.Type) (json.RawMessage, error) {
	var before, after []json.RawMessage
	if err := json.Unmarshal(encoded, &after); err != nil {
		return nil, &SyntaxError{Cause: err}
	}
	if json.Unmarshal(raw, &before) != nil {
		return encoded, nil
	}
	sameLength := len(before) == len(after)
	known := make([]string, len(before))
	for i, element := range before {
		known[i] = knownFields(element, typ)
	}
	for i, element := range after {
		old := slices.Index(known, string(element))
		if old < 0 && sameLength {
			old = i
		}
		if old < 0 {
			continue
		}
		merged, err := merge(before[old], element, typ)
		if err != nil {
			return nil, err
		}
		after[i] = merged
	}
	return marshalRaw(after)
}

// knownFields returns an element as this build would encode it.
func knownFields(element json.RawMessage, typ reflect.Type) string {
	typed := reflect.New(typ)
	if json.Unmarshal(element, typed.Interface()) != nil {
		return ""
	}
	encoded, err := json.Marshal(typed.Interface())
	if err != nil {
		return ""
	}
	return string(encoded)
}

func marshalRaw(value any) (json.RawMessage, error) {
	merged, err := json.Marshal(value)
	if err != nil {
		return nil, &SyntaxError{Cause: err}
	}
	return merged, nil
}

func jsonFields(typ reflect.Type) map[string]reflect.StructField {
	fields := make(map[string]reflect.StructField, typ.NumField())
	for field := range typ.Fields() {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = field
		}
	}
	return fields
}

// newerFields reports the fields set in the envelope that require a newer
// schema than the envelope's own.
func newerFields(envelope Envelope, spec Spec) FieldErrors {
	var object map[string]json.RawMessage
	if json.Unmarshal(envelope.Spec, &object) != nil {
		return nil
	}
	var faults FieldErrors
	for name, field := range jsonFields(reflect.TypeOf(spec).Elem()) {
		since := field.Tag.Get(schemaTag)
		if _, set := object[name]; set && since != "" && envelope.Schema < atoi(since) {
			faults = append(faults, FieldError{Field: "spec." + name, Got: "set", Want: "schema " + since + " or later"})
		}
	}
	sort.Slice(faults, func(i, j int) bool { return faults[i].Field < faults[j].Field })
	return faults
}
