package operatorcli

import (
	"fmt"
	"strings"
	"time"

	"auburnglade.example/glade/internal/audit"
	"auburnglade.example/glade/internal/operatorapi"
	"auburnglade.example/glade/internal/record"
)

// AuditCmd lists the audited changes.
type AuditCmd struct {
	Kind   string `arg:"" optional:"" help:"Only this kind."`
	Name   string `arg:"" optional:"" help:"Only this record."`
	Author string `help:"Only this operator."`
	Days   int    `help:"How many days, today included." default:"1"`
	Fields bool   `help:"Show the changed fields."`
}

// Run implements the command.
func (c *AuditCmd) Run(env *Env) error {
	var entries []audit.Entry
	today := time.Now().UTC()
	for back := c.Days - 1; back >= 0; back-- {
		id := record.ID{Kind: record.Kind(c.Kind), Name: c.Name}
		response, err := env.Client.Audit(env.Context, today.AddDate(0, 0, -back), id, c.Author)
		if err != nil {
			return err
		}
		entries = append(entries, response.Entries...)
		for _, corrupt := range response.CorruptPages {
			env.progress("%s", corrupt)
		}
	}
	if env.JSON {
		return env.json(entries)
	}
	return env.printAudit(entries, c.Fields)
}

func (e *Env) printAudit(entries []audit.Entry, fields bool) error {
	var rows [][]string
	for _, entry := range entries {
		verb := string(entry.Verb)
		if entry.BreakGlass {
			verb += " BREAKING GLASS"
		}
		row := []string{
			entry.At.Format("2006-01-02 15:04:05"), entry.Author, verb, entry.Record.String(),
			string(entry.Outcome), fmt.Sprint(entry.Revision),
		}
		rows = append(rows, row)
		if fields {
			for _, line := range changedFields(entry) {
				rows = append(rows, []string{"  " + line})
			}
		}
	}
	return e.table("TIME (UTC)\tOPERATOR\tDID\tRECORD\tOUTCOME\tREVISION", rows)
}

func changedFields(entry audit.Entry) []string {
	// A version that can't be parsed is shown as absent.
	before, _ := record.ParseEnvelope(entry.Before)
	after, _ := record.ParseEnvelope(entry.After)
	return diffLines(before, after)
}

// StopWavesCmd pauses every wave.
type StopWavesCmd struct{}

// Run implements the command. It requires the break-glass role, and the audit
// log records its use. If a wave can't be paused it continues with the others
// and returns the failed ones at the end.
func (c *StopWavesCmd) Run(env *Env) error {
	list, err := env.Client.List(env.Context, record.KindWave)
	if err != nil {
		return err
	}
	var left []string
	var last error
	for _, r := range list.Records {
		if err := stopWave(env, r.ID); err != nil {
			left, last = append(left, r.ID.Name), err
			env.progress("%s: %v", r.ID, err)
		}
	}
	if last != nil {
		return &WavesNotStoppedError{Waves: left, Cause: last}
	}
	return nil
}

// WavesNotStoppedError lists the waves that could not be stopped.
type WavesNotStoppedError struct {
	Waves []string
	Cause error
}

func (e *WavesNotStoppedError) Error() string {
	return fmt.Sprintf("not stopped: %s: %v", strings.Join(e.Waves, ", "), e.Cause)
}

func (e *WavesNotStoppedError) Unwrap() error { return e.Cause }

func stopWave(env *Env, id record.ID) error {
	var err error
	for range maxAmendAttempts {
		var accepted operatorapi.ChangeResponse
		var changed bool
		accepted, changed, err = amendOnce(env, id, func(w *record.Wave) { w.Paused = true }, env.Client.PutBreakGlass)
		if err == nil {
			return env.printAccepted(accepted, changed)
		}
		if !isConflict(err) {
			return err
		}
	}
	return err
}
