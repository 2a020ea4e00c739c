package operatorapi_test

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/invariant"
	"auburnglade.example/glade/internal/member"
	"auburnglade.example/glade/internal/operatorapi"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/store/memstore"
	"auburnglade.example/glade/internal/storekeys"
)

// partialProber returns a result for gateway-1 only.
type partialProber struct{}

func (partialProber) Probe(context.Context, []member.Member) map[string]operatorapi.ProbeResult {
	return map[string]operatorapi.ProbeResult{"gateway-1": {ServedRevision: 5, Violations: 2}}
}

// The fleet summary must list members that don't respond to a probe, and the
// invariant violations recorded by any process.
func TestFleetShowsMembersAndViolations(t *testing.T) {
	b := newBackend(t, memstore.New())
	for _, id := range []string{"gateway-1", "gateway-2"} {
		value, err := json.Marshal(member.Member{ID: id, Role: member.RoleGateway, MaxSchema: 2})
		must.NoError(t, err)
		_, err = b.store.CompareAndSwap(t.Context(), store.SwapRequest{Key: storekeys.Member(id), Value: value})
		must.NoError(t, err)
	}
	b.sync()
	b.server.Prober = partialProber{}
	b.server.Invariant = invariant.New(zerolog.Nop(), nil)
	b.server.Invariant.Assert(invariant.OnePool, false, func() string { return "host-1 in two pools" })
	fleet, err := b.client.Fleet(t.Context())
	must.NoError(t, err)
	must.SliceLen(t, 2, fleet.Members)
	must.Eq(t, 5, fleet.Members[0].ServedRevision)
	must.Eq(t, 2, fleet.Members[0].Violations)
	must.Zero(t, fleet.Members[1].ServedRevision)
	must.Eq(t, "host-1 in two pools", fleet.Violations[0].Evidence)
	b.store.SetDown(true)
	fleet, err = b.client.Fleet(t.Context())
	must.NoError(t, err)
	must.SliceLen(t, 2, fleet.Warnings)
}
