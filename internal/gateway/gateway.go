package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/phuslu/log"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/cyclamenhoist/cyclamenhoist/internal/problem"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/queue"
)

// Gateway serves the requests of callers.
type Gateway struct {
	config  Config
	deps    Deps
	filters []Filter
	queues  *queue.Set
	// watchers holds the *watcher of each queue.Key that has queued requests.
	watchers     sync.Map
	admission    admission
	durationMean durationMean
	endings      endings
	inProgress   atomic.Int64
	calls        callSet
	// hedges counts the second attempts that were started beside a slow first
	// one.
	hedges     atomic.Int64
	runContext context.Context
	stop       context.CancelFunc
	background sync.WaitGroup
	state      atomic.Int32
}

// New returns a gateway. It accepts requests as soon as its handler is served.
func New(deps Deps) *Gateway {
	if deps.Tracer == nil {
		deps.Tracer = noop.NewTracerProvider().Tracer("")
	}
	if deps.Logger == nil {
		deps.Logger = &log.Logger{Level: log.PanicLevel}
	}
	config := deps.Config.withDefaults()
	g := &Gateway{
		config: config,
		deps:   deps,
		queues: queue.NewSet(queue.Limits{
			Requests: config.MaxWaiting,
			Bytes:    config.MaxWaitingBytes,
			PerKey:   config.MaxWaitingPerModel,
			Now:      deps.Clock.Now,
		}),
	}
	g.runContext, g.stop = context.WithCancel(context.Background())
	g.filters = []Filter{
		FilterFunc(g.identify),
		FilterFunc(g.classify),
		FilterFunc(g.setDeadline),
		FilterFunc(g.admit),
		FilterFunc(g.deduplicate),
		FilterFunc(g.forward),
	}
	return g
}

func (g *Gateway) now() time.Time { return g.deps.Clock.Now() }

func (g *Gateway) startSpan(
	ctx context.Context, name string, attributes ...attribute.KeyValue,
) (context.Context, trace.Span) {
	return g.deps.Tracer.Start(ctx, name, trace.WithAttributes(attributes...))
}

// Handler returns the HTTP handler of the callers' API.
func (g *Gateway) Handler() http.Handler {
	router := chi.NewRouter()
	router.Use(g.limitBodyTime)
	router.Post("/v1/chat/completions", g.serveEngine)
	router.Post("/v1/completions", g.serveEngine)
	router.Get("/v1/models", g.serveModels)
	router.Get("/v1/models/*", g.serveModel)
	router.Get("/livez", g.serveLive)
	router.Get("/readyz", g.serveReady)
	router.MethodNotAllowed(g.serveMethodNotAllowed)
	router.NotFound(g.servePlain)
	return router
}

// Server returns an HTTP server for the callers' API with the configured
// limits.
func (g *Gateway) Server() *http.Server {
	return &http.Server{
		Handler:           g.Handler(),
		ReadHeaderTimeout: g.config.HeaderTimeout,
		IdleTimeout:       g.config.IdleTimeout,
		MaxHeaderBytes:    g.config.MaxHeaderBytes,
	}
}

func (g *Gateway) serveEngine(w http.ResponseWriter, r *http.Request) { g.serve(w, r, true) }

func (g *Gateway) servePlain(w http.ResponseWriter, r *http.Request) { g.serve(w, r, false) }

func (g *Gateway) serveMethodNotAllowed(w http.ResponseWriter, r *http.Request) {
	g.serveError(w, r, problem.New(problem.MethodNotAllowed, r.Method+" isn't allowed here"))
}

// serve passes one request through the filter chain and ends it.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request, engine bool) {
	c := g.newCall(w, r, g.filters)
	c.engine = engine
	defer c.span.End()
	defer g.recoverPanic(c)
	if g.stopped() {
		g.finishCall(c, problem.New(problem.Stopping, "another instance takes the request").WithRetryAfter(minRetryAfter))
		return
	}
	if err := g.readinessError(); err != nil {
		g.finishCall(c, problem.New(problem.NotReady, err.Error()).WithRetryAfter(minRetryAfter))
		return
	}
	g.finishCall(c, c.Next())
}

// recoverPanic ends a call whose handling panicked. Whether the request was
// executed is then unknown.
func (g *Gateway) recoverPanic(c *Call) {
	value := recover()
	if value == nil {
		return
	}
	if c.ended {
		// The ending is already recorded, so this panic only aborts the
		// connection.
		panic(value)
	}
	g.deps.Logger.Error().Str("trace_id", c.traceID).Any("panic", value).Msg("panic")
	c.possiblyRan = true
	g.finishCall(c, problem.New(problem.Internal, "the instance failed"))
}

func (g *Gateway) newCall(w http.ResponseWriter, r *http.Request, filters []Filter) *Call {
	ctx := traceContext(r)
	ctx, span := g.startSpan(ctx, "request", attribute.String("path", r.URL.Path))
	c := &Call{
		ctx:     ctx,
		filters: filters,
		w:       &responseWriter{ResponseWriter: w, control: http.NewResponseController(w)},
		r:       r,
		span:    span,
		traceID: trace.SpanContextFromContext(ctx).TraceID().String(),
		arrived: g.now(),
	}
	c.view = g.deps.Snapshot()
	g.endings.accepted.Add(1)
	g.inProgress.Add(1)
	g.calls.add(c)
	return c
}
