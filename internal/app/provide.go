package app

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/cyclamenhoist/cyclamenhoist/internal/adapter/httpbackend"
	"github.com/cyclamenhoist/cyclamenhoist/internal/adapter/httpcall"
	"github.com/cyclamenhoist/cyclamenhoist/internal/adapter/httpengine"
	"github.com/cyclamenhoist/cyclamenhoist/internal/adapter/httplive"
	"github.com/cyclamenhoist/cyclamenhoist/internal/adapter/httplog"
	"github.com/cyclamenhoist/cyclamenhoist/internal/adapter/httpstore"
	"github.com/cyclamenhoist/cyclamenhoist/internal/controller/configuration"
	"github.com/cyclamenhoist/cyclamenhoist/internal/controller/decider"
	"github.com/cyclamenhoist/cyclamenhoist/internal/controller/observer"
	"github.com/cyclamenhoist/cyclamenhoist/internal/gateway"
	"github.com/cyclamenhoist/cyclamenhoist/internal/identitypeer"
	"github.com/cyclamenhoist/cyclamenhoist/internal/peer"
	"github.com/cyclamenhoist/cyclamenhoist/internal/settings"
	"github.com/cyclamenhoist/cyclamenhoist/internal/telemetry"
	"github.com/cyclamenhoist/cyclamenhoist/internal/tlsconf"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/fold"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/identity"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/logclient"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/routing"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/targets"
)

const (
	// snapshotsPerRetention is the number of snapshots written within the number
	// of records that the log is guaranteed to retain.
	snapshotsPerRetention = 4
	liveListInterval      = time.Second
)

// constructors lists the constructors from which dig builds an instance.
func constructors() []any {
	return []any{
		newLogger, newTracing, newTLS, newListeners, newSelf, newPeerClient, newPlatformHTTP,
		newLogPort, newEngineClient, newWeightStore, newLiveList, newRouting, newModelUses, newObserver, newFetcher,
		newLogClient, newConfiguration, newDecider, newRouter, newWaker, newGateway, newPeerServer,
		newOperatorsAPI, newInstance, newIdentityTimes, newIdentityStore, newIdentityClient, newClaimer, newIdentityTracker, newMemberHistory, newGuards,
		func() port.Clock { return port.SystemClock{} },
		metrics.NewRegistry,
	}
}

func newLogger(o Options, s *settings.Settings) *log.Logger {
	return telemetry.NewLogger(o.LogOutput, s.Log.Level)
}

func newTracing(s *settings.Settings, self port.Instance) (*telemetry.Tracing, error) {
	return telemetry.NewTracing(context.Background(), s.Tracing.OTLPURL, s.Tracing.SampleRatio, string(self.ID), string(self.Zone))
}

// newTLS returns nil if the settings select plaintext.
func newTLS(s *settings.Settings, logger *log.Logger) (*tlsconf.Store, error) {
	if s.TLS.Mode == settings.TLSPlaintext {
		return nil, nil
	}
	return tlsconf.New(tlsconf.Files{CA: s.TLS.CA, Certificate: s.TLS.Certificate, Key: s.TLS.Key}, logger)
}

// listeners holds the three TCP listeners of an instance.
type listeners struct{ callers, operators, peers net.Listener }

func (l *listeners) close() {
	for _, one := range []net.Listener{l.callers, l.operators, l.peers} {
		if one != nil {
			_ = one.Close()
		}
	}
}

func newListeners(s *settings.Settings, o Options) (*listeners, error) {
	l := &listeners{}
	for _, one := range []struct {
		address string
		into    *net.Listener
	}{
		{s.Callers.Address, &l.callers}, {s.Operators.Address, &l.operators}, {s.Peers.Address, &l.peers},
	} {
		listener, err := net.Listen("tcp", one.address)
		if err != nil {
			l.close()
			return nil, errors.Join(ErrListen, err)
		}
		if o.WrapListener != nil {
			listener = o.WrapListener(listener)
		}
		*one.into = listener
	}
	return l, nil
}

func newSelf(s *settings.Settings, l *listeners) port.Instance {
	self := port.Instance{ID: s.Instance.ID, Zone: s.Instance.Zone, PeerAddress: s.Peers.Advertise}
	if self.ID == "" {
		self.ID = port.InstanceID(uuid.NewString())
	}
	if self.PeerAddress == "" {
		self.PeerAddress = l.peers.Addr().String()
	}
	return self
}

