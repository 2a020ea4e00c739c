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

// journalLength is how many deletions a controller remembers: some days' worth
// at 2,400 changes a day if every other one were a deletion.
const journalLength = 4096

// Deletion is one record that is gone.
type Deletion struct {
	ID record.ID `json:"id"`
	// Revision is at or after that of the deletion.
	Revision store.Revision `json:"revision"`
}

// DeletionLog remembers the latest deletions, which a snapshot can't show. It has
// to be served.
type DeletionLog struct {
	feed *configfeed.Feed

	mu        sync.Mutex
	snapshot  *configstate.Snapshot
	deletions []Deletion
	// since is the newest revision before which deletions are not known.
	since   store.Revision
	changed chan struct{}
}

// NewDeletionLog returns a journal that follows the feed once it is served.
func NewDeletionLog(f *configfeed.Feed) *DeletionLog {
	snapshot := f.Snapshot()
	return &DeletionLog{feed: f, snapshot: snapshot, since: snapshot.Revision, changed: make(chan struct{})}
}

// Serve follows the feed until ctx ends.
func (j *DeletionLog) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		snapshot, changed := j.feed.Current()
		j.follow(snapshot)
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

func (j *DeletionLog) follow(next *configstate.Snapshot) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if next.Revision <= j.snapshot.Revision {
		return
	}
	if j.snapshot.Revision == 0 {
		// The first snapshot doesn't say what was deleted before it.
		j.since = next.Revision
	}
	for key := range j.snapshot.Raw {
		id, isSpec := storekeys.ParseSpec(key)
		if _, still := next.Raw[key]; isSpec && !still {
			j.deletions = append(j.deletions, Deletion{ID: id, Revision: next.Revision})
		}
	}
	if over := len(j.deletions) - journalLength; over > 0 {
		j.since = j.deletions[over-1].Revision
		j.deletions = append([]Deletion(nil), j.deletions[over:]...)
	}
	j.snapshot = next
	close(j.changed)
	j.changed = make(chan struct{})
}

// changesSince returns what changed after a revision, and a channel that
// closes at the next change.
func (j *DeletionLog) changesSince(after store.Revision) (Changes, <-chan struct{}) {
	j.mu.Lock()
	defer j.mu.Unlock()
	changes := changesSince(j.snapshot, after)
	if after > 0 && after < j.since {
		// Deletions may be missing: all records are sent, and what the
		// watcher knows beyond them is gone.
		changes = changesSince(j.snapshot, 0)
		changes.Reset = true
		return changes, j.changed
	}
	for _, deletion := range j.deletions {
		if deletion.Revision > after {
			changes.Deleted = append(changes.Deleted, deletion)
		}
	}
	return changes, j.changed
}

// watchWait is how long a watch without news waits.
const watchWait = 20 * time.Second

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeError(w, &QueryError{Parameter: "after", Got: r.URL.Query().Get("after"), Want: "a whole number"})
		return
	}
	timeout := time.NewTimer(watchWait)
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
