// Package fleetapp assembles an entry instance on the platform: it loads the
// settings, follows the platform's store, and runs the listeners until it is
// signaled to stop.
package fleetapp

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-faster/errors"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/dig"
	"golang.org/x/sync/errgroup"

	"github.com/cyclamenhoist/cyclamenhoist/internal/clientguard"
	"github.com/cyclamenhoist/cyclamenhoist/internal/edge"
	"github.com/cyclamenhoist/cyclamenhoist/internal/peer"
	"github.com/cyclamenhoist/cyclamenhoist/internal/placer"
	"github.com/cyclamenhoist/cyclamenhoist/internal/relay"
	"github.com/cyclamenhoist/cyclamenhoist/internal/storemirror"
	"github.com/cyclamenhoist/cyclamenhoist/internal/telemetry"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/bytebudget"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/leaderlease"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/pause"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

// ErrListen means that a listener could not be opened or failed.
var ErrListen = errors.New("listen")

const (
	// memoryLimitRatio is the soft limit of the heap as a fraction of the
	// machine's memory. The rest is for stacks, sockets and the overshoot of a
	// burst.
	memoryLimitRatio = 0.6
	// clientKeepAlive is the interval of the TCP keep-alive probes that detect
	// a client that disappeared without closing its connection.
	clientKeepAlive = 2 * time.Second
	// clientKeepAliveProbes is the number of unanswered probes after which a client's connection
	// is given up, unless a TCP_USER_TIMEOUT is set.
	clientKeepAliveProbes = 2
	// relayDialTimeout is the timeout of a connection to an instance that relays. A round trip
	// within the platform takes a few milliseconds.
	relayDialTimeout = 300 * time.Millisecond
	// idleConnInterval is the interval at which expired idle connections to
	// servers are closed.
	idleConnInterval = 5 * time.Second
)

// Instance is one entry instance on the platform.
type Instance struct {
	settings *Settings
	path     string
	log      *log.Logger
	registry metrics.Registry
	views    *edge.Views
	edge     *edge.Edge
	store    *platform.Store
	mirror   *storemirror.Mirror
	servers  *platform.Servers
	placer   *placer.Placer
	dialer   *relay.Dialer
	relay    *relay.Server
	tracing  *telemetry.Tracing
	guards   *guards

	// manifests and serverList record whether the store can be read.
	manifests, serverList *dependency
	unusable              *unusableEntries
	unserved              *unservedServices
}

// New assembles an instance without starting anything. The settings are loaded
// again from path when they change.
func New(settings *Settings, path string, out io.Writer) (*Instance, error) {
	c := dig.New()
	providers := []any{
		func() *Settings { return settings },
		func() *log.Logger {
			return telemetry.NewBoundedLogger(out, settings.Log.Level, settings.Log.LinesPerSecond)
		},
		metrics.NewRegistry,
		edge.NewViews,
		newDialer,
		newServers,
		newRelay,
		newStandingRecorder,
		func(s *Settings) *platform.Store { return platform.NewStore(s.Store.Address) },
		func(s *Settings) *storemirror.Mirror {
			mirror := storemirror.New(s.Servers.DrainTimeout.D())
			mirror.SetConfirmWithin(s.Accounts.withdrawal())
			mirror.SetApplyWithin(s.Manifest.ApplyWithin.D())
			return mirror
		},
		placer.NewCollector,
		func(c *placer.Collector) edge.Demand { return c },
		func(p *placer.Placer) edge.Peers {
			return edge.Peers{Permits: p, Quotas: p, Origins: p, Crashes: p, Standings: p.Standings()}
		},
		func(s *Settings) (*telemetry.Tracing, error) {
			return telemetry.NewTracing(context.Background(), s.Tracing.OTLPURL, s.Tracing.SampleRatio, s.Instance.Name, s.Instance.Zone)
		},
		func(t *telemetry.Tracing) trace.Tracer { return t.Tracer },
		newPlacer,
		newEdge,
		newBudget,
		newGuards,
		newInstance,
	}
	for _, provider := range providers {
		if err := c.Provide(provider); err != nil {
			return nil, errors.Wrap(err, "provide")
		}
	}
	var instance *Instance
	if err := c.Invoke(func(i *Instance) { instance, i.path = i, path }); err != nil {
		return nil, errors.Wrap(err, "assemble instance")
	}
	return instance, nil
}

