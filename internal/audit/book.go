package audit

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"auburnglade.example/glade/internal/keys"
	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/store"
)

const (
	// pageBytes is the size at which a new page is begun. A page is written
	// whole at each append, so a small one keeps the bytes written down.
	pageBytes = 64 << 10
	// settleDelay is how long outcomes wait to be written together.
	settleDelay = time.Second
	sweepPause  = time.Hour
	// sweepDays is how many days beyond the retention are looked through, so
	// that a fleet that was down for a week still clears them.
	sweepDays = 10
	dayLayout = "2006-01-02"
)

// DefaultKeepDays is how many days of pages are kept.
const DefaultKeepDays = 30

// Config is what a Book is made of.
type Config struct {
	Store  store.Store
	Member string
	// KeepDays is how many days of pages are kept; zero means DefaultKeepDays.
	KeepDays int
	// Sweeps says whether this process clears old pages now; nil means always.
	Sweeps     func() bool
	Log        zerolog.Logger
	Registerer prometheus.Registerer
}

// Book writes one controller's pages. It is safe for concurrent use and has to
// be served.
type Book struct {
	Config
	entries *prometheus.CounterVec

	mu      sync.Mutex
	current *page
	// dirty pages have outcomes that the store doesn't have yet.
	dirty map[string]*page
	// open says in which page an entry waits for its outcome.
	open map[string]*page
	next int
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

// NewBook returns a book without pages.
func NewBook(config Config) *Book {
	if config.KeepDays == 0 {
		config.KeepDays = DefaultKeepDays
	}
	b := &Book{
		Config: config, dirty: make(map[string]*page), open: make(map[string]*page),
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
// change must not be made: it would leave no trace of who made it.
func (b *Book) Begin(ctx context.Context, e Entry) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	e.Member = b.Member
	if e.At.IsZero() {
		e.At = time.Now().UTC()
	}
	size := len(e.Before) + len(e.After)
	p := b.pageFor(e.At.Format(dayLayout), size)
	p.content.Entries = append(p.content.Entries, e)
	p.bytes += size
	if err := b.write(ctx, p); err != nil {
		// The page may hold the entry all the same. The next entry begins
		// another page, and this one's revision is read again before its
		// outcomes are written.
		p.content.Entries = p.content.Entries[:len(p.content.Entries)-1]
		b.current = nil
		return err
	}
	b.open[e.WriteID] = p
	return nil
}

func (b *Book) pageFor(day string, size int) *page {
	p := b.current
	if p != nil && p.day == day && p.bytes+size <= pageBytes {
		return p
	}
	b.next++
	p = &page{key: fmt.Sprintf("%s%s/%s/%06d", keys.AuditPrefix, day, b.Member, b.next), day: day}
	b.current = p
	return p
}

// Settle notes the outcome of an entry; it is stored with the next write of
// its page, or soon.
func (b *Book) Settle(writeID string, outcome Outcome, revision store.Revision) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.open[writeID]
	delete(b.open, writeID)
	if p == nil || outcome == Open {
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
func (b *Book) Serve(ctx context.Context) error {
	var swept time.Time
	for ctx.Err() == nil {
		pause.For(ctx, settleDelay)
		b.Flush(ctx)
		if time.Since(swept) > sweepPause && (b.Sweeps == nil || b.Sweeps()) {
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
func (b *Book) Flush(ctx context.Context) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, p := range b.dirty {
		if err := b.write(ctx, p); err != nil {
			b.Log.Debug().Err(err).Str("page", key).Msg("Outcomes not noted yet.")
			return
		}
	}
}

// write stores a page as it is now.
func (b *Book) write(ctx context.Context, p *page) error {
	if err := b.ascertain(ctx, p); err != nil {
		return err
	}
	p.content.WriteID = uuid.NewString()
	value, err := json.Marshal(p.content)
	if err != nil {
		return &DamagedError{Key: p.key, Cause: err}
	}
	revision, err := store.Swap(ctx, b.Store, store.Write{Key: p.key, Expect: p.revision, Value: value})
	if err != nil {
		p.uncertain = true
		return err
	}
	p.revision = revision
	delete(b.dirty, p.key)
	return nil
}

// ascertain reads at which revision a page is after a write whose outcome is
// unknown. A write that arrives even later loses its compare-and-swap.
func (b *Book) ascertain(ctx context.Context, p *page) error {
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
func (b *Book) Sweep(ctx context.Context, now time.Time) {
	for back := b.KeepDays + 1; back <= b.KeepDays+sweepDays; back++ {
		day := now.AddDate(0, 0, -back).Format(dayLayout)
		listing, err := b.Store.List(ctx, keys.AuditPrefix+day+"/")
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

// Read returns the entries of one day, "2026-12-02" in UTC, as they are
// stored. Pages that can't be read are returned as errors beside the rest.
func Read(ctx context.Context, s store.Store, day time.Time) ([]Entry, []error, error) {
	listing, err := s.List(ctx, keys.AuditPrefix+day.UTC().Format(dayLayout)+"/")
	if err != nil {
		return nil, nil, err
	}
	var entries []Entry
	var damaged []error
	for _, stored := range listing.Entries {
		var content pageContent
		if err := json.Unmarshal(stored.Value, &content); err != nil {
			damaged = append(damaged, &DamagedError{Key: stored.Key, Cause: err})
			continue
		}
		entries = append(entries, content.Entries...)
	}
	return entries, damaged, nil
}
