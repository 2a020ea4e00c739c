package operatorapi

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sort"
	"strings"

	"auburnglade.example/glade/internal/budget"
	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/explain"
	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/invariant"
	"auburnglade.example/glade/internal/jobs"
	"auburnglade.example/glade/internal/member"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/report"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/storekeys"
	"auburnglade.example/glade/internal/wave"
)

// Prober queries members for their own status. Members that don't respond are
// missing from the result.
type Prober interface {
	Probe(ctx context.Context, members []member.Member) map[string]ProbeResult
}

// ProbeResult is the status that one member reports.
type ProbeResult struct {
	// ServedRevision is the configuration revision that the member serves.
	ServedRevision store.Revision
	// Violations counts the invariant violations that the member has recorded,
	// at most 100.
	Violations int
}

// MemberSummary describes one live process.
type MemberSummary struct {
	member.Member
	// ServedRevision is the configuration revision that the member serves, or
	// zero if it did not respond.
	ServedRevision store.Revision `json:"served"`
	// Violations counts the invariant violations that the member has recorded,
	// at most 100. Its log and glade_invariant_violations_total include all of
	// them.
	Violations int `json:"violations,omitempty"`
}

// FleetSummary summarises the state of the fleet.
type FleetSummary struct {
	Revision store.Revision `json:"revision"`
	// Pools counts the hosts of each pool by phase. DesiredSizes holds the
	// sizes in the pools' records.
	Pools        map[string]map[string]int        `json:"pools"`
	DesiredSizes map[string]int                   `json:"sizes"`
	Services     []explain.Availability           `json:"services"`
	Members      []MemberSummary                  `json:"members"`
	Waves        []wave.Status                    `json:"waves"`
	Rejected     map[string]configstate.Rejection `json:"rejected,omitempty"`
	// HostsNotServing holds the records of hosts that are not in the serving
	// phase.
	HostsNotServing map[string]hostrecord.Record `json:"hosts,omitempty"`
	Phases          map[hostrecord.Phase]int     `json:"phases"`
	// Violations are the invariant violations recorded by the controller that
	// responds, with their evidence. Members has the counts of the other
	// processes.
	Violations []invariant.Violation `json:"violations,omitempty"`
	// Warnings list what is missing from this summary and why.
	Warnings []string `json:"warnings,omitempty"`
}

func (s *Server) fleet(w http.ResponseWriter, r *http.Request) {
	view, warnings := s.view(r.Context())
	summary := summarize(view)
	summary.Warnings = warnings
	var probes map[string]ProbeResult
	members := member.All(view.Snapshot)
	if s.Prober != nil {
		probes = s.Prober.Probe(r.Context(), members)
	}
	for _, m := range members {
		summary.Members = append(summary.Members, MemberSummary{
			Member: m, ServedRevision: probes[m.ID].ServedRevision, Violations: probes[m.ID].Violations,
		})
	}
	if s.Invariant != nil {
		summary.Violations = s.Invariant.Violations()
	}
	writeJSON(w, http.StatusOK, summary)
}

func (s *Server) hosts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, slices.Sorted(maps.Keys(s.Feed.Snapshot().Hosts)))
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	view, warnings := s.view(r.Context())
	id := record.ID{Kind: record.Kind(r.PathValue("kind")), Name: r.PathValue("name")}
	if err := s.readPlacement(r.Context(), view, poolFor(view.Snapshot, id)); err != nil {
		warnings = append(warnings, "placement not read: "+err.Error())
	}
	response := Explanation{Subject: id.String()}
	var known bool
	if id.Kind == KindHost {
		response.Pool = view.Snapshot.Hosts[id.Name].Pool
		response.Reasons, known = explain.Host(view, id.Name)
	} else {
		response.Reasons, known = explain.Record(view, id)
	}
	if !known {
		writeError(w, &NotFoundError{ID: id})
		return
	}
	for _, warning := range warnings {
		response.Reasons = append(response.Reasons, "note: "+warning)
	}
	writeJSON(w, http.StatusOK, response)
}

// poolFor returns the pool whose placement is needed to explain a job or a
// host, or "" for other kinds.
func poolFor(snapshot *configstate.Snapshot, id record.ID) string {
	if id.Kind == KindHost {
		return snapshot.Hosts[id.Name].Pool
	}
	job := snapshot.Jobs()[id.Name]
	if id.Kind != record.KindJob || job == nil {
		return ""
	}
	return job.Pool
}

// readPlacement reads the placement of a pool's tasks into the view. Jobs have
// no stored status of their own, because it would cost one store write per job.
func (s *Server) readPlacement(ctx context.Context, view explain.View, pool string) error {
	if pool == "" {
		return nil
	}
	key := storekeys.Placement(pool)
	entry, err := s.Store.Get(ctx, key)
	if store.IsNotFound(err) {
		return nil
	}
	if err != nil {
		return err
	}
	view.Placements[pool], err = jobs.ParseState(key, entry.Value)
	return err
}

