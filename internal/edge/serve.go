package edge

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/cyclamenhoist/cyclamenhoist/internal/clientguard"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/account"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/crashcause"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/limit"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/workload"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

// request is the state of one client request.
type request struct {
	edge *Edge
	w    http.ResponseWriter
	// client accounts for the memory of the answer.
	client  *clientguard.Conn
	method  string
	target  string
	host    string
	header  http.Header
	head    platform.RequestHead
	body    []byte
	route   *fleet.Route
	service string
	// model is the model and adapter that the server must hold. It is empty for plain
	// services.
	model    string
	affinity string
	// account is the client account of the request; nil if it needs none.
	account *account.Account
	// manifestVersion is the version of the manifest that the request is served by.
	manifestVersion int64
	// quota is what the request has taken from quotaOf; nil if its account has no limit.
	quota   limit.QuotaCost
	quotaOf *accountQuota
	// priority is the rank of the request, where 0 is the highest.
	priority int
	// identity is what the request is known by if a server crashes under it.
	identity crashcause.Request
	// sharedPart is the part of the prompt that affinity stands for.
	sharedPart float64
	// expected is the time that the request is expected to take of a server.
	expected workload.Estimate
	// slots is how many requests a server of the service runs concurrently; 0 if unknown.
	slots int

	arrived time.Time
	// deadline is when an answer becomes useless to the client.
	deadline time.Time
	// leavesAt is when the client leaves if it has got nothing until then: the deadline, or
	// earlier for a stream.
	leavesAt time.Time

	// tried lists the servers to avoid because they failed or refused the request. sends
	// counts the attempts that reached a server, and runs those that may have executed
	// the request.
	tried map[fleet.ServerID]bool
	sends int
	runs  int
	// triedBackoff is the delay before the servers in tried are tried again.
	triedBackoff time.Duration
	// handover holds the attempts that may still answer the request.
	handover handover
	// failedAnswer is a server's error that is forwarded if no other server answers.
	failedAnswer *bufferedAnswer
	// estimate is what was expected of the server that was chosen last.
	estimate firstEventEstimate
	// permitsAwaited are the rate limits whose permits the request waits for.
	permitsAwaited []*rateLimit
	// awaitsBrittle means that the request has been found to be in time for brittle servers.
	awaitsBrittle bool
	// expectedWait is how long the request was expected to wait for a slot when it last joined the
	// queue; 0 if unknown.
	expectedWait time.Duration
	// awaitsLoad means that the permits won't do, but another server may load the model.
	awaitsLoad bool
	// budgetCounted means that the request has added its share to the retry budget.
	budgetCounted bool
	// lastEvent is the ID of the last stream event sent to the client, or negative if
	// none was sent.
	lastEvent int64
	// began is the software version of the server that sent the first event of the stream; nil
	// if it isn't known. The watchdog of an attempt reads it while events arrive.
	began atomic.Pointer[string]
	// headWritten means that status and headers of an answer have been sent to the
	// client.
	headWritten bool
	// partForwarded means that the client has a part of an answer that can't be continued by
	// another server.
	partForwarded bool
	progress      progress
	// at is the server of the current or the last attempt, and forwarded the number of writes with
	// events. Both are read when the process ends.
	at        atomic.Pointer[fleet.ServerID]
	forwarded atomic.Int64
}

// ServeHTTP serves one client request.
func (e *Edge) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	q := &request{edge: e, w: w, arrived: time.Now(), lastEvent: -1, triedBackoff: triedBackoff, tried: map[fleet.ServerID]bool{}}
	out, ok := q.accept(r)
	if ok {
		e.running.add(q)
		defer e.running.remove(q)
		ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
		defer cancel()
		ctx, span := e.tracer.Start(ctx, "request", trace.WithSpanKind(trace.SpanKindServer),
			trace.WithAttributes(attribute.String("request", q.head.ID), attribute.String("route", q.route.Name)))
		defer span.End()
		ctx, block := context.WithCancelCause(ctx)
		defer block(nil)
		if out, ok = q.reserveQuota(ctx); ok {
			out, ok = q.runUnlessBlocked(ctx, block)
			q.returnQuota(ok)
		}
		if !ok && r.Context().Err() != nil {
			out = outcome{reason: reasonCanceled}
		}
	}
	e.record(q, out, ok)
	if !ok {
		if q.headWritten {
			out.status = 0
		}
		e.writeOutcome(w, q.head.ID, out)
	}
}

