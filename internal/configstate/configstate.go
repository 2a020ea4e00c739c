// Package configstate builds the active configuration from the store's shared
// keys: an immutable, typed snapshot whose revision never decreases. When a
// record is invalid or has an unsupported schema, its last good version stays
// active for that record alone, and the snapshot has the reason.
package configstate

import (
	"maps"
	"strings"

	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/storekeys"
)

// Record is the active version of an operator's record.
type Record struct {
	Envelope record.Envelope
	Spec     record.Spec
	// Revision is the revision of the active version.
	Revision store.Revision
}

// Rejection reports why the newest stored version of a record isn't active.
type Rejection struct {
	Revision store.Revision `json:"revision"`
	Reason   string         `json:"reason"`
	// ActiveRevision is the revision of the last good version, or zero.
	ActiveRevision store.Revision `json:"inForce,omitempty"`
}

// HostRecord is a host's record with its revision, for compare-and-swap.
type HostRecord struct {
	hostrecord.Record
	Revision store.Revision
}

// Snapshot is the configuration at one revision. It is immutable, so that
// readers share it without locks.
type Snapshot struct {
	Revision store.Revision
	Records  map[record.ID]Record
	Rejected map[record.ID]Rejection
	Hosts    map[string]HostRecord
	// Members holds the raw membership records by member ID.
	Members map[string]store.Entry
	// Raw holds the newest stored entry of every shared key, and LastGood the
	// active entry where it differs: together they let a peer start.
	Raw      map[string]store.Entry
	LastGood map[string]store.Entry
	// Digest covers the keys and revisions in Raw: at equal revisions, the
	// digests are equal in all processes that missed no event.
	Digest uint64
	// MembersDigest is the part of Digest that covers the membership records.
	MembersDigest uint64

	// maxSchema is the newest record schema supported by the process.
	maxSchema int
	// owned marks the maps that belong to this snapshot; the others are shared
	// with the snapshot it was cloned from.
	owned owned
	index index
}

// owned has one field per map of a Snapshot.
type owned struct{ records, rejected, hosts, members, raw, lastGood bool }

// Empty returns the snapshot before the first write.
func Empty() *Snapshot { return EmptyWithMaxSchema(record.MaxSchema) }

// EmptyWithMaxSchema is Empty for a process that supports schemas only up to
// maxSchema, such as an older build in upgrade tests.
func EmptyWithMaxSchema(maxSchema int) *Snapshot {
	return &Snapshot{
		Records:   map[record.ID]Record{},
		Rejected:  map[record.ID]Rejection{},
		Hosts:     map[string]HostRecord{},
		Members:   map[string]store.Entry{},
		Raw:       map[string]store.Entry{},
		LastGood:  map[string]store.Entry{},
		maxSchema: maxSchema,
		owned:     owned{true, true, true, true, true, true},
	}
}

// FromListing builds a snapshot from a full listing. The active records of
// previous stay active where the listed version is invalid; previous may be
// nil.
func FromListing(previous *Snapshot, listing store.Listing) *Snapshot {
	if previous == nil {
		previous = Empty()
	}
	next := EmptyWithMaxSchema(previous.maxSchema)
	next.carryOver(previous, listing.Entries)
	for _, entry := range listing.Entries {
		next.put(entry)
	}
	next.Revision = listing.Revision
	return next
}

// carryOver copies the last good versions of records that are still listed.
func (s *Snapshot) carryOver(previous *Snapshot, entries []store.Entry) {
	for _, entry := range entries {
		if host, ok := strings.CutPrefix(entry.Key, storekeys.HostPrefix); ok {
			s.carryOverHost(previous, host)
			continue
		}
		id, ok := storekeys.ParseSpec(entry.Key)
		if !ok {
			continue
		}
		active, known := previous.Records[id]
		if !known {
			continue
		}
		s.Records[id] = active
		s.LastGood[entry.Key] = previous.activeEntry(entry.Key)
	}
}

func (s *Snapshot) carryOverHost(previous *Snapshot, host string) {
	if active, known := previous.Hosts[host]; known {
		s.Hosts[host] = active
	}
}

func (s *Snapshot) activeEntry(key string) store.Entry {
	if lastGood, ok := s.LastGood[key]; ok {
		return lastGood
	}
	return s.Raw[key]
}

// Apply returns the snapshot after a batch. A batch that isn't newer leaves the
// snapshot unchanged: the revision never decreases.
func (s *Snapshot) Apply(batch store.WatchBatch) *Snapshot {
	if batch.Revision <= s.Revision {
		return s
	}
	next := s.clone()
	for _, event := range batch.Events {
		// An event already covered by the snapshot must not undo a newer one.
		if event.Entry.ModRevision <= s.Revision {
			continue
		}
		if event.Deleted {
			next.remove(event.Entry.Key)
			continue
		}
		next.put(event.Entry)
	}
	next.Revision = batch.Revision
	return next
}

