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
	// maxHeadBytes bounds a head, far under store.MaxValueBytes: every write
	// sends it whole.
	maxHeadBytes = 64 << 10
	// maxAnswered bounds the archives that keep their answers: the newest 8 MB.
	// Older ones are stripped of them and keep the claims.
	maxAnswered = 128
	// maxArchives bounds all archives; claims are refused from there on.
	maxArchives = 4096
)

// journal is one process's view of one shard in the store.
//
// Every change goes through a compare-and-swap of the shard's one head, which
// is never deleted: whoever's view is behind fails there and reads again. So
// any number of processes may write, and that one of them usually does is only
// economy. A full head is copied to an archive named by the head's revision and
// emptied by the next write. Two processes that archive the same revision write
// the same bytes; an archive whose emptying write failed repeats entries that a
// later one has too, which folding allows for.
type journal struct {
	store       store.Store
	prefix      string
	retentionMs int64

	// known is false until the shard was read, and after a damage.
	known bool
	// behind is set when the head must be read again.
	behind bool
	// unfenced is set while a write with an unknown outcome may still take
	// effect. Any later write of the head fences it.
	unfenced bool

	head     *claimpb.Head
	raw      []byte
	revision store.Revision
	// received is when the store's last word on the head came in.
	received time.Time
	index    *index
	archives []archive
}

type archive struct {
	// of is the head's revision that was archived, revision the archive's own.
	of       store.Revision
	revision store.Revision
	clockMs  int64
	// answered is set while it may hold answers.
	answered bool
}

func newJournal(s store.Store, shard int, retention time.Duration) *journal {
	return &journal{
		store: s, prefix: fmt.Sprintf("%sshard/%02d/", storekeys.IdempotencyPrefix, shard),
		retentionMs: retention.Milliseconds(), index: newIndex(), head: &claimpb.Head{},
	}
}

func (j *journal) headKey() string { return j.prefix + "head" }

const archivePart = "archive/"

func (j *journal) archiveKey(of store.Revision) string {
	return fmt.Sprintf("%s%s%020d", j.prefix, archivePart, of)
}

// commit writes what a batch comes to. On an error mayBeWritten says whether
// some of it may have taken effect.
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
			j.tidy(ctx)
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

// fromMemory answers a batch that could not be written. A key that is known to
// be claimed stays claimed, so a repeat is told of it without the store; all
// else fails. The view may be behind: a claim freed since then reads as in
// progress, which costs its caller a wait.
func (j *journal) fromMemory(batch []*operation, cause error, mayBeWritten bool) []operationResult {
	d := decider{index: j.index, nowMs: j.nowMs(), retentionMs: j.retentionMs}
	results := make([]operationResult, len(batch))
	for i, op := range batch {
		results[i].err = &UnconfirmedError{ID: op.id(), MayBeWritten: mayBeWritten, Cause: cause}
		if op.claim == nil {
			continue
		}
		known, ok := d.lookup(op.claim.ID)
		if ok && known.identity != op.claim.Nonce {
			results[i] = d.judge(op.claim, known)
		}
	}
	return results
}

func (j *journal) fresh() bool { return time.Since(j.received) < freshFor }

// nowMs is the shard's clock: the last head's, and the time since that head
// was received. Each term is a duration on one process's monotonic clock that
// lies between two writes, so the clock never runs ahead of time and no claim
// expires early, however the processes' wall clocks differ or jump. While
// nobody holds a view it stands still, which only keeps claims longer.
func (j *journal) nowMs() int64 {
	return j.head.ClockMs + time.Since(j.received).Milliseconds()
}

// sync brings the view up to date where it may be behind.
func (j *journal) sync(ctx context.Context) error {
	if !j.known {
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
		// Entries have left the head since.
		return j.load(ctx)
	}
	j.take(entry, head)
	return nil
}

// take makes a head that was read the view's own.
func (j *journal) take(entry store.Entry, head *claimpb.Head) {
	for _, e := range head.Entries {
		j.index.fold(e, 0)
	}
	j.head, j.raw, j.revision = head, entry.Value, entry.ModRevision
	j.received = time.Now()
	j.known, j.behind = true, false
}

