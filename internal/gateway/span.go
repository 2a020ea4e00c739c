package gateway

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	semconv "go.opentelemetry.io/otel/semconv/v1.26.0"
	"go.opentelemetry.io/otel/trace"

	"auburnglade.example/glade/internal/attempt"
	"auburnglade.example/glade/internal/endpoint"
)

var traceContext = propagation.TraceContext{}

// startSpan starts the span of this hop as a child of the caller's span.
func (g *Gateway) startSpan(ctx context.Context, r *http.Request, service string) (context.Context, trace.Span) {
	ctx = traceContext.Extract(ctx, propagation.HeaderCarrier(r.Header))
	return g.tracer.Start(ctx, "gateway "+service, trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(semconv.HTTPRequestMethodKey.String(r.Method), semconv.URLPath(r.URL.Path)))
}

func (g *Gateway) startAttemptSpan(ctx context.Context, picked endpoint.Endpoint) (context.Context, trace.Span) {
	return g.tracer.Start(ctx, "attempt "+picked.Host, trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(semconv.ServerAddress(picked.Address), attribute.String("glade.zone", picked.Zone)))
}

func recordSpanFailure(span trace.Span, failure *attempt.Failure) {
	if !span.IsRecording() {
		return
	}
	span.SetStatus(codes.Error, string(failure.Reason))
	span.SetAttributes(attribute.Bool("glade.sent", failure.MaybeSent))
}
