package operatorcli

import (
	"slices"

	"auburnglade.example/glade/internal/operatorapi"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/store"
)

// WatchCmd prints changes as they happen.
type WatchCmd struct {
	After int64 `help:"Show changes after this revision; 0 starts with all records."`
	Count int   `help:"End after this many changes; 0 never ends."`
}

// Run implements the command.
func (c *WatchCmd) Run(env *Env) error {
	state := &watchState{records: make(map[record.ID]store.Revision), after: store.Revision(c.After)}
	shown := 0
	for env.Context.Err() == nil {
		changes, err := env.Client.Watch(env.Context, state.after)
		if err != nil {
			return err
		}
		for _, change := range state.update(changes) {
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

// watchState tracks the changes that a watch has printed. Each controller is at
// its own revision, so a fail-over to another one can return a change again.
type watchState struct {
	after   store.Revision
	records map[record.ID]store.Revision
}

// update returns the changes of a response that have not been printed, and
// records them as printed.
func (w *watchState) update(response operatorapi.Changes) []change {
	var unseen []change
	present := make(map[record.ID]bool, len(response.Records))
	for _, r := range response.Records {
		present[r.ID] = true
		if r.Revision > w.records[r.ID] {
			w.records[r.ID] = r.Revision
			unseen = append(unseen, change{Record: r})
		}
	}
	deletions := response.Deleted
	if response.Reset {
		for id := range w.records {
			if !present[id] {
				deletions = append(deletions, operatorapi.Deletion{ID: id, Revision: response.Revision})
			}
		}
	}
	for _, deletion := range deletions {
		known, seen := w.records[deletion.ID]
		// A record that was created again after its deletion is shown in its
		// present version.
		if present[deletion.ID] || seen && known > deletion.Revision {
			continue
		}
		delete(w.records, deletion.ID)
		unseen = append(unseen, change{Record: operatorapi.Record{ID: deletion.ID, Revision: deletion.Revision}, Deleted: true})
	}
	slices.SortStableFunc(unseen, func(a, b change) int { return int(a.Record.Revision - b.Record.Revision) })
	w.after = max(w.after, response.Revision)
	return unseen
}
