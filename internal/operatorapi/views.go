package operatorapi

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"

	"auburnglade.example/glade/internal/catalog"
	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/keys"
	"auburnglade.example/glade/internal/member"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/wave"
)

// FleetSummary is the whole fleet at a glance.
type FleetSummary struct {
	Revision store.Revision               `json:"revision"`
	Pools    map[string]map[string]int    `json:"pools"`
	Members  []member.Member              `json:"members"`
	Waves    []string                     `json:"waves"`
	Rejected map[string]catalog.Rejection `json:"rejected,omitempty"`
	Hosts    map[string]hostrecord.Record `json:"hosts,omitempty"`
	Phases   map[hostrecord.Phase]int     `json:"phases"`
}

func summarize(snapshot *catalog.Snapshot) FleetSummary {
	summary := FleetSummary{
		Revision: snapshot.Revision,
		Pools:    make(map[string]map[string]int),
		Members:  member.All(snapshot),
		Rejected: make(map[string]catalog.Rejection),
		Phases:   make(map[hostrecord.Phase]int),
		Hosts:    make(map[string]hostrecord.Record),
	}
	for name := range snapshot.Pools() {
		summary.Pools[name] = make(map[string]int)
	}
	for name, host := range snapshot.Hosts {
		summary.Phases[host.Phase]++
		if phases, ok := summary.Pools[host.Pool]; ok {
			phases[string(host.Phase)]++
		}
		if host.Phase != hostrecord.Serving {
			summary.Hosts[name] = host.Record
		}
	}
	for name := range snapshot.Waves() {
		summary.Waves = append(summary.Waves, name)
	}
	sort.Strings(summary.Waves)
	for id, rejection := range snapshot.Rejected {
		summary.Rejected[id.String()] = rejection
	}
	return summary
}

func specKeys(snapshot *catalog.Snapshot) map[record.ID]bool {
	ids := make(map[record.ID]bool)
	for key := range snapshot.Raw {
		if id, ok := keys.ParseSpec(key); ok {
			ids[id] = true
		}
	}
	return ids
}

func describe(snapshot *catalog.Snapshot, id record.ID) Record {
	entry := snapshot.Raw[keys.Spec(id)]
	return Record{
		ID: id, Revision: entry.ModRevision, Stored: asJSON(entry.Value),
		Rejected: rejectionOf(snapshot, id, entry),
	}
}

// rejectionOf returns why the given entry isn't in force, or nil. The snapshot
// may lag behind the entry; then the entry itself is looked at.
func rejectionOf(snapshot *catalog.Snapshot, id record.ID, entry store.Entry) *catalog.Rejection {
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

// asJSON returns value as it is when it is JSON, and quoted when someone wrote
// something else straight into the store.
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

func changesSince(snapshot *catalog.Snapshot, after store.Revision) Changes {
	changes := Changes{Revision: snapshot.Revision, Records: []Record{}}
	for id := range specKeys(snapshot) {
		if described := describe(snapshot, id); described.Revision > after {
			changes.Records = append(changes.Records, described)
		}
	}
	sortRecords(changes.Records)
	return changes
}

func explainHost(item catalog.HostItem) []string {
	reasons := []string{fmt.Sprintf("belongs to pool %q and is %s", item.Pool, item.Phase)}
	if item.Wave != "" {
		reasons = append(reasons, fmt.Sprintf("is out for wave %q, operation %s", item.Wave, item.Operation))
	}
	for name, visit := range item.Visits {
		reasons = append(reasons, fmt.Sprintf("wave %q: %s %s", name, visit.Result, visit.Reason))
	}
	return reasons
}

func (s *Server) explainRecord(ctx context.Context, snapshot *catalog.Snapshot, id record.ID) []string {
	var reasons []string
	if rejection, ok := snapshot.Rejected[id]; ok {
		reasons = append(reasons, fmt.Sprintf("version %d is not in force: %s", rejection.Revision, rejection.Reason))
	}
	if item, ok := snapshot.Items[id]; ok {
		reasons = append(reasons, fmt.Sprintf("version %d is in force at schema %d", item.Revision, item.Envelope.Schema))
	}
	if id.Kind == record.KindWave {
		reasons = append(reasons, s.explainWave(ctx, id)...)
	}
	return reasons
}

func (s *Server) explainWave(ctx context.Context, id record.ID) []string {
	entry, err := s.Store.Get(ctx, keys.Status(id))
	if err != nil {
		return []string{"no status yet: " + err.Error()}
	}
	var status wave.Status
	if err := json.Unmarshal(entry.Value, &status); err != nil {
		return []string{"its status can't be read: " + err.Error()}
	}
	reasons := []string{fmt.Sprintf("%s: %d of %d hosts maintained, out now: %v", status.Phase, status.Maintained, status.Hosts, status.Out)}
	if status.Reason != "" {
		reasons = append(reasons, status.Reason)
	}
	for _, host := range sortedKeys(status.Waiting) {
		reasons = append(reasons, host+" waits: "+status.Waiting[host])
	}
	for _, host := range sortedKeys(status.Failed) {
		reasons = append(reasons, host+" failed: "+status.Failed[host])
	}
	return reasons
}

func sortedKeys(m map[string]string) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
