package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/trace"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/targets"
)

// Filter is one element of the filter chain. It passes the call to the next
// filter with Call.Next, or ends the call by returning a *problem.Problem.
type Filter interface {
	Handle(c *Call) error
}

// FilterFunc adapts a function to a Filter.
type FilterFunc func(c *Call) error

// Handle calls the function.
func (f FilterFunc) Handle(c *Call) error { return f(c) }

// Call is the state of one request in the filter chain. It is used by one
// goroutine only.
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

	// Set by setDeadline. The caller needs the whole answer by deadline. The
	// request must be sent to a backend server by startBy; one that may have run
	// has the same time again after each attempt.
	deadline, startBy time.Time

	// Set by forward.
	attempts int
	server   port.ServerID
	// excluded lists the servers on which the request has failed.
	excluded []port.ServerID
	// held is the last answer that was put aside, or nil.
	held *heldAnswer
	// sentTo is the last server that the request was sent to; nil if there is
	// none. Other goroutines may read it.
	sentTo atomic.Pointer[port.ServerID]
	// possiblyRan is set before the first byte can reach a backend server. It
	// is cleared once it is proven that no server executed the request.
	possiblyRan bool
	// eventStream is the streamed answer; nil until a stream has begun.
	eventStream *eventStream
	// record receives a copy of the answer for later requests with the same
	// identity. It is set by deduplicate once the identity is claimed, and nil
	// if the request has no identity.
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

// exclude keeps the next attempt from a server on which this one has failed.
func (c *Call) exclude(server port.ServerID) { c.excluded = append(c.excluded, server) }

// restartWait gives a request whose run has failed at the time now the time to
// start again.
func (c *Call) restartWait(now time.Time) {
	c.startBy = now.Add(min(time.Duration(c.class.MaxWait), c.deadline.Sub(now)))
}

// responseWriter records the status and the size of the response. A status of
// zero means that the response hasn't begun.
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
