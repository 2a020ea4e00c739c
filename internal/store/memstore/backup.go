package memstore

import (
	"maps"
	"slices"

	"auburnglade.example/glade/internal/store"
)

// Backup is a copy of the store's contents at one revision.
type Backup struct {
	entries  map[string]store.Entry
	revision store.Revision
}

// Backup returns a copy of the current contents.
func (s *Store) Backup() Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Backup{entries: maps.Clone(s.entries), revision: s.revision}
}

// Restore replaces the contents and the revision by those of a backup, as an
// operator of the platform does after a data loss. Leases are kept.
func (s *Store) Restore(b Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = maps.Clone(b.entries)
	s.revision = b.revision
	s.compacted = b.revision
	s.history = nil
	close(s.changed)
	s.changed = make(chan struct{})
}

// Keys returns the keys in the backup.
func (b Backup) Keys() []string { return slices.Collect(maps.Keys(b.entries)) }
