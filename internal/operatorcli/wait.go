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
	// minHaltDuration is how long a halt must last if the wave was halted at
	// the first poll. A controller takes about a second to publish that a wave
	// continues, so a wait right after a resume would otherwise return on the
	// status from before it.
	minHaltDuration = 3 * time.Second
)

// WaitCmd waits for a wave to end or for a revision to be served by every live
// member.
type WaitCmd struct {
	Wave     string        `help:"Wait until this wave has ended, or goes no further." xor:"what" required:""`
	Revision int64         `help:"Wait until every live member serves this revision." xor:"what" required:""`
	Timeout  time.Duration `help:"How long to wait." default:"30m"`
}

// Run implements the command.
func (c *WaitCmd) Run(env *Env) error {
	if c.Wave == "" {
		return waitRevision(env, store.Revision(c.Revision), c.Timeout)
	}
	return waitWave(env, c.Wave, c.Timeout)
}

func waitRevision(env *Env, revision store.Revision, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	var lagging []string
	lastLine := ""
	for time.Now().Before(deadline) && env.Context.Err() == nil {
		response, err := env.Client.RevisionStatus(env.Context, revision)
		if err == nil && response.ServedByAll {
			return nil
		}
		line := "no controller answers: " + fmt.Sprint(err)
		if err == nil {
			lagging = response.Lagging
			line = "behind: " + strings.Join(lagging, ", ")
		}
		if line != lastLine {
			env.progress("revision %d is not in force everywhere yet, %s", revision, line)
			lastLine = line
		}
		pause.For(env.Context, pollInterval)
	}
	return &TimeoutError{Condition: fmt.Sprintf("revision %d in force everywhere", revision), After: timeout, Lagging: lagging}
}

func waitWave(env *Env, name string, timeout time.Duration) error {
	id := record.ID{Kind: record.KindWave, Name: name}
	start := time.Now()
	deadline := start.Add(timeout)
	lastLine, seenMoving := "", false
	for time.Now().Before(deadline) && env.Context.Err() == nil {
		var status wave.Status
		err := env.Client.Status(env.Context, id, &status)
		switch {
		case isNotFound(err):
			// The record has been deleted, or the wave has no status yet.
			if _, err := env.Client.Get(env.Context, id); isNotFound(err) {
				return err
			}
		case err != nil:
			// Keep waiting during an outage; the deadline ends the wait.
			env.progress("no status: %v", err)
		case status.Done():
			return env.printWave(status)
		case !isHalted(status):
			seenMoving = true
		case seenMoving || time.Since(start) >= minHaltDuration:
			return errors.CombineErrors(&HaltedError{Wave: name, Phase: status.Phase, Reason: status.Reason}, env.printWave(status))
		}
		if line := progressLine(status); err == nil && line != lastLine {
			env.progress("wave %s %s", name, line)
			lastLine = line
		}
		pause.For(env.Context, pollInterval)
	}
	return &TimeoutError{Condition: "end of wave " + name, After: timeout}
}

// isHalted reports whether a wave makes no further progress without an
// operator.
func isHalted(status wave.Status) bool {
	return status.Phase == wave.Stopped || status.Phase == wave.Blocked
}

// progressLine returns a wave's progress and its estimated remaining time.
func progressLine(status wave.Status) string {
	line := fmt.Sprintf("%s: %d of %d hosts maintained, %d out, %d failed",
		status.Phase, status.Maintained, status.Hosts, len(status.HostsOut), len(status.Failed))
	if status.RemainingSeconds > 0 {
		line += fmt.Sprintf(", about %s left", time.Duration(status.RemainingSeconds)*time.Second)
	}
	if status.Reason != "" && status.Phase != wave.Running {
		line += ", " + status.Reason
	}
	return line
}
