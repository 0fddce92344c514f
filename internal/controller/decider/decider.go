// Package decider is the controller of the zone's replicas. It runs the
// decision protocol of pkg/lease against the outside, and where this instance is
// the holder it decides what to load and to unload.
//
// One goroutine owns all state; calls to the outside run beside it and come back
// as events.
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
	// HolderTimeout is how long the holder may be silent before another claims.
	HolderTimeout time.Duration
	// OrderLifetime is the longest time that an order can be under way.
	OrderLifetime time.Duration
	// LiveListLag is the longest time by which the live list lags.
	LiveListLag time.Duration
	// Gate, if set, is called before each step. It may block.
	Gate func()
}

// Observer is what the decider needs of the controller of membership.
type Observer interface {
	View() *membership.View
	Read(ctx context.Context, s port.Server) (port.Report, error)
	Server(id port.ServerID) (membership.ServerView, bool)
	ZoneServers() []membership.ServerView
	Slots(id port.ServerID) int
	InForce(id port.InstanceID) port.Offset
	SetHolder(id port.InstanceID)
}

// Configuration is the targets in force and the catalogue.
type Configuration interface {
	// Targets returns nil before the first accepted version.
	Targets() *targets.Compiled
	Model(id port.ModelID) (port.ModelInfo, bool)
	Models() []port.ModelInfo
}

// Deps is what a Decider works with.
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
	// reviewEvery is how many ticks lie between reviews of what to release.
	reviewEvery = 20
	inboxSize   = 4096
	// renewEvery is how many times the holder's timeout lie at the least between
	// two claims by which a holder takes newcomers among the copy holders.
	renewEvery = 5
	// explainedModels bounds the models whose decisions are remembered.
	explainedModels = 4096
)

// Decider runs the decisions of one instance's zone.
type Decider struct {
	cfg   Config
	deps  Deps
	start time.Time
	inbox chan work
	done  chan struct{}

	machine  *lease.Machine
	logUp    bool
	requests uint64
	seals    map[uint64]chan lease.ReplySeal
	copies   map[uint64]chan lease.ReplyCopy
	stopped  chan struct{}

	ledger *ledger.Ledger
	// store is nil until this term has targets.
	store  *placement.StoreQueue
	speeds placement.Speeds
	// tiers holds the fastest tier of the checkpoints that are cached in the zone.
	tiers map[port.ModelID]placement.Tier
	// reading holds the servers that are being read because of a report in doubt.
	reading map[port.ServerID]bool
	// heldAt is when this term began.
	heldAt time.Time
	// progress knows the loads under way.
	progress placement.Progress
	tracker  *keepalive.Tracker
	limits   limits
	missed   placement.Accounts
	wakes    map[port.ModelID]*wake
	orders   map[string]*order
	uses     map[port.ModelID]use
	reasons  *lru.Cache[port.ModelID, []Reason]
	// loadedAt holds when loads were first known to be ready, by intent.
	loadedAt map[string]time.Time
	ticks    int
}

// New returns a decider that knows nothing yet.
func New(cfg Config, deps Deps) *Decider {
	reasons, err := lru.New[port.ModelID, []Reason](explainedModels)
	if err != nil {
		panic(err)
	}
	now := deps.Clock.Now()
	d := &Decider{
		cfg:      cfg,
		deps:     deps,
		start:    now,
		inbox:    make(chan work, inboxSize),
		done:     make(chan struct{}),
		seals:    map[uint64]chan lease.ReplySeal{},
		copies:   map[uint64]chan lease.ReplyCopy{},
		stopped:  make(chan struct{}),
		ledger:   ledger.New(0),
		tracker:  keepalive.New(now, 0),
		wakes:    map[port.ModelID]*wake{},
		orders:   map[string]*order{},
		tiers:    map[port.ModelID]placement.Tier{},
		reading:  map[port.ServerID]bool{},
		uses:     map[port.ModelID]use{},
		reasons:  reasons,
		loadedAt: map[string]time.Time{},
	}
	d.machine = lease.New(lease.Config{
		Self: cfg.Self.ID, PeerAddress: cfg.Self.PeerAddress, Zone: cfg.Self.Zone,
		ChecksFencing:    d.checksFencing,
		FencingKnown:     d.fencingKnown,
		HeartbeatTimeout: cfg.HolderTimeout,
		ReclaimInterval:  renewEvery * cfg.HolderTimeout,
		LiveLag:          cfg.LiveListLag,
		OrderLife:        cfg.OrderLifetime,
	})
	return d
}

// fencingKnown reports whether checksFencing can be relied on.
func (d *Decider) fencingKnown(id port.ServerID) bool {
	_, known := d.deps.Observer.Server(id)
	return known && d.deps.Config.Targets() != nil
}

// checksFencing says what the targets say of a server's service.
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

// Run decides until ctx ends.
func (d *Decider) Run(ctx context.Context) error {
	defer close(d.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	state, changed := d.deps.Log.Watch()
	if state != nil {
		d.step(ctx, lease.Folded{State: state})
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case do := <-d.inbox:
			d.gate()
			do(ctx)
		case <-changed:
			d.gate()
			state, changed = d.deps.Log.Watch()
			if state != nil {
				d.step(ctx, lease.Folded{State: state})
			}
		case <-ticker.C:
			d.gate()
			d.tick(ctx)
		}
	}
}

func (d *Decider) gate() {
	if d.cfg.Gate != nil {
		d.cfg.Gate()
	}
}

func (d *Decider) tick(ctx context.Context) {
	if up := d.deps.Log.Up(); up != d.logUp {
		d.logUp = up
		if up {
			d.step(ctx, lease.LogUp{})
		} else {
			d.step(ctx, lease.LogDown{})
		}
	}
	d.step(ctx, lease.Tick{})
	d.ticks++
	d.adoptTargets()
	if !d.deciding() {
		return
	}
	d.pump(ctx)
	if d.ticks%reviewEvery == 0 {
		d.review(ctx)
	}
}

// work is what runs on the decider's goroutine, under its context.
type work func(ctx context.Context)

// post runs work on the decider's goroutine; false if the decider has ended.
func (d *Decider) post(ctx context.Context, do work) bool {
	select {
	case d.inbox <- do:
		return true
	case <-d.done:
		return false
	case <-ctx.Done():
		return false
	}
}

// deciding reports whether this instance decides now.
func (d *Decider) deciding() bool { return d.machine.Ready() && d.store != nil }

// step gives one event to the machine and carries the effects out.
func (d *Decider) step(ctx context.Context, ev lease.Event) {
	before, _ := d.machine.Holder()
	effects := d.machine.Step(d.now().Sub(d.start), ev)
	if after, _ := d.machine.Holder(); after != before {
		d.deps.Observer.SetHolder(after)
	}
	if changesOpen(ev, effects) {
		d.restore()
	}
	for _, effect := range effects {
		d.perform(ctx, effect)
	}
}

// changesOpen reports whether the machine's open intents may have changed.
func changesOpen(ev lease.Event, effects []lease.Effect) bool {
	switch ev.(type) {
	case lease.Folded, lease.Propose, lease.OrderEnded:
		return true
	}
	for _, effect := range effects {
		switch effect.(type) {
		case lease.Refuse, lease.Closed, lease.Held, lease.Lost:
			return true
		}
	}
	return false
}
