// Package decider is the controller of the replicas in this instance's
// availability zone. It runs the lease protocol of pkg/lease with the other
// instances of the zone. While this instance is the holder of the lease, it
// decides which models to load and to unload.
//
// A single goroutine owns the state of the decider. Calls to other instances,
// to the log and to backend servers run on goroutines of their own, which post
// their results back to it.
package decider

import (
	"context"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/cyclamenhoist/cyclamenhoist/internal/peer"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/keepalive"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/lease"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/ledger"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/logclient"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/membership"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/placement"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/targets"
)

// Config sets up a Decider.
type Config struct {
	Self port.Instance
	// HolderTimeout is how long the holder can be unreachable before another
	// instance claims the lease.
	HolderTimeout time.Duration
	// OrderLifetime is the longest time for which an order can be in flight.
	OrderLifetime time.Duration
	// LiveListLag is the longest delay with which the live list reports a
	// change.
	LiveListLag time.Duration
	// BeforeEvent, if set, is called on the decider's goroutine before each
	// event is handled. It can block.
	BeforeEvent func()
}

// Observer provides the decider with the observed state of instances and
// backend servers.
type Observer interface {
	View() *membership.View
	Read(ctx context.Context, s port.Server) (port.Report, error)
	Server(id port.ServerID) (membership.ServerView, bool)
	ZoneServers() []membership.ServerView
	Slots(id port.ServerID) int
	TargetsVersionAt(id port.InstanceID) port.Offset
	SetHolder(id port.InstanceID)
}

// Configuration provides the targets in force and the catalogue of models.
type Configuration interface {
	// Targets returns nil before the first accepted version.
	Targets() *targets.Compiled
	Model(id port.ModelID) (port.ModelInfo, bool)
	Models() []port.ModelInfo
}

// Deps holds the dependencies of a Decider.
type Deps struct {
	Log      *logclient.Client
	Engine   port.Engine
	Observer Observer
	Peers    *peer.Client
	Config   Configuration
	Clock    port.Clock
	Logger   *log.Logger
	Metrics  metrics.Registry
}

const (
	tickInterval = 50 * time.Millisecond
	// reviewIntervalTicks is the number of ticks between two reviews of the
	// zone's replicas.
	reviewIntervalTicks = 20
	inboxSize           = 4096
	// reclaimTimeouts is the least interval, in multiples of
	// Config.HolderTimeout, between two claims with which a holder adds new
	// members to the copy holders.
	reclaimTimeouts = 5
	// maxExplainedModels bounds the number of models whose recent decisions are
	// retained.
	maxExplainedModels = 4096
)

// Decider decides on the replicas of one zone on behalf of one instance.
type Decider struct {
	cfg   Config
	deps  Deps
	start time.Time
	inbox chan task
	done  chan struct{}

	machine       *lease.Machine
	logReachable  bool
	lastRequestID uint64
	sealReplies   map[uint64]chan lease.ReplySeal
	copyReplies   map[uint64]chan lease.ReplyCopy
	handedOver    chan struct{}

	ledger *ledger.Ledger
	// storeQueue schedules the loads from the weight store. It is nil until the
	// targets are known in this lease.
	storeQueue *placement.StoreQueue
	loadSpeeds placement.Speeds
	// tiers holds the fastest storage tier of each checkpoint that is cached in
	// the zone.
	tiers map[port.ModelID]placement.Tier
	// pendingReads holds the servers that are being read because a report
	// didn't tell which of two incarnations is newer.
	pendingReads map[port.ServerID]bool
	// leaseSince is when this instance last acquired or renewed the lease.
	leaseSince time.Time
	// progress tracks the loads in flight.
	progress   placement.Progress
	tracker    *keepalive.Tracker
	limits     limits
	shortfalls placement.WakeStats
	wakes      map[port.ModelID]*wake
	orders     map[string]*order
	lastUses   map[port.ModelID]use
	reasons    *lru.Cache[port.ModelID, []Reason]
	// loadedAt holds, by intent ID, when this holder first saw the load as
	// completed.
	loadedAt map[string]time.Time
	ticks    int
}

