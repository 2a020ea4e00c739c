package configfeed

import (
	"sort"

	"auburnglade.example/glade/internal/store"
)

// Bounds of the events kept for peers that are a little behind. At the target
// of 2,400 changes a day the first is more than a day.
const (
	ringEvents = 4096
	ringBytes  = 4 << 20
)

// ring keeps recent events in the order of their revisions.
type ring struct {
	events []store.Event
	bytes  int
	// floor is the oldest revision from which the events are complete.
	floor store.Revision
	begun bool
}

// reset forgets everything: what led to revision floor is not known.
func (r *ring) reset(floor store.Revision) { *r = ring{floor: floor, begun: true} }

// add takes the steps that lead on from revision from. Steps up to from are
// kept already.
func (r *ring) add(from store.Revision, steps []store.Event) {
	for _, step := range steps {
		if step.Entry.ModRevision <= from {
			continue
		}
		r.events = append(r.events, step)
		r.bytes += size(step)
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
	// Several events can share a revision; a half-kept revision is not kept.
	for len(r.events) > 0 && r.events[0].Entry.ModRevision <= r.floor {
		r.bytes -= size(r.events[0])
		r.events = r.events[1:]
	}
}

// after returns the events after a revision, and whether they are complete.
func (r *ring) after(revision store.Revision) ([]store.Event, bool) {
	if !r.begun || revision < r.floor {
		return nil, false
	}
	first := sort.Search(len(r.events), func(i int) bool { return r.events[i].Entry.ModRevision > revision })
	return append([]store.Event(nil), r.events[first:]...), true
}

func size(event store.Event) int { return len(event.Entry.Key) + len(event.Entry.Value) }
