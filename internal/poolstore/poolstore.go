// Package poolstore defines the keys and records of a pool in the store: its
// jobs, their progress, and the records that serialize the pool's commits.
//
// Every commit of a pool writes the pool's head or the record of a lane (an
// additional sequence of commits that runs in parallel to the head's), on the
// condition that this record is still at the revision of the holder's last
// write. A commit on a lane also requires that the fence key is unchanged since
// the holder's takeover. A replaced holder therefore can't change anything, not
// even by a request that the store executes late, and a request without a
// response can be resolved by sending it again.
package poolstore

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"

	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/work"
)

const (
	poolPrefix  = "glade/pool/"
	inboxPrefix = "glade/inbox/"
	// EphemeralPrefix is the prefix of all keys that are bound to the store lease
	// of a process and are deleted when it expires.
	EphemeralPrefix = "glade/live/"
	MemberPrefix    = EphemeralPrefix + "member/"
	ClaimPrefix     = EphemeralPrefix + "claim/"

	jobPart      = "/job/"
	progressPart = "/at/"
	lanePart     = "/lane/"
	cancelSuffix = ".cancel"
)

// HeadKey is the key of the record that serializes a pool's commits.
func HeadKey(pool string) string { return poolPrefix + pool + "/head" }

// FenceKey is the key that only takeovers write. A commit that doesn't write the
// head requires that this key is still at the revision of the holder's takeover.
func FenceKey(pool string) string { return poolPrefix + pool + "/fence" }

// LaneKey is the key of the record that serializes the commits of one lane.
func LaneKey(pool string, lane int) string { return poolPrefix + pool + lanePart + strconv.Itoa(lane) }

// JobKey is the key of an accepted job.
func JobKey(pool, id string) string { return poolPrefix + pool + jobPart + id }

// ProgressKey is the key of a job's progress.
func ProgressKey(pool, id string) string { return poolPrefix + pool + progressPart + id }

// InboxPrefix is the prefix of the jobs and cancellations that were stored for a
// pool while its holder was unreachable.
func InboxPrefix(pool string) string { return inboxPrefix + pool + "/" }

// InboxJobKey is the key of a job in the inbox of a pool.
func InboxJobKey(pool, id string) string { return InboxPrefix(pool) + id }

// InboxCancelKey is the key of a cancellation in the inbox of a pool.
func InboxCancelKey(pool, id string) string { return InboxPrefix(pool) + id + cancelSuffix }

// ParseInboxKey returns the job ID in an inbox key and whether the key is that
// of a cancellation.
func ParseInboxKey(pool, key string) (id string, cancel bool) {
	id = strings.TrimPrefix(key, InboxPrefix(pool))
	id, cancel = strings.CutSuffix(id, cancelSuffix)
	return id, cancel
}

// ClaimKey is the key that names a pool's holder while the holder's store lease
// is valid.
func ClaimKey(pool string) string { return ClaimPrefix + pool }

// ZonePrefix is the prefix of the records of the processes in an availability zone.
func ZonePrefix(zone string) string { return MemberPrefix + zone + "/" }

// MemberKey is the key of the record of a node's process.
func MemberKey(zone, node string) string { return ZonePrefix(zone) + node }

// ParseMemberKey returns the node in the key of a process's record. Processes of earlier
// versions have keys without a zone.
func ParseMemberKey(key string) (node string, ok bool) {
	rest, ok := strings.CutPrefix(key, MemberPrefix)
	return rest[strings.LastIndexByte(rest, '/')+1:], ok
}

// FencesPerTakeover is how many fencing tokens a takeover reserves. Its holder uses another
// one for each host that restarts, which are thousands a day in the largest fleet; one that
// has used them all takes the pool over anew.
const FencesPerTakeover = 1 << 20

// Head is the record that serializes a pool's commits.
type Head struct {
	// Fence is the last of the fencing tokens that are reserved for the holder; every
	// takeover increases it by FencesPerTakeover.
	Fence int64 `json:"f"`
	// Holder identifies the process that holds the pool and its start.
	Holder string `json:"h"`
	// Sequence is the number of the commit, counted per holder.
	Sequence int64 `json:"c"`
	// HostsInUse are the IDs of the hosts on which tasks may run.
	HostsInUse []string `json:"r,omitempty"`
	// Unresponsive are the hosts in use that did not respond when the record was
	// written, each with the milliseconds until every lease there has certainly
	// expired. The holder renews no lease on them until the store lists them as
	// in use again.
	Unresponsive map[string]int64 `json:"s,omitempty"`
	// LeaseMs is how many milliseconds after the last confirmation of the claim leases
	// on hosts may last that this holder or one before it has granted. It is zero after
	// holders of versions that grant leases for longer.
	LeaseMs int64 `json:"l,omitempty"`
	// Released is set when the holder has released the pool and sends no more
	// orders.
	Released bool `json:"x,omitempty"`
}

