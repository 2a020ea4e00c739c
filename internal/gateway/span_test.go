package gateway

import (
	"context"
	"net/http"
	"testing"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"
	"go.opentelemetry.io/otel/propagation"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.opentelemetry.io/otel/trace"

	"auburnglade.example/glade/internal/endpoint"
	"auburnglade.example/glade/internal/invariant"
)

// A request whose first endpoint refuses the connection must yield one span tree:
// the caller's span, the gateway's span as its child, and both attempts as children
// of that. The second endpoint must receive the span of its attempt as parent.
func TestSpansFormOneTree(t *testing.T) {
	received := make(chan string, 1)
	healthy := startEndpoint(t, func(_ http.ResponseWriter, r *http.Request) { received <- r.Header.Get("Traceparent") })
	exporter := tracetest.NewInMemoryExporter()
	provider := sdktrace.NewTracerProvider(sdktrace.WithSyncer(exporter))
	g := New(Config{Zone: testZone, Invariant: invariant.New(zerolog.Nop(), nil), Log: zerolog.Nop(), Tracer: provider})
	service := offersAt(refusingAddress(t), healthy)
	// Endpoints in other zones are ranked last, so the refusing endpoint is tried
	// first.
	service.Endpoints[1].Zone = "zone-far"
	g.Install(map[string]endpoint.Service{"offers": service})
	server := startEndpoint(t, g.ServeHTTP)

	callerCtx, callerSpan := provider.Tracer("caller").Start(t.Context(), "caller")
	request, err := http.NewRequest(http.MethodGet, "http://"+server+"/offers/x", nil)
	must.NoError(t, err)
	traceContext.Inject(callerCtx, propagation.HeaderCarrier(request.Header))
	response, err := http.DefaultTransport.RoundTrip(request)
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
	callerSpan.End()
	must.NoError(t, provider.ForceFlush(t.Context()))

	gateway := spansOfKind(exporter.GetSpans(), trace.SpanKindServer)
	must.Len(t, 1, gateway)
	must.EqOp(t, callerSpan.SpanContext().SpanID(), gateway[0].Parent.SpanID())
	attempts := spansOfKind(exporter.GetSpans(), trace.SpanKindClient)
	must.Len(t, 2, attempts)
	for _, span := range attempts {
		must.EqOp(t, gateway[0].SpanContext.SpanID(), span.Parent.SpanID())
		must.EqOp(t, callerSpan.SpanContext().TraceID(), span.SpanContext.TraceID())
	}
	must.EqOp(t, "attempt host-a", attempts[0].Name)
	must.EqOp(t, "connect-failed", attempts[0].Status.Description)
	must.EqOp(t, attempts[1].SpanContext.SpanID(), spanIn(<-received).SpanID())
}

func spanIn(traceparent string) trace.SpanContext {
	ctx := traceContext.Extract(context.Background(), propagation.MapCarrier{"traceparent": traceparent})
	return trace.SpanContextFromContext(ctx)
}

func spansOfKind(spans tracetest.SpanStubs, kind trace.SpanKind) tracetest.SpanStubs {
	var found tracetest.SpanStubs
	for _, span := range spans {
		if span.SpanKind == kind {
			found = append(found, span)
		}
	}
	return found
}
