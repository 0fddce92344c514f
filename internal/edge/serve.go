package edge

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

// request is one client request on its way.
type request struct {
	edge    *Edge
	w       http.ResponseWriter
	method  string
	target  string
	host    string
	header  http.Header
	head    platform.RequestHead
	body    []byte
	route   *fleet.Route
	service string
	// model is what the server must hold, empty for plain services.
	model    string
	affinity string

	arrived time.Time
	// deadline is when the client must have its answer.
	deadline time.Time

	// tried are the servers that failed the request, sends the attempts that
	// reached one, and runs those of them that may have run it.
	tried map[fleet.ServerID]bool
	sends int
	runs  int
	// triedPause is the next pause before they are tried again.
	triedPause time.Duration
	// prepaid means that the next attempt has been taken from that budget.
	prepaid atomic.Bool
	// status is that of the last answer, 0 if there was none.
	status int
	// counted means that the request was counted towards the budget of repeats.
	counted bool
	// lastEvent is the last stream event that the client has; negative if none.
	lastEvent int64
	// begun means that the head of an answer has gone to the client.
	begun bool
}

// ServeHTTP serves one client request.
func (e *Edge) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	q := &request{edge: e, w: w, arrived: time.Now(), lastEvent: -1, triedPause: triedPause, tried: map[fleet.ServerID]bool{}}
	out, ok := q.accept(r)
	if ok {
		ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
		defer cancel()
		ctx, span := e.tracer.Start(ctx, "request", trace.WithSpanKind(trace.SpanKindServer),
			trace.WithAttributes(attribute.String("request", q.head.ID), attribute.String("route", q.route.Name)))
		defer span.End()
		out, ok = q.run(ctx)
		if !ok && r.Context().Err() != nil {
			out = outcome{reason: reasonCanceled}
		}
	}
	e.record(q, out, ok)
	if !ok {
		if q.begun {
			out.status = 0
		}
		e.end(w, q.head.ID, out)
	}
}

func (e *Edge) record(q *request, out outcome, ok bool) {
	took := time.Since(q.arrived)
	if ok {
		e.served.Inc(1)
		e.latency.Update(took)
		return
	}
	entry := e.log.Info()
	if out.status == http.StatusServiceUnavailable {
		e.refusals.Inc(1)
	} else {
		e.failures.Inc(1)
	}
	entry = entry.Str("request", q.head.ID).Str("reason", string(out.reason)).Int("status", out.status).
		Dur("took", took).Int("sends", q.sends).Int("runs", q.runs).
		Str("model", q.model).Dur("retry_after", out.retryAfter)
	if q.route != nil && !q.deadline.IsZero() {
		entry = entry.Str("route", q.route.Name).Dur("limit", q.deadline.Sub(q.arrived))
	}
	entry.Msg("request_ended")
}

// accept reads the request and finds its route.
func (q *request) accept(r *http.Request) (outcome, bool) {
	q.head = platform.DecodeRequest(r.Header)
	view := q.edge.views.Load()
	if view.Manifest == nil {
		return refused(reasonNoManifest, spread(time.Second)), false
	}
	if !q.edge.takesRequests() {
		return refused(reasonStopping, stoppingRetryAfter), false
	}
	q.method, q.target, q.host = r.Method, r.RequestURI, r.Host
	q.route = view.Manifest.Route(hostName(r.Host), pathOf(r))
	if q.route == nil {
		return outcome{status: http.StatusNotFound, reason: reasonNoRoute}, false
	}
	limit := q.route.Timeout
	if q.head.Deadline > 0 && (limit <= 0 || q.head.Deadline < limit) {
		limit = q.head.Deadline
	}
	if limit <= 0 {
		limit = defaultLimit
	}
	q.deadline = q.arrived.Add(limit)
	q.service = q.route.PickService()
	q.header = platform.PassedOn(r.Header)
	if q.head.LastEventID >= 0 {
		q.lastEvent = q.head.LastEventID
	}
	if view.Manifest.Services[q.service].Engine != nil {
		q.model = modelKey(q.head.Model, q.head.Adapter)
		q.affinity = affinityKey(q.head)
	}
	return q.readBody(r, view.Manifest.Limits.MaxBodyBytes)
}

// defaultLimit holds for requests of which neither client nor route says how
// long they may take.
const defaultLimit = 30 * time.Second

func (q *request) readBody(r *http.Request, limit int64) (outcome, bool) {
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(q.w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return outcome{status: http.StatusRequestEntityTooLarge, reason: reasonBodyTooLarge}, false
	case err != nil:
		return outcome{reason: reasonBody}, false
	}
	q.body = body
	return outcome{}, true
}

// defaultBodyBytes bounds a body where the manifest sets no limit.
const defaultBodyBytes = 4 << 20

// affinityKey names the parts of a prompt that other requests share: all but the
// last, which is the request's own.
func affinityKey(head platform.RequestHead) string {
	if len(head.Prefix) < 2 {
		return ""
	}
	ids := []string{head.Model, head.Adapter}
	for _, part := range head.Prefix[:len(head.Prefix)-1] {
		ids = append(ids, part.ID)
	}
	return strings.Join(ids, "|")
}

func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// pathOf returns the path exactly as the client sent it: routes are matched, and
// requests passed on, without cleaning it.
func pathOf(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if !strings.HasPrefix(path, "/") {
		return r.URL.EscapedPath()
	}
	return path
}
