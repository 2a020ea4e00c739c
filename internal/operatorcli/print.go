package operatorcli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"sort"
	"strings"
	"text/tabwriter"

	"auburnglade.example/glade/internal/operatorapi"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/wave"
)

func (e *Env) json(value any) error {
	encoder := json.NewEncoder(e.Out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func (e *Env) table(header string, rows [][]string) error {
	w := tabwriter.NewWriter(e.Out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, header)
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

func (e *Env) printAccepted(accepted operatorapi.Accepted, changed bool) error {
	if e.JSON {
		return e.json(accepted)
	}
	what := "unchanged"
	if changed {
		what = "accepted"
	}
	if accepted.DryRun {
		what = "would be accepted"
	}
	fmt.Fprintf(e.Out, "%s %s at revision %d\n", accepted.Record, what, accepted.Revision)
	return nil
}

func (e *Env) printRecord(r operatorapi.Record) error {
	if e.JSON {
		return e.json(r)
	}
	fmt.Fprintf(e.Out, "%s at revision %d\n%s\n", r.ID, r.Revision, indent(r.Stored))
	if r.Rejected != nil {
		fmt.Fprintf(e.Out, "NOT IN FORCE: %s (revision %d is)\n", r.Rejected.Reason, r.Rejected.InForce)
	}
	return nil
}

func (e *Env) printList(list operatorapi.RecordList) error {
	if e.JSON {
		return e.json(list)
	}
	var rows [][]string
	for _, r := range list.Records {
		state := "in force"
		if r.Rejected != nil {
			state = "rejected: " + r.Rejected.Reason
		}
		rows = append(rows, []string{string(r.ID.Kind), r.ID.Name, fmt.Sprint(r.Revision), state})
	}
	return e.table("KIND\tNAME\tREVISION\tSTATE", rows)
}

func (e *Env) printFleet(summary operatorapi.FleetSummary) error {
	if e.JSON {
		return e.json(summary)
	}
	fmt.Fprintf(e.Out, "configuration revision %d, %d members, waves: %s\n\n",
		summary.Revision, len(summary.Members), strings.Join(summary.Waves, ", "))
	var rows [][]string
	for name, phases := range summary.Pools {
		rows = append(rows, []string{name, phaseCounts(phases)})
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i][0] < rows[j][0] })
	if err := e.table("POOL\tHOSTS", rows); err != nil {
		return err
	}
	for id, rejection := range summary.Rejected {
		fmt.Fprintf(e.Out, "rejected: %s: %s\n", id, rejection.Reason)
	}
	return nil
}

func phaseCounts(phases map[string]int) string {
	var parts []string
	for phase, count := range phases {
		parts = append(parts, fmt.Sprintf("%d %s", count, phase))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}

func (e *Env) printWave(status wave.Status) error {
	if e.JSON {
		return e.json(status)
	}
	fmt.Fprintf(e.Out, "wave %s %s: %d of %d hosts maintained, %d failed\n",
		status.Wave, status.Phase, status.Maintained, status.Hosts, len(status.Failed))
	for host, reason := range status.Failed {
		fmt.Fprintf(e.Out, "  %s: %s\n", host, reason)
	}
	return nil
}

func (e *Env) printExplanation(explanation operatorapi.Explanation) error {
	if e.JSON {
		return e.json(explanation)
	}
	fmt.Fprintln(e.Out, explanation.Subject)
	for _, reason := range explanation.Reasons {
		fmt.Fprintln(e.Out, "  "+reason)
	}
	return nil
}

func (e *Env) printDiff(envelope record.Envelope, stored json.RawMessage) {
	fmt.Fprintf(e.Out, "--- %s in force\n+++ %s in file\n", envelope.ID(), envelope.ID())
	var before record.Envelope
	if len(stored) > 0 {
		// What isn't a record shows as a whole new one.
		before, _ = record.ParseEnvelope(stored)
	}
	printLines(e, "-", "+", comparable(before), comparable(envelope))
}

func printLines(e *Env, minus, plus string, before, after []string) {
	for _, line := range before {
		if !contains(after, line) {
			fmt.Fprintln(e.Out, minus+line)
		}
	}
	for _, line := range after {
		if !contains(before, line) {
			fmt.Fprintln(e.Out, plus+line)
		}
	}
}

// comparable flattens a record to sorted "path = value" lines.
func comparable(envelope record.Envelope) []string {
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

func contains(lines []string, wanted string) bool {
	for _, line := range lines {
		if line == wanted {
			return true
		}
	}
	return false
}

// sameRecord compares schema and spec by value, not by spelling.
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

func indent(raw json.RawMessage) string {
	var out bytes.Buffer
	if json.Indent(&out, raw, "", "  ") != nil {
		return string(raw)
	}
	return out.String()
}
