package work

import "time"

// Bounds are the platform's figures that our timing rests on.
type Bounds struct {
	// Drain is how long a leaving worker still takes new work.
	Drain time.Duration
	// Grace is how long a process has between SIGTERM and its end.
	Grace time.Duration
	// MaxLease is the longest hold a worker grants.
	MaxLease time.Duration
	// StopGrace is how long a stop may take.
	StopGrace time.Duration
	// GangTimeout is how long a gang's member waits for the others.
	GangTimeout time.Duration
	// StatusRetention is how long an ended job's state must be known.
	StatusRetention time.Duration
	// RemoteFactor is how many times longer a task takes away from its data.
	RemoteFactor float64
	// Notice is how long a task counts as away after it was.
	Notice time.Duration
	// Migrate and Maintenance are how long a move and an upkeep take.
	Migrate, Maintenance time.Duration
	// LeaseTurn is the time within which two holders may not take turns.
	LeaseTurn time.Duration
	// Impact is how long a serving task may be over its target.
	Impact time.Duration
	// Heartbeat is the pause between two reports of a worker.
	Heartbeat time.Duration
}
