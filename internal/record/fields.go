package record

import (
	"encoding/json"
	"reflect"
	"sort"
	"strings"
)

// schemaTag marks a spec field that a later schema version brought:
// `schema:"2"`. The field is refused in records with an older schema, so that
// a process that knows only the older one never passes over it unseen.
const schemaTag = "schema"

// UnknownFields returns the paths of spec fields that this build doesn't know,
// sorted. The operators' API refuses them at schemas it knows, because there
// they are misspellings.
func UnknownFields(envelope Envelope) []string {
	spec := newSpec(envelope.Kind)
	if spec == nil {
		return nil
	}
	var unknown []string
	walkUnknown("spec", envelope.Spec, reflect.TypeOf(spec).Elem(), &unknown)
	sort.Strings(unknown)
	return unknown
}

func walkUnknown(path string, raw json.RawMessage, shape reflect.Type, unknown *[]string) {
	if shape.Kind() != reflect.Struct {
		return
	}
	var object map[string]json.RawMessage
	if json.Unmarshal(raw, &object) != nil {
		return
	}
	fields := jsonFields(shape)
	for name, value := range object {
		field, ok := fields[name]
		if !ok {
			*unknown = append(*unknown, path+"."+name)
			continue
		}
		walkUnknown(path+"."+name, value, field.Type, unknown)
	}
}

// Patch returns raw with every field that spec's type knows set as in spec,
// and every other field kept as it was. Lists are replaced whole.
func Patch(raw json.RawMessage, spec Spec) (json.RawMessage, error) {
	encoded, err := json.Marshal(spec)
	if err != nil {
		return nil, &SyntaxError{Cause: err}
	}
	return overlay(raw, encoded, reflect.TypeOf(spec).Elem())
}

func overlay(raw, encoded json.RawMessage, shape reflect.Type) (json.RawMessage, error) {
	var before, after map[string]json.RawMessage
	if err := json.Unmarshal(encoded, &after); err != nil {
		return nil, &SyntaxError{Cause: err}
	}
	if json.Unmarshal(raw, &before) != nil || before == nil {
		return encoded, nil
	}
	for name, field := range jsonFields(shape) {
		value, set := after[name]
		switch {
		case !set:
			delete(before, name)
		case field.Type.Kind() == reflect.Struct && before[name] != nil:
			merged, err := overlay(before[name], value, field.Type)
			if err != nil {
				return nil, err
			}
			before[name] = merged
		default:
			before[name] = value
		}
	}
	merged, err := json.Marshal(before)
	if err != nil {
		return nil, &SyntaxError{Cause: err}
	}
	return merged, nil
}

func jsonFields(shape reflect.Type) map[string]reflect.StructField {
	fields := make(map[string]reflect.StructField, shape.NumField())
	for field := range shape.Fields() {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = field
		}
	}
	return fields
}

// newerFields names the fields set in the envelope that only a newer schema
// than the envelope's own may carry.
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
