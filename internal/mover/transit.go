package mover

import (
	"strings"
	"time"

	"auburnglade.example/glade/internal/hostrecord"
)

// operationPrefix is the prefix of operations of moves that drain a host without a
// wave.
const operationPrefix = "move-"

// OutForMove reports whether the host is out for a move without a wave.
func OutForMove(r hostrecord.Record) bool {
	return r.Wave == "" && strings.HasPrefix(r.Operation, operationPrefix)
}

// MoveState is the observed state of a host in a move without a wave.
type MoveState struct {
	Record hostrecord.Record
	// PhaseAge is how long this process has seen the record unchanged.
	PhaseAge time.Duration
	// RecordConfirmed is whether every live member serves the record or has
	// exited.
	RecordConfirmed bool
	// DrainRequested is whether the platform has accepted the drain of the host.
	DrainRequested bool
	Reachable      bool
	InFlight       int
	HealthyFor     time.Duration
	// TargetExists is whether the destination pool still exists.
	TargetExists bool
}

// Verb is the next step of a move.
type Verb string

// Steps of a move.
const (
	Wait            Verb = "wait"
	DrainHost       Verb = "drain-host"
	ChangePool      Verb = "change-pool"
	ReturnToService Verb = "return"
	AbortMove       Verb = "give-back"
	MarkFailed      Verb = "give-up"
)

// Timeouts of a move.
const (
	// DrainTimeout is how long a move waits for work in flight before it is
	// aborted.
	DrainTimeout = 10 * time.Minute
	// MinHealthyTime is how long a moved host must be healthy before it serves.
	MinHealthyTime = 5 * time.Second
	// UnreachableTimeout is how long a host in a move may be unreachable before
	// it is marked failed.
	UnreachableTimeout = 15 * time.Minute
)

// Next returns the next step of a move and its reason. It is a pure function.
func Next(t MoveState) (Verb, string) {
	switch t.Record.Phase {
	case hostrecord.Draining:
		return nextDraining(t)
	case hostrecord.Verifying:
		switch {
		case t.Reachable && t.HealthyFor >= MinHealthyTime:
			return ReturnToService, "host stayed healthy"
		case t.PhaseAge > UnreachableTimeout:
			return MarkFailed, "host did not become healthy in its new pool"
		}
	}
	return Wait, "host is " + string(t.Record.Phase)
}

func nextDraining(t MoveState) (Verb, string) {
	switch {
	case !t.Reachable && t.PhaseAge > UnreachableTimeout:
		return MarkFailed, "host can't be reached"
	case !t.Reachable:
		return Wait, "host can't be reached"
	case !t.TargetExists:
		return AbortMove, "the pool it was to move to is gone"
	case !t.RecordConfirmed:
		return Wait, "not every member has stopped sending it new work"
	case !t.DrainRequested:
		return DrainHost, "no member sends it new work"
	case t.InFlight == 0:
		return ChangePool, "nothing in flight"
	case t.PhaseAge > DrainTimeout:
		return AbortMove, "work in flight did not end in time"
	}
	return Wait, "work is in flight"
}
