package mover

import (
	"strings"
	"time"

	"auburnglade.example/glade/internal/hostrecord"
)

// operationPrefix marks the operations of moves that drain a host themselves.
const operationPrefix = "move-"

// OutForMove reports whether the host is out for a move alone, without a wave.
func OutForMove(r hostrecord.Record) bool {
	return r.Wave == "" && strings.HasPrefix(r.Operation, operationPrefix)
}

// MoveState is a host in a move of its own, as seen now.
type MoveState struct {
	Record hostrecord.Record
	// PhaseAge is how long the record has been as it is, as seen by this process.
	PhaseAge time.Duration
	// RecordConfirmed says that every live member serves the record or has gone.
	RecordConfirmed bool
	// DrainRequested says that the platform was told to drain the host.
	DrainRequested bool
	Reachable      bool
	InFlight       int
	HealthyFor     time.Duration
	// TargetExists says that the pool the host moves to still exists.
	TargetExists bool
}

// Verb is what the mover does next with a host in a move.
type Verb string

// The verbs of a move.
const (
	Wait            Verb = "wait"
	DrainHost       Verb = "drain-host"
	ChangePool      Verb = "change-pool"
	ReturnToService Verb = "return"
	AbortMove       Verb = "give-back"
	MarkFailed      Verb = "give-up"
)

// Deadlines of a move.
const (
	// DrainTimeout is how long work in flight may keep a host from moving.
	DrainTimeout = 10 * time.Minute
	// MinHealthyTime is how long a moved host must be healthy before it serves.
	MinHealthyTime = 5 * time.Second
	// UnreachableTimeout is how long a host in a move may be unreachable.
	UnreachableTimeout = 15 * time.Minute
)

// Next returns what to do with a host in a move, and why. It is pure.
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
