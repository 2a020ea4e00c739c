// Package holder shares decisions among controllers: one of them at a time
// holds a shard under a lease. Holding is only economy, so that not everyone
// does the same work; safety rests on the compare-and-swap of each record.
package holder

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"auburnglade.example/glade/internal/keys"
	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/store"
)

// DefaultTTL is how long a dead holder blocks its shard.
const DefaultTTL = 6 * time.Second

const renewalsPerTTL = 3

// Holder tries to hold one shard for one member.
type Holder struct {
	store  store.Store
	shard  string
	member string
	ttl    time.Duration
	log    zerolog.Logger

	lease store.LeaseID
	until atomic.Pointer[time.Time]
}

// New returns a holder that holds nothing yet. A zero ttl means DefaultTTL.
func New(s store.Store, shard, member string, ttl time.Duration, log zerolog.Logger) *Holder {
	if ttl == 0 {
		ttl = DefaultTTL
	}
	return &Holder{store: s, shard: shard, member: member, ttl: ttl, log: log}
}

// Held reports whether the shard is certainly held right now, by the
// monotonic clock. Check it right before every act: a paused process wakes
// believing what it believed before.
func (h *Holder) Held() bool {
	until := h.until.Load()
	return until != nil && time.Now().Before(*until)
}

// Serve holds the shard whenever it is free until ctx ends.
func (h *Holder) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := h.renew(ctx); err != nil && !store.IsConflict(err) {
			h.log.Debug().Err(err).Str("shard", h.shard).Msg("Shard not renewed.")
		}
		pause.For(ctx, pause.Jitter(h.ttl/renewalsPerTTL))
	}
	h.release()
	return ctx.Err()
}

func (h *Holder) renew(ctx context.Context) error {
	asked := time.Now()
	if h.lease == 0 {
		return h.take(ctx, asked)
	}
	_, err := h.store.KeepAlive(ctx, h.lease)
	if store.IsLeaseExpired(err) {
		h.log.Warn().Str("shard", h.shard).Msg("Shard lost.")
		h.lease = 0
		h.until.Store(nil)
		return h.take(ctx, asked)
	}
	if err == nil {
		h.extend(asked)
	}
	return err
}

func (h *Holder) take(ctx context.Context, asked time.Time) error {
	key := keys.Holder(h.shard)
	if _, err := h.store.Get(ctx, key); !store.IsNotFound(err) {
		return err
	}
	lease, err := h.store.Grant(ctx, h.ttl)
	if err != nil {
		return err
	}
	value, err := json.Marshal(map[string]string{"member": h.member})
	if err != nil {
		return err
	}
	if _, err := h.store.CompareAndSwap(ctx, store.Write{Key: key, Value: value, Lease: lease.ID}); err != nil {
		// Whatever became of the write, the lease must not keep the shard.
		_ = h.store.Revoke(ctx, lease.ID)
		return err
	}
	h.lease = lease.ID
	h.extend(asked)
	h.log.Info().Str("shard", h.shard).Msg("Shard held.")
	return nil
}

func (h *Holder) extend(asked time.Time) {
	until := asked.Add(h.ttl)
	h.until.Store(&until)
}

func (h *Holder) release() {
	h.until.Store(nil)
	if h.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	// Without the store's answer the lease simply runs out.
	_ = h.store.Revoke(ctx, h.lease)
}
