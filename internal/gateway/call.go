package gateway

import (
	"context"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/trace"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/targets"
)

// Filter is one step of the chain. It passes the call on with Next, or ends it
// by returning a *problem.Problem.
type Filter interface {
	Handle(c *Call) error
}

// FilterFunc is a function that is a Filter.
type FilterFunc func(c *Call) error

// Handle calls the function.
func (f FilterFunc) Handle(c *Call) error { return f(c) }

// Call is one request on its way through the chain. It belongs to one
// goroutine.
type Call struct {
	ctx     context.Context
	filters []Filter

	w       *responseWriter
	r       *http.Request
	view    View
	span    trace.Span
	traceID string
	arrived time.Time
	ended   bool

	// Set by identify.
	engine  bool
	caller  string
	service string
	model   port.ModelID
	stream  bool
	body    []byte

	// Set by classify.
	class      *targets.Class
	repeatable bool

	// Set by deadline: when the caller wants the whole answer, and until when
	// the request may wait to be started.
	deadline, startBy time.Time

	// Set by route and forward.
	attempts int
	server   port.ServerID
	// mayRun is set before the first byte can reach a backend server, and
	// cleared when it is proved that no server ran the request.
	mayRun bool
	// events is the streamed answer, once one has begun.
	events *events
	// record gets a copy of the answer, for the identity's next asker.
	record *recording
}

// Next passes the call to the next filter of the chain.
func (c *Call) Next() error {
	if len(c.filters) == 0 {
		return nil
	}
	next := c.filters[0]
	c.filters = c.filters[1:]
	return next.Handle(c)
}

// responseWriter notes whether the response has begun.
type responseWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	status  int
	bytes   int64
}

func (w *responseWriter) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
	w.ResponseWriter.WriteHeader(status)
}

func (w *responseWriter) Write(p []byte) (int, error) {
	if w.status == 0 {
		w.status = http.StatusOK
	}
	n, err := w.ResponseWriter.Write(p)
	w.bytes += int64(n)
	return n, err
}

// Unwrap lets http.ResponseController reach the underlying writer.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
