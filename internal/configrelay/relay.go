// Package configrelay keeps the newest version of the operator's configuration that
// this entry host or another one has seen. It asks other entry hosts while the store
// doesn't answer here, and knows up to which moment its version was the newest.
package configrelay

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"auburnglade.example/glade/internal/store"
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

// Peers calls other entry hosts.
type Peers interface {
	// NewestConfiguration returns what the entry host knows, without Data.
	NewestConfiguration(ctx context.Context, address string) (Answer, error)
	// Configuration returns what the entry host knows, with Data only if its revision is
	// newer than known.
	Configuration(ctx context.Context, address string, known store.Revision) (Answer, error)
}

// Config configures a Relay.
type Config struct {
	Peers Peers
	// Addresses returns the other entry hosts.
	Addresses func() []string
	// Arriving reports whether an answer from the store or a relay, which may be a new
	// version, is arriving. It may be nil.
	Arriving func() bool
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

	mu sync.Mutex
	// version is the newest one whose data has arrived, inForce the revision of the one
	// that Apply was last called with, told the newest revision that is known to exist.
	version       Version
	inForce, told store.Revision
	// toldAt is when told was first heard of.
	toldAt time.Time
	// confirmedAt is the moment up to which inForce is known to be the newest.
	confirmedAt time.Time
	// storeFailed is set while the store doesn't answer here.
	storeFailed bool
	asking      bool
	askedAt     time.Time
	// fetching is set while a version is being read from another entry host.
	fetching bool
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

// confirmLocked records that no version newer than the newest known one existed at the
// moment at. That confirms the one in force only if it is that one.
func (r *Relay) confirmLocked(at time.Time) {
	if r.inForce != 0 && !r.replacedLocked() && at.After(r.confirmedAt) {
		r.confirmedAt = at
	}
}

func (r *Relay) replacedLocked() bool { return r.told > r.inForce }

// learn takes a version that was the newest at the moment at, unless a newer one is
// known, and applies it if it is new.
func (r *Relay) learn(version Version, at time.Time, source string) {
	r.applying.Lock()
	defer r.applying.Unlock()
	before, isNew := r.take(version)
	if isNew {
		began := time.Now()
		r.Apply(version)
		r.Log.Info().Int64("revision", int64(version.Revision)).Int64("before", int64(before)).Str("from", source).
			Int("bytes", len(version.Data)).Dur("apply_ms", time.Since(began)).Dur("age_ms", r.Age(time.Now())).Msg("Learned a configuration.")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inForce = r.version.Revision
	if version.Revision == r.inForce {
		r.confirmLocked(at)
	}
}

// take records a version unless one as new is known, and returns the revision known before.
func (r *Relay) take(version Version) (before store.Revision, isNew bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before = r.version.Revision
	if version.Revision <= before {
		return before, false
	}
	r.version = version
	r.toldLocked(version.Revision)
	return before, true
}

// toldLocked records that a revision exists.
func (r *Relay) toldLocked(revision store.Revision) {
	if revision > r.told {
		r.told, r.toldAt = revision, time.Now()
	}
}

// Revision returns the store's revision of the newest version, zero for none.
func (r *Relay) Revision() store.Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version.Revision
}

// outageLocked reports whether enough other entry hosts, or all where there are fewer,
// have answered that the store doesn't answer them either.
func (r *Relay) outageLocked(now time.Time) bool {
	maps.DeleteFunc(r.without, func(_ string, at time.Time) bool { return now.Sub(at) > witnessPeriod })
	return len(r.without) >= witnesses || len(r.without) >= len(r.Addresses())
}

// Answer returns what this entry host knows, for one that knows the revision known.
func (r *Relay) Answer(known store.Revision) Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	answer := Answer{Version: Version{Revision: r.version.Revision}, Age: r.ageLocked(time.Now())}
	if r.version.Revision > known {
		answer.Data = r.version.Data
	}
	return answer
}