// load reads the whole shard in one call.
func (j *journal) load(ctx context.Context) error {
	listing, err := j.store.List(ctx, j.prefix)
	if err != nil {
		return err
	}
	j.known, j.index, j.archives = false, newIndex(), nil
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
	j.take(headEntry, head)
	j.index.sweep(head.ClockMs, j.retentionMs)
	return nil
}

func (j *journal) loadArchive(entry store.Entry) error {
	var of store.Revision
	if _, err := fmt.Sscanf(strings.TrimPrefix(entry.Key, j.prefix+archivePart), "%d", &of); err != nil {
		return &CorruptError{Key: entry.Key, Cause: err}
	}
	old, err := decodeHead(entry)
	if err != nil {
		return err
	}
	answered := false
	for _, e := range old.Entries {
		j.index.fold(e, of)
		answered = answered || e.Answer != nil
	}
	j.archives = append(j.archives, archive{of: of, revision: entry.ModRevision, clockMs: old.ClockMs, answered: answered})
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

// write puts new entries into the head.
func (j *journal) write(ctx context.Context, entries []*claimpb.Entry, nowMs int64) error {
	next, err := j.nextHead(ctx, entries, nowMs)
	if err != nil {
		return j.noteFailure(err)
	}
	value, err := proto.Marshal(next)
	if err != nil {
		return &CorruptError{Key: j.headKey(), Cause: err}
	}
	revision, err := store.IdempotentCAS(ctx, j.store, store.Write{Key: j.headKey(), Expect: j.revision, Value: value})
	if err != nil {
		return j.noteFailure(err)
	}
	for _, e := range entries {
		j.index.fold(e, 0)
	}
	j.head, j.raw, j.revision, j.received = next, value, revision, time.Now()
	j.unfenced = false
	return nil
}

func (j *journal) noteFailure(err error) error {
	j.behind = true
	j.unfenced = j.unfenced || store.IsUnknownOutcome(err)
	return err
}

// nextHead appends entries to the head. A head that would grow too large first
// loses what has expired, in the same write, and is archived when that isn't
// enough.
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
	revision, err := store.IdempotentCAS(ctx, j.store, store.Write{Key: j.archiveKey(j.revision), Value: j.raw})
	if err != nil && !store.IsConflict(err) {
		return err
	}
	// On a conflict another process archived the same head; the archive's own
	// revision is then learnt at the next load.
	j.archives = append(j.archives, archive{of: j.revision, revision: revision, clockMs: j.head.ClockMs, answered: true})
	j.index.moved(j.head.Entries, j.revision)
	return nil
}

// tidy deletes one archive that has expired whole, or strips one of its
// answers. What fails is left to a later write or process; there is at most
// one tidying to a write and about one to a hundred requests.
func (j *journal) tidy(ctx context.Context) {
	if len(j.archives) == 0 {
		return
	}
	if j.head.ClockMs-j.archives[0].clockMs >= j.retentionMs {
		j.deleteOldest(ctx)
		return
	}
	kept := 0
	for i := len(j.archives) - 1; i >= 0; i-- {
		if !j.archives[i].answered {
			continue
		}
		if kept++; kept > maxAnswered {
			j.strip(ctx, &j.archives[i])
			return
		}
	}
}

func (j *journal) deleteOldest(ctx context.Context) {
	oldest := j.archives[0]
	if oldest.revision != 0 {
		_, err := store.IdempotentCAS(ctx, j.store, store.Write{Key: j.archiveKey(oldest.of), Expect: oldest.revision, Delete: true})
		if err != nil && !store.IsConflict(err) {
			return
		}
	}
	j.archives = j.archives[1:]
}

// strip rewrites an archive without its answers. Whoever reads it then finds
// the claims and their results all the same.
func (j *journal) strip(ctx context.Context, a *archive) {
	entry, err := j.store.Get(ctx, j.archiveKey(a.of))
	if store.IsNotFound(err) {
		a.answered = false
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
	revision, err := store.IdempotentCAS(ctx, j.store, store.Write{Key: entry.Key, Expect: entry.ModRevision, Value: value})
	if err == nil {
		a.revision, a.answered = revision, false
	}
}

// archivedAnswer reads an answer back that is no longer in memory; nil when it
// is gone.
func (j *journal) archivedAnswer(ctx context.Context, of store.Revision, id ID) (*Response, error) {
	entry, err := j.store.Get(ctx, j.archiveKey(of))
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
	return decodeAnswer(found), nil
}
