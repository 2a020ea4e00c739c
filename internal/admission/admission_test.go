package admission_test

import (
	"encoding/json"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/admission"
	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/storekeys"
)

func snapshotOf(t *testing.T, envelopes ...record.Envelope) *configstate.Snapshot {
	t.Helper()
	listing := store.Listing{Revision: store.Revision(len(envelopes))}
	for i, envelope := range envelopes {
		value, err := json.Marshal(envelope)
		must.NoError(t, err)
		listing.Entries = append(listing.Entries, store.Entry{Key: storekeys.Spec(envelope.ID()), Value: value, ModRevision: store.Revision(i + 1)})
	}
	return configstate.FromListing(nil, listing)
}

func service(name, prefix string) record.Envelope {
	return record.NewEnvelope(name, &record.Service{PathPrefix: prefix, Port: 1})
}

func fields(t *testing.T, err error) []string {
	t.Helper()
	var invalid *record.InvalidError
	must.True(t, errors.As(err, &invalid), must.Sprint(err))
	var names []string
	for _, fieldErr := range invalid.FieldErrors {
		names = append(names, fieldErr.Field)
	}
	return names
}

func TestUniqueValuesAreEnforced(t *testing.T) {
	snapshot := snapshotOf(t,
		service("match", "/match/"), service("rights", "/rights/"),
		record.NewEnvelope("match", &record.Budget{Service: "match", MinAvailable: 1}),
		record.NewEnvelope("night", &record.Quota{Team: "night"}),
	)
	cases := map[string]record.Envelope{
		"spec.pathPrefix": service("other", "/match/"),
		"spec.service":    record.NewEnvelope("other", &record.Budget{Service: "match", MinAvailable: 1}),
		"spec.team":       record.NewEnvelope("other", &record.Quota{Team: "night"}),
	}
	for field, envelope := range cases {
		must.Eq(t, []string{field}, fields(t, admission.CheckPut(snapshot, envelope, record.MaxSchema, nil)))
	}
	must.NoError(t, admission.CheckPut(snapshot, service("match", "/match/"), record.MaxSchema, nil))
}

func TestEveryMissingReferenceIsReported(t *testing.T) {
	snapshot := snapshotOf(t, service("match", "/match/"))
	pool := record.NewEnvelope("a", &record.Pool{Size: 1, Services: []string{"x", "match", "y"}})
	must.Eq(t, []string{"spec.services[0]", "spec.services[2]"}, fields(t, admission.CheckPut(snapshot, pool, record.MaxSchema, nil)))
	must.SliceLen(t, 2, admission.MissingRecords(snapshot, pool))
	job := record.NewEnvelope("j", &record.Job{Pool: "none", Team: "t"})
	must.Eq(t, []string{"spec.pool"}, fields(t, admission.CheckPut(snapshot, job, record.MaxSchema, nil)))
}

// A single member that does not support schema 2 must keep the whole fleet at schema 1.
func TestSchemaAboveFleetMaximumIsRejected(t *testing.T) {
	pool := record.NewEnvelope("a", &record.Pool{Size: 1, MaxPerRack: 1})
	var schemaErr *record.SchemaError
	must.True(t, errors.As(admission.CheckPut(configstate.Empty(), pool, 1, nil), &schemaErr))
	must.Eq(t, 1, schemaErr.Max)
	must.NoError(t, admission.CheckPut(configstate.Empty(), pool, 2, nil))
}

func TestDeleteReportsReferringRecords(t *testing.T) {
	snapshot := snapshotOf(t, service("match", "/match/"),
		record.NewEnvelope("b", &record.Pool{Size: 1, Services: []string{"match"}}),
		record.NewEnvelope("a", &record.Budget{Service: "match"}),
	)
	var referenced *admission.ReferencedError
	must.True(t, errors.As(admission.CheckDelete(snapshot, service("match", "").ID()), &referenced))
	must.Eq(t, "[AvailabilityBudget/a Pool/b]", referenced.Error()[len("record Service/match is named by "):])
	must.NoError(t, admission.CheckDelete(snapshot, record.ID{Kind: record.KindPool, Name: "b"}))
}
