package operatorapi

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"auburnglade.example/glade/internal/configfeed"
	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/storekeys"
)

// maxDeletions limits the deletions that a controller keeps. It covers some
// days at 2,400 changes a day if every other one were a deletion.
const maxDeletions = 4096

// Deletion is the deletion of a record.
type Deletion struct {
	ID record.ID `json:"id"`
	// Revision is the revision of the deletion or a later one.
	Revision store.Revision `json:"revision"`
}

// DeletionLog keeps the latest deletions, which a snapshot doesn't include. The
// caller must run its Serve method.
type DeletionLog struct {
	feed *configfeed.Feed

	mu        sync.Mutex
	snapshot  *configstate.Snapshot
	deletions []Deletion
	// completeSince is the revision since which all deletions are recorded;
	// earlier ones may be missing.
	completeSince store.Revision
	changed       chan struct{}
}

// NewDeletionLog returns a log that watches the feed while Serve runs.
func NewDeletionLog(f *configfeed.Feed) *DeletionLog {
	snapshot := f.Snapshot()
	return &DeletionLog{feed: f, snapshot: snapshot, completeSince: snapshot.Revision, changed: make(chan struct{})}
}

// Serve records the deletions that the feed delivers until ctx ends.
func (l *DeletionLog) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		snapshot, changed := l.feed.Current()
		l.update(snapshot)
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

func (l *DeletionLog) update(next *configstate.Snapshot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if next.Revision <= l.snapshot.Revision {
		return
	}
	if l.snapshot.Revision == 0 {
		// The first snapshot doesn't include earlier deletions.
		l.completeSince = next.Revision
	}
	for key := range l.snapshot.Raw {
		id, isSpec := storekeys.ParseSpec(key)
		if _, still := next.Raw[key]; isSpec && !still {
			l.deletions = append(l.deletions, Deletion{ID: id, Revision: next.Revision})
		}
	}
	if over := len(l.deletions) - maxDeletions; over > 0 {
		l.completeSince = l.deletions[over-1].Revision
		l.deletions = append([]Deletion(nil), l.deletions[over:]...)
	}
	l.snapshot = next
	close(l.changed)
	l.changed = make(chan struct{})
}

// changesSince returns the changes after a revision, and a channel that is
// closed at the next change.
func (l *DeletionLog) changesSince(after store.Revision) (Changes, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	changes := changesSince(l.snapshot, after)
	if after > 0 && after < l.completeSince {
		// Deletions may be missing: all records are sent with Reset set, and
		// the watcher must drop every record that is not among them.
		changes = changesSince(l.snapshot, 0)
		changes.Reset = true
		return changes, l.changed
	}
	for _, deletion := range l.deletions {
		if deletion.Revision > after {
			changes.Deleted = append(changes.Deleted, deletion)
		}
	}
	return changes, l.changed
}

// watchTimeout is how long a watch waits for a change before it returns an
// empty response.
const watchTimeout = 20 * time.Second

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeError(w, &QueryError{Parameter: "after", Got: r.URL.Query().Get("after"), Want: "a whole number"})
		return
	}
	timeout := time.NewTimer(watchTimeout)
	defer timeout.Stop()
	for {
		changes, changed := s.Deletions.changesSince(store.Revision(after))
		if changes.Reset || len(changes.Records)+len(changes.Deleted) > 0 {
			writeJSON(w, http.StatusOK, changes)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			writeJSON(w, http.StatusOK, changes)
			return
		case <-r.Context().Done():
			return
		}
	}
}