func newEdge(s *Settings, mirror *storemirror.Mirror, views *edge.Views, servers *platform.Servers, demand edge.Demand, peers edge.Peers, logger *log.Logger, registry metrics.Registry, tracer trace.Tracer) *edge.Edge {
	return edge.New(edge.Config{
		Name: s.Instance.Name, Zone: s.Instance.Zone, RetryRatio: s.Retries.Ratio, RetryWindow: s.Retries.Window.D(),
		RetryExtra: s.Retries.Extra, Instances: s.Retries.Instances,
		Manifest: edge.ManifestState{WithdrawWithin: s.Accounts.withdrawal(), ConfirmationAge: mirror.ConfirmationAge, IsBehind: mirror.IsBehind},
	}, views, servers, demand, peers, logger, registry, tracer)
}

// newDialer connects to servers through other instances if this one has lost its path to them.
func newDialer(s *Settings, views *edge.Views, logger *log.Logger) *relay.Dialer {
	peers := &net.Dialer{Timeout: relayDialTimeout, KeepAliveConfig: peer.KeepAlive()}
	return relay.NewDialer(relay.DialerConfig{
		Zone: s.Instance.Zone, Dial: platform.DialServer, DialPeer: peers.DialContext, Servers: views.ServerAddresses, Log: logger,
	})
}

func newServers(dialer *relay.Dialer) *platform.Servers {
	servers := platform.NewServersWithDial(dialer.Dial)
	dialer.OnCut(servers.CloseAllIdle)
	return servers
}

func newStandingRecorder(views *edge.Views, p *placer.Placer, logger *log.Logger) *edge.StandingRecorder {
	return edge.NewStandingRecorder(views, p.Standings(), logger)
}

func newRelay(s *Settings, views *edge.Views, dialer *relay.Dialer, recorder *edge.StandingRecorder, budget *bytebudget.Budget, logger *log.Logger) *relay.Server {
	return relay.NewServer(relay.ServerConfig{
		Zone: s.Instance.Zone, Dial: platform.DialServer, Accepts: views.AcceptsRequests, Reaches: dialer.Reaches, Log: logger,
		Follow:  func(address string) relay.Exchanges { return recorder.FollowRelayed(address) },
		Reserve: func() (func(), bool) { return clientguard.Reserve(budget, bytebudget.Relay, relay.ConnectionBytes) },
	})
}

func newPlacer(s *Settings, store *platform.Store, mirror *storemirror.Mirror, views *edge.Views, c *placer.Collector, dialer *relay.Dialer, logger *log.Logger, registry metrics.Registry, tracer trace.Tracer) *placer.Placer {
	return placer.New(placer.Config{
		Name: s.Instance.Name, Address: s.Peers.Address,
		Lease: s.Placing.Lease.D(), Fenced: s.Placing.ServersCheckEpochs,
		Capacity:       leaderlease.Capacity(s.Machine.Cores*s.Machine.CoreShare, s.Machine.LinkMbps),
		ReachesServers: dialer.Reaches, Quotas: s.Accounts.tolerance(),
	}, store, mirror, views, c, logger, registry, tracer)
}

type instanceParams struct {
	dig.In

	Settings *Settings
	Log      *log.Logger
	Registry metrics.Registry
	Views    *edge.Views
	Edge     *edge.Edge
	Store    *platform.Store
	Mirror   *storemirror.Mirror
	Servers  *platform.Servers
	Placer   *placer.Placer
	Dialer   *relay.Dialer
	Relay    *relay.Server
	Tracing  *telemetry.Tracing
	Guards   *guards
	Recorder *edge.StandingRecorder
}

