// Package configspread measures how fast and at what cost an accepted configuration
// change reaches every process. All members run in one process and communicate over
// loopback TCP; bytes are counted on the listeners, store calls by the in-memory
// store.
package configspread

import (
	"context"
	"slices"
	"time"
)

// Cmd is the subcommand that measures the propagation of configuration changes.
type Cmd struct {
	Members []int         `help:"Fleet sizes to measure." default:"7,9,50,100"`
	Changes int           `help:"Changes per size." default:"40"`
	Watch   time.Duration `help:"How long each state is observed." default:"10s"`
	Hosts   int           `help:"Host records in the configuration." default:"1000"`
	Pools   int           `help:"Pools in the configuration." default:"261"`
}

// Result is the result of the measurement.
type Result struct {
	Hosts int          `json:"hosts"`
	Pools int          `json:"pools"`
	Sizes []SizeResult `json:"sizes"`
}

// SizeResult is the result for one fleet size.
type SizeResult struct {
	Members int `json:"members"`
	Zones   int `json:"zones"`
	// InForce is the time from the acceptance of a change by the store until the last
	// member has it.
	InForce Times `json:"in_force"`
	// Idle is the cost without changes.
	Idle Cost `json:"idle"`
	// Changing is the cost at 2,400 changes per day, interpolated between Idle and
	// the cost measured at one change per second.
	Changing Cost `json:"at_2400_changes_a_day"`
	// BytesPerChange is the cost of one change to one member.
	BytesPerChange float64 `json:"bytes_per_change_per_member"`
	// Outage is the cost while the store is unavailable.
	Outage Cost `json:"store_away"`
	// StartWhileAwayMs is the time until a member that starts during the outage has
	// the configuration.
	StartWhileAwayMs float64 `json:"start_while_away_ms"`
	// MaxCallsAfterRecovery is the maximum number of store calls in any of the ten
	// seconds after the store is available again.
	MaxCallsAfterRecovery int64 `json:"most_calls_per_s_after_return"`
	// InForceAfterReturnMs is the propagation time of a change that is accepted ten
	// seconds after the store is available again.
	InForceAfterReturnMs float64 `json:"in_force_after_return_ms"`
	OpenWatches          int64   `json:"open_watches"`
	HeapMBPerMember      float64 `json:"heap_mb_per_member"`
}

// Times are quantiles in milliseconds.
type Times struct {
	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
}

// Cost is the cost per second.
type Cost struct {
	// BytesPerMember counts both directions of incoming and outgoing connections, as
	// both ends of a connection are members.
	BytesPerMember float64 `json:"bytes_per_s_per_member"`
	StoreCalls     float64 `json:"store_calls_per_s"`
	// LeaseCalls and WatchCalls are the two kinds of StoreCalls: the lease renewals,
	// one heartbeat per member, and the calls by which the relays watch the
	// configuration. Calls that the store refused are in StoreCalls only.
	LeaseCalls          float64 `json:"lease_calls_per_s"`
	WatchCalls          float64 `json:"follow_calls_per_s"`
	StoreCallsPerMember float64 `json:"store_calls_per_s_per_member"`
	// CPUPerMember is the CPU time of the whole process, including the in-memory
	// store, divided by the number of members, in percent of one core.
	CPUPerMember float64 `json:"cpu_percent_of_core_per_member"`
}

const (
	secondsPerDay      = 86_400
	changesPerDay      = 2_400
	smallFleet         = 9
	smallZones         = 3
	largeZones         = 5
	settleTime         = 6 * time.Second
	recoverySeconds    = 10
	propagationTimeout = 30 * time.Second
)

// Run implements the command.
func (c *Cmd) Run(result *any) error {
	r := Result{Hosts: c.Hosts, Pools: c.Pools}
	for _, members := range c.Members {
		size, err := c.measure(context.Background(), members)
		if err != nil {
			return err
		}
		r.Sizes = append(r.Sizes, size)
	}
	*result = r
	return nil
}

func (c *Cmd) measure(ctx context.Context, members int) (SizeResult, error) {
	r := SizeResult{Members: members, Zones: largeZones}
	if members <= smallFleet {
		r.Zones = smallZones
	}
	before := heapMB()
	f, err := newFleet(ctx, r.Zones, c.Hosts, c.Pools)
	if err != nil {
		return r, err
	}
	defer f.stop()
	for range members {
		if _, err := f.start(); err != nil {
			return r, err
		}
	}
	time.Sleep(settleTime)
	r.HeapMBPerMember = (heapMB() - before) / float64(members)
	r.Idle = f.observe(func() { time.Sleep(c.Watch) })
	r.OpenWatches = f.store.Counts().OpenWatches
	if err := c.measureChanges(ctx, f, &r); err != nil {
		return r, err
	}
	return r, c.measureOutage(ctx, f, &r)
}

func (c *Cmd) measureChanges(ctx context.Context, f *fleet, r *SizeResult) error {
	var times []float64
	for range c.Changes {
		took, err := f.applyChange(ctx)
		if err != nil {
			return err
		}
		times = append(times, took)
	}
	slices.Sort(times)
	r.InForce = Times{P50: quantile(times, 0.5), P99: quantile(times, 0.99), Max: times[len(times)-1]}
	var failed error
	changed := 0
	busy := f.observe(func() {
		for end := time.Now().Add(c.Watch); time.Now().Before(end) && failed == nil; changed++ {
			next := time.Now().Add(time.Second)
			_, failed = f.applyChange(ctx)
			time.Sleep(time.Until(next))
		}
	})
	perSecond := float64(changed) / c.Watch.Seconds()
	r.Changing = r.Idle.interpolate(busy, float64(changesPerDay)/secondsPerDay/perSecond)
	r.BytesPerChange = (busy.BytesPerMember - r.Idle.BytesPerMember) / perSecond
	return failed
}

// interpolate interpolates between idle and busy: share 0 gives idle, 1 gives busy.
func (idle Cost) interpolate(busy Cost, share float64) Cost {
	at := func(idle, busy float64) float64 { return idle + share*(busy-idle) }
	return Cost{
		BytesPerMember:      at(idle.BytesPerMember, busy.BytesPerMember),
		StoreCalls:          at(idle.StoreCalls, busy.StoreCalls),
		LeaseCalls:          at(idle.LeaseCalls, busy.LeaseCalls),
		WatchCalls:          at(idle.WatchCalls, busy.WatchCalls),
		StoreCallsPerMember: at(idle.StoreCallsPerMember, busy.StoreCallsPerMember),
		CPUPerMember:        at(idle.CPUPerMember, busy.CPUPerMember),
	}
}

func (c *Cmd) measureOutage(ctx context.Context, f *fleet, r *SizeResult) error {
	f.store.SetDown(true)
	// Leave out the first seconds, in which the processes detect the outage.
	time.Sleep(settleTime)
	r.Outage = f.observe(func() { time.Sleep(c.Watch) })
	wanted := f.members[0].feed.Snapshot().Revision
	began := time.Now()
	late, err := f.start()
	if err != nil {
		return err
	}
	if err := awaitRevision(ctx, late.feed, wanted); err != nil {
		return err
	}
	r.StartWhileAwayMs = milliseconds(time.Since(began))
	f.store.SetDown(false)
	for range recoverySeconds {
		calls := f.calls()
		time.Sleep(time.Second)
		r.MaxCallsAfterRecovery = max(r.MaxCallsAfterRecovery, f.calls()-calls)
	}
	r.InForceAfterReturnMs, err = f.applyChange(ctx)
	return err
}

func quantile(sorted []float64, q float64) float64 {
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
