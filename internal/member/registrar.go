package member

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/store"
)

// DefaultTTL is how long a member outlives its last heartbeat.
const DefaultTTL = 10 * time.Second

// heartbeatsPerTTL leaves room for two lost heartbeats.
const heartbeatsPerTTL = 3

const retryPause = time.Second

// Registrar keeps one membership record alive for as long as it is served.
type Registrar struct {
	store  store.Store
	member Member
	ttl    time.Duration
	log    zerolog.Logger

	lease store.LeaseID
	// joined is the revision of the first record written.
	joined atomic.Int64
	// failing is set while the last heartbeat had no success.
	failing atomic.Bool
	// validUntil is when, on this process's monotonic clock, the lease has
	// certainly not yet ended at the store.
	validUntil atomic.Pointer[time.Time]
	generation atomic.Uint64
	registered atomic.Int64
}

// NewRegistrar returns a registrar for member. A zero ttl means DefaultTTL.
func NewRegistrar(s store.Store, m Member, ttl time.Duration, log zerolog.Logger) *Registrar {
	if ttl == 0 {
		ttl = DefaultTTL
	}
	return &Registrar{store: s, member: m, ttl: ttl, log: log}
}

// Valid reports whether the lease is certainly still held.
func (r *Registrar) Valid() bool {
	until := r.validUntil.Load()
	return until != nil && time.Now().Before(*until)
}

// Failing reports whether the last heartbeat had no success: the store may be
// away, though the lease still holds.
func (r *Registrar) Failing() bool { return r.failing.Load() }

// Generation changes with each new lease, before Valid is true of it: whoever
// acts under a lease tells by it that the lease had ended in between.
func (r *Registrar) Generation() uint64 { return r.generation.Load() }

// RegisteredRevision returns the revision at which the record was last written under a
// new lease, zero before the first time.
func (r *Registrar) RegisteredRevision() store.Revision { return store.Revision(r.registered.Load()) }

// ReadyAt reports whether a process that serves a revision may take part. Once
// it has registered it must serve the configuration as of its registration:
// whatever was decided before, such as to stop a host, was decided without its
// confirmation. While the store is away nothing is decided, and a process takes
// part unregistered. A later registration doesn't count: after an outage every
// process makes one, and all would drop out together.
func (r *Registrar) ReadyAt(served store.Revision) bool {
	if registered := store.Revision(r.joined.Load()); registered != 0 {
		return served >= registered
	}
	return r.failing.Load()
}

// Serve registers and heartbeats until ctx ends, then withdraws the record.
// A store outage never ends it: the record is written again afterwards. It
// makes heartbeatsPerTTL lease calls per ttl, and a grant, a read and a write
// for each registration.
func (r *Registrar) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		err := r.beatInTime(ctx)
		r.failing.Store(err != nil)
		if err != nil {
			r.log.Warn().Err(err).Msg("Heartbeat failed.")
			pause.For(ctx, pause.Jitter(retryPause))
			continue
		}
		pause.For(ctx, pause.Jitter(r.ttl/heartbeatsPerTTL))
	}
	r.withdraw()
	return ctx.Err()
}

// beatInTime gives up on a heartbeat that hangs while there is still time for
// another before the lease ends.
func (r *Registrar) beatInTime(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.ttl/heartbeatsPerTTL)
	defer cancel()
	return r.beat(ctx)
}

func (r *Registrar) beat(ctx context.Context) error {
	asked := time.Now()
	if r.lease == 0 {
		return r.register(ctx, asked)
	}
	_, err := r.store.KeepAlive(ctx, r.lease)
	if store.IsLeaseExpired(err) {
		r.lease = 0
		r.validUntil.Store(nil)
		return r.register(ctx, asked)
	}
	if err == nil {
		r.extend(asked)
	}
	return err
}

// register grants a lease and writes the record under it. A record left by an
// earlier lease of this very process is replaced.
func (r *Registrar) register(ctx context.Context, asked time.Time) error {
	lease, err := r.store.Grant(ctx, r.ttl)
	if err != nil {
		return err
	}
	var expect store.Revision
	entry, err := r.store.Get(ctx, r.member.key())
	if err == nil {
		expect = entry.ModRevision
	} else if !store.IsNotFound(err) {
		return err
	}
	write := store.Write{Key: r.member.key(), Expect: expect, Value: r.member.encode(), Lease: lease.ID}
	revision, err := r.store.CompareAndSwap(ctx, write)
	if err != nil {
		return err
	}
	r.registered.Store(int64(revision))
	r.joined.CompareAndSwap(0, int64(revision))
	r.lease = lease.ID
	r.generation.Add(1)
	r.extend(asked)
	return nil
}

// extend counts the lease from before the call: the store may have started
// its own count at any moment after.
func (r *Registrar) extend(asked time.Time) {
	until := asked.Add(r.ttl)
	r.validUntil.Store(&until)
}

// withdraw ends the lease here before it ends it at the store: from then on
// others act.
func (r *Registrar) withdraw() {
	r.validUntil.Store(nil)
	if r.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	// Without the store's answer the lease simply runs out.
	_ = r.store.Revoke(ctx, r.lease)
}
