package gateway

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/endpoint"
	"auburnglade.example/glade/internal/outcome"
)

// An endpoint sets the drain header on a response before any record or the host
// list shows the drain. That response must still reach its caller, without the
// header, and the endpoint must get no further requests.
func TestSelfReportedDrainStopsRequests(t *testing.T) {
	var drained, remained atomic.Int64
	draining := startEndpoint(t, func(w http.ResponseWriter, _ *http.Request) {
		drained.Add(1)
		w.Header().Set(outcome.DrainingHeader, "1")
		_, _ = io.WriteString(w, "last")
	})
	remaining := startEndpoint(t, func(http.ResponseWriter, *http.Request) { remained.Add(1) })
	g := startGateway(t, draining, remaining)
	for range 20 {
		response := g.get(t, "/offers/lookup")
		wantOutcome(t, response, outcome.Answered, "")
		must.EqOp(t, "", response.Header.Get(outcome.DrainingHeader))
	}
	must.LessEq(t, int64(1), drained.Load())
	must.EqOp(t, int64(20), drained.Load()+remained.Load())
}

// A record takes the only endpoint out of service between two requests. The next
// request must be refused with "not run".
func TestConfiguredDrainStopsRequestsAtOnce(t *testing.T) {
	address := startEndpoint(t, func(http.ResponseWriter, *http.Request) {})
	g := startGateway(t, address)
	wantOutcome(t, g.get(t, "/offers/lookup"), outcome.Answered, "")
	service := offersAt(address)
	service.Endpoints[0].TakesWork = false
	g.Install(map[string]endpoint.Service{"offers": service})
	wantOutcome(t, g.get(t, "/offers/lookup"), outcome.NotRun, outcome.NoEndpoint)
}
