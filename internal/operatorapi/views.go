package operatorapi

import (
	"encoding/json"
	"sort"

	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/storekeys"
)

func specKeys(snapshot *configstate.Snapshot) map[record.ID]bool {
	ids := make(map[record.ID]bool)
	for key := range snapshot.Raw {
		if id, ok := storekeys.ParseSpec(key); ok {
			ids[id] = true
		}
	}
	return ids
}

func recordFromSnapshot(snapshot *configstate.Snapshot, id record.ID) Record {
	entry := snapshot.Raw[storekeys.Spec(id)]
	return Record{
		ID: id, Revision: entry.ModRevision, Stored: asJSON(entry.Value),
		Rejected: rejectionOf(snapshot, id, entry),
	}
}

// rejectionOf returns why the given entry is not active, or nil. If the
// snapshot lags behind the entry, the entry is applied to it first.
func rejectionOf(snapshot *configstate.Snapshot, id record.ID, entry store.Entry) *configstate.Rejection {
	if entry.ModRevision > snapshot.Revision {
		snapshot = snapshot.Apply(store.WatchBatch{
			Revision: entry.ModRevision, Events: []store.Event{{Entry: entry}},
		})
	}
	if rejection, ok := snapshot.Rejected[id]; ok {
		return &rejection
	}
	return nil
}

// asJSON returns value unchanged if it is JSON, and as a JSON string otherwise,
// which happens when something other than the API wrote to the store.
func asJSON(value []byte) json.RawMessage {
	if json.Valid(value) {
		return value
	}
	quoted, err := json.Marshal(string(value))
	if err != nil {
		return json.RawMessage("null")
	}
	return quoted
}

func sortRecords(records []Record) {
	sort.Slice(records, func(i, j int) bool { return records[i].ID.String() < records[j].ID.String() })
}

func changesSince(snapshot *configstate.Snapshot, after store.Revision) Changes {
	changes := Changes{Revision: snapshot.Revision, Records: []Record{}}
	for id := range specKeys(snapshot) {
		if described := recordFromSnapshot(snapshot, id); described.Revision > after {
			changes.Records = append(changes.Records, described)
		}
	}
	sortRecords(changes.Records)
	return changes
}
