package audit

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/storekeys"
)

const (
	// pageBytes is the size at which a new page is started. Each append
	// rewrites the whole page, so a small limit reduces the bytes written.
	pageBytes = 64 << 10
	// flushInterval is how long outcomes are collected before they are written
	// together.
	flushInterval = time.Second
	// writeTimeout limits the consecutive writes of one drain of the queue.
	writeTimeout  = 10 * time.Second
	sweepInterval = time.Hour
	// sweepDays is how many days beyond the retention are searched for expired
	// pages. It covers a fleet that was down for a week.
	sweepDays = 10
	dayLayout = "2006-01-02"
)

// DefaultRetentionDays is the default number of days that pages are kept.
const DefaultRetentionDays = 30

// Config configures a Recorder.
type Config struct {
	Store  store.Store
	Member string
	// RetentionDays is the number of days that pages are kept; zero means
	// DefaultRetentionDays.
	RetentionDays int
	// ShouldSweep reports whether this process deletes expired pages at
	// present; nil means always.
	ShouldSweep func() bool
	Log         zerolog.Logger
	Registerer  prometheus.Registerer
}

// Recorder writes the pages of one controller. It is safe for concurrent use.
// The caller must run its Serve method.
type Recorder struct {
	Config
	entries *prometheus.CounterVec

	// writeLock is held while pages are written. It is separate from mu, so
	// that a slow store doesn't block callers that only record an outcome.
	writeLock chan struct{}

	mu    sync.Mutex
	queue []*pendingEntry
	// current is the page to which entries are appended.
	current *page
	// dirty holds the pages with outcomes that are not stored yet, by key.
	dirty map[string]*page
	// unresolved holds the page of each entry without an outcome, by write ID.
	unresolved map[string]*page
	pageNumber int
}

// pendingEntry is an entry to be stored; done receives the result.
type pendingEntry struct {
	entry Entry
	done  chan error
}

// page is one stored page, of which this process is the only writer.
type page struct {
	key      string
	day      string
	revision store.Revision
	// outcomeUnknown reports that the outcome of the last write is unknown.
	outcomeUnknown bool
	content        pageContent
	bytes          int
}

type pageContent struct {
	Entries []Entry `json:"entries"`
	WriteID string  `json:"writeId"`
}

// NewRecorder returns a Recorder without pages.
func NewRecorder(config Config) *Recorder {
	if config.RetentionDays == 0 {
		config.RetentionDays = DefaultRetentionDays
	}
	r := &Recorder{
		Config: config, writeLock: make(chan struct{}, 1),
		dirty: make(map[string]*page), unresolved: make(map[string]*page),
		entries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "glade_audit_entries_total",
			Help: "Changes by operators that were audited, by what became of them and whether glass was broken.",
		}, []string{"outcome", "break_glass"}),
	}
	if config.Registerer != nil {
		config.Registerer.MustRegister(r.entries)
	}
	return r
}

// Begin stores an entry before its change is written. On an error the change
// must not be made, because its author would not be recorded. Entries that
// arrive while a page is being written are batched into the next write.
func (r *Recorder) Begin(ctx context.Context, e Entry) error {
	e.Member = r.Member
	if e.At.IsZero() {
		e.At = time.Now().UTC()
	}
	w := &pendingEntry{entry: e, done: make(chan error, 1)}
	r.mu.Lock()
	r.queue = append(r.queue, w)
	r.mu.Unlock()
	select {
	case r.writeLock <- struct{}{}:
		r.drain(ctx)
		<-r.writeLock
		return <-w.done
	case err := <-w.done:
		return err
	case <-ctx.Done():
		return &store.UnavailableError{Op: "audit", Cause: ctx.Err()}
	}
}

// drain stores all pending entries. The writes don't end with ctx, so that one
// operator who disconnects doesn't fail the entries of others.
func (r *Recorder) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), writeTimeout)
	defer cancel()
	for {
		p, batch := r.takeBatch()
		if len(batch) == 0 {
			return
		}
		err := r.write(ctx, p)
		r.finishBatch(p, batch, err)
		for _, w := range batch {
			w.done <- err
		}
	}
}

// takeBatch appends pending entries of one day to a page, as many as fit, and
// returns them.
func (r *Recorder) takeBatch() (*page, []*pendingEntry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.queue) == 0 {
		return nil, nil
	}
	p := r.pageFor(r.queue[0].entry)
	taken := 0
	for _, w := range r.queue {
		if taken > 0 && !p.hasRoomFor(w.entry) {
			break
		}
		p.content.Entries = append(p.content.Entries, w.entry)
		p.bytes += w.entry.size()
		taken++
	}
	batch := r.queue[:taken]
	r.queue = append([]*pendingEntry(nil), r.queue[taken:]...)
	return p, batch
}

// finishBatch records the result of a batch. A failed write may have stored the
// entries nevertheless, so the next entries start a new page, and the revision
// of this one is read again before its outcomes are written.
func (r *Recorder) finishBatch(p *page, batch []*pendingEntry, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		p.content.Entries = p.content.Entries[:len(p.content.Entries)-len(batch)]
		r.current = nil
		return
	}
	for _, w := range batch {
		r.unresolved[w.entry.WriteID] = p
	}
}

func (r *Recorder) pageFor(e Entry) *page {
	if r.current != nil && r.current.hasRoomFor(e) {
		return r.current
	}
	r.pageNumber++
	day := e.At.Format(dayLayout)
	r.current = &page{key: fmt.Sprintf("%s%s/%s/%06d", storekeys.AuditPrefix, day, r.Member, r.pageNumber), day: day}
	return r.current
}

