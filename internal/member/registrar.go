package member

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/store"
)

// DefaultTTL is how long a member's lease lasts after its last heartbeat.
const DefaultTTL = 10 * time.Second

// heartbeatsPerTTL allows for two lost heartbeats.
const heartbeatsPerTTL = 3

const retryInterval = time.Second

// Registrar maintains one membership record while Serve is running.
type Registrar struct {
	store  store.Store
	member Member
	ttl    time.Duration
	log    zerolog.Logger

	lease store.LeaseID
	// firstRegistered is the revision of the first record written.
	firstRegistered atomic.Int64
	// failing is set while the last heartbeat failed.
	failing atomic.Bool
	// validUntil is the time on this process's monotonic clock until which the
	// lease can't have expired at the store.
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

// LeaseValid reports whether the lease is certainly still held.
func (r *Registrar) LeaseValid() bool {
	until := r.validUntil.Load()
	return until != nil && time.Now().Before(*until)
}

// Failing reports whether the last heartbeat failed: the store may be
// unavailable although the lease is still valid.
func (r *Registrar) Failing() bool { return r.failing.Load() }

// Generation changes with each new lease, before LeaseValid becomes true for it. A
// caller that acts under a lease detects by it that the lease expired in
// between.
func (r *Registrar) Generation() uint64 { return r.generation.Load() }

// RegisteredRevision returns the revision at which the record was last written
// under a new lease, or zero.
func (r *Registrar) RegisteredRevision() store.Revision { return store.Revision(r.registered.Load()) }

// ReadyAt reports whether a process that serves a revision may take part. Once
// registered it must serve the configuration as of its registration: earlier
// decisions, such as stopping a host, were made without its confirmation. While
// the store is unavailable no decisions are made, and an unregistered process
// may take part. Later registrations don't count: every process registers again
// after an outage, and all would drop out together.
func (r *Registrar) ReadyAt(served store.Revision) bool {
	if registered := store.Revision(r.firstRegistered.Load()); registered != 0 {
		return served >= registered
	}
	return r.failing.Load()
}

// Serve registers and sends heartbeats until ctx ends, then removes the record.
// It continues through a store outage and writes the record again afterwards.
// It makes heartbeatsPerTTL lease calls per ttl, and a grant, a read and a
// write for each registration.
func (r *Registrar) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		err := r.heartbeatWithTimeout(ctx)
		r.failing.Store(err != nil)
		if err != nil {
			r.log.Warn().Err(err).Msg("Heartbeat failed.")
			pause.For(ctx, pause.Jitter(retryInterval))
			continue
		}
		pause.For(ctx, pause.Jitter(r.ttl/heartbeatsPerTTL))
	}
	r.deregister()
	return ctx.Err()
}

// heartbeatWithTimeout limits the duration of a heartbeat, so that there is
// time for another one before the lease expires.
func (r *Registrar) heartbeatWithTimeout(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.ttl/heartbeatsPerTTL)
	defer cancel()
	return r.heartbeat(ctx)
}

func (r *Registrar) heartbeat(ctx context.Context) error {
	requestedAt := time.Now()
	if r.lease == 0 {
		return r.register(ctx, requestedAt)
	}
	_, err := r.store.KeepAlive(ctx, r.lease)
	if store.IsLeaseExpired(err) {
		r.lease = 0
		r.validUntil.Store(nil)
		return r.register(ctx, requestedAt)
	}
	if err == nil {
		r.extendLease(requestedAt)
	}
	return err
}

// register grants a lease and writes the record under it. A record from an
// earlier lease of this process is replaced.
func (r *Registrar) register(ctx context.Context, requestedAt time.Time) error {
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
	write := store.SwapRequest{Key: r.member.key(), Expect: expect, Value: r.member.encode(), Lease: lease.ID}
	revision, err := r.store.CompareAndSwap(ctx, write)
	if err != nil {
		return err
	}
	r.registered.Store(int64(revision))
	r.firstRegistered.CompareAndSwap(0, int64(revision))
	r.lease = lease.ID
	r.generation.Add(1)
	r.extendLease(requestedAt)
	return nil
}

// extendLease counts the lease's TTL from before the call, because the store may
// have started it at any time after that.
func (r *Registrar) extendLease(requestedAt time.Time) {
	until := requestedAt.Add(r.ttl)
	r.validUntil.Store(&until)
}

// deregister invalidates the lease locally before revoking it at the store: other
// processes may act from then on.
func (r *Registrar) deregister() {
	r.validUntil.Store(nil)
	if r.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	// If the call fails, the lease expires on its own.
	_ = r.store.Revoke(ctx, r.lease)
}
