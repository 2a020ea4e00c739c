package peer

import (
	"sort"
	"sync"

	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/peer/peerpb"
	"auburnglade.example/glade/internal/store"
)

const (
	// pageBytes limits the size of one message excluding its last entry: the
	// platform's values are at most 1 MiB, and an entry can have two of them.
	pageBytes = 2 << 20
	// maxResponseBytes is the maximum size of a response that a client reads.
	maxResponseBytes = 8 << 20
	// perEntryBytes is an allowance for an entry's numbers and framing.
	perEntryBytes = 32
	// keptSnapshots is the number of snapshots kept for clients that are paging
	// through them while newer ones become active.
	keptSnapshots = 4
)

func changeBytes(change configstate.Change) int {
	return len(change.Entry.Key) + len(change.Entry.Value) + len(change.LastGood.Value) + perEntryBytes
}

// pager serves full snapshots in pages of bounded size.
type pager struct {
	mu   sync.Mutex
	kept []configstate.Delta
}

// first writes the first page of snapshot to the response.
func (p *pager) first(response *peerpb.FetchResponse, snapshot *configstate.Snapshot) {
	p.page(response, p.keep(snapshot), "")
}

// next writes the page after a key to the response, or the first page of the
// current snapshot when the requested one is no longer kept: the client sees a
// different revision and starts again.
func (p *pager) next(response *peerpb.FetchResponse, current *configstate.Snapshot, revision store.Revision, after string) {
	if delta, kept := p.keptAt(revision); kept {
		p.page(response, delta, after)
		return
	}
	p.first(response, current)
}

func (p *pager) keptAt(revision store.Revision) (configstate.Delta, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, delta := range p.kept {
		if delta.Revision == revision {
			return delta, true
		}
	}
	return configstate.Delta{}, false
}

func (p *pager) keep(snapshot *configstate.Snapshot) configstate.Delta {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, delta := range p.kept {
		if delta.Revision == snapshot.Revision && delta.Digest == snapshot.Digest {
			return delta
		}
	}
	p.kept = append(p.kept, snapshot.FullDelta())
	if len(p.kept) > keptSnapshots {
		p.kept = p.kept[1:]
	}
	return p.kept[len(p.kept)-1]
}

func (p *pager) page(response *peerpb.FetchResponse, full configstate.Delta, after string) {
	changes := full.Changes
	first := sort.Search(len(changes), func(i int) bool { return changes[i].Entry.Key > after })
	last, total := first, 0
	for last < len(changes) && total < pageBytes {
		total += changeBytes(changes[last])
		last++
	}
	full.Changes = changes[first:last]
	encodeDelta(response, full)
	response.More = last < len(changes)
}

func encodeDelta(response *peerpb.FetchResponse, delta configstate.Delta) {
	response.Whole = delta.Full
	response.Revision = int64(delta.Revision)
	response.Digest = delta.Digest
	response.Entries = make([]*peerpb.Entry, len(delta.Changes))
	for i, change := range delta.Changes {
		response.Entries[i] = &peerpb.Entry{
			Key:          change.Entry.Key,
			Value:        change.Entry.Value,
			ModRevision:  int64(change.Entry.ModRevision),
			Deleted:      change.Deleted,
			GoodValue:    change.LastGood.Value,
			GoodRevision: int64(change.LastGood.ModRevision),
		}
	}
}

func decodeDelta(response *peerpb.FetchResponse) configstate.Delta {
	delta := configstate.Delta{Full: response.Whole, Revision: store.Revision(response.Revision), Digest: response.Digest}
	delta.Changes = make([]configstate.Change, len(response.Entries))
	for i, entry := range response.Entries {
		delta.Changes[i] = configstate.Change{
			Entry:    store.Entry{Key: entry.Key, Value: entry.Value, ModRevision: store.Revision(entry.ModRevision)},
			Deleted:  entry.Deleted,
			LastGood: store.Entry{Key: entry.Key, Value: entry.GoodValue, ModRevision: store.Revision(entry.GoodRevision)},
		}
	}
	return delta
}
