// Package configrelay keeps the newest version of the operator's configuration that
// this entry host or another one has seen. It asks other entry hosts while the store
// doesn't answer here, and knows up to which moment its version was the newest.
package configrelay

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/store"
)

const (
	// askAfter is the age of the confirmation from which other entry hosts are asked.
	// The store confirms once a second where it answers.
	askAfter = 1300 * time.Millisecond
	// askInterval is the pause between two rounds, checkInterval that between two
	// checks whether one is due.
	askInterval   = 300 * time.Millisecond
	checkInterval = 100 * time.Millisecond
	// askTimeout bounds one call. An entry host that is up answers in milliseconds.
	askTimeout = 500 * time.Millisecond
	// askAtOnce is how many entry hosts are asked in a round. One of two has the
	// store nine times in ten if a third of all are turned away.
	askAtOnce = 2
	// witnesses is how many other entry hosts must be without the store, within
	// witnessPeriod, for it to count as unavailable to all.
	witnesses     = 4
	witnessPeriod = 2 * time.Second
)

// Version is one version of the configuration.
type Version struct {
	// Revision is the store's revision at which the operator wrote it, zero for none.
	Revision store.Revision
	Data     []byte
}

// Answer is what an entry host knows of the configuration.
type Answer struct {
	Version
	// Age is how long ago the store confirmed Revision as the newest.
	Age time.Duration
}

// Peers calls other entry hosts. The answer has Data only if its revision is newer than
// known.
type Peers interface {
	Configuration(ctx context.Context, address string, known store.Revision) (Answer, error)
}

// Config configures a Relay.
type Config struct {
	Peers Peers
	// Addresses returns the other entry hosts.
	Addresses func() []string
	// Apply is called with each newer version, one at a time.
	Apply      func(Version)
	Log        zerolog.Logger
	Registerer prometheus.Registerer
}

// Relay is safe for concurrent use. Versions only move forward.
type Relay struct {
	Config
	metrics *metrics

	// applying serializes Apply.
	applying sync.Mutex

	mu      sync.Mutex
	version Version
	// confirmedAt is the moment up to which version is known to be the newest.
	confirmedAt time.Time
	// storeFailed is set while the store doesn't answer here.
	storeFailed bool
	asking      bool
	askedAt     time.Time
	// without is when another entry host last answered that it has no newer
	// confirmation either, by address.
	without map[string]time.Time
}

// New returns a relay that knows no version.
func New(config Config) *Relay {
	r := &Relay{Config: config, without: make(map[string]time.Time)}
	r.metrics = newMetrics(config.Registerer, func() float64 { return r.Age(time.Now()).Seconds() })
	return r
}

// Written records a version that the store showed. It says nothing of the moment up to
// which that is the newest: the answer may have waited, as in a process that stood still.
func (r *Relay) Written(version Version) { r.learn(version, time.Time{}, "the store") }

// Confirmed records that the store showed no newer version at the moment at.
func (r *Relay) Confirmed(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeFailed = false
	r.confirmLocked(at)
}

// StoreFailed records that the store doesn't answer here.
func (r *Relay) StoreFailed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeFailed = true
}

func (r *Relay) confirmLocked(at time.Time) {
	if r.version.Revision != 0 && at.After(r.confirmedAt) {
		r.confirmedAt = at
	}
}

// learn takes a version that was the newest at the moment at, unless a newer one is
// known, and applies it if it is new.
func (r *Relay) learn(version Version, at time.Time, source string) {
	r.applying.Lock()
	defer r.applying.Unlock()
	before, age := r.take(version, at)
	if version.Revision <= before {
		return
	}
	r.Log.Info().Int64("revision", int64(version.Revision)).Int64("before", int64(before)).Str("from", source).
		Int("bytes", len(version.Data)).Dur("age_ms", age).Msg("Learned a configuration.")
	r.Apply(version)
}