// clone returns a copy that shares each map until the first write to it.
// Copying every map for each event would cost the whole configuration per
// event.
func (s *Snapshot) clone() *Snapshot {
	return &Snapshot{
		Revision:  s.Revision,
		Records:   s.Records,
		Rejected:  s.Rejected,
		Hosts:     s.Hosts,
		Members:   s.Members,
		Raw:       s.Raw,
		LastGood:  s.LastGood,
		Digest:    s.Digest,
		maxSchema: s.maxSchema,

		MembersDigest: s.MembersDigest,
	}
}

func copyOnWrite[K comparable, V any](owned *bool, shared *map[K]V) {
	if !*owned {
		*shared = maps.Clone(*shared)
		*owned = true
	}
}

func (s *Snapshot) copySpecMaps() {
	copyOnWrite(&s.owned.records, &s.Records)
	copyOnWrite(&s.owned.rejected, &s.Rejected)
	copyOnWrite(&s.owned.lastGood, &s.LastGood)
}

func (s *Snapshot) put(entry store.Entry) {
	s.setRaw(entry)
	switch {
	case strings.HasPrefix(entry.Key, storekeys.SpecPrefix):
		s.putSpec(entry)
	case strings.HasPrefix(entry.Key, storekeys.HostPrefix):
		s.putHost(entry)
	case strings.HasPrefix(entry.Key, storekeys.MemberPrefix):
		copyOnWrite(&s.owned.members, &s.Members)
		s.Members[strings.TrimPrefix(entry.Key, storekeys.MemberPrefix)] = entry
	}
}

func (s *Snapshot) setRaw(entry store.Entry) {
	s.dropRaw(entry.Key)
	s.addToDigest(entry.Key, fingerprint(entry))
	s.Raw[entry.Key] = entry
}

func (s *Snapshot) dropRaw(key string) {
	copyOnWrite(&s.owned.raw, &s.Raw)
	if before, ok := s.Raw[key]; ok {
		s.addToDigest(key, -fingerprint(before))
		delete(s.Raw, key)
	}
}

func (s *Snapshot) addToDigest(key string, fingerprint uint64) {
	s.Digest += fingerprint
	if strings.HasPrefix(key, storekeys.MemberPrefix) {
		s.MembersDigest += fingerprint
	}
}

func (s *Snapshot) putSpec(entry store.Entry) {
	s.copySpecMaps()
	id, _ := storekeys.ParseSpec(entry.Key)
	envelope, spec, err := s.decode(id, entry.Value)
	if err != nil {
		s.reject(id, entry, err)
		return
	}
	s.Records[id] = Record{Envelope: envelope, Spec: spec, Revision: entry.ModRevision}
	delete(s.Rejected, id)
	delete(s.LastGood, entry.Key)
}

func (s *Snapshot) decode(id record.ID, value []byte) (record.Envelope, record.Spec, error) {
	envelope, err := record.ParseEnvelope(value)
	if err != nil {
		return envelope, nil, err
	}
	if envelope.ID() != id {
		return envelope, nil, &KeyMismatchError{Key: id, Record: envelope.ID()}
	}
	spec, err := record.DecodeWithMaxSchema(envelope, s.maxSchema)
	return envelope, spec, err
}

func (s *Snapshot) reject(id record.ID, entry store.Entry, err error) {
	active, known := s.Records[id]
	s.Rejected[id] = Rejection{Revision: entry.ModRevision, Reason: err.Error(), ActiveRevision: active.Revision}
	if known {
		s.LastGood[entry.Key] = store.Entry{Key: entry.Key, Value: encode(active.Envelope), ModRevision: active.Revision}
	}
}

func (s *Snapshot) putHost(entry store.Entry) {
	parsed, err := hostrecord.Parse(entry.Key, entry.Value)
	if err != nil {
		// The last good record of the host stays active.
		return
	}
	copyOnWrite(&s.owned.hosts, &s.Hosts)
	s.Hosts[strings.TrimPrefix(entry.Key, storekeys.HostPrefix)] = HostRecord{Record: parsed, Revision: entry.ModRevision}
}

func (s *Snapshot) remove(key string) {
	s.dropRaw(key)
	if id, ok := storekeys.ParseSpec(key); ok {
		s.copySpecMaps()
		delete(s.LastGood, key)
		delete(s.Records, id)
		delete(s.Rejected, id)
		return
	}
	if host, ok := strings.CutPrefix(key, storekeys.HostPrefix); ok {
		copyOnWrite(&s.owned.hosts, &s.Hosts)
		delete(s.Hosts, host)
		return
	}
	if member, ok := strings.CutPrefix(key, storekeys.MemberPrefix); ok {
		copyOnWrite(&s.owned.members, &s.Members)
		delete(s.Members, member)
	}
}
