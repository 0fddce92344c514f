// Package observer tracks the state of other instances and of backend servers,
// and publishes it to the request path.
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

// Config configures an Observer.
type Config struct {
	Self port.Instance
	// Heartbeat is the interval of exchanges with other instances,
	// ReportInterval that of reads of the watched servers, and LiveInterval
	// that of reads of the live list.
	Heartbeat, ReportInterval, LiveInterval time.Duration
}

// Listener receives the events of the observer. Its methods can block while the
// listener is busy.
type Listener interface {
	// PeerSeen reports that an instance of the zone was in contact with some
	// instance. leaving tells whether it is draining.
	PeerSeen(id port.InstanceID, leaving bool)
	LiveList(set port.LiveSet)
	// ReportRead delivers a report that this instance read from the server
	// itself.
	ReportRead(r port.Report)
	// UsesReported delivers the usage of models at an instance.
	UsesReported(from port.InstanceID, uses []*peerpb.ModelUse)
}

// Deps holds the dependencies of an Observer.
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

// Observer is the controller of the membership of instances and backend
// servers.
type Observer struct {
	cfg      Config
	deps     Deps
	listener Listener

	mu      sync.Mutex // guards the fields up to appliedVersion; not held on the request path
	table   *membership.Table
	builder *routing.Builder
	// links holds the instances to exchange with until the next heartbeat.
	links []port.Instance
	// appliedVersion is the version of the table up to which the builder has
	// the changes.
	appliedVersion uint64

	// lastContacts holds the last contact of each instance that was reported to
	// the listener. It is used only by the goroutine of exchangeLoop.
	lastContacts map[port.InstanceID]time.Time

	view      atomic.Pointer[membership.View]
	published atomic.Pointer[chan struct{}]
	holder    atomic.Pointer[port.InstanceID]
	targets   atomic.Int64
	// inForce holds the version of the targets in force at each other instance.
	inForce    sync.Map
	publishNow chan struct{}
	pushNow    chan struct{}
	readLocks  sync.Map // port.ServerID to *sync.Mutex
	// extraReads holds the servers that RequestReport is reading.
	extraReads sync.Map
}

// New returns an observer whose state contains only its own instance.
func New(cfg Config, deps Deps) *Observer {
	o := &Observer{
		cfg:          cfg,
		deps:         deps,
		table:        membership.NewTable(membership.Config{Self: cfg.Self}),
		builder:      deps.Router.NewBuilder(),
		lastContacts: map[port.InstanceID]time.Time{},
		publishNow:   make(chan struct{}, 1),
		pushNow:      make(chan struct{}, 1),
	}
	first := make(chan struct{})
	o.published.Store(&first)
	o.view.Store(&membership.View{})
	return o
}

// SetListener sets the receiver of events. It must be called once, before Run.
func (o *Observer) SetListener(l Listener) { o.listener = l }

// View returns the current view. It must not be modified.
func (o *Observer) View() *membership.View { return o.view.Load() }

// Published returns a channel that is closed when the next snapshot is
// published to the request path.
func (o *Observer) Published() <-chan struct{} { return *o.published.Load() }

// SetHolder sets the holder of the zone's lease, to which the usage of models
// is reported.
func (o *Observer) SetHolder(id port.InstanceID) { o.holder.Store(&id) }

// SetTargetsVersion sets the version of the targets in force at this instance.
func (o *Observer) SetTargetsVersion(v port.Offset) { o.targets.Store(int64(v)) }

// TargetsVersionAt returns the version of the targets in force at another
// instance, as it last reported it. It returns zero if the instance has
// reported none.
func (o *Observer) TargetsVersionAt(id port.InstanceID) port.Offset {
	v, _ := o.inForce.Load(id)
	version, _ := v.(port.Offset)
	return version
}

// SetCatalogue sets the models that can be loaded.
func (o *Observer) SetCatalogue(models []port.ModelInfo) {
	o.mu.Lock()
	o.builder.SetCatalogue(models)
	o.mu.Unlock()
	signal(o.publishNow)
}

// AnnounceDrain marks this instance as draining in its exchanges with other
// instances.
func (o *Observer) AnnounceDrain() {
	o.mu.Lock()
	o.table.MarkLeaving()
	o.mu.Unlock()
	signal(o.pushNow)
}

// Run observes instances and servers until ctx is done.
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
	// publishInterval is the least interval between two snapshots for the
	// request path.
	publishInterval = 2 * time.Millisecond
	// refreshInterval is the interval of complete publications. They are needed
	// because servers become unroutable by the passage of time alone.
	refreshInterval = time.Second
)

// publishLoop publishes after changes. Changes in quick succession are
// published together.
func (o *Observer) publishLoop(ctx context.Context) error {
	refresh := time.NewTicker(refreshInterval)
	defer refresh.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-o.publishNow:
			o.publish(false)
		case <-refresh.C:
			o.publish(true)
		}
		if !pause.For(ctx, publishInterval) {
			return nil
		}
	}
}

// publish builds a snapshot with the latest changes for the request path. With
// refresh, servers that have become unroutable by the passage of time count as
// changed, and the view lists all servers anew. Between refreshes the view
// retains the servers of the last refresh.
func (o *Observer) publish(refresh bool) {
	now := o.now()
	o.mu.Lock()
	changes := o.table.Changes(now, o.appliedVersion, refresh)
	o.appliedVersion = changes.Through
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

// notifyContacts notifies the listener of the instances of the zone that were
// in contact with any instance since the last call.
func (o *Observer) notifyContacts() {
	now := o.now()
	o.mu.Lock()
	instances := o.table.Instances(now, o.cfg.Self.Zone)
	o.mu.Unlock()
	contacts := make(map[port.InstanceID]time.Time, len(instances))
	for _, i := range instances {
		id := i.Instance.ID
		contacts[id] = i.LastContact
		if i.LastContact.After(o.lastContacts[id]) {
			o.listener.PeerSeen(id, i.Instance.Leaving)
		}
	}
	o.lastContacts = contacts
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