// take records a version and returns the revision known before, and the age of what is
// known now.
func (r *Relay) take(version Version, at time.Time) (before store.Revision, age time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before = r.version.Revision
	if version.Revision > before {
		r.version = version
	}
	if version.Revision >= before {
		r.confirmLocked(at)
	}
	return before, time.Since(r.confirmedAt)
}

// Age returns how long ago the version in force was known to be the newest.
func (r *Relay) Age(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.confirmedAt)
}

// Revision returns the store's revision of the newest version, zero for none.
func (r *Relay) Revision() store.Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version.Revision
}

// Current reports whether the version in force is known to have been the newest within
// the last bound, or the store is unavailable to all entry hosts, so that nobody can
// have replaced it.
func (r *Relay) Current(bound time.Duration, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version.Revision != 0 && (now.Sub(r.confirmedAt) <= bound || r.outageLocked(now))
}

// outageLocked reports whether enough other entry hosts, or all where there are fewer,
// have answered that the store doesn't answer them either.
func (r *Relay) outageLocked(now time.Time) bool {
	maps.DeleteFunc(r.without, func(_ string, at time.Time) bool { return now.Sub(at) > witnessPeriod })
	return len(r.without) >= min(witnesses, len(r.Addresses()))
}

// Answer returns what this entry host knows, for one that knows the revision known.
func (r *Relay) Answer(known store.Revision) Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	answer := Answer{Version: Version{Revision: r.version.Revision}, Age: time.Since(r.confirmedAt)}
	if r.version.Revision > known {
		answer.Data = r.version.Data
	}
	return answer
}

// Run asks other entry hosts whenever the store doesn't confirm the version here, until
// ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause.For(ctx, checkInterval)
		if r.due(time.Now()) {
			r.ask(ctx)
		}
	}
	return ctx.Err()
}

// due reports whether a round is due, and records its beginning.
func (r *Relay) due(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	needed := r.storeFailed || now.Sub(r.confirmedAt) > askAfter
	if needed != r.asking {
		r.asking = needed
		r.Log.Info().Bool("asking", needed).Int64("revision", int64(r.version.Revision)).Dur("age_ms", now.Sub(r.confirmedAt)).
			Msg("Changed between the store and other entry hosts as the source of the configuration.")
	}
	if !needed || now.Sub(r.askedAt) < askInterval {
		return false
	}
	r.askedAt = now
	return true
}

// ask asks some other entry hosts, chosen at random.
func (r *Relay) ask(ctx context.Context) {
	addresses := r.Addresses()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	var group sync.WaitGroup
	for _, address := range addresses[:min(askAtOnce, len(addresses))] {
		group.Go(func() { r.askOne(ctx, address) })
	}
	group.Wait()
}

func (r *Relay) askOne(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	known, sent := r.Revision(), time.Now()
	answer, err := r.Peers.Configuration(ctx, address, known)
	switch {
	case err != nil:
		r.metrics.asked.WithLabelValues("no answer").Inc()
		r.Log.Info().Err(err).Str("address", address).Int64("known", int64(known)).Dur("took_ms", time.Since(sent)).
			Msg("An entry host did not tell its configuration.")
	case answer.Revision < known || answer.Revision == 0:
		r.metrics.asked.WithLabelValues("behind").Inc()
	case answer.Revision > known && len(answer.Data) == 0:
		// Not reached with a peer that follows the protocol.
		r.metrics.asked.WithLabelValues("incomplete").Inc()
	case answer.Revision > known:
		r.metrics.asked.WithLabelValues("newer").Inc()
		r.learn(answer.Version, sent.Add(-answer.Age), address)
	default:
		r.metrics.asked.WithLabelValues("same").Inc()
		r.confirmedBy(address, sent.Add(-answer.Age), sent)
	}
}

// confirmedBy records that an entry host, asked at sent, knew the version in force to be
// the newest at the moment at.
func (r *Relay) confirmedBy(address string, at, sent time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmLocked(at)
	if sent.Sub(at) > askAfter {
		r.without[address] = sent
	} else {
		delete(r.without, address)
	}
}