func newPeerClient(o Options, store *tlsconf.Store, t *telemetry.Tracing) *peer.Client {
	dial := peer.Dialer(store.Dial)
	if o.WrapDialer != nil {
		dial = o.WrapDialer(dial)
	}
	return peer.NewClient(dial, t.Tracer)
}

// newPlatformHTTP returns the client for the platform's services and for the
// control API of engines.
func newPlatformHTTP(o Options) *http.Client { return newHTTP(o.WrapTransport) }

func newHTTP(wrap func(http.RoundTripper) http.RoundTripper) *http.Client {
	client := httpcall.NewClient()
	if wrap != nil {
		client.Transport = wrap(httpcall.NewTransport())
	}
	return client
}

func newLogPort(s *settings.Settings, c *http.Client) port.Log {
	return httplog.New(s.Platform.LogURL, c)
}
func newEngineClient(c *http.Client) port.Engine { return httpengine.New(c) }
func newWeightStore(s *settings.Settings, c *http.Client) port.WeightStore {
	return httpstore.New(s.Platform.StoreURL, c)
}
func newLiveList(s *settings.Settings, c *http.Client) port.LiveList {
	return httplive.New(s.Platform.LiveURL, c)
}

func newRouting(self port.Instance, clock port.Clock) *routing.Router {
	return routing.NewRouter(routing.Config{Zone: self.Zone}, clock.Now())
}

func newModelUses() *observer.Uses { return &observer.Uses{} }

func newObserver(
	s *settings.Settings, self port.Instance, engine port.Engine, live port.LiveList, peers *peer.Client,
	r *routing.Router, uses *observer.Uses, clock port.Clock, logger *log.Logger, registry metrics.Registry,
) *observer.Observer {
	return observer.New(observer.Config{
		Self: self, Heartbeat: s.HeartbeatInterval(), ReportInterval: s.Deciding.ReportInterval.D(), LiveInterval: liveListInterval,
	}, observer.Deps{
		Engine: engine, Live: live, Peers: peers, Router: r, Uses: uses, Clock: clock, Logger: logger, Metrics: registry,
	})
}

func newLogClient(
	s *settings.Settings, l port.Log, self port.Instance, f *fetcher, m *memberHistory, registry metrics.Registry,
) *logclient.Client {
	client := logclient.New(l, logclient.Config{
		Validate:         targets.Validate,
		FetchState:       f.state,
		FetchRecords:     f.records,
		AppendsPerSecond: s.Platform.AppendsPerSecond,
		Metrics:          registry,
		Hooks:            logclient.Hooks{StateImported: m.stateImported, RecordApplied: m.recordApplied, CaughtUp: m.tracker.Confirm},
		Snapshot: logclient.SnapshotConfig{
			EveryRecords: int64(s.Platform.LogRetentionRecords / snapshotsPerRetention),
			// Only the lease holder of the first zone that has one writes snapshots.
			IsWriter: func(state *fold.State) bool {
				for _, zone := range state.Zones() {
					if v := state.Zone(zone); v.Holder != "" && !v.Released {
						return v.Holder == self.ID
					}
				}
				return false
			},
		},
	})
	f.appliedOffset = func() port.Offset {
		if state := client.State(); state != nil {
			return state.Through()
		}
		return 0
	}
	return client
}

func newConfiguration(
	c *logclient.Client, store port.WeightStore, o *observer.Observer, clock port.Clock, logger *log.Logger, registry metrics.Registry,
) *configuration.Controller {
	return configuration.New(configuration.Deps{
		Log: c, Store: store, Sink: o, Clock: clock, Logger: logger, Metrics: registry,
	})
}

func newDecider(
	s *settings.Settings, self port.Instance, c *logclient.Client, engine port.Engine, o *observer.Observer,
	peers *peer.Client, config *configuration.Controller, clock port.Clock, logger *log.Logger, registry metrics.Registry, opts Options,
) *decider.Decider {
	d := decider.New(decider.Config{
		Self: self, HolderTimeout: s.Deciding.HolderTimeout.D(), OrderLifetime: s.Deciding.OrderLifetime.D(),
		LiveListLag: s.Deciding.LiveListLag.D(), BeforeEvent: opts.BeforeEvent,
	}, decider.Deps{
		Log: c, Engine: engine, Observer: o, Peers: peers, Config: config, Clock: clock, Logger: logger, Metrics: registry,
	})
	o.SetListener(d)
	return d
}

