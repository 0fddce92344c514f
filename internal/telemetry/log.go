package telemetry

import (
	"io"

	"github.com/phuslu/log"
	"go.opentelemetry.io/otel/trace"

	"context"
)

// NewLogger returns a logger that writes one line of key=value pairs an event.
func NewLogger(out io.Writer, level string) *log.Logger {
	return &log.Logger{
		Level:      log.ParseLevel(level),
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Writer: &log.ConsoleWriter{
			Writer:    out,
			Formatter: log.LogfmtFormatter{TimeField: "time"}.Formatter,
		},
	}
}

// TraceID returns the trace id in ctx, or the empty string.
func TraceID(ctx context.Context) string {
	span := trace.SpanContextFromContext(ctx)
	if !span.HasTraceID() {
		return ""
	}
	return span.TraceID().String()
}
