package atmostonce

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"auburnglade.example/glade/internal/atmostonce/claimpb"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/storekeys"
)

const (
	// maxHeadBytes is the maximum size of a head, far below store.MaxValueBytes
	// because every write sends the whole head.
	maxHeadBytes = 64 << 10
	// maxArchivesWithResponses is the number of newest archives, 8 MB together,
	// that keep their responses. Older archives keep the claims without the
	// responses.
	maxArchivesWithResponses = 128
	// maxArchives is the maximum number of archives; further claims are
	// refused.
	maxArchives = 4096
)

// journal is one process's view of one shard in the store.
//
// Every change is a compare-and-swap of the shard's head, the one stored value
// that holds its newest entries. The head is never deleted, so a process with
// an outdated view fails there and reads again. Any number of processes may
// therefore write; that usually only one does merely saves store calls. A full
// head is copied to an archive named by the head's revision, and the next write
// empties it. Two processes that archive the same revision write the same
// bytes. If the emptying write fails, the archive repeats entries that a later
// archive also has; folding is idempotent for them.
type journal struct {
	store       store.Store
	prefix      string
	retentionMs int64

	// loaded is false until the shard has been read, and after corrupt data was
	// read.
	loaded bool
	// behind is set when the head must be read again.
	behind bool
	// unfenced is set while a write with an unknown outcome may still take
	// effect. Any later write of the head fences it.
	unfenced bool

	head     *claimpb.Head
	raw      []byte
	revision store.Revision
	// received is when the store last confirmed the head.
	received time.Time
	index    *index
	archives []archive
}

type archive struct {
	// headRevision is the revision of the archived head, revision the archive's
	// own.
	headRevision store.Revision
	revision     store.Revision
	clockMs      int64
	// hasResponses is set while the archive may hold responses.
	hasResponses bool
}

func newJournal(s store.Store, shard int, retention time.Duration) *journal {
	return &journal{
		store: s, prefix: fmt.Sprintf("%sshard/%02d/", storekeys.IdempotencyPrefix, shard),
		retentionMs: retention.Milliseconds(), index: newIndex(), head: &claimpb.Head{},
	}
}

func (j *journal) headKey() string { return j.prefix + "head" }

const archiveDir = "archive/"

func (j *journal) archiveKey(headRevision store.Revision) string {
	return fmt.Sprintf("%s%s%020d", j.prefix, archiveDir, headRevision)
}

// commit writes the entries that a batch results in. On an error, mayBeWritten
// reports whether some of them may have taken effect.
func (j *journal) commit(ctx context.Context, batch []*operation) (results []operationResult, mayBeWritten bool, err error) {
	for range commitTries {
		if err = j.sync(ctx); err != nil {
			return nil, mayBeWritten, err
		}
		d := decider{index: j.index, nowMs: j.nowMs(), retentionMs: j.retentionMs}
		p := d.decide(batch)
		if len(p.entries) == 0 && !j.unfenced {
			if j.fresh() {
				return p.results, false, nil
			}
			j.behind = true
			continue
		}
		err = j.write(ctx, p.entries, d.nowMs)
		if err == nil {
			j.maintainArchives(ctx)
			return p.results, false, nil
		}
		mayBeWritten = mayBeWritten || store.IsUnknownOutcome(err)
		if !retriable(err) {
			return nil, mayBeWritten, err
		}
	}
	if err == nil {
		err = &StaleError{}
	}
	return nil, mayBeWritten, err
}

// resultsFromIndex returns results for a batch that could not be written. A
// claimed key stays claimed, so a repeat gets its state without a store call;
// everything else fails. The view may be outdated: a claim freed in the
// meantime reads as in progress, which only delays its caller.
func (j *journal) resultsFromIndex(batch []*operation, cause error, mayBeWritten bool) []operationResult {
	d := decider{index: j.index, nowMs: j.nowMs(), retentionMs: j.retentionMs}
	results := make([]operationResult, len(batch))
	for i, op := range batch {
		results[i].err = &UnconfirmedError{ID: op.id(), MayBeWritten: mayBeWritten, Cause: cause}
		if op.claim == nil {
			continue
		}
		existing, ok := d.lookup(op.claim.ID)
		if ok && existing.nonce != op.claim.Nonce {
			results[i] = d.resolve(op.claim, existing)
		}
	}
	return results
}

func (j *journal) fresh() bool { return time.Since(j.received) < freshFor }

