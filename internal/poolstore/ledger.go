// Package poolstore has what a pool keeps in the store: its jobs, how far they
// have come, and the records that order its changes. Every change of a pool
// writes its head, or the record of a lane, under the condition that it is as
// the holder last wrote it, and a lane's besides under the condition that nobody
// has taken the pool over. So a holder that was replaced changes nothing any
// more, also with a call that the store carries out late, and a call without an
// answer is settled by sending it again.
package poolstore

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"

	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/work"
)

// Keys of the store.
const (
	poolPrefix  = "glade/pool/"
	inboxPrefix = "glade/inbox/"
	// EphemeralPrefix is above all keys that live and die with a process.
	EphemeralPrefix = "glade/live/"
	MemberPrefix    = EphemeralPrefix + "member/"
	ClaimPrefix     = EphemeralPrefix + "claim/"

	jobPart      = "/job/"
	progressPart = "/at/"
	lanePart     = "/lane/"
	cancelSuffix = ".cancel"
)

// HeadKey is the key of the record that orders a pool's changes.
func HeadKey(pool string) string { return poolPrefix + pool + "/head" }

// FenceKey is the key that only takeovers write. Commits that don't write the
// head are made under the condition that it is as the holder's takeover left it.
func FenceKey(pool string) string { return poolPrefix + pool + "/fence" }

// LaneKey is the key that orders the commits of one lane of a pool's holder.
func LaneKey(pool string, lane int) string { return poolPrefix + pool + lanePart + strconv.Itoa(lane) }

// JobKey is the key of an accepted job.
func JobKey(pool, id string) string { return poolPrefix + pool + jobPart + id }

// ProgressKey is the key of a job's progress.
func ProgressKey(pool, id string) string { return poolPrefix + pool + progressPart + id }

// InboxPrefix is above what was left for a pool while its holder couldn't be
// reached.
func InboxPrefix(pool string) string { return inboxPrefix + pool + "/" }

// InboxJobKey is the key of a job left for a pool's holder.
func InboxJobKey(pool, id string) string { return InboxPrefix(pool) + id }

// InboxCancelKey is the key of a cancel left for a pool's holder.
func InboxCancelKey(pool, id string) string { return InboxPrefix(pool) + id + cancelSuffix }

// ParseInboxKey tells which job a key of the inbox is about, and whether it is
// a cancel.
func ParseInboxKey(pool, key string) (id string, cancel bool) {
	id = strings.TrimPrefix(key, InboxPrefix(pool))
	id, cancel = strings.CutSuffix(id, cancelSuffix)
	return id, cancel
}

// ClaimKey is the key that says who holds a pool, for as long as its holder
// lives.
func ClaimKey(pool string) string { return ClaimPrefix + pool }

// Head is the record that orders a pool's changes.
type Head struct {
	// Fence rises with every takeover.
	Fence int64 `json:"f"`
	// Holder is the process that holds the pool, with its start.
	Holder string `json:"h"`
	// Sequence numbers the changes of one holder.
	Sequence int64 `json:"c"`
	// HostsInUse are the hosts on which tasks may run.
	HostsInUse []string `json:"r,omitempty"`
	// Unresponsive are those of them that the holder couldn't ask when it wrote this,
	// with the milliseconds after which all that may run there has certainly
	// lapsed: the holder renews nothing there until the store names them as in
	// use again.
	Unresponsive map[string]int64 `json:"s,omitempty"`
	// Released: the holder gave the pool up and orders nothing any more.
	Released bool `json:"x,omitempty"`
}

// Encode returns the stored form.
func (h Head) Encode() []byte {
	data, err := json.Marshal(h)
	if err != nil {
		// A struct of numbers and strings always encodes.
		panic(err)
	}
	return data
}

// DecodeHead reads a head; an absent one is the zero Head.
func DecodeHead(entry store.Entry) (Head, error) {
	var h Head
	if entry.ModRevision == 0 {
		return h, nil
	}
	if err := json.Unmarshal(entry.Value, &h); err != nil {
		return h, &work.CorruptError{What: "pool head", Cause: err}
	}
	return h, nil
}

// ReadHead reads a pool's head and the revision it is at, zero when absent.
func ReadHead(ctx context.Context, s store.Store, pool string) (Head, store.Revision, error) {
	entry, err := s.Get(ctx, HeadKey(pool))
	if err != nil && !store.IsNotFound(err) {
		return Head{}, 0, err
	}
	head, err := DecodeHead(entry)
	return head, entry.ModRevision, err
}

// StoredJob is one job as the store has it.
type StoredJob struct {
	Record   *work.Record
	Progress *work.Progress
}

// Snapshot is what the store has of a pool.
type Snapshot struct {
	Jobs []StoredJob
	// DecodeErrors are entries that can't be read; they are left as they are.
	DecodeErrors []error
	// Lanes are the revisions of the lanes that were ever used.
	Lanes map[int]store.Revision
}

// Load reads all jobs of a pool.
func Load(ctx context.Context, s store.Store, pool string) (Snapshot, error) {
	listing, err := s.List(ctx, poolPrefix+pool+"/")
	if err != nil {
		return Snapshot{}, err
	}
	loaded := Snapshot{Lanes: lanesOf(pool, listing.Entries)}
	progress := make(map[string]*work.Progress)
	for _, entry := range listing.Entries {
		id, ok := strings.CutPrefix(entry.Key, poolPrefix+pool+progressPart)
		if !ok {
			continue
		}
		p, err := work.DecodeProgress(entry.Value)
		if err != nil {
			loaded.DecodeErrors = append(loaded.DecodeErrors, err)
			continue
		}
		progress[id] = p
	}
	for _, entry := range listing.Entries {
		id, ok := strings.CutPrefix(entry.Key, poolPrefix+pool+jobPart)
		if !ok {
			continue
		}
		record, err := work.DecodeRecord(entry.Value)
		if err != nil {
			loaded.DecodeErrors = append(loaded.DecodeErrors, err)
			continue
		}
		loaded.Jobs = append(loaded.Jobs, StoredJob{record, progress[id]})
	}
	return loaded, nil
}

func lanesOf(pool string, entries []store.Entry) map[int]store.Revision {
	lanes := make(map[int]store.Revision)
	for _, entry := range entries {
		if number, ok := strings.CutPrefix(entry.Key, poolPrefix+pool+lanePart); ok {
			if index, err := strconv.Atoi(number); err == nil {
				lanes[index] = entry.ModRevision
			}
		}
	}
	return lanes
}

// LookupState tells a job's state from the store alone. known is false only when
// the store says that there is no such job.
func LookupState(ctx context.Context, s store.Store, pool, id string) (state work.State, known bool, err error) {
	if entry, err := s.Get(ctx, ProgressKey(pool, id)); err == nil {
		p, err := work.DecodeProgress(entry.Value)
		if err != nil {
			return "", true, err
		}
		if p.State != "" {
			return p.State, true, nil
		}
		return work.Running, true, nil
	} else if !store.IsNotFound(err) {
		return "", false, err
	}
	for _, key := range []string{JobKey(pool, id), InboxJobKey(pool, id)} {
		_, err := s.Get(ctx, key)
		if err == nil {
			return work.Queued, true, nil
		}
		if !store.IsNotFound(err) {
			return "", false, err
		}
	}
	return "", false, nil
}