func newInstance(p instanceParams) *Instance {
	p.Dialer.SetPeers(p.Placer.OtherInstances)
	p.Mirror.OnServers(func(servers map[fleet.ServerID]*fleet.Server, change storemirror.Change) {
		for _, id := range p.Views.SetServers(servers) {
			logListChange(p.Log.Info().Str("server", string(id)).Bool("listed", servers[id] != nil), change).Msg("server_withdrawn")
		}
		p.Edge.AnnounceStreams()
	})
	p.Mirror.OnDeferral(func(d storemirror.Deferral) {
		for _, id := range d.Servers {
			logListChange(p.Log.Info().Str("server", string(id)), d.Change).Dur("outage", d.Outage).Dur("for", d.For).Msg("removal_deferred")
		}
	})
	checker := newDoubtChecker(p.Log, p.Views, p.Recorder)
	p.Mirror.SetDoubtChecks(storemirror.DoubtChecks{Check: checker.check, Grace: checker.grace, Event: checker.logDoubt})
	return &Instance{
		unserved: newUnservedServices(p.Log, p.Registry),
		settings: p.Settings, log: p.Log, registry: p.Registry, views: p.Views, edge: p.Edge,
		store: p.Store, mirror: p.Mirror, servers: p.Servers, placer: p.Placer, dialer: p.Dialer, relay: p.Relay, tracing: p.Tracing, guards: p.Guards,
		manifests:  &dependency{log: p.Log, name: "published manifests"},
		serverList: &dependency{log: p.Log, name: "server list"},
		unusable:   &unusableEntries{log: p.Log, counter: metrics.NewRegisteredCounter("server_entries_unusable", p.Registry)},
	}
}

// logListChange adds to a log entry how a change of the server list was learned.
func logListChange(entry *log.Entry, change storemirror.Change) *log.Entry {
	return entry.Str("source", string(change.Source)).Str("teller", change.Teller).Int64("era", change.ListEnd.Era).
		Int64("list_end", change.ListEnd.Offset).Dur("list_age", change.Age)
}

// Run serves requests until stop ends and then shuts down gracefully. When kill
// ends, it stops at once.
func (i *Instance) Run(kill, stop context.Context) error {
	s := i.settings
	debug.SetMemoryLimit(int64(memoryLimitRatio * s.Machine.MemoryMB * (1 << 20)))
	runtime.GOMAXPROCS(max(int(s.Machine.Cores), 1))
	i.log.Info().Str("instance", s.Instance.Name).Str("zone", s.Instance.Zone).Msg("started")

	running, end := context.WithCancel(kill)
	defer end()
	group, ctx := errgroup.WithContext(running)
	front := i.newHTTPServer(i.edge)
	i.serve(ctx, group, s.Clients.Address, front, i.guards.clients)
	i.serve(ctx, group, s.Readiness.Address, i.newHTTPServer(i.readinessHandler(stop)), i.guards.readiness)
	i.serve(ctx, group, s.Metrics.Address, i.newHTTPServer(i.diagnosticsHandler(func() bool { return stop.Err() != nil })), i.guards.metrics)
	i.startControllers(ctx, stop, group)
	group.Go(func() error { clientguard.ReturnMemory(ctx, i.guards.budget); return nil })
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-stop.Done():
			i.drain(ctx, front)
		}
		end()
		return nil
	})
	err := group.Wait()
	if lost := i.shutdownTracing(); lost != nil {
		i.log.Warn().Err(lost).Msg("spans_lost")
	}
	i.log.Info().Err(err).Msg("stopped")
	return err
}

// spanFlushTimeout is the timeout for exporting the remaining spans.
const spanFlushTimeout = 300 * time.Millisecond