// nowMs is the shard's clock in milliseconds: the clock of the last head plus
// the time since that head was received. Each term is a duration on one
// process's monotonic clock that lies between two writes, so the clock never
// runs ahead of real time and no claim expires early, even when the processes'
// wall clocks differ or jump. While no process has a view the clock stands
// still, which only keeps claims longer.
func (j *journal) nowMs() int64 {
	return j.head.ClockMs + time.Since(j.received).Milliseconds()
}

// sync refreshes the view when it may be outdated.
func (j *journal) sync(ctx context.Context) error {
	if !j.loaded {
		return j.load(ctx)
	}
	if !j.behind {
		return nil
	}
	entry, err := j.store.Get(ctx, j.headKey())
	if err != nil && !store.IsNotFound(err) {
		return err
	}
	if entry.ModRevision == j.revision {
		j.received, j.head.ClockMs = time.Now(), j.nowMs()
		j.behind = false
		return nil
	}
	head, err := decodeHead(entry)
	if err != nil {
		return err
	}
	if head.Generation != j.head.Generation {
		// Entries have been removed from the head since.
		return j.load(ctx)
	}
	j.adoptHead(entry, head)
	return nil
}

// adoptHead replaces the view's head by one that was read.
func (j *journal) adoptHead(entry store.Entry, head *claimpb.Head) {
	for _, e := range head.Entries {
		j.index.fold(e, 0)
	}
	j.head, j.raw, j.revision = head, entry.Value, entry.ModRevision
	j.received = time.Now()
	j.loaded, j.behind = true, false
}

// load reads the whole shard in one call.
func (j *journal) load(ctx context.Context) error {
	listing, err := j.store.List(ctx, j.prefix)
	if err != nil {
		return err
	}
	j.loaded, j.index, j.archives = false, newIndex(), nil
	headEntry := store.Entry{}
	sort.Slice(listing.Entries, func(a, b int) bool { return listing.Entries[a].Key < listing.Entries[b].Key })
	for _, entry := range listing.Entries {
		if entry.Key == j.headKey() {
			headEntry = entry
			continue
		}
		if err := j.loadArchive(entry); err != nil {
			return err
		}
	}
	head, err := decodeHead(headEntry)
	if err != nil {
		return err
	}
	j.adoptHead(headEntry, head)
	j.index.sweep(head.ClockMs, j.retentionMs)
	return nil
}

func (j *journal) loadArchive(entry store.Entry) error {
	var headRevision store.Revision
	if _, err := fmt.Sscanf(strings.TrimPrefix(entry.Key, j.prefix+archiveDir), "%d", &headRevision); err != nil {
		return &CorruptError{Key: entry.Key, Cause: err}
	}
	old, err := decodeHead(entry)
	if err != nil {
		return err
	}
	hasResponses := false
	for _, e := range old.Entries {
		j.index.fold(e, headRevision)
		hasResponses = hasResponses || e.Answer != nil
	}
	j.archives = append(j.archives, archive{headRevision: headRevision, revision: entry.ModRevision, clockMs: old.ClockMs, hasResponses: hasResponses})
	return nil
}

func decodeHead(entry store.Entry) (*claimpb.Head, error) {
	head := &claimpb.Head{}
	if err := proto.Unmarshal(entry.Value, head); err != nil {
		return nil, &CorruptError{Key: entry.Key, Cause: err}
	}
	for _, e := range head.Entries {
		if err := checkEntry(entry.Key, e); err != nil {
			return nil, err
		}
	}
	return head, nil
}

// write appends new entries to the head.
func (j *journal) write(ctx context.Context, entries []*claimpb.Entry, nowMs int64) error {
	next, err := j.nextHead(ctx, entries, nowMs)
	if err != nil {
		return j.recordWriteFailure(err)
	}
	value, err := proto.Marshal(next)
	if err != nil {
		return &CorruptError{Key: j.headKey(), Cause: err}
	}
	revision, err := store.IdempotentCAS(ctx, j.store, store.SwapRequest{Key: j.headKey(), Expect: j.revision, Value: value})
	if err != nil {
		return j.recordWriteFailure(err)
	}
	for _, e := range entries {
		j.index.fold(e, 0)
	}
	j.head, j.raw, j.revision, j.received = next, value, revision, time.Now()
	j.unfenced = false
	return nil
}

