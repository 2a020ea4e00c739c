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

// maxAmendAttempts limits the attempts of one amendment that conflicts with
// other operators' changes.
const maxAmendAttempts = 5

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

// Run implements the command. For a wave that stopped because of failures it
// raises the resume generation, so that the wave continues despite them. A wave
// that was only paused keeps counting its failures.
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

// amendWave changes a wave's record and preserves everything else in it,
// including fields that this build doesn't support. After a conflict it applies
// the change to the other operator's version and retries.
func amendWave(env *Env, name string, change func(*record.Wave)) error {
	id := record.ID{Kind: record.KindWave, Name: name}
	var err error
	for range maxAmendAttempts {
		var accepted operatorapi.ChangeResponse
		var changed bool
		accepted, changed, err = amendOnce(env, id, change, env.putWithoutBreakGlass)
		if err == nil {
			return env.printAccepted(accepted, changed)
		}
		if !isConflict(err) {
			return err
		}
	}
	return err
}

// putFunc writes a record at the expected revision.
type putFunc func(ctx context.Context, envelope record.Envelope, expect store.Revision) (operatorapi.ChangeResponse, error)

func (e *Env) putWithoutBreakGlass(ctx context.Context, envelope record.Envelope, expect store.Revision) (operatorapi.ChangeResponse, error) {
	return e.Client.Put(ctx, envelope, expect, false)
}

func amendOnce(env *Env, id record.ID, change func(*record.Wave), write putFunc) (operatorapi.ChangeResponse, bool, error) {
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
	return accepted, true, asConcurrentChange(err, id, current.Stored)
}

// amended returns the stored record with the change applied.
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
	var response *operatorapi.ErrorResponse
	return errors.As(err, &response) && response.Code == operatorapi.CodeConflict
}

// DrainCmd creates a maintenance wave for one host.
type DrainCmd struct {
	Host    string        `arg:"" help:"Host."`
	Name    string        `help:"Name of the wave; drain-HOST-TIME when left out."`
	Wait    bool          `help:"Return only when the host is back or has failed."`
	Timeout time.Duration `help:"How long to wait." default:"30m"`
}

// NoPoolError reports that a host belongs to no pool. Without a pool no work
// can be kept away from the host, so it can't be drained.
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
