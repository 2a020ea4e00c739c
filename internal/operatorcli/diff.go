package operatorcli

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"sort"

	"auburnglade.example/glade/internal/record"
)

func (e *Env) printDiff(envelope record.Envelope, stored json.RawMessage) {
	fmt.Fprintf(e.Out, "--- %s in force\n+++ %s in file\n", envelope.ID(), envelope.ID())
	var before record.Envelope
	if len(stored) > 0 {
		// A stored version that can't be parsed is shown as absent.
		before, _ = record.ParseEnvelope(stored)
	}
	for _, line := range diffLines(before, envelope) {
		fmt.Fprintln(e.Out, line)
	}
}

// diffLines returns the fields that differ: the old value prefixed with "-",
// the new one with "+".
func diffLines(before, after record.Envelope) []string {
	oldLines, newLines := flattenRecord(before), flattenRecord(after)
	var lines []string
	for _, line := range oldLines {
		if !slices.Contains(newLines, line) {
			lines = append(lines, "-"+line)
		}
	}
	for _, line := range newLines {
		if !slices.Contains(oldLines, line) {
			lines = append(lines, "+"+line)
		}
	}
	return lines
}

// flattenRecord returns a record as sorted "path = value" lines.
func flattenRecord(envelope record.Envelope) []string {
	if envelope.Kind == "" {
		return nil
	}
	lines := []string{fmt.Sprintf("schema = %d", envelope.Schema)}
	var spec any
	if json.Unmarshal(envelope.Spec, &spec) == nil {
		flatten("spec", spec, &lines)
	}
	sort.Strings(lines)
	return lines
}

func flatten(path string, value any, lines *[]string) {
	object, ok := value.(map[string]any)
	if !ok {
		text, err := json.Marshal(value)
		if err == nil {
			*lines = append(*lines, path+" = "+string(text))
		}
		return
	}
	for name, child := range object {
		flatten(path+"."+name, child, lines)
	}
}

// sameRecord reports whether schema and spec are equal by value, regardless of
// JSON formatting.
func sameRecord(stored json.RawMessage, envelope record.Envelope) bool {
	current, err := record.ParseEnvelope(stored)
	if err != nil || current.Schema != envelope.Schema {
		return false
	}
	var a, b any
	if json.Unmarshal(current.Spec, &a) != nil || json.Unmarshal(envelope.Spec, &b) != nil {
		return false
	}
	return reflect.DeepEqual(a, b)
}
