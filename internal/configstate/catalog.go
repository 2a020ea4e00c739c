// Package configstate turns the store's shared keys into the configuration in
// force: an immutable, typed snapshot that only ever moves forward. A record
// that is invalid or not understood leaves the last good one in force for
// that record alone, and the snapshot says why.
package configstate

import (
	"maps"
	"strings"

	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/storekeys"
)

// Record is one operator's record in force.
type Record struct {
	Envelope record.Envelope
	Spec     record.Spec
	// Revision is that of the version in force.
	Revision store.Revision
}

// Rejection says why the newest stored version of a record isn't in force.
type Rejection struct {
	Revision store.Revision `json:"revision"`
	Reason   string         `json:"reason"`
	// ActiveRevision is the revision of the last good version, zero when there is none.
	ActiveRevision store.Revision `json:"inForce,omitempty"`
}

// HostRecord is a host's record with its revision, for compare-and-swap.
type HostRecord struct {
	hostrecord.Record
	Revision store.Revision
}

// Snapshot is the configuration at one revision. It is immutable: readers
// share it without locks.
type Snapshot struct {
	Revision store.Revision
	Records  map[record.ID]Record
	Rejected map[record.ID]Rejection
	Hosts    map[string]HostRecord
	// Members holds the raw membership records by member ID.
	Members map[string]store.Entry
	// Raw holds the newest stored entry of every shared key, and Good the
	// entry in force where that is another one: what a peer needs to start.
	Raw      map[string]store.Entry
	LastGood map[string]store.Entry
	// Digest is over the keys and revisions in Raw: equal revisions have equal
	// digests in every process that missed no event.
	Digest uint64
	// MembersDigest is the part of Digest that the membership has.
	MembersDigest uint64

	// maxSchema is the newest record schema that the process understands.
	maxSchema int
	// owned are the maps that are this snapshot's own; the others are still
	// shared with the snapshot it was made from.
	owned owned
	index index
}

// owned has a field per map of a Snapshot.
type owned struct{ items, rejected, hosts, members, raw, good bool }

// Empty returns the snapshot before the first write.
func Empty() *Snapshot { return EmptyWithMaxSchema(record.MaxSchema) }

// EmptyWithMaxSchema is Empty for a process that understands schemas up to maxSchema:
// an older build, in tests of an upgrade.
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

// FromListing builds a snapshot from a whole listing. What previous had in
// force stays in force for records whose listed version is no good; previous
// may be nil.
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

// carryOver takes the last good versions of records that are still listed.
func (s *Snapshot) carryOver(previous *Snapshot, entries []store.Entry) {
	for _, entry := range entries {
		if host, ok := strings.CutPrefix(entry.Key, storekeys.HostPrefix); ok {
			s.carryHost(previous, host)
			continue
		}
		id, ok := storekeys.ParseSpec(entry.Key)
		if !ok {
			continue
		}
		item, known := previous.Records[id]
		if !known {
			continue
		}
		s.Records[id] = item
		s.LastGood[entry.Key] = previous.inForceEntry(entry.Key)
	}
}

func (s *Snapshot) carryHost(previous *Snapshot, host string) {
	if item, known := previous.Hosts[host]; known {
		s.Hosts[host] = item
	}
}

func (s *Snapshot) inForceEntry(key string) store.Entry {
	if good, ok := s.LastGood[key]; ok {
		return good
	}
	return s.Raw[key]
}

// Apply returns the snapshot after a batch. A batch that isn't newer leaves
// the snapshot as it is: served configuration never goes back.
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

// clone returns a copy that shares every map until it is first written to:
// copying all of them for each event costs the whole configuration per event.
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

func own[K comparable, V any](held *bool, shared *map[K]V) {
	if !*held {
		*shared = maps.Clone(*shared)
		*held = true
	}
}

func (s *Snapshot) ownSpecs() {
	own(&s.owned.items, &s.Records)
	own(&s.owned.rejected, &s.Rejected)
	own(&s.owned.good, &s.LastGood)
}

func (s *Snapshot) put(entry store.Entry) {
	s.setRaw(entry)
	switch {
	case strings.HasPrefix(entry.Key, storekeys.SpecPrefix):
		s.putSpec(entry)
	case strings.HasPrefix(entry.Key, storekeys.HostPrefix):
		s.putHost(entry)
	case strings.HasPrefix(entry.Key, storekeys.MemberPrefix):
		own(&s.owned.members, &s.Members)
		s.Members[strings.TrimPrefix(entry.Key, storekeys.MemberPrefix)] = entry
	}
}

func (s *Snapshot) setRaw(entry store.Entry) {
	s.dropRaw(entry.Key)
	s.count(entry.Key, fingerprint(entry))
	s.Raw[entry.Key] = entry
}

func (s *Snapshot) dropRaw(key string) {
	own(&s.owned.raw, &s.Raw)
	if before, ok := s.Raw[key]; ok {
		s.count(key, -fingerprint(before))
		delete(s.Raw, key)
	}
}

func (s *Snapshot) count(key string, fingerprint uint64) {
	s.Digest += fingerprint
	if strings.HasPrefix(key, storekeys.MemberPrefix) {
		s.MembersDigest += fingerprint
	}
}

func (s *Snapshot) putSpec(entry store.Entry) {
	s.ownSpecs()
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
	item, known := s.Records[id]
	s.Rejected[id] = Rejection{Revision: entry.ModRevision, Reason: err.Error(), ActiveRevision: item.Revision}
	if known {
		s.LastGood[entry.Key] = store.Entry{Key: entry.Key, Value: encode(item.Envelope), ModRevision: item.Revision}
	}
}

func (s *Snapshot) putHost(entry store.Entry) {
	parsed, err := hostrecord.Parse(entry.Key, entry.Value)
	if err != nil {
		// The last good record of the host stays in force.
		return
	}
	own(&s.owned.hosts, &s.Hosts)
	s.Hosts[strings.TrimPrefix(entry.Key, storekeys.HostPrefix)] = HostRecord{Record: parsed, Revision: entry.ModRevision}
}

func (s *Snapshot) remove(key string) {
	s.dropRaw(key)
	if id, ok := storekeys.ParseSpec(key); ok {
		s.ownSpecs()
		delete(s.LastGood, key)
		delete(s.Records, id)
		delete(s.Rejected, id)
		return
	}
	if host, ok := strings.CutPrefix(key, storekeys.HostPrefix); ok {
		own(&s.owned.hosts, &s.Hosts)
		delete(s.Hosts, host)
		return
	}
	if member, ok := strings.CutPrefix(key, storekeys.MemberPrefix); ok {
		own(&s.owned.members, &s.Members)
		delete(s.Members, member)
	}
}
