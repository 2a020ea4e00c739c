package operatorcli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"
	"text/tabwriter"

	"auburnglade.example/glade/internal/operatorapi"
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

func (e *Env) printAccepted(accepted operatorapi.ChangeResponse, changed bool) error {
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
		fmt.Fprintf(e.Out, "NOT IN FORCE: %s (revision %d is)\n", r.Rejected.Reason, r.Rejected.ActiveRevision)
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

func phaseCounts(phases map[string]int) string {
	var parts []string
	for phase, count := range phases {
		parts = append(parts, fmt.Sprintf("%d %s", count, phase))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}

func (e *Env) printChange(c change) error {
	if e.JSON {
		return e.json(c)
	}
	if c.Deleted {
		fmt.Fprintf(e.Out, "%s deleted, seen at revision %d\n", c.Record.ID, c.Record.Revision)
		return nil
	}
	return e.printRecord(c.Record)
}

func (e *Env) printWave(status wave.Status) error {
	if e.JSON {
		return e.json(status)
	}
	fmt.Fprintf(e.Out, "wave %s %s: %d of %d hosts maintained, %d failed\n",
		status.Wave, status.Phase, status.Maintained, status.Hosts, len(status.Failed))
	if status.Reason != "" {
		fmt.Fprintln(e.Out, "  "+status.Reason)
	}
	for _, host := range slices.Sorted(maps.Keys(status.Failed)) {
		fmt.Fprintf(e.Out, "  %s: %s\n", host, status.Failed[host])
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

func indent(raw json.RawMessage) string {
	var out bytes.Buffer
	if json.Indent(&out, raw, "", "  ") != nil {
		return string(raw)
	}
	return out.String()
}
