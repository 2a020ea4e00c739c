package operatorapi

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"auburnglade.example/glade/internal/admission"
	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/explain"
	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/forecast"
	"auburnglade.example/glade/internal/member"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/storekeys"
)

const planPath = "/v1/plan"

// maxPlanBytes limits the total size of the records of one plan.
const maxPlanBytes = 4 << 20

// PlannedRecord is the predicted result of applying one record.
type PlannedRecord struct {
	Record record.ID `json:"record"`
	// Revision is the revision of the version that would be replaced, or zero
	// if the record is new.
	Revision store.Revision `json:"revision,omitempty"`
	// RefusalReason is set if the record would be rejected.
	RefusalReason string             `json:"refused,omitempty"`
	Faults        record.FieldErrors `json:"faults,omitempty"`
}

// PlanResponse is the predicted result of applying records to the fleet.
type PlanResponse struct {
	Records []PlannedRecord `json:"records"`
	// Waves holds the forecasts of the planned waves, and of existing waves
	// that the records affect.
	Waves    []forecast.Wave        `json:"waves,omitempty"`
	Moves    forecast.Moves         `json:"moves"`
	Services []explain.Availability `json:"services,omitempty"`
	Warnings []string               `json:"warnings,omitempty"`
}

func (s *Server) plan(w http.ResponseWriter, r *http.Request) {
	var envelopes []record.Envelope
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxPlanBytes)).Decode(&envelopes)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		writeError(w, &TooLargeError{Limit: maxPlanBytes})
		return
	case err != nil:
		writeError(w, &record.SyntaxError{Cause: err})
		return
	}
	view, warnings := s.view(r.Context())
	response := PlanResponse{Warnings: warnings}
	var planned *configstate.Snapshot
	planned, response.Records = simulateApply(view.Snapshot, envelopes)
	before := forecastInput(view, view.Snapshot)
	after := forecastInput(view, planned)
	response.Waves = changedWaves(forecast.Waves(before), forecast.Waves(after))
	response.Moves = forecast.PlanMoves(after)
	view.Snapshot = planned
	response.Services = explain.Availabilities(view)
	writeJSON(w, http.StatusOK, response)
}

// simulateApply returns the snapshot as if the records had been applied,
// without those that would be rejected. A record may refer to an earlier one of
// the list.
func simulateApply(snapshot *configstate.Snapshot, envelopes []record.Envelope) (*configstate.Snapshot, []PlannedRecord) {
	maxSchema := member.SupportedSchema(snapshot, record.MaxSchema)
	var planned []PlannedRecord
	for _, envelope := range envelopes {
		current := snapshot.Raw[storekeys.Spec(envelope.ID())]
		p := PlannedRecord{Record: envelope.ID(), Revision: current.ModRevision}
		var preserved admission.PreservedFields
		if before, err := record.ParseEnvelope(current.Value); err == nil {
			preserved = record.UnknownFields(before)
		}
		err := admission.CheckPut(snapshot, envelope, maxSchema, preserved)
		value, encodeErr := json.Marshal(envelope)
		var invalid *record.InvalidError
		switch {
		case errors.As(err, &invalid):
			p.RefusalReason, p.Faults = err.Error(), invalid.FieldErrors
		case err != nil:
			p.RefusalReason = err.Error()
		case encodeErr != nil:
			p.RefusalReason = encodeErr.Error()
		default:
			revision := snapshot.Revision + 1
			entry := store.Entry{Key: storekeys.Spec(envelope.ID()), Value: value, ModRevision: revision}
			snapshot = snapshot.Apply(store.WatchBatch{Revision: revision, Events: []store.Event{{Entry: entry}}})
		}
		planned = append(planned, p)
	}
	return snapshot, planned
}

func forecastInput(view explain.View, snapshot *configstate.Snapshot) forecast.Input {
	input := forecast.Input{Snapshot: snapshot, GrantSets: view.GrantSets, Now: time.Now()}
	for _, name := range slices.Sorted(maps.Keys(view.Listed)) {
		input.Hosts = append(input.Hosts, view.Listed[name])
	}
	if view.Listed == nil {
		input.Hosts = assumeAllLive(snapshot)
	}
	return input
}

// assumeAllLive returns every host with a record as live. It replaces a host
// list that can't be read; the response's warnings say so.
func assumeAllLive(snapshot *configstate.Snapshot) []fleet.Host {
	var hosts []fleet.Host
	for _, name := range slices.Sorted(maps.Keys(snapshot.Hosts)) {
		item := snapshot.Hosts[name]
		hosts = append(hosts, fleet.Host{Name: name, Zone: item.Zone, Rack: item.Rack, State: fleet.HostLive})
	}
	return hosts
}

// changedWaves returns the forecasts that differ because of the planned
// records.
func changedWaves(before, after map[string]forecast.Wave) []forecast.Wave {
	var changed []forecast.Wave
	for _, name := range slices.Sorted(maps.Keys(after)) {
		old, existed := before[name]
		current := after[name]
		if !existed || old.Seconds != current.Seconds || old.Phase != current.Phase || old.Hosts != current.Hosts || old.MaxOut != current.MaxOut {
			changed = append(changed, current)
		}
	}
	return changed
}
