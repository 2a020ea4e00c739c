package operatorcli

import (
	"slices"

	"auburnglade.example/glade/internal/operatorapi"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/store"
)

// WatchCmd shows changes as they come.
type WatchCmd struct {
	After int64 `help:"Show changes after this revision; 0 starts with all records."`
	Count int   `help:"End after this many changes; 0 never ends."`
}

// Run implements the command.
func (c *WatchCmd) Run(env *Env) error {
	seen := &watched{records: make(map[record.ID]store.Revision), after: store.Revision(c.After)}
	shown := 0
	for env.Context.Err() == nil {
		changes, err := env.Client.Watch(env.Context, seen.after)
		if err != nil {
			return err
		}
		for _, change := range seen.take(changes) {
			if err := env.printChange(change); err != nil {
				return err
			}
			shown++
			if c.Count > 0 && shown >= c.Count {
				return nil
			}
		}
	}
	return nil
}

// change is one line of a watch.
type change struct {
	Record  operatorapi.Record `json:"record"`
	Deleted bool               `json:"deleted,omitempty"`
}

// watched is what a watch has shown already. The controllers behind one
// address list are each at their own revision, so that moving on to another
// one can show a change again.
type watched struct {
	after   store.Revision
	records map[record.ID]store.Revision
}

// take returns what is new in an answer and remembers it.
func (w *watched) take(answer operatorapi.Changes) []change {
	var fresh []change
	present := make(map[record.ID]bool, len(answer.Records))
	for _, r := range answer.Records {
		present[r.ID] = true
		if r.Revision > w.records[r.ID] {
			w.records[r.ID] = r.Revision
			fresh = append(fresh, change{Record: r})
		}
	}
	gone := answer.Deleted
	if answer.Reset {
		for id := range w.records {
			if !present[id] {
				gone = append(gone, operatorapi.Deletion{ID: id, Revision: answer.Revision})
			}
		}
	}
	for _, deletion := range gone {
		known, seen := w.records[deletion.ID]
		// A record that came back after its deletion is shown as it is now.
		if present[deletion.ID] || seen && known > deletion.Revision {
			continue
		}
		delete(w.records, deletion.ID)
		fresh = append(fresh, change{Record: operatorapi.Record{ID: deletion.ID, Revision: deletion.Revision}, Deleted: true})
	}
	slices.SortStableFunc(fresh, func(a, b change) int { return int(a.Record.Revision - b.Record.Revision) })
	w.after = max(w.after, answer.Revision)
	return fresh
}