func (j *journal) recordWriteFailure(err error) error {
	j.behind = true
	j.unfenced = j.unfenced || store.IsUnknownOutcome(err)
	return err
}

// nextHead returns the head with entries appended. A head that would grow too
// large first loses its expired entries, in the same write, and is archived
// when that isn't enough.
func (j *journal) nextHead(ctx context.Context, entries []*claimpb.Entry, nowMs int64) (*claimpb.Head, error) {
	writer := uuid.New()
	next := &claimpb.Head{Writer: writer[:], ClockMs: nowMs, Generation: j.head.Generation}
	next.Entries = append(append(next.Entries, j.head.Entries...), entries...)
	if proto.Size(next) <= maxHeadBytes || len(j.head.Entries) == 0 {
		return next, nil
	}
	j.index.sweep(nowMs, j.retentionMs)
	next.Generation++
	next.Entries = append(prune(j.head.Entries, nowMs, j.retentionMs), entries...)
	if proto.Size(next) <= maxHeadBytes/2 {
		return next, nil
	}
	if err := j.archiveHead(ctx); err != nil {
		return nil, err
	}
	next.Entries = entries
	return next, nil
}

func (j *journal) archiveHead(ctx context.Context) error {
	if len(j.archives) >= maxArchives {
		return &ShardFullError{Archives: len(j.archives)}
	}
	revision, err := store.IdempotentCAS(ctx, j.store, store.SwapRequest{Key: j.archiveKey(j.revision), Value: j.raw})
	if err != nil && !store.IsConflict(err) {
		return err
	}
	// On a conflict another process archived the same head; the archive's own
	// revision becomes available at the next load.
	j.archives = append(j.archives, archive{headRevision: j.revision, revision: revision, clockMs: j.head.ClockMs, hasResponses: true})
	j.index.markArchived(j.head.Entries, j.revision)
	return nil
}

// maintainArchives deletes one fully expired archive or removes the responses
// from one archive. A failure is left to a later write or process. There is at
// most one such call per write, about one per hundred requests.
func (j *journal) maintainArchives(ctx context.Context) {
	if len(j.archives) == 0 {
		return
	}
	if j.head.ClockMs-j.archives[0].clockMs >= j.retentionMs {
		j.deleteOldest(ctx)
		return
	}
	kept := 0
	for i := len(j.archives) - 1; i >= 0; i-- {
		if !j.archives[i].hasResponses {
			continue
		}
		if kept++; kept > maxArchivesWithResponses {
			j.stripResponses(ctx, &j.archives[i])
			return
		}
	}
}

func (j *journal) deleteOldest(ctx context.Context) {
	oldest := j.archives[0]
	if oldest.revision != 0 {
		_, err := store.IdempotentCAS(ctx, j.store, store.SwapRequest{Key: j.archiveKey(oldest.headRevision), Expect: oldest.revision, Delete: true})
		if err != nil && !store.IsConflict(err) {
			return
		}
	}
	j.archives = j.archives[1:]
}

// stripResponses rewrites an archive without its responses. The claims and
// their results stay readable.
func (j *journal) stripResponses(ctx context.Context, a *archive) {
	entry, err := j.store.Get(ctx, j.archiveKey(a.headRevision))
	if store.IsNotFound(err) {
		a.hasResponses = false
	}
	if err != nil {
		return
	}
	old, err := decodeHead(entry)
	if err != nil {
		return
	}
	for _, e := range old.Entries {
		e.Answer = nil
	}
	value, err := proto.Marshal(old)
	if err != nil {
		return
	}
	revision, err := store.IdempotentCAS(ctx, j.store, store.SwapRequest{Key: entry.Key, Expect: entry.ModRevision, Value: value})
	if err == nil {
		a.revision, a.hasResponses = revision, false
	}
}

// archivedResponse reads a response that is no longer in memory. It returns nil
// when the response is no longer stored.
func (j *journal) archivedResponse(ctx context.Context, headRevision store.Revision, id ID) (*Response, error) {
	entry, err := j.store.Get(ctx, j.archiveKey(headRevision))
	if store.IsNotFound(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	old, err := decodeHead(entry)
	if err != nil {
		return nil, err
	}
	var found *claimpb.Answer
	for _, e := range old.Entries {
		if ID(e.Id) == id && e.Kind == claimpb.Kind_ANSWERED {
			found = e.Answer
		}
	}
	return decodeResponse(found), nil
}
