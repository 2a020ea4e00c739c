package work

import "time"

// Bounds are the platform's time limits and run time factor.
type Bounds struct {
	// Drain is how long a draining host still accepts new work.
	Drain time.Duration
	// Grace is the time from SIGTERM until a process must have exited.
	Grace time.Duration
	// MaxLease is the longest lease that a host grants on its runs.
	MaxLease time.Duration
	// StopGrace is how long stopping a run may take.
	StopGrace time.Duration
	// GangTimeout is how long a run of a gang waits for the other members to start.
	GangTimeout time.Duration
	// StatusRetention is how long an ended job's state must stay available.
	StatusRetention time.Duration
	// RemoteFactor is the factor by which a task takes longer outside the rack of
	// its data.
	RemoteFactor float64
	// Notice is how long a task still counts as unavailable after it has become
	// available again.
	Notice time.Duration
	// Migrate and Maintenance are how long it takes to move a host between pools
	// and to maintain it.
	Migrate, Maintenance time.Duration
	// LeaseTurn is the time within which a pool must not change back and forth
	// between two holders.
	LeaseTurn time.Duration
	// Impact is how long a serving task may exceed its latency target.
	Impact time.Duration
	// ConfigApply is the time within which a configuration must be in force.
	ConfigApply time.Duration
	// Revocation is how long after a key's revocation its holder may still be let in.
	// With StrictRevocation that also binds an entry host that learns of nothing.
	Revocation       time.Duration
	StrictRevocation bool
	// Heartbeat is the interval between two heartbeats of a host.
	Heartbeat time.Duration
}
