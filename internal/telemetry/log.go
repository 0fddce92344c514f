package telemetry

import (
	"bytes"
	"context"
	"io"
	"strconv"
	"strings"

	"github.com/phuslu/log"
	"go.opentelemetry.io/otel/trace"
)

// NewLogger returns a logger that writes one line of key=value pairs per event: the
// time, the level, the event's name, and its fields.
func NewLogger(out io.Writer, level string) *log.Logger {
	return &log.Logger{
		Level:      log.ParseLevel(level),
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Writer:     &log.ConsoleWriter{Writer: out, Formatter: writePairs},
	}
}

// nilValue is the logger's text for a nil error. Such fields are omitted.
const nilValue = "null"

func writePairs(out io.Writer, args *log.FormatterArgs) (int, error) {
	var line bytes.Buffer
	pair := func(key, value string) {
		if value == nilValue {
			return
		}
		if line.Len() > 0 {
			line.WriteByte(' ')
		}
		line.WriteString(key)
		line.WriteByte('=')
		line.WriteString(quoteIfNeeded(value))
	}
	pair("time", args.Time)
	pair("level", args.Level)
	if args.Message != "" {
		pair("event", args.Message)
	}
	for _, kv := range args.KeyValues {
		pair(kv.Key, kv.Value)
	}
	line.WriteByte('\n')
	return out.Write(line.Bytes())
}

// quoteIfNeeded quotes a value that is empty or contains a space, a control
// character, a quote or an equals sign, so that it is read as a single value.
func quoteIfNeeded(value string) string {
	if value == "" || strings.ContainsFunc(value, func(r rune) bool { return r <= ' ' || r == '"' || r == '=' || r == 0x7f }) {
		return strconv.Quote(value)
	}
	return value
}

// TraceID returns the trace ID in ctx, or the empty string.
func TraceID(ctx context.Context) string {
	span := trace.SpanContextFromContext(ctx)
	if !span.HasTraceID() {
		return ""
	}
	return span.TraceID().String()
}