func (e *Edge) record(q *request, out outcome, ok bool) {
	duration := time.Since(q.arrived)
	if ok {
		e.served.Inc(1)
		e.latency.Update(duration)
		if q.progress.missedObjective(q.route, duration) {
			q.progress.log(e.log.Info().Str("request", q.head.ID).Str("route", q.route.Name).Str("model", q.model).
				Dur("took", duration).Int("sends", q.sends)).Msg("request_late")
		}
		return
	}
	entry := e.log.Info()
	if out.status == http.StatusServiceUnavailable || out.status == http.StatusTooManyRequests {
		e.refusals.Inc(1)
	} else {
		e.failures.Inc(1)
	}
	entry = entry.Str("request", q.head.ID).Str("reason", string(out.reason)).Int("status", out.status).
		Dur("took", duration).Int("sends", q.sends).Int("runs", q.runs).
		Str("model", q.model).Dur("retry_after", out.retryAfter)
	if q.sends > 0 || q.progress.queued > 0 {
		entry = q.progress.log(entry)
	}
	if q.runs > 0 {
		e.endedAfterRun.count(out.reason)
		entry = entry.Float64("budget", e.budget(q.service).Left(e.elapsed()))
	}
	if q.route != nil && !q.deadline.IsZero() {
		entry = entry.Str("route", q.route.Name).Dur("limit", q.deadline.Sub(q.arrived))
	}
	if q.account != nil {
		entry = entry.Str("account", q.account.Name)
	}
	entry.Msg("request_ended")
}

// accept finds the route of the request and reads its body. It reports false with the
// outcome if the request is refused.
func (q *request) accept(r *http.Request) (outcome, bool) {
	q.head = platform.DecodeRequest(r.Header)
	view := q.edge.views.Load()
	if view.Manifest == nil {
		return refused(reasonNoManifest, jitter(time.Second)), false
	}
	if !q.edge.acceptsRequests() {
		return refused(reasonStopping, stoppingRetryAfter), false
	}
	q.manifestVersion = view.Manifest.Version
	q.method, q.target, q.host = r.Method, r.RequestURI, r.Host
	q.route = view.Manifest.Route(hostName(r.Host), rawPath(r))
	if q.route == nil && q.edge.cfg.Manifest.isBehind() {
		return refused(reasonBehind, jitter(minRetryAfter)), false
	}
	if q.route == nil {
		return outcome{status: http.StatusNotFound, reason: reasonNoRoute}, false
	}
	if out, ok := q.identify(view.Manifest, r.Header); !ok {
		return out, false
	}
	limit := q.route.Timeout
	if q.head.Deadline > 0 && (limit <= 0 || q.head.Deadline < limit) {
		limit = q.head.Deadline
	}
	if limit <= 0 {
		limit = defaultTimeout
	}
	q.deadline = q.arrived.Add(limit)
	q.leavesAt = q.deadline
	if patience := q.route.Patience(); patience > 0 && patience < limit {
		q.leavesAt = q.arrived.Add(patience)
	}
	q.service = q.route.PickService()
	q.header = platform.ForwardedHeaders(r.Header)
	if view.Manifest.Accounts != nil {
		platform.RemoveKey(q.header)
	}
	if q.head.LastEventID >= 0 {
		q.lastEvent = q.head.LastEventID
	}
	q.identity.Service = q.service
	if engine := view.Manifest.Services[q.service].Engine; engine != nil {
		q.slots = engine.Slots
		q.model = modelKey(q.head.Model, q.head.Adapter)
		q.affinity, q.sharedPart = affinityKey(q.head), sharedPart(q.head)
		q.identity.Prompt = promptOf(q.head)
	}
	return q.readBody(r, view.Manifest.Limits.MaxBodyBytes)
}

// defaultTimeout applies to requests for which neither the client nor the route sets a
// timeout.
const defaultTimeout = 30 * time.Second

func (q *request) readBody(r *http.Request, limit int64) (outcome, bool) {
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	q.client = clientguard.Client(r)
	body, err := clientguard.ReadBody(r, limit, q.deadline)
	switch {
	case errors.Is(err, clientguard.ErrTooLarge):
		return outcome{status: http.StatusRequestEntityTooLarge, reason: reasonBodyTooLarge, closes: true}, false
	case errors.Is(err, clientguard.ErrTimeout):
		return outcome{status: http.StatusRequestTimeout, reason: reasonBodyTimeout, closes: true}, false
	case errors.Is(err, clientguard.ErrNoMemory):
		out := refused(reasonMemory, jitter(clientguard.RetryAfter))
		out.closes = true
		return out, false
	case err != nil:
		return outcome{reason: reasonBody}, false
	}
	q.body = body
	q.identity.Digest = q.digest()
	return outcome{}, true
}

// defaultBodyBytes is the maximum size of a body if the manifest sets no limit.
const defaultBodyBytes = 4 << 20

// affinityKey identifies the parts of a prompt that are shared with other requests: all
// parts but the last, which is specific to the request.
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

func promptOf(head platform.RequestHead) crashcause.Prompt {
	prompt := make(crashcause.Prompt, 0, len(head.Prefix))
	for _, part := range head.Prefix {
		prompt = append(prompt, part.ID)
	}
	return prompt
}

// sharedPart returns the part of a prompt, from 0 to 1, that is shared with other requests.
func sharedPart(head platform.RequestHead) float64 {
	shared, all := 0.0, 0.0
	for i, part := range head.Prefix {
		all += float64(max(part.Tokens, 0))
		if i < len(head.Prefix)-1 {
			shared = all
		}
	}
	if all == 0 {
		return 0
	}
	return shared / all
}

func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// rawPath returns the path exactly as the client sent it. Paths are not cleaned, neither
// to match routes nor to forward requests.
func rawPath(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if !strings.HasPrefix(path, "/") {
		return r.URL.EscapedPath()
	}
	return path
}
