package report

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"auburnglade.example/glade/internal/configfeed"
	"auburnglade.example/glade/internal/explain"
	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/storekeys"
	"auburnglade.example/glade/internal/wave"
)

// Defaults of a Recorder.
const (
	DefaultSampleInterval = 5 * time.Second
	DefaultWriteInterval  = time.Minute
)

// Shard tells whether this controller decides.
type Shard interface{ Owned() bool }

// Config is what a Recorder is made of.
type Config struct {
	Store store.Store
	Feed  *configfeed.Feed
	Hosts fleet.HostList
	Shard Shard
	Log   zerolog.Logger
	// SampleInterval is the pause between two samples, Write the pause between two
	// writes of a history. Zero means the defaults.
	SampleInterval, WriteInterval time.Duration
}

// Recorder samples the waves that run, on the controller that decides. It
// costs the store one write a running wave and Write, one at the wave's end,
// and two reads of a wave: its history when it begins to record it, its status
// with every write.
type Recorder struct {
	Config
	waves map[string]*recording
	// swept says that histories without a wave were looked for.
	swept bool
}

type recording struct {
	history  History
	revision store.Revision
	status   wave.Status
	written  time.Time
	ended    bool
}

// NewRecorder returns a recorder.
func NewRecorder(config Config) *Recorder {
	if config.SampleInterval == 0 {
		config.SampleInterval = DefaultSampleInterval
	}
	if config.WriteInterval == 0 {
		config.WriteInterval = DefaultWriteInterval
	}
	return &Recorder{Config: config, waves: make(map[string]*recording)}
}

// Serve samples until ctx ends.
func (r *Recorder) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		pause.For(ctx, r.SampleInterval)
		if r.Shard.Owned() {
			r.SampleWaves(ctx, time.Now())
			continue
		}
		// Another controller goes on from what is stored.
		clear(r.waves)
		r.swept = false
	}
	return ctx.Err()
}

// SampleWaves samples every wave once.
func (r *Recorder) SampleWaves(ctx context.Context, now time.Time) {
	snapshot := r.Feed.Snapshot()
	waves := snapshot.Waves()
	r.sweep(ctx, waves)
	if len(waves) == 0 {
		return
	}
	view := explain.View{Snapshot: snapshot, Waves: make(map[string]wave.Status)}
	hosts, err := r.Hosts.Hosts(ctx)
	if err != nil {
		r.Log.Debug().Err(err).Msg("Host list not read, no sample taken.")
		return
	}
	view.Listed = make(map[string]fleet.Host, len(hosts))
	for _, host := range hosts {
		view.Listed[host.Name] = host
	}
	for name, spec := range waves {
		if err := r.sample(ctx, view, name, spec, now); err != nil {
			r.Log.Debug().Err(err).Str("wave", name).Msg("History not written yet.")
		}
	}
}

// sweep deletes the histories of waves whose records are gone: those that this
// recorder saw go, and once after it began to decide all others.
func (r *Recorder) sweep(ctx context.Context, waves map[string]*record.Wave) {
	for name, rec := range r.waves {
		if waves[name] == nil {
			delete(r.waves, name)
			r.forget(ctx, storekeys.History(name), rec.revision)
		}
	}
	if r.swept || !r.Feed.Ready() {
		return
	}
	listing, err := r.Store.List(ctx, storekeys.HistoryPrefix)
	if err != nil {
		return
	}
	r.swept = true
	for _, entry := range listing.Entries {
		if waves[strings.TrimPrefix(entry.Key, storekeys.HistoryPrefix)] == nil {
			r.forget(ctx, entry.Key, entry.ModRevision)
		}
	}
}

// forget deletes a history. What can't be deleted now is found by the next
// controller that decides.
func (r *Recorder) forget(ctx context.Context, key string, revision store.Revision) {
	if revision == 0 {
		return
	}
	_, err := r.Store.CompareAndSwap(ctx, store.Write{Key: key, Expect: revision, Delete: true})
	if err != nil {
		r.Log.Debug().Err(err).Str("key", key).Msg("History not deleted.")
	}
}

func (r *Recorder) sample(ctx context.Context, view explain.View, name string, spec *record.Wave, now time.Time) error {
	rec := r.waves[name]
	if rec == nil {
		loaded, err := r.load(ctx, name)
		if err != nil {
			return err
		}
		rec = loaded
		r.waves[name] = rec
	}
	if rec.ended && !active(view, name, rec.status) {
		return nil
	}
	due := now.Sub(rec.written) >= r.WriteInterval
	if due {
		if err := r.readStatus(ctx, rec, name); err != nil {
			return err
		}
	}
	if rec.history.SampleDue(now) {
		view.Waves[name] = rec.status
		rec.history = AppendSample(rec.history, view, name, spec, now, r.SampleInterval)
	}
	if !due {
		return nil
	}
	rec.ended = rec.status.Done()
	return r.write(ctx, rec, name, now)
}

// active reports whether a wave that had ended has a host out again, as when an
// operator resumed it.
func active(view explain.View, name string, status wave.Status) bool {
	for _, item := range view.Snapshot.Hosts {
		if item.Wave == name && !item.TakesWork() {
			return true
		}
	}
	return !status.Done()
}

func (r *Recorder) load(ctx context.Context, name string) (*recording, error) {
	entry, err := r.Store.Get(ctx, storekeys.History(name))
	if store.IsNotFound(err) {
		return &recording{}, nil
	}
	if err != nil {
		return nil, err
	}
	history, err := Parse(entry.Key, entry.Value)
	if err != nil {
		r.Log.Warn().Err(err).Msg("History begun anew.")
		history = History{}
	}
	ended := (wave.Status{Phase: history.Phase}).Done()
	return &recording{history: history, revision: entry.ModRevision, ended: ended, status: wave.Status{Phase: history.Phase}}, nil
}

func (r *Recorder) readStatus(ctx context.Context, rec *recording, name string) error {
	entry, err := r.Store.Get(ctx, storekeys.Status(record.ID{Kind: record.KindWave, Name: name}))
	if store.IsNotFound(err) {
		return nil
	}
	if err != nil {
		return err
	}
	// A status that can't be read is replaced by its writer's next one.
	_ = json.Unmarshal(entry.Value, &rec.status)
	return nil
}

func (r *Recorder) write(ctx context.Context, rec *recording, name string, now time.Time) error {
	rec.history.WriteID = uuid.NewString()
	value, err := json.Marshal(rec.history)
	if err != nil {
		return &CorruptError{Key: storekeys.History(name), Cause: err}
	}
	revision, err := store.IdempotentCAS(ctx, r.Store, store.Write{Key: storekeys.History(name), Expect: rec.revision, Value: value})
	if store.IsConflict(err) || store.IsUnknownOutcome(err) {
		// Another controller records as well, or our own write is in doubt:
		// what is stored goes on.
		delete(r.waves, name)
		return err
	}
	if err != nil {
		return err
	}
	rec.revision, rec.written = revision, now
	return nil
}
