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
	// storeBackoff and storeBackoffMax bound the pause between tries while the
	// store fails.
	storeBackoff    = 500 * time.Millisecond
	storeBackoffMax = 8 * time.Second
	// orphanAfter is how long a member without a source that hears from the
	// store waits before it turns to the store itself.
	orphanAfter = 3 * time.Second
	// probesPerZone is how many members of a zone turn to the store per tick
	// on average, when none of them hears from it.
	probesPerZone = 1
	// recheckPause is the least time between two listings for a divergence.
	recheckPause = 5 * time.Second
	// bestPeers is how many peers a starting process asks for their snapshot.
	bestPeers = 3
)

// bootstrap takes the highest snapshot among the peers that the settings name.
// It is what lets a host start while the store is away. A process that finds
// nobody lists from the store.
func (r *Syncer) bootstrap(ctx context.Context) {
	for _, presence := range r.askAround(ctx) {
		news, err := r.Client.Fetch(ctx, presence.Address, everything, 0)
		if err == nil && news.Delta.Full && r.Feed.ApplyDelta(news.Delta) == nil {
			r.Log.Info().Str("peer", presence.Member).Int64("revision", int64(news.Delta.Revision)).
				Msg("Configuration taken from a peer.")
			return
		}
	}
	if r.Feed.Ready() {
		return
	}
	if err := r.Feed.Relist(ctx); err != nil {
		r.Log.Warn().Err(err).Msg("No peer has the configuration and the store is away.")
	}
}

// askAround returns the peers that hold the highest revisions, best first.
func (r *Syncer) askAround(ctx context.Context) []*peerpb.Presence {
	addresses := r.look(r.Feed.Snapshot()).sources
	answers := make([]*peerpb.Presence, len(addresses))
	var wait sync.WaitGroup
	for i, address := range addresses {
		wait.Go(func() {
			presence, err := r.Client.Exchange(ctx, address)
			if err == nil && presence.HeldRevision > 0 {
				presence.Address = address
				answers[i] = presence
			}
		})
	}
	wait.Wait()
	var best []*peerpb.Presence
	for _, answer := range answers {
		if answer != nil {
			best = append(best, answer)
		}
	}
	sort.SliceStable(best, func(i, j int) bool { return best[i].HeldRevision > best[j].HeldRevision })
	return best[:min(bestPeers, len(best))]
}

// watchStore holds the watch for as long as this process is a relay.
func (r *Syncer) watchStore(ctx context.Context) {
	defer r.Server.SetWatching(false)
	listed := false
	wait := storeBackoff
	for ctx.Err() == nil {
		snapshot, changed := r.Feed.Current()
		if !r.look(snapshot).relay {
			listed = false
			r.Server.SetWatching(false)
			awaitChange(ctx, changed, idlePause)
			continue
		}
		err := r.Feed.ListOrWatch(ctx, &listed)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			r.Server.SetWatching(true)
			wait = storeBackoff
			continue
		}
		if r.Server.Watching() {
			r.Log.Warn().Err(err).Msg("Store not followed.")
		}
		r.Server.SetWatching(false)
		pause.For(ctx, pause.Jitter(wait))
		wait = min(2*wait, storeBackoffMax)
	}
}

// probeStore turns to the store when nobody this process asks hears from it.
// Each member does so with a probability that makes up a few calls per zone
// and tick, however many members there are: otherwise the store's return after
// an outage is greeted by all at once.
func (r *Syncer) probeStore(ctx context.Context) {
	began := time.Now()
	wait := idlePause
	for ctx.Err() == nil {
		diverged := r.awaitProbe(ctx, wait)
		if ctx.Err() != nil {
			return
		}
		if !diverged && !(r.orphaned(began) && chance(r.probeShare())) {
			continue
		}
		r.metrics.probes.Inc()
		if err := r.Feed.Relist(ctx); err != nil {
			r.Log.Debug().Err(err).Msg("Store asked in vain.")
			wait = min(2*wait, storeBackoffMax)
			continue
		}
		wait = idlePause
		if diverged {
			pause.For(ctx, pause.Jitter(recheckPause))
		}
	}
}

// awaitProbe waits for the next tick, and reports true at once when the store
// has to settle a divergence.
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

// orphaned reports whether neither this process nor a source it asks hears
// from the store.
func (r *Syncer) orphaned(began time.Time) bool {
	if r.Server.Watching() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.slots {
		if s.watching && time.Since(s.heard) < orphanAfter {
			return false
		}
	}
	return len(r.view.members) == 0 || !r.Feed.Ready() || time.Since(began) > orphanAfter
}

func (r *Syncer) probeShare() float64 {
	members := 0
	for _, m := range r.look(r.Feed.Snapshot()).members {
		if m.Zone == r.self.Zone {
			members++
		}
	}
	return probesPerZone / float64(max(members, 1))
}

func isDigest(err error) bool {
	var target *configstate.DigestError
	return errors.As(err, &target)
}

type metrics struct {
	relay    prometheus.Gauge
	left     prometheus.Counter
	diverged prometheus.Counter
	probes   prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		relay: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "glade_relay_active",
			Help: "1 while this process watches the store for its availability zone.",
		}),
		left: prometheus.NewCounter(prometheus.CounterOpts{
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
		registerer.MustRegister(m.relay, m.left, m.diverged, m.probes)
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
