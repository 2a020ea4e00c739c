package operatorcli

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"auburnglade.example/glade/internal/operatorapi"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/store"
)

const stdinName = "-"

// ApplyCmd applies the records of files.
type ApplyCmd struct {
	Files      []string      `arg:"" help:"Files of JSON records, one after another; - is standard input."`
	Wait       bool          `help:"Return only when every live member serves the change."`
	Timeout    time.Duration `help:"How long to wait." default:"60s"`
	DryRun     bool          `help:"Check only."`
	IfRevision int64         `help:"Replace this revision only; takes a file with one record."`
}

// Run implements the command.
func (c *ApplyCmd) Run(env *Env) error {
	envelopes, err := readFiles(c.Files)
	if err != nil {
		return err
	}
	if c.IfRevision != 0 && len(envelopes) != 1 {
		return &FileError{File: c.Files[0], Index: len(envelopes), Cause: &RecordCountError{Records: len(envelopes)}}
	}
	var last store.Revision
	for _, envelope := range envelopes {
		accepted, changed, err := applyOne(env, envelope, store.Revision(c.IfRevision), c.DryRun)
		if err != nil {
			return err
		}
		last = max(last, accepted.Revision)
		if err := env.printAccepted(accepted, changed); err != nil {
			return err
		}
	}
	if !c.Wait || last == 0 || c.DryRun {
		return nil
	}
	return waitRevision(env, last, c.Timeout)
}

// RecordCountError reports that --if-revision was given for several records.
type RecordCountError struct{ Records int }

func (e *RecordCountError) Error() string {
	return fmt.Sprintf("--if-revision takes a file with one record, got %d", e.Records)
}

// applyOne reads the record first and replaces only the revision it read, or
// the one that the operator specified. It writes nothing if the record already
// has the wanted content.
func applyOne(env *Env, envelope record.Envelope, named store.Revision, dryRun bool) (operatorapi.ChangeResponse, bool, error) {
	current, err := env.Client.Get(env.Context, envelope.ID())
	if err != nil && !isNotFound(err) {
		return operatorapi.ChangeResponse{}, false, err
	}
	if err == nil && sameRecord(current.Stored, envelope) {
		return operatorapi.ChangeResponse{Record: envelope.ID(), Revision: current.Revision}, false, nil
	}
	expect, base := current.Revision, current.Stored
	if named != 0 && named != current.Revision {
		expect, base = named, nil
	}
	accepted, err := env.Client.Put(env.Context, envelope, expect, dryRun)
	return accepted, true, asConcurrentChange(err, envelope.ID(), base)
}

// GetCmd shows one record.
type GetCmd struct {
	Kind string `arg:"" help:"Kind, such as Pool."`
	Name string `arg:"" help:"Name."`
}

// Run implements the command.
func (c *GetCmd) Run(env *Env) error {
	got, err := env.Client.Get(env.Context, record.ID{Kind: record.Kind(c.Kind), Name: c.Name})
	if err != nil {
		return err
	}
	return env.printRecord(got)
}

// ListCmd lists records.
type ListCmd struct {
	Kind string `arg:"" optional:"" help:"Kind; every kind when left out."`
}

// Run implements the command.
func (c *ListCmd) Run(env *Env) error {
	list, err := env.Client.List(env.Context, record.Kind(c.Kind))
	if err != nil {
		return err
	}
	return env.printList(list)
}

// DiffCmd shows what applying files would change.
type DiffCmd struct {
	Files []string `arg:"" help:"Files of JSON records; - is standard input."`
}

// Run implements the command.
func (c *DiffCmd) Run(env *Env) error {
	envelopes, err := readFiles(c.Files)
	if err != nil {
		return err
	}
	differ := 0
	for _, envelope := range envelopes {
		current, err := env.Client.Get(env.Context, envelope.ID())
		if err != nil && !isNotFound(err) {
			return err
		}
		if err == nil && sameRecord(current.Stored, envelope) {
			continue
		}
		differ++
		env.printDiff(envelope, current.Stored)
	}
	if differ > 0 {
		return &DiffersError{Count: differ}
	}
	return nil
}

// DeleteCmd deletes a record.
type DeleteCmd struct {
	Kind string `arg:"" help:"Kind."`
	Name string `arg:"" help:"Name."`
	// BreakGlass needs the break-glass role.
	BreakGlass bool `help:"Delete it even while other records name it. Recorded as such."`
}

// Run implements the command.
func (c *DeleteCmd) Run(env *Env) error {
	id := record.ID{Kind: record.Kind(c.Kind), Name: c.Name}
	current, err := env.Client.Get(env.Context, id)
	if err != nil {
		return err
	}
	accepted, err := env.Client.Delete(env.Context, id, current.Revision, c.BreakGlass)
	if err != nil {
		return asConcurrentChange(err, id, current.Stored)
	}
	return env.printAccepted(accepted, true)
}

// StatusCmd shows the fleet, or one record's status.
type StatusCmd struct {
	Kind string `arg:"" optional:"" help:"Kind; the whole fleet when left out."`
	Name string `arg:"" optional:"" help:"Name."`
}

// Run implements the command.
func (c *StatusCmd) Run(env *Env) error {
	if c.Kind == "" {
		summary, err := env.Client.Fleet(env.Context)
		if err != nil {
			return err
		}
		return env.printFleet(summary)
	}
	var status json.RawMessage
	id := record.ID{Kind: record.Kind(c.Kind), Name: c.Name}
	if err := env.Client.Status(env.Context, id, &status); err != nil {
		return err
	}
	fmt.Fprintln(env.Out, indent(status))
	return nil
}

// ExplainCmd shows the reasons for the state of a host or a record.
type ExplainCmd struct {
	Kind string `arg:"" help:"Kind, or Host."`
	Name string `arg:"" help:"Name."`
}

// Run implements the command.
func (c *ExplainCmd) Run(env *Env) error {
	explanation, err := env.Client.Explain(env.Context, record.ID{Kind: record.Kind(c.Kind), Name: c.Name})
	if err != nil {
		return err
	}
	return env.printExplanation(explanation)
}

func readFiles(files []string) ([]record.Envelope, error) {
	var envelopes []record.Envelope
	for _, file := range files {
		read, err := readFile(file)
		if err != nil {
			return nil, err
		}
		envelopes = append(envelopes, read...)
	}
	return envelopes, nil
}

func readFile(file string) ([]record.Envelope, error) {
	in := os.Stdin
	if file != stdinName {
		opened, err := os.Open(file)
		if err != nil {
			return nil, &FileError{File: file, Cause: err}
		}
		defer opened.Close()
		in = opened
	}
	var envelopes []record.Envelope
	decoder := json.NewDecoder(in)
	for decoder.More() {
		var raw json.RawMessage
		err := decoder.Decode(&raw)
		var envelope record.Envelope
		if err == nil {
			envelope, err = record.ParseEnvelope(raw)
		}
		if err != nil {
			return nil, &FileError{File: file, Index: len(envelopes) + 1, Cause: err}
		}
		envelopes = append(envelopes, envelope)
	}
	return envelopes, nil
}

func isNotFound(err error) bool {
	var response *operatorapi.ErrorResponse
	return errors.As(err, &response) && response.Code == operatorapi.CodeNotFound
}
