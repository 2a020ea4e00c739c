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
	// pageBytes is the size at which a new page is begun. A page is written
	// whole at each append, so a small one keeps the bytes written down.
	pageBytes = 64 << 10
	// settleDelay is how long outcomes wait to be written together.
	settleDelay = time.Second
	// writeTimeout bounds the writes of one batch after another.
	writeTimeout = 10 * time.Second
	sweepPause   = time.Hour
	// sweepDays is how many days beyond the retention are looked through, so
	// that a fleet that was down for a week still clears them.
	sweepDays = 10
	dayLayout = "2006-01-02"
)

// DefaultRetentionDays is how many days of pages are kept.
const DefaultRetentionDays = 30

// Config is what a Book is made of.
type Config struct {
	Store  store.Store
	Member string
	// RetentionDays is how many days of pages are kept; zero means DefaultKeepDays.
	RetentionDays int
	// ShouldSweep says whether this process clears old pages now; nil means always.
	ShouldSweep func() bool
	Log         zerolog.Logger
	Registerer  prometheus.Registerer
}

// Recorder writes one controller's pages. It is safe for concurrent use and has to
// be served.
type Recorder struct {
	Config
	entries *prometheus.CounterVec

	// turn is held by whoever writes pages. It is apart from mu, so that a slow
	// store holds up no one who only notes an outcome.
	turn chan struct{}

	mu    sync.Mutex
	queue []*waiting
	// current is the page that entries are appended to.
	current *page
	// dirty pages have outcomes that the store doesn't have yet.
	dirty map[string]*page
	// open says in which page an entry waits for its outcome.
	open map[string]*page
	next int
}

// waiting is an entry to be stored; done gets the result.
type waiting struct {
	entry Entry
	done  chan error
}

// page is one stored page as this process, its only writer, knows it.
type page struct {
	key      string
	day      string
	revision store.Revision
	// uncertain says that the last write's outcome isn't known.
	uncertain bool
	content   pageContent
	bytes     int
}

type pageContent struct {
	Entries []Entry `json:"entries"`
	WriteID string  `json:"writeId"`
}

// NewRecorder returns a book without pages.
func NewRecorder(config Config) *Recorder {
	if config.RetentionDays == 0 {
		config.RetentionDays = DefaultRetentionDays
	}
	b := &Recorder{
		Config: config, turn: make(chan struct{}, 1),
		dirty: make(map[string]*page), open: make(map[string]*page),
		entries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "glade_audit_entries_total",
			Help: "Changes by operators that were audited, by what became of them and whether glass was broken.",
		}, []string{"outcome", "break_glass"}),
	}
	if config.Registerer != nil {
		config.Registerer.MustRegister(b.entries)
	}
	return b
}

// Begin stores an entry whose change has yet to be written. On an error the
// change must not be made: it would leave no trace of who made it. Entries that
// come while a page is being written go together into the next write.
func (b *Recorder) Begin(ctx context.Context, e Entry) error {
	e.Member = b.Member
	if e.At.IsZero() {
		e.At = time.Now().UTC()
	}
	w := &waiting{entry: e, done: make(chan error, 1)}
	b.mu.Lock()
	b.queue = append(b.queue, w)
	b.mu.Unlock()
	select {
	case b.turn <- struct{}{}:
		b.drain(ctx)
		<-b.turn
		return <-w.done
	case err := <-w.done:
		return err
	case <-ctx.Done():
		return &store.UnavailableError{Op: "audit", Cause: ctx.Err()}
	}
}

// drain stores every waiting entry. One operator who hangs up must not fail
// the entries of others, so the writes don't end with ctx.
func (b *Recorder) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), writeTimeout)
	defer cancel()
	for {
		p, batch := b.takeBatch()
		if len(batch) == 0 {
			return
		}
		err := b.write(ctx, p)
		b.begun(p, batch, err)
		for _, w := range batch {
			w.done <- err
		}
	}
}

// takeBatch appends waiting entries of one day to a page, as many as it takes,
// and returns them.
func (b *Recorder) takeBatch() (*page, []*waiting) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) == 0 {
		return nil, nil
	}
	p := b.pageFor(b.queue[0].entry)
	taken := 0
	for _, w := range b.queue {
		if taken > 0 && !p.takes(w.entry) {
			break
		}
		p.content.Entries = append(p.content.Entries, w.entry)
		p.bytes += w.entry.size()
		taken++
	}
	batch := b.queue[:taken]
	b.queue = append([]*waiting(nil), b.queue[taken:]...)
	return p, batch
}

// begun notes what became of a batch. When the write failed the page may hold
// the entries all the same: the next entries begin another page, and this
// one's revision is read again before its outcomes are written.
func (b *Recorder) begun(p *page, batch []*waiting, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil {
		p.content.Entries = p.content.Entries[:len(p.content.Entries)-len(batch)]
		b.current = nil
		return
	}
	for _, w := range batch {
		b.open[w.entry.WriteID] = p
	}
}

func (b *Recorder) pageFor(e Entry) *page {
	if b.current != nil && b.current.takes(e) {
		return b.current
	}
	b.next++
	day := e.At.Format(dayLayout)
	b.current = &page{key: fmt.Sprintf("%s%s/%s/%06d", storekeys.AuditPrefix, day, b.Member, b.next), day: day}
	return b.current
}

