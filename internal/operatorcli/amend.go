package operatorcli

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"auburnglade.example/glade/internal/operatorapi"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/wave"
)

// maxAmendTries bounds the tries of one amendment against other operators.
const maxAmendTries = 5

// PauseCmd pauses a wave.
type PauseCmd struct {
	Wave string `arg:"" help:"Wave."`
}

// Run implements the command.
func (c *PauseCmd) Run(env *Env) error {
	return amendWave(env, c.Wave, func(w *record.Wave) { w.Paused = true })
}

// ResumeCmd resumes a wave.
type ResumeCmd struct {
	Wave string `arg:"" help:"Wave."`
}

// Run implements the command. A wave that stopped for its failures is told to
// go on past them; one that was only paused keeps counting them.
func (c *ResumeCmd) Run(env *Env) error {
	var status wave.Status
	err := env.Client.Status(env.Context, record.ID{Kind: record.KindWave, Name: c.Wave}, &status)
	if err != nil && !isNotFound(err) {
		return err
	}
	generation := -1
	return amendWave(env, c.Wave, func(w *record.Wave) {
		w.Paused = false
		if generation < 0 {
			generation = w.ResumeGeneration + 1
		}
		if status.Phase == wave.Stopped {
			w.ResumeGeneration = generation
		}
	})
}

// CancelCmd cancels a wave.
type CancelCmd struct {
	Wave string `arg:"" help:"Wave."`
}

// Run implements the command.
func (c *CancelCmd) Run(env *Env) error {
	return amendWave(env, c.Wave, func(w *record.Wave) { w.Cancelled = true })
}

// amendWave changes a wave's record and nothing else in it: fields that this
// build doesn't know stay as they are. A change by another operator in between
// is no conflict, because the amendment is made anew on what they left.
func amendWave(env *Env, name string, change func(*record.Wave)) error {
	id := record.ID{Kind: record.KindWave, Name: name}
	var err error
	for range maxAmendTries {
		var accepted operatorapi.ChangeResponse
		var changed bool
		accepted, changed, err = amendOnce(env, id, change, env.putPlainly)
		if err == nil {
			return env.printAccepted(accepted, changed)
		}
		if !isConflict(err) {
			return err
		}
	}
	return err
}

// put writes a record at a revision.
type put func(ctx context.Context, envelope record.Envelope, expect store.Revision) (operatorapi.ChangeResponse, error)

func (e *Env) putPlainly(ctx context.Context, envelope record.Envelope, expect store.Revision) (operatorapi.ChangeResponse, error) {
	return e.Client.Put(ctx, envelope, expect, false)
}

func amendOnce(env *Env, id record.ID, change func(*record.Wave), write put) (operatorapi.ChangeResponse, bool, error) {
	current, err := env.Client.Get(env.Context, id)
	if err != nil {
		return operatorapi.ChangeResponse{}, false, err
	}
	envelope, err := amended(current.Stored, change)
	if err != nil {
		return operatorapi.ChangeResponse{}, false, err
	}
	if sameRecord(current.Stored, envelope) {
		return operatorapi.ChangeResponse{Record: id, Revision: current.Revision}, false, nil
	}
	accepted, err := write(env.Context, envelope, current.Revision)
	return accepted, true, asChanged(err, id, current.Stored)
}

// amended returns the stored record with the change made.
func amended(stored json.RawMessage, change func(*record.Wave)) (record.Envelope, error) {
	envelope, err := record.ParseEnvelope(stored)
	if err != nil {
		return envelope, err
	}
	spec, err := record.Decode(envelope)
	if err != nil {
		return envelope, err
	}
	amendedWave := spec.(*record.Wave)
	change(amendedWave)
	envelope.Spec, err = record.Patch(envelope.Spec, amendedWave)
	return envelope, err
}

func isConflict(err error) bool {
	var answer *operatorapi.ErrorResponse
	return errors.As(err, &answer) && answer.Code == operatorapi.CodeConflict
}

// DrainCmd maintains one host.
type DrainCmd struct {
	Host    string        `arg:"" help:"Host."`
	Name    string        `help:"Name of the wave; drain-HOST-TIME when left out."`
	Wait    bool          `help:"Return only when the host is back or has failed."`
	Timeout time.Duration `help:"How long to wait." default:"30m"`
}

// NoPoolError says that a host belongs to no pool, so that nothing keeps work
// from it and there is nothing to drain.
type NoPoolError struct{ Host string }

func (e *NoPoolError) Error() string { return fmt.Sprintf("host %s belongs to no pool", e.Host) }

// Run implements the command.
func (c *DrainCmd) Run(env *Env) error {
	explanation, err := env.Client.Explain(env.Context, record.ID{Kind: operatorapi.KindHost, Name: c.Host})
	if err != nil {
		return err
	}
	if explanation.Pool == "" {
		return &NoPoolError{Host: c.Host}
	}
	name := c.Name
	if name == "" {
		name = fmt.Sprintf("drain-%s-%s", c.Host, time.Now().UTC().Format("0102-150405"))
	}
	envelope := record.NewEnvelope(name, &record.Wave{Pools: []string{explanation.Pool}, Hosts: []string{c.Host}, MaxParallel: 1})
	accepted, err := env.Client.Put(env.Context, envelope, 0, false)
	if err != nil {
		return err
	}
	if err := env.printAccepted(accepted, true); err != nil || !c.Wait {
		return err
	}
	return waitWave(env, name, c.Timeout)
}