// New returns a decider with empty state. Run starts it.
func New(cfg Config, deps Deps) *Decider {
	reasons, err := lru.New[port.ModelID, []Reason](maxExplainedModels)
	if err != nil {
		panic(err)
	}
	now := deps.Clock.Now()
	d := &Decider{
		cfg:          cfg,
		deps:         deps,
		start:        now,
		inbox:        make(chan task, inboxSize),
		done:         make(chan struct{}),
		sealReplies:  map[uint64]chan lease.ReplySeal{},
		copyReplies:  map[uint64]chan lease.ReplyCopy{},
		handedOver:   make(chan struct{}),
		ledger:       ledger.New(0),
		tracker:      keepalive.New(now, 0),
		wakes:        map[port.ModelID]*wake{},
		orders:       map[string]*order{},
		tiers:        map[port.ModelID]placement.Tier{},
		pendingReads: map[port.ServerID]bool{},
		lastUses:     map[port.ModelID]use{},
		reasons:      reasons,
		loadedAt:     map[string]time.Time{},
	}
	d.machine = lease.New(lease.Config{
		Self: cfg.Self.ID, PeerAddress: cfg.Self.PeerAddress, Zone: cfg.Self.Zone,
		ChecksFencing:    d.checksFencing,
		FencingKnown:     d.fencingKnown,
		HeartbeatTimeout: cfg.HolderTimeout,
		ReclaimInterval:  reclaimTimeouts * cfg.HolderTimeout,
		LiveLag:          cfg.LiveListLag,
		OrderLifetime:    cfg.OrderLifetime,
	})
	return d
}

// fencingKnown reports whether the result of checksFencing is valid, which
// requires that both the server and the targets are known.
func (d *Decider) fencingKnown(id port.ServerID) bool {
	_, known := d.deps.Observer.Server(id)
	return known && d.deps.Config.Targets() != nil
}

// checksFencing reports whether, according to the targets, the server's service
// checks fencing tokens.
func (d *Decider) checksFencing(id port.ServerID) bool {
	t := d.deps.Config.Targets()
	server, known := d.deps.Observer.Server(id)
	if t == nil || !known {
		return false
	}
	service, ok := t.Service(server.Server.Service)
	return ok && service.ChecksFencing
}

func (d *Decider) now() time.Time { return d.deps.Clock.Now() }

// Run handles events until ctx is done.
func (d *Decider) Run(ctx context.Context) error {
	defer close(d.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	state, changed := d.deps.Log.Watch()
	if state != nil {
		d.handleEvent(ctx, lease.Folded{State: state})
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case do := <-d.inbox:
			d.callBeforeEvent()
			do(ctx)
		case <-changed:
			d.callBeforeEvent()
			state, changed = d.deps.Log.Watch()
			if state != nil {
				d.handleEvent(ctx, lease.Folded{State: state})
			}
		case <-ticker.C:
			d.callBeforeEvent()
			d.tick(ctx)
		}
	}
}

func (d *Decider) callBeforeEvent() {
	if d.cfg.BeforeEvent != nil {
		d.cfg.BeforeEvent()
	}
}

func (d *Decider) tick(ctx context.Context) {
	if up := d.deps.Log.Up(); up != d.logReachable {
		d.logReachable = up
		if up {
			d.handleEvent(ctx, lease.LogAvailable{})
		} else {
			d.handleEvent(ctx, lease.LogUnavailable{})
		}
	}
	d.handleEvent(ctx, lease.Tick{})
	d.ticks++
	d.updateLimits()
	if !d.deciding() {
		return
	}
	d.startStoreLoads(ctx)
	if d.ticks%reviewIntervalTicks == 0 {
		d.review(ctx)
	}
}

// task is a function that runs on the decider's goroutine. Its context is that
// of Run.
type task func(ctx context.Context)

// enqueue schedules a task on the decider's goroutine. It returns false if the
// decider has stopped or ctx is done.
func (d *Decider) enqueue(ctx context.Context, do task) bool {
	select {
	case d.inbox <- do:
		return true
	case <-d.done:
		return false
	case <-ctx.Done():
		return false
	}
}

// deciding reports whether this instance is a holder that can make decisions
// now.
func (d *Decider) deciding() bool { return d.machine.Ready() && d.storeQueue != nil }

// handleEvent applies one event to the lease state machine and executes the
// resulting effects.
func (d *Decider) handleEvent(ctx context.Context, ev lease.Event) {
	before, _ := d.machine.Holder()
	effects := d.machine.Step(d.now().Sub(d.start), ev)
	if after, _ := d.machine.Holder(); after != before {
		d.deps.Observer.SetHolder(after)
	}
	if mayChangeOpenIntents(ev, effects) {
		d.rebuildLedger()
	}
	for _, effect := range effects {
		d.execute(ctx, effect)
	}
}

// mayChangeOpenIntents reports whether the event or its effects may have
// changed the state machine's open intents.
func mayChangeOpenIntents(ev lease.Event, effects []lease.Effect) bool {
	switch ev.(type) {
	case lease.Folded, lease.Propose, lease.OrderEnded:
		return true
	}
	for _, effect := range effects {
		switch effect.(type) {
		case lease.Refuse, lease.Closed, lease.Acquired, lease.Lost:
			return true
		}
	}
	return false
}
