package configsync

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/peer/peerpb"
)

const (
	// storeBackoff and storeBackoffMax are the initial and maximum delay between
	// retries while store calls fail.
	storeBackoff    = 500 * time.Millisecond
	storeBackoffMax = 8 * time.Second
	// orphanAfter is how long a member waits without a source that watches the store
	// before it reads from the store itself.
	orphanAfter = 3 * time.Second
	// probesPerZone is the average number of members of a zone that read from the
	// store per tick if none of them gets updates from it.
	probesPerZone = 1
	// recheckInterval is the minimum time between two listings caused by a divergence.
	recheckInterval = 5 * time.Second
	// maxBootstrapPeers is the maximum number of peers from which a starting process tries
	// to fetch a snapshot.
	maxBootstrapPeers = 3
)

// bootstrap fetches the snapshot with the highest revision from the peers in the
// settings. This lets a host start while the store is unavailable. If no peer has a
// snapshot, it lists from the store.
func (r *Syncer) bootstrap(ctx context.Context) {
	for _, presence := range r.probePeers(ctx) {
		update, err := r.Client.Fetch(ctx, presence.Address, beforeAll, 0)
		if err == nil && update.Delta.Full && r.Feed.ApplyDelta(update.Delta) == nil {
			r.Log.Info().Str("peer", presence.Member).Int64("revision", int64(update.Delta.Revision)).
				Msg("Configuration fetched from a peer.")
			return
		}
	}
	if r.Feed.Ready() {
		return
	}
	if err := r.Feed.Relist(ctx); err != nil {
		r.Log.Warn().Err(err).Msg("Cannot load the configuration: no peer has it and the store is unavailable.")
	}
}

// probePeers returns up to maxBootstrapPeers peers with the highest revisions, best first.
func (r *Syncer) probePeers(ctx context.Context) []*peerpb.Presence {
	addresses := r.currentView(r.Feed.Snapshot()).sources
	responses := make([]*peerpb.Presence, len(addresses))
	var wait sync.WaitGroup
	for i, address := range addresses {
		wait.Go(func() {
			presence, err := r.Client.Exchange(ctx, address)
			if err == nil && presence.HeldRevision > 0 {
				presence.Address = address
				responses[i] = presence
			}
		})
	}
	wait.Wait()
	var best []*peerpb.Presence
	for _, response := range responses {
		if response != nil {
			best = append(best, response)
		}
	}
	sort.SliceStable(best, func(i, j int) bool { return best[i].HeldRevision > best[j].HeldRevision })
	return best[:min(maxBootstrapPeers, len(best))]
}

// watchStore watches the store while this process is a relay.
func (r *Syncer) watchStore(ctx context.Context) {
	defer r.Server.SetWatching(false)
	listed := false
	backoff := storeBackoff
	for ctx.Err() == nil {
		snapshot, changed := r.Feed.Current()
		if !r.currentView(snapshot).relay {
			listed = false
			r.Server.SetWatching(false)
			awaitChange(ctx, changed, idleInterval)
			continue
		}
		err := r.Feed.ListOrWatch(ctx, &listed)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			r.Server.SetWatching(true)
			backoff = storeBackoff
			continue
		}
		if r.Server.Watching() {
			r.Log.Warn().Err(err).Msg("Cannot watch the store; retrying.")
		}
		r.Server.SetWatching(false)
		pause.For(ctx, pause.Jitter(backoff))
		backoff = min(2*backoff, storeBackoffMax)
	}
}

// probeStore reads from the store if none of this process's sources gets updates
// from it. Each member does so with a probability that yields a few calls per zone
// and tick, regardless of the number of members. Otherwise all members would call
// the store at once when it recovers from an outage.
func (r *Syncer) probeStore(ctx context.Context) {
	startedAt := time.Now()
	wait := idleInterval
	for ctx.Err() == nil {
		diverged := r.awaitProbe(ctx, wait)
		if ctx.Err() != nil {
			return
		}
		if !diverged && !(r.orphaned(startedAt) && chance(r.probeProbability())) {
			continue
		}
		r.metrics.probes.Inc()
		if err := r.Feed.Relist(ctx); err != nil {
			r.Log.Debug().Err(err).Msg("Cannot list from the store; retrying.")
			wait = min(2*wait, storeBackoffMax)
			continue
		}
		wait = idleInterval
		if diverged {
			pause.For(ctx, pause.Jitter(recheckInterval))
		}
	}
}

// awaitProbe waits for the next tick. It returns true at once if the store must be
// read to resolve a divergence.
func (r *Syncer) awaitProbe(ctx context.Context, wait time.Duration) (diverged bool) {
	timer := time.NewTimer(pause.Jitter(wait))
	defer timer.Stop()
	select {
	case <-r.recheck:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// orphaned reports whether neither this process nor any of its sources gets updates
// from the store.
func (r *Syncer) orphaned(startedAt time.Time) bool {
	if r.Server.Watching() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.slots {
		if s.watching && time.Since(s.respondedAt) < orphanAfter {
			return false
		}
	}
	return len(r.view.members) == 0 || !r.Feed.Ready() || time.Since(startedAt) > orphanAfter
}

func (r *Syncer) probeProbability() float64 {
	members := 0
	for _, m := range r.currentView(r.Feed.Snapshot()).members {
		if m.Zone == r.self.Zone {
			members++
		}
	}
	return probesPerZone / float64(max(members, 1))
}

func isDigestError(err error) bool {
	var target *configstate.DigestError
	return errors.As(err, &target)
}

type metrics struct {
	relay     prometheus.Gauge
	abandoned prometheus.Counter
	diverged  prometheus.Counter
	probes    prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		relay: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "glade_relay_active",
			Help: "1 while this process watches the store for its availability zone.",
		}),
		abandoned: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "glade_relay_sources_left_total",
			Help: "Peers left for another because they failed, stalled, or offered what was refused.",
		}),
		diverged: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "glade_relay_divergences_total",
			Help: "Peers found to hold other contents at the same revision; the store settles it.",
		}),
		probes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "glade_relay_store_probes_total",
			Help: "Listings asked of the store because no peer heard from it.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.relay, m.abandoned, m.diverged, m.probes)
	}
	return m
}

func (m *metrics) setRelay(active bool) {
	value := 0.0
	if active {
		value = 1
	}
	m.relay.Set(value)
}
