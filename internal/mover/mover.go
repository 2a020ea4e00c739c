package mover

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"auburnglade.example/glade/internal/feed"
	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/keys"
	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/store"
)

// Shard tells whether this controller may act.
type Shard interface{ Held() bool }

// Config is what a Mover is made of.
type Config struct {
	Store store.Store
	Feed  *feed.Feed
	Hosts fleet.HostList
	Shard Shard
	Log   zerolog.Logger
	// Interval is the pause between two rounds; zero means DefaultInterval.
	Interval time.Duration
}

// DefaultInterval is the pause between two rounds.
const DefaultInterval = 2 * time.Second

// Mover applies assignments while it holds the shard.
type Mover struct{ Config }

// New returns a mover.
func New(config Config) *Mover {
	if config.Interval == 0 {
		config.Interval = DefaultInterval
	}
	return &Mover{Config: config}
}

// Serve assigns hosts until ctx ends.
func (m *Mover) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		if m.Shard.Held() {
			m.Round(ctx)
		}
		pause.For(ctx, m.Interval)
	}
	return ctx.Err()
}

// Round observes once and applies what is due.
func (m *Mover) Round(ctx context.Context) {
	hosts, err := m.Hosts.Hosts(ctx)
	if err != nil {
		m.Log.Warn().Err(err).Msg("Host list not read.")
		return
	}
	for _, assignment := range Assign(m.Feed.Snapshot(), hosts) {
		if !m.Shard.Held() {
			return
		}
		if err := m.assign(ctx, assignment); err != nil && !store.IsConflict(err) {
			m.Log.Warn().Err(err).Str("host", assignment.Host).Msg("Host not assigned.")
			return
		}
	}
}

// assign creates the host's record: that the key must be absent is what keeps
// a host in one pool when two controllers race.
func (m *Mover) assign(ctx context.Context, a Assignment) error {
	record := hostrecord.Record{
		Host: a.Host, Pool: a.Pool, Phase: hostrecord.Serving, WriteID: uuid.NewString(),
	}
	_, err := store.Swap(ctx, m.Store, store.Write{Key: keys.Host(a.Host), Value: record.Encode()})
	return err
}
