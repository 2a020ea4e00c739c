package operatorcli

import (
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/wave"
)

const (
	pollInterval = 200 * time.Millisecond
	// staleFor is how long a halt that stands at the first look must stand: a
	// controller needs about a second to say that a wave goes on, and a wait
	// right after a resume would otherwise end on the status from before it.
	staleFor = 3 * time.Second
)

// WaitCmd waits for a wave's end or for a revision to be in force.
type WaitCmd struct {
	Wave     string        `help:"Wait until this wave has ended, or goes no further." xor:"what" required:""`
	Revision int64         `help:"Wait until every live member serves this revision." xor:"what" required:""`
	Timeout  time.Duration `help:"How long to wait." default:"30m"`
}

// Run implements the command.
func (c *WaitCmd) Run(env *Env) error {
	if c.Wave == "" {
		return waitInForce(env, store.Revision(c.Revision), c.Timeout)
	}
	return waitWave(env, c.Wave, c.Timeout)
}

func waitInForce(env *Env, revision store.Revision, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	var lagging []string
	said := ""
	for time.Now().Before(deadline) && env.Context.Err() == nil {
		answer, err := env.Client.RevisionStatus(env.Context, revision)
		if err == nil && answer.ServedByAll {
			return nil
		}
		line := "no controller answers: " + fmt.Sprint(err)
		if err == nil {
			lagging = answer.Lagging
			line = "behind: " + strings.Join(lagging, ", ")
		}
		if line != said {
			env.progress("revision %d is not in force everywhere yet, %s", revision, line)
			said = line
		}
		pause.For(env.Context, pollInterval)
	}
	return &TimeoutError{Condition: fmt.Sprintf("revision %d in force everywhere", revision), After: timeout, Lagging: lagging}
}

func waitWave(env *Env, name string, timeout time.Duration) error {
	id := record.ID{Kind: record.KindWave, Name: name}
	began := time.Now()
	deadline := began.Add(timeout)
	said, fresh := "", false
	for time.Now().Before(deadline) && env.Context.Err() == nil {
		var status wave.Status
		err := env.Client.Status(env.Context, id, &status)
		switch {
		case isNotFound(err):
			// The record may be gone, or not planned yet.
			if _, err := env.Client.Get(env.Context, id); isNotFound(err) {
				return err
			}
		case err != nil:
			// Waiting goes on through an outage; the deadline ends it.
			env.progress("no status: %v", err)
		case status.Done():
			return env.printWave(status)
		case !halted(status):
			fresh = true
		case fresh || time.Since(began) >= staleFor:
			return errors.CombineErrors(&HaltedError{Wave: name, Phase: status.Phase, Reason: status.Reason}, env.printWave(status))
		}
		if line := progressLine(status); err == nil && line != said {
			env.progress("wave %s %s", name, line)
			said = line
		}
		pause.For(env.Context, pollInterval)
	}
	return &TimeoutError{Condition: "end of wave " + name, After: timeout}
}

// halted reports whether a wave goes no further until someone changes something.
func halted(status wave.Status) bool {
	return status.Phase == wave.Stopped || status.Phase == wave.Blocked
}

// progressLine is a wave's progress with its estimated end.
func progressLine(status wave.Status) string {
	line := fmt.Sprintf("%s: %d of %d hosts maintained, %d out, %d failed",
		status.Phase, status.Maintained, status.Hosts, len(status.Out), len(status.Failed))
	if status.RemainingSeconds > 0 {
		line += fmt.Sprintf(", about %s left", time.Duration(status.RemainingSeconds)*time.Second)
	}
	if status.Reason != "" && status.Phase != wave.Running {
		line += ", " + status.Reason
	}
	return line
}
