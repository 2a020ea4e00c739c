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

// Default intervals of a Recorder.
const (
	DefaultSampleInterval = 5 * time.Second
	DefaultWriteInterval  = time.Minute
)

// Shard reports whether this controller owns the decisions of the shard.
type Shard interface{ Owned() bool }

// Config configures a Recorder.
type Config struct {
	Store store.Store
	Feed  *configfeed.Feed
	Hosts fleet.HostList
	Shard Shard
	Log   zerolog.Logger
	// SampleInterval is the interval between two samples, and WriteInterval the
	// interval between two writes of a history. Zero means the defaults.
	SampleInterval, WriteInterval time.Duration
}

// Recorder samples the running waves on the controller that owns the shard. It
// costs the store one write per running wave and WriteInterval, one at the
// wave's end, and two kinds of reads per wave: the history when recording
// begins, and the status with every write.
type Recorder struct {
	Config
	waves map[string]*waveRecording
	// swept reports whether histories without a wave have been searched for.
	swept bool
}

type waveRecording struct {
	history  History
	revision store.Revision
	status   wave.Status
	written  time.Time
	ended    bool
}

// NewRecorder returns a Recorder without recordings.
func NewRecorder(config Config) *Recorder {
	if config.SampleInterval == 0 {
		config.SampleInterval = DefaultSampleInterval
	}
	if config.WriteInterval == 0 {
		config.WriteInterval = DefaultWriteInterval
	}
	return &Recorder{Config: config, waves: make(map[string]*waveRecording)}
}

// Serve samples until ctx ends.
func (r *Recorder) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		pause.For(ctx, r.SampleInterval)
		if r.Shard.Owned() {
			r.SampleWaves(ctx, time.Now())
			continue
		}
		// Another controller continues from the stored histories.
		clear(r.waves)
		r.swept = false
	}
	return ctx.Err()
}

// SampleWaves takes a sample of every wave for which one is due.
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
		r.Log.Debug().Err(err).Msg("Failed to read the host list; no sample taken.")
		return
	}
	view.Listed = make(map[string]fleet.Host, len(hosts))
	for _, host := range hosts {
		view.Listed[host.Name] = host
	}
	for name, spec := range waves {
		if err := r.sample(ctx, view, name, spec, now); err != nil {
			r.Log.Debug().Err(err).Str("wave", name).Msg("Failed to record the wave's history; retrying at the next sample.")
		}
	}
}

// sweep deletes the histories of waves whose records have been deleted: those
// that this recorder has sampled, and all others once after it acquired the
// shard.
func (r *Recorder) sweep(ctx context.Context, waves map[string]*record.Wave) {
	for name, recording := range r.waves {
		if waves[name] == nil {
			delete(r.waves, name)
			r.deleteHistory(ctx, storekeys.History(name), recording.revision)
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
			r.deleteHistory(ctx, entry.Key, entry.ModRevision)
		}
	}
}

// deleteHistory deletes a history. If the deletion fails, the next controller
// that owns the shard repeats it.
func (r *Recorder) deleteHistory(ctx context.Context, key string, revision store.Revision) {
	if revision == 0 {
		return
	}
	_, err := r.Store.CompareAndSwap(ctx, store.SwapRequest{Key: key, Expect: revision, Delete: true})
	if err != nil {
		r.Log.Debug().Err(err).Str("key", key).Msg("Failed to delete a wave's history.")
	}
}

func (r *Recorder) sample(ctx context.Context, view explain.View, name string, spec *record.Wave, now time.Time) error {
	recording := r.waves[name]
	if recording == nil {
		loaded, err := r.load(ctx, name)
		if err != nil {
			return err
		}
		recording = loaded
		r.waves[name] = recording
	}
	if recording.ended && !isActive(view, name, recording.status) {
		return nil
	}
	due := now.Sub(recording.written) >= r.WriteInterval
	if due {
		if err := r.readStatus(ctx, recording, name); err != nil {
			return err
		}
	}
	if recording.history.SampleDue(now) {
		view.Waves[name] = recording.status
		recording.history = AppendSample(recording.history, view, name, spec, now, r.SampleInterval)
	}
	if !due {
		return nil
	}
	recording.ended = recording.status.Done()
	return r.write(ctx, recording, name, now)
}

// isActive reports whether a wave that had ended has a host out again or is no
// longer done, for example because an operator resumed it.
func isActive(view explain.View, name string, status wave.Status) bool {
	for _, item := range view.Snapshot.Hosts {
		if item.Wave == name && !item.Schedulable() {
			return true
		}
	}
	return !status.Done()
}

func (r *Recorder) load(ctx context.Context, name string) (*waveRecording, error) {
	entry, err := r.Store.Get(ctx, storekeys.History(name))
	if store.IsNotFound(err) {
		return &waveRecording{}, nil
	}
	if err != nil {
		return nil, err
	}
	history, err := Parse(entry.Key, entry.Value)
	if err != nil {
		r.Log.Warn().Err(err).Msg("Stored wave history is corrupt; starting a new one.")
		history = History{}
	}
	ended := (wave.Status{Phase: history.Phase}).Done()
	return &waveRecording{history: history, revision: entry.ModRevision, ended: ended, status: wave.Status{Phase: history.Phase}}, nil
}

func (r *Recorder) readStatus(ctx context.Context, recording *waveRecording, name string) error {
	entry, err := r.Store.Get(ctx, storekeys.Status(record.ID{Kind: record.KindWave, Name: name}))
	if store.IsNotFound(err) {
		return nil
	}
	if err != nil {
		return err
	}
	// A status that can't be parsed is replaced by the next one that its writer
	// stores.
	_ = json.Unmarshal(entry.Value, &recording.status)
	return nil
}

func (r *Recorder) write(ctx context.Context, recording *waveRecording, name string, now time.Time) error {
	recording.history.WriteID = uuid.NewString()
	value, err := json.Marshal(recording.history)
	if err != nil {
		return &CorruptError{Key: storekeys.History(name), Cause: err}
	}
	revision, err := store.IdempotentCAS(ctx, r.Store, store.SwapRequest{Key: storekeys.History(name), Expect: recording.revision, Value: value})
	if store.IsConflict(err) || store.IsUnknownOutcome(err) {
		// Another controller records as well, or the outcome of this write is
		// unknown: the next sample loads the stored history.
		delete(r.waves, name)
		return err
	}
	if err != nil {
		return err
	}
	recording.revision, recording.written = revision, now
	return nil
}
