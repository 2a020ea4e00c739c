// Package tracing exports spans. It is a separate package because the exporter
// is large and a process without tracing need not link it.
package tracing

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// NewTracer returns a tracer provider that exports spans over OTLP/HTTP to url,
// or one that records nothing when url is empty. The caller must call stop
// before the process exits.
func NewTracer(ctx context.Context, url, process, id string) (provider trace.TracerProvider, stop func(context.Context) error, err error) {
	if url == "" {
		return noop.NewTracerProvider(), func(context.Context) error { return nil }, nil
	}
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(url))
	if err != nil {
		return nil, nil, err
	}
	name := resource.NewSchemaless(
		attribute.String("service.name", process),
		attribute.String("service.instance.id", id),
	)
	sdk := sdktrace.NewTracerProvider(sdktrace.WithBatcher(exporter), sdktrace.WithResource(name))
	return sdk, sdk.Shutdown, nil
}