func (i *Instance) shutdownTracing() error {
	ctx, cancel := context.WithTimeout(context.Background(), spanFlushTimeout)
	defer cancel()
	return i.tracing.Shutdown(ctx)
}

func (i *Instance) newHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ErrorLog: telemetry.StandardLogger(i.log)}
}

// serve runs one HTTP server, protected by a guard, until ctx ends.
func (i *Instance) serve(ctx context.Context, group *errgroup.Group, address string, server *http.Server, guard *clientguard.Guard) {
	guard.Configure(server)
	group.Go(func() error {
		listener, err := listenForClients(ctx, address)
		if err != nil {
			return errors.Join(ErrListen, err)
		}
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		if err := server.Serve(guard.Listen(listener)); !errors.Is(err, http.ErrServerClosed) {
			return errors.Join(ErrListen, err)
		}
		return nil
	})
}

func listenForClients(ctx context.Context, address string) (net.Listener, error) {
	listen := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: clientKeepAlive, Interval: clientKeepAlive, Count: clientKeepAliveProbes,
	}}
	return listen.Listen(ctx, "tcp", address)
}

func (i *Instance) readinessHandler(stop context.Context) http.Handler {
	router := chi.NewRouter()
	router.Get(platform.PathReadiness, func(w http.ResponseWriter, _ *http.Request) {
		if stop.Err() != nil || !i.views.Known() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return router
}

const (
	// drainDelay is the time for which the listener stays open after the drain
	// starts. The load balancer needs it to notice: two readiness checks, one
	// per second, and the connections that it opened just before.
	drainDelay = 3500 * time.Millisecond
	// drainAcceptTime is the time for which new requests are accepted after the
	// drain starts: until the load balancer has noticed. A request that arrives
	// later on an open connection is rejected, so that another instance serves
	// it at once, because a stream started here could exceed the grace period.
	drainAcceptTime = 2800 * time.Millisecond
	// drainExecutionReserve is the final part of the grace period, reserved for
	// requests that a server is executing: a summary takes one to two seconds.
	// Requests that still wait for a server when it begins are rejected.
	drainExecutionReserve = 2500 * time.Millisecond
	// exitReserve is the part of the grace period reserved for ending the
	// process.
	exitReserve = 500 * time.Millisecond
	// finalAnswerReserve is the time before that in which requests that found no
	// server any more are answered, instead of being cut.
	finalAnswerReserve = 250 * time.Millisecond
)

// drainSchedule says when the phases of a drain end.
type drainSchedule struct {
	// acceptUntil, waitUntil and stopsAt are the arguments of edge.Drain. At the end, connections are
	// closed.
	acceptUntil, waitUntil, stopsAt, end time.Time
}

func newDrainSchedule(now time.Time, grace time.Duration) drainSchedule {
	end := now.Add(grace - exitReserve)
	return drainSchedule{
		acceptUntil: now.Add(drainAcceptTime), waitUntil: now.Add(grace - drainExecutionReserve),
		stopsAt: end.Add(-finalAnswerReserve), end: end,
	}
}

// drain keeps serving until the load balancer has noticed, and then until the
// in-flight requests have ended or the grace period is over.
func (i *Instance) drain(ctx context.Context, front *http.Server) {
	i.log.Info().Int64("requests", i.edge.InFlight()).Msg("draining")
	schedule := newDrainSchedule(time.Now(), i.settings.Shutdown.Grace.D())
	grace, cancel := context.WithDeadline(ctx, schedule.end)
	defer cancel()
	i.relay.Refuse()
	i.edge.Drain(schedule.acceptUntil, schedule.waitUntil, schedule.stopsAt)
	pause.For(grace, drainDelay)
	if err := front.Shutdown(grace); err != nil {
		i.log.Warn().Err(err).Int64("requests", i.edge.InFlight()).Msg("drain_cut_short")
		i.edge.LogCut()
	}
	i.relay.Wait(grace)
}
