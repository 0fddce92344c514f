// Package observer keeps what the instance knows of other instances and of
// backend servers, and publishes it to the request path.
package observer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/cyclamenhoist/cyclamenhoist/internal/peer"
	"github.com/cyclamenhoist/cyclamenhoist/internal/peer/peerpb"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/membership"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/pause"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/routing"
)

// Config sets up an Observer.
type Config struct {
	Self port.Instance
	// Heartbeat is the interval of exchanges, ReportInterval that of reads of
	// watched servers, LiveInterval that of reads of the live list.
	Heartbeat, ReportInterval, LiveInterval time.Duration
}

// Listener is told what the observer learns. Its methods may wait for a listener
// that is behind.
type Listener interface {
	// PeerSeen says that an instance of the zone has given a sign.
	PeerSeen(id port.InstanceID, leaving bool)
	LiveList(set port.LiveSet)
	// ReportRead brings a report that was read from the server itself.
	ReportRead(r port.Report)
	// UsesReported brings the models that an instance has used.
	UsesReported(from port.InstanceID, uses []*peerpb.ModelUse)
}

// Deps is what an Observer works with.
type Deps struct {
	Engine  port.Engine
	Live    port.LiveList
	Peers   *peer.Client
	Router  *routing.Router
	Uses    *Uses
	Clock   port.Clock
	Logger  *log.Logger
	Metrics metrics.Registry
}

// Observer is the controller of membership.
type Observer struct {
	cfg      Config
	deps     Deps
	listener Listener

	mu      sync.Mutex // guards the fields up to built, off the request path
	table   *membership.Table
	builder *routing.Builder
	// links are the instances to exchange with until the next heartbeat.
	links []port.Instance
	// built is what of the table's changes the builder has.
	built uint64

	// seen holds the last sign of each instance that the listener was told of. It
	// belongs to the goroutine that exchanges.
	seen map[port.InstanceID]time.Time

	view      atomic.Pointer[membership.View]
	published atomic.Pointer[chan struct{}]
	holder    atomic.Pointer[port.InstanceID]
	targets   atomic.Int64
	// inForce holds the version of the configuration at other instances.
	inForce sync.Map
	dirty   chan struct{}
	push    chan struct{}
	reads   sync.Map // port.ServerID to *sync.Mutex
	// soon holds the servers that ReadSoon is reading.
	soon sync.Map
}

// New returns an observer that knows only its own instance.
func New(cfg Config, deps Deps) *Observer {
	o := &Observer{
		cfg:     cfg,
		deps:    deps,
		table:   membership.NewTable(membership.Config{Self: cfg.Self}),
		builder: deps.Router.NewBuilder(),
		seen:    map[port.InstanceID]time.Time{},
		dirty:   make(chan struct{}, 1),
		push:    make(chan struct{}, 1),
	}
	first := make(chan struct{})
	o.published.Store(&first)
	o.view.Store(&membership.View{})
	return o
}

// SetListener names who is told. It is called once, before Run.
func (o *Observer) SetListener(l Listener) { o.listener = l }

// View returns what is known now.
func (o *Observer) View() *membership.View { return o.view.Load() }

// Published returns a channel that is closed at the next change of what the
// request path sees.
func (o *Observer) Published() <-chan struct{} { return *o.published.Load() }

// SetHolder names the zone's holder, which is told of used models.
func (o *Observer) SetHolder(id port.InstanceID) { o.holder.Store(&id) }

// SetTargetsVersion sets the version of the configuration in force here.
func (o *Observer) SetTargetsVersion(v port.Offset) { o.targets.Store(int64(v)) }

// InForce returns the version of the configuration in force at another
// instance, as it last said; zero if it hasn't.
func (o *Observer) InForce(id port.InstanceID) port.Offset {
	v, _ := o.inForce.Load(id)
	version, _ := v.(port.Offset)
	return version
}

// SetCatalogue takes in the models that can be loaded.
func (o *Observer) SetCatalogue(models []port.ModelInfo) {
	o.mu.Lock()
	o.builder.SetCatalogue(models)
	o.mu.Unlock()
	signal(o.dirty)
}

// Leave tells others from now on that this instance is leaving.
func (o *Observer) Leave() {
	o.mu.Lock()
	o.table.Leave()
	o.mu.Unlock()
	signal(o.push)
}

// Run observes until ctx ends.
func (o *Observer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return o.publishLoop(ctx) })
	group.Go(func() error { return o.liveLoop(ctx) })
	group.Go(func() error { return o.reportLoop(ctx) })
	group.Go(func() error { return o.exchangeLoop(ctx) })
	group.Go(func() error { return o.useLoop(ctx) })
	return group.Wait()
}

func (o *Observer) now() time.Time { return o.deps.Clock.Now() }

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

const (
	// publishInterval bounds how often the request path gets a new snapshot.
	publishInterval = 2 * time.Millisecond
	// refreshInterval is how often everything is published anew, since servers
	// become unroutable by the mere passing of time.
	refreshInterval = time.Second
)

// publishLoop publishes after changes, several at once where they come fast.
func (o *Observer) publishLoop(ctx context.Context) error {
	refresh := time.NewTicker(refreshInterval)
	defer refresh.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-o.dirty:
			o.publish(false)
		case <-refresh.C:
			o.publish(true)
		}
		if !pause.For(ctx, publishInterval) {
			return nil
		}
	}
}

// publish brings what has changed to the request path. With refresh, servers
// that have become unroutable by the passing of time count as changed, and the
// view has all servers anew; between refreshes it keeps those of the last one.
func (o *Observer) publish(refresh bool) {
	now := o.now()
	o.mu.Lock()
	changes := o.table.Changes(now, o.built, refresh)
	o.built = changes.Through
	o.builder.Apply(changes)
	snapshot := o.builder.Snapshot(now)
	view := *o.view.Load()
	if refresh {
		view = o.table.View(now)
	}
	view.At, view.Instances = now, o.table.Instances(now, "")
	o.mu.Unlock()
	o.view.Store(&view)
	o.deps.Router.SetInstances(o.zoneInstances(&view))
	o.deps.Router.Publish(snapshot)
	next := make(chan struct{})
	close(*o.published.Swap(&next))
}

// tellSigns tells the listener which instances of the zone have given a sign,
// to whomever they gave it.
func (o *Observer) tellSigns() {
	now := o.now()
	o.mu.Lock()
	instances := o.table.Instances(now, o.cfg.Self.Zone)
	o.mu.Unlock()
	signs := make(map[port.InstanceID]time.Time, len(instances))
	for _, i := range instances {
		id := i.Instance.ID
		signs[id] = i.LastSign
		if i.LastSign.After(o.seen[id]) {
			o.listener.PeerSeen(id, i.Instance.Leaving)
		}
	}
	o.seen = signs
}

func (o *Observer) zoneInstances(view *membership.View) int {
	count := 1
	for _, i := range view.Instances {
		if i.Alive && i.Instance.Zone == o.cfg.Self.Zone && i.Instance.ID != o.cfg.Self.ID {
			count++
		}
	}
	return count
}
