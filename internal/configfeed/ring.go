package configfeed

import (
	"sort"

	"auburnglade.example/glade/internal/store"
)

// Limits of the events buffered for peers that are slightly behind. At 2,400
// changes a day, ringEvents covers more than one day.
const (
	ringEvents = 4096
	ringBytes  = 4 << 20
)

// ring buffers recent events in the order of their revisions.
type ring struct {
	events []store.Event
	bytes  int
	// floor is the oldest revision after which the events are complete.
	floor       store.Revision
	initialized bool
}

// reset drops all events: the events before revision floor aren't available.
func (r *ring) reset(floor store.Revision) { *r = ring{floor: floor, initialized: true} }

// add appends the events after revision from. Events up to from are already
// buffered.
func (r *ring) add(from store.Revision, newEvents []store.Event) {
	for _, event := range newEvents {
		if event.Entry.ModRevision <= from {
			continue
		}
		r.events = append(r.events, event)
		r.bytes += size(event)
	}
	r.trim()
}

func (r *ring) trim() {
	drop := 0
	for len(r.events)-drop > ringEvents || r.bytes > ringBytes {
		r.bytes -= size(r.events[drop])
		r.floor = r.events[drop].Entry.ModRevision
		drop++
	}
	if drop > 0 {
		r.events = append([]store.Event(nil), r.events[drop:]...)
	}
	// Several events can share a revision; a revision that is only partly
	// buffered is dropped.
	for len(r.events) > 0 && r.events[0].Entry.ModRevision <= r.floor {
		r.bytes -= size(r.events[0])
		r.events = r.events[1:]
	}
}

// after returns the events after a revision, and whether they are complete.
func (r *ring) after(revision store.Revision) ([]store.Event, bool) {
	if !r.initialized || revision < r.floor {
		return nil, false
	}
	first := sort.Search(len(r.events), func(i int) bool { return r.events[i].Entry.ModRevision > revision })
	return append([]store.Event(nil), r.events[first:]...), true
}

func size(event store.Event) int { return len(event.Entry.Key) + len(event.Entry.Value) }
