package memstore

import (
	"maps"
	"slices"

	"auburnglade.example/glade/internal/store"
)

// Backup is the store's contents at one moment.
type Backup struct {
	entries  map[string]store.Entry
	revision store.Revision
}

// Backup returns the contents as they are.
func (s *Store) Backup() Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Backup{entries: maps.Clone(s.entries), revision: s.revision}
}

// Restore puts a backup's contents and its revision in place, as an operator
// of the platform does after a loss. Leases go on.
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
