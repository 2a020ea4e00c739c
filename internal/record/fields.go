package record

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
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
	// meant is the known field whose name differs in upper and lower case only.
	meant string
}

// misspelled names the fields that the JSON library would read as a known one
// without regard to case. Passing them over would let "MaxPerRack" take effect
// behind the schema gate, and Patch would leave it beside the field it wrote.
func misspelled(envelope Envelope, spec Spec) FieldErrors {
	var found []unknownField
	walkUnknown("spec", envelope.Spec, reflect.TypeOf(spec).Elem(), &found)
	var faults FieldErrors
	for _, field := range found {
		if field.meant != "" {
			faults = append(faults, FieldError{Field: field.path, Got: "set", Want: "the spelling " + field.meant})
		}
	}
	sort.Slice(faults, func(i, j int) bool { return faults[i].Field < faults[j].Field })
	return faults
}

func walkUnknown(path string, raw json.RawMessage, shape reflect.Type, unknown *[]unknownField) {
	if isStructList(shape) {
		var elements []json.RawMessage
		if json.Unmarshal(raw, &elements) != nil {
			return
		}
		for i, element := range elements {
			walkUnknown(fmt.Sprintf("%s[%d]", path, i), element, shape.Elem(), unknown)
		}
		return
	}
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
			*unknown = append(*unknown, unknownField{path: path + "." + name, meant: knownSpelling(fields, name)})
			continue
		}
		walkUnknown(path+"."+name, value, field.Type, unknown)
	}
}

func knownSpelling(fields map[string]reflect.StructField, name string) string {
	for known := range fields {
		if strings.EqualFold(known, name) {
			return known
		}
	}
	return ""
}

func isStructList(shape reflect.Type) bool {
	return shape.Kind() == reflect.Slice && shape.Elem().Kind() == reflect.Struct
}

// Patch returns raw with every field that spec's type knows set as in spec,
// and every other field kept as it was. Elements of lists keep theirs when the
// element itself is unchanged, or stands at the same place in a list of the
// same length.
func Patch(raw json.RawMessage, spec Spec) (json.RawMessage, error) {
	encoded, err := json.Marshal(spec)
	if err != nil {
		return nil, &SyntaxError{Cause: err}
	}
	return overlay(raw, encoded, reflect.TypeOf(spec).Elem())
}

func overlay(raw, encoded json.RawMessage, shape reflect.Type) (json.RawMessage, error) {
	switch {
	case shape.Kind() == reflect.Struct:
		return overlayObject(raw, encoded, shape)
	case isStructList(shape):
		return overlayList(raw, encoded, shape.Elem())
	}
	return encoded, nil
}

func overlayObject(raw, encoded json.RawMessage, shape reflect.Type) (json.RawMessage, error) {
	var before, after map[string]json.RawMessage
	if err := json.Unmarshal(encoded, &after); err != nil {
		return nil, &SyntaxError{Cause: err}
	}
	if json.Unmarshal(raw, &before) != nil || before == nil {
		return encoded, nil
	}
	for name, field := range jsonFields(shape) {
		value, set := after[name]
		if !set {
			delete(before, name)
			continue
		}
		merged, err := overlay(before[name], value, field.Type)
		if err != nil {
			return nil, err
		}
		before[name] = merged
	}
	return marshalRaw(before)
}

func overlayList(raw, encoded json.RawMessage, shape reflect.Type) (json.RawMessage, error) {
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
		known[i] = knownPart(element, shape)
	}
	for i, element := range after {
		old := slices.Index(known, string(element))
		if old < 0 && sameLength {
			old = i
		}
		if old < 0 {
			continue
		}
		merged, err := overlay(before[old], element, shape)
		if err != nil {
			return nil, err
		}
		after[i] = merged
	}
	return marshalRaw(after)
}

// knownPart returns an element as this build would write it.
func knownPart(element json.RawMessage, shape reflect.Type) string {
	typed := reflect.New(shape)
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
