package configstate

import (
	"encoding/binary"
	"fmt"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"

	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/storekeys"
)

// Change is the change of one shared key as sent between processes.
type Change struct {
	Entry   store.Entry
	Deleted bool
	// LastGood is the active entry when Entry isn't active; its ModRevision is
	// zero when there is none.
	LastGood store.Entry
}

// Delta is what a process is missing: the changes after its revision, or every
// key when Full is set.
type Delta struct {
	Full     bool
	Revision store.Revision
	Changes  []Change
	// Digest is the digest of the sender's snapshot at Revision.
	Digest uint64
}

// StaleRevisionError reports that the offered configuration is older than the
// active one.
type StaleRevisionError struct{ Offered, ActiveRevision store.Revision }

func (e *StaleRevisionError) Error() string {
	return fmt.Sprintf("offered revision %d is older than the active revision %d", e.Offered, e.ActiveRevision)
}

// DigestError reports that applying a delta does not produce the sender's
// configuration: one of the two processes missed an event.
type DigestError struct{ Revision store.Revision }

func (e *DigestError) Error() string {
	return fmt.Sprintf("delta to revision %d does not produce the sender's configuration", e.Revision)
}

// ApplyDelta returns the snapshot after a delta. It returns *StaleRevisionError
// for an older revision and *DigestError when the result differs from the
// sender's configuration; in both cases it returns s unchanged.
func (s *Snapshot) ApplyDelta(delta Delta) (*Snapshot, error) {
	if delta.Revision < s.Revision {
		return s, &StaleRevisionError{Offered: delta.Revision, ActiveRevision: s.Revision}
	}
	if delta.Revision == s.Revision && !delta.Full {
		return s, nil
	}
	next := s.withDelta(delta)
	if next.Digest != delta.Digest {
		return s, &DigestError{Revision: delta.Revision}
	}
	return next, nil
}

func (s *Snapshot) withDelta(delta Delta) *Snapshot {
	var next *Snapshot
	if delta.Full {
		next = EmptyWithMaxSchema(s.maxSchema)
		next.carryOver(s, delta.entries())
	} else {
		next = s.clone()
	}
	for _, change := range delta.Changes {
		next.change(change, delta.Full, s.Revision)
	}
	next.Revision = delta.Revision
	return next
}

func (s *Snapshot) change(change Change, full bool, since store.Revision) {
	// An event already covered by the snapshot must not undo a newer one.
	if !full && change.Entry.ModRevision <= since {
		return
	}
	if change.Deleted {
		s.remove(change.Entry.Key)
		return
	}
	s.put(change.Entry)
	if change.LastGood.ModRevision != 0 {
		s.adoptLastGood(change)
	}
}

// adoptLastGood takes over a peer's last good version of a record whose newest
// version is rejected here too. A process that started late has only seen the
// invalid version, and would run without a record that all other processes use.
func (s *Snapshot) adoptLastGood(change Change) {
	key := change.Entry.Key
	id, isSpec := storekeys.ParseSpec(key)
	rejection, rejected := s.Rejected[id]
	if !isSpec || !rejected || rejection.ActiveRevision >= change.LastGood.ModRevision {
		return
	}
	envelope, spec, err := s.decode(id, change.LastGood.Value)
	if err != nil {
		return
	}
	s.Records[id] = Record{Envelope: envelope, Spec: spec, Revision: change.LastGood.ModRevision}
	s.LastGood[key] = store.Entry{Key: key, Value: change.LastGood.Value, ModRevision: change.LastGood.ModRevision}
	rejection.ActiveRevision = change.LastGood.ModRevision
	s.Rejected[id] = rejection
}

func (d Delta) entries() []store.Entry {
	entries := make([]store.Entry, len(d.Changes))
	for i, change := range d.Changes {
		entries[i] = change.Entry
	}
	return entries
}

// FullDelta returns the whole snapshot as a delta, sorted by key.
func (s *Snapshot) FullDelta() Delta {
	delta := Delta{Full: true, Revision: s.Revision, Digest: s.Digest, Changes: make([]Change, 0, len(s.Raw))}
	for key, entry := range s.Raw {
		delta.Changes = append(delta.Changes, Change{Entry: entry, LastGood: s.LastGood[key]})
	}
	sort.Slice(delta.Changes, func(i, j int) bool {
		return delta.Changes[i].Entry.Key < delta.Changes[j].Entry.Key
	})
	return delta
}

// Diff returns the events that lead from s to next, in order. Deletions have
// next's revision, because their own isn't available.
func (s *Snapshot) Diff(next *Snapshot) []store.Event {
	var events []store.Event
	for key, entry := range next.Raw {
		if s.Raw[key].ModRevision != entry.ModRevision {
			events = append(events, store.Event{Entry: entry})
		}
	}
	for key := range s.Raw {
		if _, kept := next.Raw[key]; !kept {
			events = append(events, store.Event{Entry: store.Entry{Key: key, ModRevision: next.Revision}, Deleted: true})
		}
	}
	sort.Slice(events, func(i, j int) bool {
		a, b := events[i].Entry, events[j].Entry
		if a.ModRevision != b.ModRevision {
			return a.ModRevision < b.ModRevision
		}
		return strings.Compare(a.Key, b.Key) < 0
	})
	return events
}

// fingerprint returns an entry's part of the digest. The digest is the sum over
// all entries, so that it is updated in constant time per event.
func fingerprint(entry store.Entry) uint64 {
	var revision [8]byte
	binary.LittleEndian.PutUint64(revision[:], uint64(entry.ModRevision))
	digest := xxhash.New()
	// Writing to a digest never fails.
	_, _ = digest.WriteString(entry.Key)
	_, _ = digest.Write(revision[:])
	return digest.Sum64()
}
