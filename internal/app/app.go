// Package app assembles one entry instance and runs it.
package app

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/phuslu/log"
	"go.uber.org/dig"
	"golang.org/x/sync/errgroup"

	"github.com/cyclamenhoist/cyclamenhoist/internal/clientguard"
	"github.com/cyclamenhoist/cyclamenhoist/internal/controller/configuration"
	"github.com/cyclamenhoist/cyclamenhoist/internal/controller/decider"
	"github.com/cyclamenhoist/cyclamenhoist/internal/controller/observer"
	"github.com/cyclamenhoist/cyclamenhoist/internal/gateway"
	"github.com/cyclamenhoist/cyclamenhoist/internal/peer"
	"github.com/cyclamenhoist/cyclamenhoist/internal/settings"
	"github.com/cyclamenhoist/cyclamenhoist/internal/telemetry"
	"github.com/cyclamenhoist/cyclamenhoist/internal/tlsconf"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/identity"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/logclient"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

var (
	// ErrListen means that a listener can't be opened or has failed.
	ErrListen = errors.New("listen")
	// ErrKey means that a caller's key in the settings isn't a SHA-256 hash.
	ErrKey = errors.New("caller's key")
	// ErrBuild means that the instance can't be assembled.
	ErrBuild = errors.New("build instance")
)

// Options configures an instance beyond its settings.
type Options struct {
	// LogOutput is the writer to which the log is written.
	LogOutput io.Writer
	// WrapDialer and WrapTransport, if set, let tests interrupt connections to
	// other instances and to the platform.
	WrapDialer    func(peer.Dialer) peer.Dialer
	WrapTransport func(http.RoundTripper) http.RoundTripper
	// WrapBackend, if set, lets tests interrupt callers' requests to backend
	// servers.
	WrapBackend func(http.RoundTripper) http.RoundTripper
	// WrapListener, if set, lets tests delay the data that callers, operators
	// and other instances send.
	WrapListener func(net.Listener) net.Listener
	// BeforeEvent, if set, is called before the decider handles an event.
	// Tests block in it to pause an instance, which then resumes with stale
	// state.
	BeforeEvent func()
}

// Instance is a running entry instance. New creates it.
type Instance struct {
	self       port.Instance
	settings   *settings.Settings
	logger     *log.Logger
	listeners  *listeners
	tls        *tlsconf.Store
	tracing    *telemetry.Tracing
	log        *logclient.Client
	observer   *observer.Observer
	config     *configuration.Controller
	decider    *decider.Decider
	waker      *waker
	gateway    *gateway.Gateway
	peers      *peerServer
	client     *peer.Client
	operators  *operatorsAPI
	members    *memberHistory
	identities *identity.Claimer
	guards     *guards
}

type instanceParts struct {
	dig.In

	Self       port.Instance
	Settings   *settings.Settings
	Logger     *log.Logger
	Listeners  *listeners
	TLS        *tlsconf.Store
	Tracing    *telemetry.Tracing
	Log        *logclient.Client
	Observer   *observer.Observer
	Config     *configuration.Controller
	Decider    *decider.Decider
	Waker      *waker
	Gateway    *gateway.Gateway
	Peers      *peerServer
	Client     *peer.Client
	Operators  *operatorsAPI
	Members    *memberHistory
	Identities *identity.Claimer
	Guards     *guards
}

func newInstance(p instanceParts) *Instance {
	return &Instance{
		self: p.Self, settings: p.Settings, logger: p.Logger, listeners: p.Listeners, tls: p.TLS, tracing: p.Tracing,
		log: p.Log, observer: p.Observer, config: p.Config, decider: p.Decider, waker: p.Waker, gateway: p.Gateway,
		peers: p.Peers, client: p.Client, operators: p.Operators, members: p.Members, identities: p.Identities, guards: p.Guards,
	}
}

// New builds an instance and opens its listeners. Nothing is served before Run
// is called. The error is ErrBuild, ErrListen or ErrKey.
func New(s *settings.Settings, o Options) (*Instance, error) {
	container := dig.New()
	for _, constructor := range append(constructors(),
		func() *settings.Settings { return s }, func() Options { return o }) {
		if err := container.Provide(constructor); err != nil {
			return nil, errors.Join(ErrBuild, err)
		}
	}
	var built *Instance
	if err := container.Invoke(func(i *Instance) { built = i }); err != nil {
		return nil, errors.Join(ErrBuild, dig.RootCause(err))
	}
	return built, nil
}

// Self returns the instance's ID, zone and peer address.
func (i *Instance) Self() port.Instance { return i.self }

// CallersAddress returns the host:port of the listener for callers.
func (i *Instance) CallersAddress() string { return i.listeners.callers.Addr().String() }

// OperatorsAddress returns the host:port of the listener for operators.
func (i *Instance) OperatorsAddress() string { return i.listeners.operators.Addr().String() }