// jobStatus returns the status of a job, derived from the placement of its
// pool.
func (s *Server) jobStatus(ctx context.Context, id record.ID) (jobs.JobStatus, error) {
	view := explain.View{Snapshot: s.Feed.Snapshot(), Placements: make(map[string]*jobs.State)}
	job := view.Snapshot.Jobs()[id.Name]
	if job == nil {
		return jobs.JobStatus{}, &NotFoundError{ID: id}
	}
	if err := s.readPlacement(ctx, view, job.Pool); err != nil {
		return jobs.JobStatus{}, err
	}
	if state := view.Placements[job.Pool]; state != nil {
		if status, known := state.Status(id.Name, job); known {
			return status, nil
		}
	}
	return jobs.JobStatus{}, &NotFoundError{ID: id}
}

func (s *Server) history(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("wave")
	entry, err := s.Store.Get(r.Context(), storekeys.History(name))
	if store.IsNotFound(err) {
		err = &NotFoundError{ID: record.ID{Kind: record.KindWave, Name: name}}
	}
	if err != nil {
		writeError(w, err)
		return
	}
	history, err := report.Parse(entry.Key, entry.Value)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, history)
}

// KindHost is the kind under which hosts are explained. There are no operators'
// records of this kind.
const KindHost record.Kind = "Host"

// view reads the inputs of an explanation: two listings of the store and the
// host list. Inputs that can't be read are left out and named in the returned
// warnings.
func (s *Server) view(ctx context.Context) (explain.View, []string) {
	view := explain.View{
		Snapshot:   s.Feed.Snapshot(),
		GrantSets:  make(map[string]budget.GrantSet),
		Waves:      make(map[string]wave.Status),
		Placements: make(map[string]*jobs.State),
	}
	var warnings []string
	if err := s.readGrantSets(ctx, view); err != nil {
		warnings = append(warnings, "ledgers not read: "+err.Error())
	}
	if err := s.readStatuses(ctx, view); err != nil {
		warnings = append(warnings, "statuses not read: "+err.Error())
	}
	if s.Hosts == nil {
		return view, warnings
	}
	hosts, err := s.Hosts.Hosts(ctx)
	if err != nil {
		return view, append(warnings, "host list not read: "+err.Error())
	}
	view.Listed = make(map[string]fleet.Host, len(hosts))
	for _, host := range hosts {
		view.Listed[host.Name] = host
	}
	return view, warnings
}

func (s *Server) readGrantSets(ctx context.Context, view explain.View) error {
	listing, err := s.Store.List(ctx, storekeys.GrantSetPrefix)
	if err != nil {
		return err
	}
	for _, entry := range listing.Entries {
		grantSet, err := budget.ParseGrantSet(entry.Key, entry.Value)
		if err != nil {
			return err
		}
		view.GrantSets[strings.TrimPrefix(entry.Key, storekeys.GrantSetPrefix)] = grantSet
	}
	return nil
}

// readStatuses reads the statuses of waves into the view. It skips statuses
// that can't be parsed: no decision depends on them, and the next reconcile of
// their writer replaces them.
func (s *Server) readStatuses(ctx context.Context, view explain.View) error {
	prefix := storekeys.Status(record.ID{Kind: record.KindWave})
	listing, err := s.Store.List(ctx, prefix)
	if err != nil {
		return err
	}
	for _, entry := range listing.Entries {
		name := strings.TrimPrefix(entry.Key, prefix)
		var status wave.Status
		if json.Unmarshal(entry.Value, &status) == nil {
			view.Waves[name] = status
		}
	}
	return nil
}

func summarize(view explain.View) FleetSummary {
	snapshot := view.Snapshot
	summary := FleetSummary{
		Revision:        snapshot.Revision,
		Pools:           make(map[string]map[string]int),
		DesiredSizes:    make(map[string]int),
		Services:        explain.Availabilities(view),
		Rejected:        make(map[string]configstate.Rejection),
		Phases:          make(map[hostrecord.Phase]int),
		HostsNotServing: make(map[string]hostrecord.Record),
	}
	for name, pool := range snapshot.Pools() {
		summary.Pools[name] = make(map[string]int)
		summary.DesiredSizes[name] = pool.Size
	}
	for name, host := range snapshot.Hosts {
		summary.Phases[host.Phase]++
		if phases, ok := summary.Pools[host.Pool]; ok {
			phases[string(host.Phase)]++
		}
		if host.Phase != hostrecord.Serving {
			summary.HostsNotServing[name] = host.Record
		}
	}
	for name := range snapshot.Waves() {
		status, known := view.Waves[name]
		if !known {
			status = wave.Status{Wave: name}
		}
		summary.Waves = append(summary.Waves, status)
	}
	sort.Slice(summary.Waves, func(i, j int) bool { return summary.Waves[i].Wave < summary.Waves[j].Wave })
	for id, rejection := range snapshot.Rejected {
		summary.Rejected[id.String()] = rejection
	}
	return summary
}
