package gateway

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net/http"

	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// traceContext returns the request's context with the caller's trace, or with a
// new trace if the caller sent none.
func traceContext(r *http.Request) context.Context {
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	if trace.SpanContextFromContext(ctx).IsValid() {
		return ctx
	}
	var id trace.TraceID
	var span trace.SpanID
	binary.BigEndian.PutUint64(id[:8], rand.Uint64())
	binary.BigEndian.PutUint64(id[8:], rand.Uint64()|1)
	binary.BigEndian.PutUint64(span[:], rand.Uint64()|1)
	return trace.ContextWithRemoteSpanContext(ctx, trace.NewSpanContext(trace.SpanContextConfig{
		TraceID: id,
		SpanID:  span,
		Remote:  true,
	}))
}
