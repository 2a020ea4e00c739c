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

// An endpoint says with an answer that it is about to leave, before any record
// or the host list does. That answer still reaches its caller, without the
// header; from the next request on the endpoint gets nothing.
func TestEndpointsOwnWordOfLeavingIsHeeded(t *testing.T) {
	var left, stayed atomic.Int64
	leaving := startEndpoint(t, func(w http.ResponseWriter, _ *http.Request) {
		left.Add(1)
		w.Header().Set(outcome.DrainingHeader, "1")
		_, _ = io.WriteString(w, "last")
	})
	staying := startEndpoint(t, func(http.ResponseWriter, *http.Request) { stayed.Add(1) })
	g := startGateway(t, leaving, staying)
	for range 20 {
		response := g.get(t, "/offers/lookup")
		wantOutcome(t, response, outcome.Answered, "")
		must.EqOp(t, "", response.Header.Get(outcome.DrainingHeader))
	}
	must.LessEq(t, int64(1), left.Load())
	must.EqOp(t, int64(20), left.Load()+stayed.Load())
}

// A record takes an endpoint out between two requests: the very next request
// goes elsewhere, and with no endpoint left the caller hears "not run".
func TestConfiguredLeavingIsHeededAtOnce(t *testing.T) {
	address := startEndpoint(t, func(http.ResponseWriter, *http.Request) {})
	g := startGateway(t, address)
	wantOutcome(t, g.get(t, "/offers/lookup"), outcome.Answered, "")
	service := offersAt(address)
	service.Endpoints[0].TakesWork = false
	g.Install(map[string]endpoint.Service{"offers": service})
	wantOutcome(t, g.get(t, "/offers/lookup"), outcome.NotRun, outcome.NoEndpoint)
}
