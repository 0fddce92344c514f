package telemetry

import (
	"context"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// ErrExporter means that the span exporter couldn't be set up.
var ErrExporter = errors.New("span exporter")

const tracerName = "cyclamenhoist"

// Tracing holds the tracer of the process.
type Tracing struct {
	Tracer   trace.Tracer
	shutdown func(context.Context) error
}

// Propagator propagates trace context in W3C Trace Context headers.
var Propagator propagation.TextMapPropagator = propagation.TraceContext{}

// NewTracing returns a tracer that exports spans over OTLP to url and samples the
// given ratio of root spans. With an empty url it returns a no-op tracer. The error
// is ErrExporter.
func NewTracing(ctx context.Context, url string, ratio float64, instance, zone string) (*Tracing, error) {
	if url == "" {
		return &Tracing{
			Tracer:   noop.NewTracerProvider().Tracer(tracerName),
			shutdown: func(context.Context) error { return nil },
		}, nil
	}
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(url))
	if err != nil {
		return nil, errors.Join(ErrExporter, err)
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(ratio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", tracerName),
			attribute.String("service.instance.id", instance),
			attribute.String("cloud.availability_zone", zone),
		)),
	)
	return &Tracing{Tracer: provider.Tracer(tracerName), shutdown: provider.Shutdown}, nil
}

// Shutdown exports the remaining spans and stops the exporter.
func (t *Tracing) Shutdown(ctx context.Context) error { return t.shutdown(ctx) }