// Encode returns the stored form.
func (h Head) Encode() []byte {
	data, err := json.Marshal(h)
	if err != nil {
		// Not reached: all fields are numbers, strings, booleans, slices or maps.
		panic(err)
	}
	return data
}

// FirstFence returns the first of the fencing tokens that are reserved for the holder.
func (h Head) FirstFence() int64 { return h.Fence - FencesPerTakeover + 1 }

// Succeed returns the head with which another holder takes the pool over.
func (h Head) Succeed(holder string) Head {
	return Head{Fence: h.Fence + FencesPerTakeover, Holder: holder, HostsInUse: h.HostsInUse, Unresponsive: h.Unresponsive, LeaseMs: h.LeaseMs}
}

// DecodeHead decodes a stored head or returns *work.CorruptError. The head of an
// absent entry is the zero Head.
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

// ReadHead returns a pool's head and its revision, both zero when absent.
func ReadHead(ctx context.Context, s store.Store, pool string) (Head, store.Revision, error) {
	entry, err := s.Get(ctx, HeadKey(pool))
	if err != nil && !store.IsNotFound(err) {
		return Head{}, 0, err
	}
	head, err := DecodeHead(entry)
	return head, entry.ModRevision, err
}

// StoredJob is a job in the store. Progress is nil when none is stored.
type StoredJob struct {
	Record   *work.JobRecord
	Progress *work.Progress
}

// UnreadableProgressError reports a job that is left alone since its progress can't be decoded.
type UnreadableProgressError struct {
	Job   string
	Cause error
}

func (e *UnreadableProgressError) Error() string {
	return "progress of job " + e.Job + ": " + e.Cause.Error()
}

func (e *UnreadableProgressError) Unwrap() error { return e.Cause }

// Snapshot is the stored state of a pool.
type Snapshot struct {
	Jobs []StoredJob
	// DecodeErrors has one error for each entry that can't be decoded. Such
	// entries are not modified, and their jobs are not in Jobs: without its progress a job
	// would start tasks again that are done, or go on after it was cancelled.
	DecodeErrors []error
	// Lanes maps each lane that has been used to the revision of its record.
	Lanes map[int]store.Revision
}

// Load reads all jobs of a pool, their progress, and the revisions of the lanes.
func Load(ctx context.Context, s store.Store, pool string) (Snapshot, error) {
	listing, err := s.List(ctx, poolPrefix+pool+"/")
	if err != nil {
		return Snapshot{}, err
	}
	snapshot := Snapshot{Lanes: laneRevisions(pool, listing.Entries)}
	progress, unreadable := make(map[string]*work.Progress), make(map[string]bool)
	for _, entry := range listing.Entries {
		id, ok := strings.CutPrefix(entry.Key, poolPrefix+pool+progressPart)
		if !ok {
			continue
		}
		p, err := work.DecodeProgress(entry.Value)
		if err != nil {
			snapshot.DecodeErrors = append(snapshot.DecodeErrors, &UnreadableProgressError{id, err})
			unreadable[id] = true
			continue
		}
		progress[id] = p
	}
	for _, entry := range listing.Entries {
		id, ok := strings.CutPrefix(entry.Key, poolPrefix+pool+jobPart)
		if !ok || unreadable[id] {
			continue
		}
		record, err := work.DecodeRecord(entry.Value)
		if err != nil {
			snapshot.DecodeErrors = append(snapshot.DecodeErrors, err)
			continue
		}
		snapshot.Jobs = append(snapshot.Jobs, StoredJob{record, progress[id]})
	}
	return snapshot, nil
}

func laneRevisions(pool string, entries []store.Entry) map[int]store.Revision {
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

// LookupState determines a job's state from the store alone. known is false and
// err nil only when the store has no such job of the organisation that asks.
func LookupState(ctx context.Context, s store.Store, job work.JobRef) (state work.State, known bool, err error) {
	pool, id := job.Pool, job.ID
	if job.Organisation != "" {
		if owned, err := owns(ctx, s, job); err != nil || !owned {
			return "", false, err
		}
	}
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
	record, err := findRecord(ctx, s, job)
	if err != nil || record == nil {
		return "", false, err
	}
	return work.Queued, true, nil
}

// findRecord returns the entry of a job that is accepted or in the inbox, or nil.
func findRecord(ctx context.Context, s store.Store, job work.JobRef) (*store.Entry, error) {
	for _, key := range []string{JobKey(job.Pool, job.ID), InboxJobKey(job.Pool, job.ID)} {
		entry, err := s.Get(ctx, key)
		if err == nil {
			return &entry, nil
		}
		if !store.IsNotFound(err) {
			return nil, err
		}
	}
	return nil, nil
}

// owns reports whether a stored job belongs to the organisation that asks.
func owns(ctx context.Context, s store.Store, job work.JobRef) (bool, error) {
	entry, err := findRecord(ctx, s, job)
	if err != nil || entry == nil {
		return false, err
	}
	record, err := work.DecodeRecord(entry.Value)
	if err != nil {
		return false, err
	}
	return record.BelongsTo(job.Organisation), nil
}