func newRouter(
	r *routing.Router, c *configuration.Controller, uses *observer.Uses, o *observer.Observer, clock port.Clock,
) *router {
	return &router{routing: r, config: c, uses: uses, onModelAbsent: o.RequestReport, start: clock.Now()}
}

func newWaker(
	self port.Instance, d *decider.Decider, c *logclient.Client, config *configuration.Controller,
	o *observer.Observer, p *peer.Client, r *routing.Router,
) *waker {
	return &waker{
		self: self, decider: d, log: c, config: config, observer: o, peers: p, routing: r,
		ready: map[port.ModelID]chan struct{}{}, accepted: map[port.ModelID]acceptedWake{},
	}
}

func newGateway(
	s *settings.Settings, r *router, w *waker, config *configuration.Controller, t *telemetry.Tracing, c *identity.Claimer,
	clock port.Clock, logger *log.Logger, o Options,
) (*gateway.Gateway, error) {
	callers, err := callersFromKeys(s.Keys)
	if err != nil {
		return nil, err
	}
	return gateway.New(gateway.Deps{
		Config: gateway.Config{
			MaxBodyBytes: s.Callers.MaxBodyBytes, MaxHeaderBytes: s.Callers.MaxHeaderBytes,
			MaxWaiting: int64(s.Waiting.MaxRequests), MaxWaitingBytes: s.Waiting.MaxBytes,
			HeaderTimeout: s.Callers.HeaderTimeout.D(), BodyTimeout: s.Callers.BodyTimeout.D(),
			IdleTimeout: s.Callers.IdleTimeout.D(), WriteTimeout: s.Callers.WriteTimeout.D(),
			DrainDelay: max(s.Shutdown.Delay.D(), 1), Callers: callers,
		},
		Snapshot: func() gateway.View { return view{config.View()} },
		Ready:    func() error { return missingConfiguration(config.View()) },
		Router:   r, Waker: w, Identity: gateway.Deduplicate(c), Clock: clock, Tracer: t.Tracer, Logger: logger,
		Backend: httpbackend.New(newHTTP(o.WrapBackend)),
	}), nil
}

// callersFromKeys converts the keys of the settings to callers. A key with neither
// models nor paths allows all of them.
func callersFromKeys(keys []settings.Key) ([]gateway.Caller, error) {
	var callers []gateway.Caller
	for _, k := range keys {
		c := gateway.Caller{Name: k.Caller, Models: k.Models, Paths: k.Paths}
		if len(k.Models) == 0 && len(k.Paths) == 0 {
			c.Models, c.Paths = []string{"*"}, []string{"/"}
		}
		sum, err := hex.DecodeString(k.SHA256)
		if err != nil || len(sum) != sha256.Size {
			return nil, errors.Wrap(ErrKey, k.Caller)
		}
		copy(c.KeySHA256[:], sum)
		callers = append(callers, c)
	}
	return callers, nil
}

func newPeerServer(
	self port.Instance, d *decider.Decider, o *observer.Observer, c *logclient.Client,
	store *identity.Store, tracker *identitypeer.Tracker,
) *peerServer {
	return &peerServer{
		self: self, decider: d, observer: o, log: c,
		Server: &identitypeer.Server{Store: store, Tracker: tracker},
	}
}

func newOperatorsAPI(
	self port.Instance, c *logclient.Client, config *configuration.Controller, o *observer.Observer,
	d *decider.Decider, g *gateway.Gateway, w *waker, clock port.Clock, registry metrics.Registry,
) *operatorsAPI {
	registerEndings(registry, g)
	return &operatorsAPI{
		self: self, log: c, config: config, observer: o, decider: d, gateway: g, waker: w, clock: clock, registry: registry,
	}
}

// registerEndings exports the request counters as metrics.
func registerEndings(registry metrics.Registry, g *gateway.Gateway) {
	for name, value := range map[string]func(gateway.Endings) int64{
		"requests.accepted_total": func(e gateway.Endings) int64 { return e.Accepted },
		"requests.answered_total": func(e gateway.Endings) int64 { return e.Answered },
		"requests.refused_total":  func(e gateway.Endings) int64 { return e.Refused },
		"requests.unknown_total":  func(e gateway.Endings) int64 { return e.Unknown },
		"requests.in_progress":    func(e gateway.Endings) int64 { return e.InProgress },
	} {
		metrics.NewRegisteredFunctionalGauge(name, registry, func() int64 { return value(g.Endings()) })
	}
}