func (p *page) takes(e Entry) bool {
	return p.day == e.At.Format(dayLayout) && p.bytes+e.size() <= pageBytes
}

func (e Entry) size() int { return len(e.Before) + len(e.After) }

// SetOutcome notes the outcome of an entry; it is stored with the next write of
// its page, or soon.
func (b *Recorder) SetOutcome(writeID string, outcome Outcome, revision store.Revision) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.open[writeID]
	delete(b.open, writeID)
	if p == nil || outcome == Unresolved {
		return
	}
	for i := range p.content.Entries {
		e := &p.content.Entries[i]
		if e.WriteID == writeID {
			e.Outcome, e.Revision = outcome, revision
			b.entries.WithLabelValues(string(outcome), fmt.Sprint(e.BreakGlass)).Inc()
		}
	}
	b.dirty[p.key] = p
}

// Serve writes outcomes and clears old pages until ctx ends.
func (b *Recorder) Serve(ctx context.Context) error {
	var swept time.Time
	for ctx.Err() == nil {
		pause.For(ctx, settleDelay)
		b.Flush(ctx)
		if time.Since(swept) > sweepPause && (b.ShouldSweep == nil || b.ShouldSweep()) {
			swept = time.Now()
			b.Sweep(ctx, swept.UTC())
		}
	}
	last, cancel := context.WithTimeout(context.Background(), settleDelay)
	defer cancel()
	b.Flush(last)
	return ctx.Err()
}

// Flush writes the outcomes that the store doesn't have. What fails is tried
// again with the next flush; readers don't depend on it.
func (b *Recorder) Flush(ctx context.Context) {
	select {
	case b.turn <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-b.turn }()
	for _, p := range b.dirtyPages() {
		if err := b.write(ctx, p); err != nil {
			b.Log.Debug().Err(err).Str("page", p.key).Msg("Outcomes not noted yet.")
			b.mu.Lock()
			b.dirty[p.key] = p
			b.mu.Unlock()
		}
	}
}

func (b *Recorder) dirtyPages() []*page {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Collect(maps.Values(b.dirty))
}

// write stores a page as it is now. The caller holds the turn.
func (b *Recorder) write(ctx context.Context, p *page) error {
	if err := b.ascertain(ctx, p); err != nil {
		return err
	}
	wasDirty, value, err := b.encode(p)
	if err != nil {
		return &CorruptError{Key: p.key, Cause: err}
	}
	revision, err := store.IdempotentCAS(ctx, b.Store, store.Write{Key: p.key, Expect: p.revision, Value: value})
	if err == nil {
		p.revision = revision
		return nil
	}
	p.uncertain = true
	if wasDirty {
		b.mu.Lock()
		b.dirty[p.key] = p
		b.mu.Unlock()
	}
	return err
}

// encode returns a page as it is to be stored, and whether it was dirty, which
// it is no more.
func (b *Recorder) encode(p *page) (wasDirty bool, value []byte, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	wasDirty = b.dirty[p.key] != nil
	delete(b.dirty, p.key)
	p.content.WriteID = uuid.NewString()
	value, err = json.Marshal(p.content)
	return wasDirty, value, err
}

// ascertain reads at which revision a page is after a write whose outcome is
// unknown. A write that arrives even later loses its compare-and-swap.
func (b *Recorder) ascertain(ctx context.Context, p *page) error {
	if !p.uncertain {
		return nil
	}
	entry, err := b.Store.Get(ctx, p.key)
	if err != nil && !store.IsNotFound(err) {
		return err
	}
	p.revision, p.uncertain = entry.ModRevision, false
	return nil
}

// Sweep deletes the pages of days that are kept no longer.
func (b *Recorder) Sweep(ctx context.Context, now time.Time) {
	for back := b.RetentionDays + 1; back <= b.RetentionDays+sweepDays; back++ {
		day := now.AddDate(0, 0, -back).Format(dayLayout)
		listing, err := b.Store.List(ctx, storekeys.AuditPrefix+day+"/")
		if err != nil {
			b.Log.Debug().Err(err).Msg("Old audit pages not listed.")
			return
		}
		for _, entry := range listing.Entries {
			// Someone else may have deleted it, or the store is away: the
			// next sweep finds what is left.
			_, _ = b.Store.CompareAndSwap(ctx, store.Write{Key: entry.Key, Expect: entry.ModRevision, Delete: true})
		}
	}
}

// Read returns the entries of one day, by UTC, as they are stored. Pages that
// can't be read are returned as errors beside the rest.
func Read(ctx context.Context, s store.Store, day time.Time) ([]Entry, []error, error) {
	listing, err := s.List(ctx, storekeys.AuditPrefix+day.UTC().Format(dayLayout)+"/")
	if err != nil {
		return nil, nil, err
	}
	var entries []Entry
	var damaged []error
	for _, stored := range listing.Entries {
		var content pageContent
		if err := json.Unmarshal(stored.Value, &content); err != nil {
			damaged = append(damaged, &CorruptError{Key: stored.Key, Cause: err})
			continue
		}
		entries = append(entries, content.Entries...)
	}
	return entries, damaged, nil
}