func (p *page) hasRoomFor(e Entry) bool {
	return p.day == e.At.Format(dayLayout) && p.bytes+e.size() <= pageBytes
}

func (e Entry) size() int { return len(e.Before) + len(e.After) }

// SetOutcome records the outcome of an entry. It is stored with the next write
// of its page or at the next flush.
func (r *Recorder) SetOutcome(writeID string, outcome Outcome, revision store.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.unresolved[writeID]
	delete(r.unresolved, writeID)
	if p == nil || outcome == Unresolved {
		return
	}
	for i := range p.content.Entries {
		e := &p.content.Entries[i]
		if e.WriteID == writeID {
			e.Outcome, e.Revision = outcome, revision
			r.entries.WithLabelValues(string(outcome), fmt.Sprint(e.BreakGlass)).Inc()
		}
	}
	r.dirty[p.key] = p
}

// Serve writes outcomes and deletes expired pages until ctx ends.
func (r *Recorder) Serve(ctx context.Context) error {
	var swept time.Time
	for ctx.Err() == nil {
		pause.For(ctx, flushInterval)
		r.Flush(ctx)
		if time.Since(swept) > sweepInterval && (r.ShouldSweep == nil || r.ShouldSweep()) {
			swept = time.Now()
			r.Sweep(ctx, swept.UTC())
		}
	}
	last, cancel := context.WithTimeout(context.Background(), flushInterval)
	defer cancel()
	r.Flush(last)
	return ctx.Err()
}

// Flush writes the outcomes that are not stored yet. A failed write is retried
// at the next flush; readers don't depend on it.
func (r *Recorder) Flush(ctx context.Context) {
	select {
	case r.writeLock <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-r.writeLock }()
	for _, p := range r.dirtyPages() {
		if err := r.write(ctx, p); err != nil {
			r.Log.Debug().Err(err).Str("page", p.key).Msg("Failed to write audit outcomes; retrying at the next flush.")
			r.mu.Lock()
			r.dirty[p.key] = p
			r.mu.Unlock()
		}
	}
}

func (r *Recorder) dirtyPages() []*page {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Values(r.dirty))
}

// write stores a page in its current state. The caller holds writeLock.
func (r *Recorder) write(ctx context.Context, p *page) error {
	if err := r.refreshRevision(ctx, p); err != nil {
		return err
	}
	wasDirty, value, err := r.encode(p)
	if err != nil {
		return &CorruptError{Key: p.key, Cause: err}
	}
	revision, err := store.IdempotentCAS(ctx, r.Store, store.SwapRequest{Key: p.key, Expect: p.revision, Value: value})
	if err == nil {
		p.revision = revision
		return nil
	}
	p.outcomeUnknown = true
	if wasDirty {
		r.mu.Lock()
		r.dirty[p.key] = p
		r.mu.Unlock()
	}
	return err
}

// encode returns the value to store for a page and whether the page was dirty,
// and clears its dirty state.
func (r *Recorder) encode(p *page) (wasDirty bool, value []byte, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	wasDirty = r.dirty[p.key] != nil
	delete(r.dirty, p.key)
	p.content.WriteID = uuid.NewString()
	value, err = json.Marshal(p.content)
	return wasDirty, value, err
}

// refreshRevision reads the revision of a page after a write with an unknown
// outcome. If that write arrives even later, its compare-and-swap fails.
func (r *Recorder) refreshRevision(ctx context.Context, p *page) error {
	if !p.outcomeUnknown {
		return nil
	}
	entry, err := r.Store.Get(ctx, p.key)
	if err != nil && !store.IsNotFound(err) {
		return err
	}
	p.revision, p.outcomeUnknown = entry.ModRevision, false
	return nil
}

// Sweep deletes the pages older than the retention.
func (r *Recorder) Sweep(ctx context.Context, now time.Time) {
	for back := r.RetentionDays + 1; back <= r.RetentionDays+sweepDays; back++ {
		day := now.AddDate(0, 0, -back).Format(dayLayout)
		listing, err := r.Store.List(ctx, storekeys.AuditPrefix+day+"/")
		if err != nil {
			r.Log.Debug().Err(err).Msg("Failed to list expired audit pages.")
			return
		}
		for _, entry := range listing.Entries {
			// Another process may have deleted it, or the store is unavailable:
			// the next sweep finds what is left.
			_, _ = r.Store.CompareAndSwap(ctx, store.SwapRequest{Key: entry.Key, Expect: entry.ModRevision, Delete: true})
		}
	}
}

// Read returns the stored entries of one day in UTC. For pages that can't be
// parsed it returns errors beside the other entries.
func Read(ctx context.Context, s store.Store, day time.Time) ([]Entry, []error, error) {
	listing, err := s.List(ctx, storekeys.AuditPrefix+day.UTC().Format(dayLayout)+"/")
	if err != nil {
		return nil, nil, err
	}
	var entries []Entry
	var corrupt []error
	for _, stored := range listing.Entries {
		var content pageContent
		if err := json.Unmarshal(stored.Value, &content); err != nil {
			corrupt = append(corrupt, &CorruptError{Key: stored.Key, Cause: err})
			continue
		}
		entries = append(entries, content.Entries...)
	}
	return entries, corrupt, nil
}
