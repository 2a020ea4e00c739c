package mover

import (
	"strings"
	"time"

	"auburnglade.example/glade/internal/hostrecord"
)

// operationPrefix marks the operations of moves that drain a host themselves.
const operationPrefix = "move-"

// InOwnDrain reports whether the host is out for a move alone, without a wave.
func InOwnDrain(r hostrecord.Record) bool {
	return r.Wave == "" && strings.HasPrefix(r.Operation, operationPrefix)
}

// Transit is a host in a move of its own, as seen now.
type Transit struct {
	Record hostrecord.Record
	// Age is how long the record has been as it is, as seen by this process.
	Age time.Duration
	// Confirmed says that every live member serves the record or has gone.
	Confirmed bool
	// Drained says that the platform was told to drain the host.
	Drained    bool
	Reachable  bool
	InFlight   int
	HealthyFor time.Duration
	// Target says that the pool the host moves to still exists.
	Target bool
}

// Verb is what the mover does next with a host in a move.
type Verb string

// The verbs of a move.
const (
	Wait      Verb = "wait"
	DrainHost Verb = "drain-host"
	ChangeTo  Verb = "change-pool"
	Return    Verb = "return"
	GiveBack  Verb = "give-back"
	GiveUp    Verb = "give-up"
)

// Deadlines of a move.
const (
	// DrainLimit is how long work in flight may keep a host from moving.
	DrainLimit = 10 * time.Minute
	// Proof is how long a moved host must be healthy before it serves.
	Proof = 5 * time.Second
	// LostAfter is how long a host in a move may be unreachable.
	LostAfter = 15 * time.Minute
)

// Next returns what to do with a host in a move, and why. It is pure.
func Next(t Transit) (Verb, string) {
	switch t.Record.Phase {
	case hostrecord.Draining:
		return nextDraining(t)
	case hostrecord.Proving:
		switch {
		case t.Reachable && t.HealthyFor >= Proof:
			return Return, "host stayed healthy"
		case t.Age > LostAfter:
			return GiveUp, "host did not become healthy in its new pool"
		}
	}
	return Wait, "host is " + string(t.Record.Phase)
}

func nextDraining(t Transit) (Verb, string) {
	switch {
	case !t.Reachable && t.Age > LostAfter:
		return GiveUp, "host can't be reached"
	case !t.Reachable:
		return Wait, "host can't be reached"
	case !t.Target:
		return GiveBack, "the pool it was to move to is gone"
	case !t.Confirmed:
		return Wait, "not every member has stopped sending it new work"
	case !t.Drained:
		return DrainHost, "no member sends it new work"
	case t.InFlight == 0:
		return ChangeTo, "nothing in flight"
	case t.Age > DrainLimit:
		return GiveBack, "work in flight did not end in time"
	}
	return Wait, "work is in flight"
}