const (
	// handOverTimeout bounds the handover of the request identities, and then
	// that of the zone's lease.
	handOverTimeout = 5 * time.Second
	// closeTimeout bounds writing the last answers, and exporting the last
	// spans.
	closeTimeout = 2 * time.Second
	// operatorTimeout bounds reading the header of an operator's request.
	operatorTimeout = 10 * time.Second
)

// Run serves until stop is canceled and then shuts down gracefully: it drains the
// requests in progress and hands over the zone's lease. If kill is canceled, Run
// returns without draining.
func (i *Instance) Run(kill, stop context.Context) error {
	defer i.listeners.close()
	ctx, cancel := context.WithCancel(kill)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	i.logger.Info().Str("instance", string(i.self.ID)).Str("zone", string(i.self.Zone)).
		Str("callers", i.CallersAddress()).Str("operators", i.OperatorsAddress()).
		Str("peers", i.self.PeerAddress).Msg("instance_started")
	i.startControllers(ctx, group)
	i.startListeners(ctx, group)
	group.Go(func() error {
		select {
		case <-ctx.Done():
			return nil
		case <-stop.Done():
		}
		if kill.Err() != nil {
			return nil // stop can be a child context of kill, which ends without draining
		}
		i.shutDown(ctx)
		cancel()
		return nil
	})
	err := group.Wait()
	i.closeTracing()
	i.logger.Info().Err(err).Str("instance", string(i.self.ID)).Msg("instance_ended")
	return err
}

func (i *Instance) startControllers(ctx context.Context, group *errgroup.Group) {
	for _, run := range []func(context.Context) error{
		ignoreCancellation(i.log.Run), i.observer.Run, i.config.Run, i.decider.Run, i.waker.run, i.waker.watchHolders, i.members.run,
	} {
		group.Go(func() error { return run(ctx) })
	}
	if i.tls != nil {
		group.Go(func() error { return i.tls.Watch(ctx) })
	}
}

// ignoreCancellation drops an error that is returned after the context ended.
func ignoreCancellation(run func(context.Context) error) func(context.Context) error {
	return func(ctx context.Context) error {
		if err := run(ctx); ctx.Err() == nil {
			return err
		}
		return nil
	}
}

func (i *Instance) startListeners(ctx context.Context, group *errgroup.Group) {
	group.Go(func() error { clientguard.ReturnMemory(ctx, i.guards.budget); return nil })
	group.Go(func() error {
		return peer.Serve(ctx, i.tls.Listen(i.guards.peers.Listen(i.listeners.peers)), i.peers, i.tracing.Tracer, i.logger)
	})
	callers := i.gateway.Server()
	i.guards.callers.Configure(callers)
	i.serveHTTP(ctx, group, callers, i.guards.callers.Listen(i.listeners.callers))
	i.serveHTTP(ctx, group, &http.Server{
		Handler: i.operators.handler(), ReadHeaderTimeout: operatorTimeout, MaxHeaderBytes: clientguard.DefaultHeaderBytes,
	}, i.tls.Listen(i.guards.operators.Listen(i.listeners.operators)))
}

func (i *Instance) serveHTTP(ctx context.Context, group *errgroup.Group, server *http.Server, l net.Listener) {
	group.Go(func() error {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return errors.Join(ErrListen, err)
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		// The last answers may still be in the server's write buffers.
		last, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
		defer cancel()
		if server.Shutdown(last) == nil {
			return nil
		}
		return server.Close()
	})
}

// shutDown announces to the other instances that this one is draining, drains the
// requests in progress, and hands over the request identities and the lease.
func (i *Instance) shutDown(ctx context.Context) {
	i.logger.Info().Str("instance", string(i.self.ID)).Msg("shutdown_began")
	i.observer.AnnounceDrain()
	drain, cancel := context.WithTimeout(ctx, i.settings.Shutdown.Delay.D()+i.settings.Shutdown.Limit.D())
	defer cancel()
	report := i.gateway.Drain(drain)
	i.logger.Info().Int64("cut", report.Unfinished).Dur("took", report.Duration).Msg("drained")
	handOver, cancelHandOver := context.WithTimeout(ctx, handOverTimeout)
	defer cancelHandOver()
	base, ok := i.identities.HandOver(handOver)
	if !ok {
		base = 0
		i.logger.Warn().Msg("identities_not_handed_over")
	}
	decisions, cancelDecisions := context.WithTimeout(ctx, handOverTimeout)
	defer cancelDecisions()
	if err := i.decider.HandOver(decisions, base); err != nil {
		i.logger.Warn().Err(err).Msg("hand_over_failed")
	}
}

func (i *Instance) closeTracing() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := i.tracing.Shutdown(ctx); err != nil {
		i.logger.Warn().Err(err).Msg("spans_lost")
	}
	_ = i.client.Close()
}

func contextWithTimeout(r *http.Request, d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(r.Context(), d)
}
