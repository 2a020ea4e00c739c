package daemon

import (
	"fmt"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"

	"auburnglade.example/glade/internal/auth"
	"auburnglade.example/glade/internal/httpserve"
	"auburnglade.example/glade/internal/outcome"
)

// newCallerServer returns the server for callers, with the limits of the settings.
// It uses TLS unless the settings leave that to the balancer.
func (g *Gateway) newCallerServer() *httpserve.Server {
	refused := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "glade_callers_refused_connections_total",
		Help: "Callers' connections refused at once, by the bound that they were over.",
	}, []string{"bound"})
	g.registry.MustRegister(refused)
	s := g.settings.Callers
	server := httpserve.New("callers", g.settings.Listen.Callers, g.closeWhenStopping(), g.settings.Stop.Grace).
		WithLimits(httpserve.Limits{
			MaxConnections: s.MaxConnections, MaxConnectionsPerClient: s.MaxConnectionsPerCaller,
			HeaderTimeout: s.HeaderTimeout, MaxHeaderBytes: s.MaxHeaderBytes, IdleTimeout: s.IdleTimeout,
			RefusalResponse: connectionRefusal(),
			OnRefused:       func(kind httpserve.LimitKind) { refused.WithLabelValues(string(kind)).Inc() },
		})
	if g.settings.Listen.CallersHTTP {
		return server
	}
	return g.trust.secure(server, auth.NoClientCert)
}

// connectionRefusal returns a complete HTTP response with the outcome "not run",
// which holds since nothing of the request has been read.
func connectionRefusal() []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%s: %s\r\n%s: %s\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
		outcome.StatusNotRun, http.StatusText(outcome.StatusNotRun),
		outcome.Header, outcome.NotRun, outcome.ReasonHeader, outcome.Overloaded)
}
