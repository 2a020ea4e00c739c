package operatorcli

import (
	"fmt"
	"strings"
	"time"

	"auburnglade.example/glade/internal/audit"
	"auburnglade.example/glade/internal/operatorapi"
	"auburnglade.example/glade/internal/record"
)

// AuditCmd shows who changed what.
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
		answer, err := env.Client.Audit(env.Context, today.AddDate(0, 0, -back), id, c.Author)
		if err != nil {
			return err
		}
		entries = append(entries, answer.Entries...)
		for _, damaged := range answer.CorruptPages {
			env.progress("%s", damaged)
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
	// What isn't a record shows as a whole new, or wholly gone, one.
	before, _ := record.ParseEnvelope(entry.Before)
	after, _ := record.ParseEnvelope(entry.After)
	return diffLines(before, after)
}

// StopWavesCmd pauses every wave.
type StopWavesCmd struct{}

// Run implements the command. It needs the break-glass role and is audited as
// such. It goes on when one wave can't be paused, and names those at the end.
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

// WavesNotStoppedError says which waves could not be stopped.
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
	for range maxAmendTries {
		var accepted operatorapi.ChangeResponse
		var changed bool
		accepted, changed, err = amendOnce(env, id, func(w *record.Wave) { w.Paused = true }, env.Client.PutBreakingGlass)
		if err == nil {
			return env.printAccepted(accepted, changed)
		}
		if !isConflict(err) {
			return err
		}
	}
	return err
}
