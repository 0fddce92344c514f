package placer

import (
	"context"
	"math/rand/v2"
	"net"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/trace"
	"storj.io/drpc/drpcmux"

	"github.com/cyclamenhoist/cyclamenhoist/internal/edge"
	"github.com/cyclamenhoist/cyclamenhoist/internal/peer"
	"github.com/cyclamenhoist/cyclamenhoist/internal/placer/placerpb"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/demand"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/modelplan"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/pause"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/tenure"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

const (
	// waitingFresh is how long what an instance said of its waiting requests holds.
	waitingFresh = 3 * reportInterval
	// reportInterval is how often demand is reported that isn't urgent.
	reportInterval = 500 * time.Millisecond
	// idleReports is how many reports without content are left out before one is
	// sent, so that the holder knows that the instance is there.
	idleReports = 5
	// reportCoalesce gathers requests that begin to wait at the same moment.
	reportCoalesce = 2 * time.Millisecond
	// callTimeout bounds a call to the holder.
	callTimeout = 500 * time.Millisecond
	// watchWait is how long the holder keeps a watch waiting.
	watchWait = time.Second
	// watchSpacing is the least time between two watches; changes come in series.
	watchSpacing = 10 * time.Millisecond
	// holderRetry is the pause after a call to the holder that failed.
	holderRetry = 200 * time.Millisecond
)

// Config sets up a Placer.
type Config struct {
	// Name is the instance's, Address where its peers reach it.
	Name, Address string
	Lease         time.Duration
	// Fenced means that servers refuse orders of an older epoch.
	Fenced bool
}

// Placer takes part in placing models.
type Placer struct {
	name      string
	address   string
	keeper    *keeper
	holder    *holder
	collector *Collector
	views     *edge.Views
	peers     *peer.Client
	log       *log.Logger

	// idleReports counts the reports left out in a row; reportDemand owns it.
	idleReports int
	// known are the addresses of peers that could tell who places models.
	known atomic.Pointer[[]string]
}

// New returns a Placer over the given parts.
func New(cfg Config, store *platform.Store, views *edge.Views, collector *Collector, logger *log.Logger, registry metrics.Registry, tracer trace.Tracer) *Placer {
	k := newKeeper(store, logger, tenure.Config{
		Self:  tenure.Record{Holder: cfg.Name, Life: uuid.NewString(), Address: cfg.Address},
		Lease: cfg.Lease, Fenced: cfg.Fenced,
	}, views.Known)
	dialer := &net.Dialer{Timeout: callTimeout, KeepAliveConfig: peer.KeepAlive()}
	return &Placer{
		name: cfg.Name, address: cfg.Address, keeper: k, collector: collector, views: views, log: logger,
		peers: peer.NewClient(func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}, tracer),
		holder: &holder{
			control: platform.NewControl(), keeper: k, views: views, log: logger, name: cfg.Name,
			orders: metrics.NewRegisteredCounter("placer_orders", registry),
			book:   demand.NewBook(waitingFresh), roll: roll{}, servers: map[fleet.ServerID]*tracked{}, doubted: map[demand.Key]time.Time{},
			wake: make(chan struct{}, 1), published: make(chan struct{}),
		},
	}
}

// Run takes part until ctx ends. Once stop has ended it gives up the tenure, and
// only reports and follows from there on.
func (p *Placer) Run(ctx, stop context.Context) {
	var group sync.WaitGroup
	group.Go(func() { p.holder.run(ctx) })
	group.Go(func() { p.reportDemand(ctx) })
	group.Go(func() { p.watch(ctx) })
	group.Go(func() { p.keeper.run(ctx, stop) })
	group.Wait()
}

// Holder returns which instance places models, as far as is known, under which epoch,
// and whether it is this one.
func (p *Placer) Holder() (name string, epoch int64, placing bool) {
	record, epoch, held := p.keeper.holder()
	if !held {
		return "", epoch, false
	}
	return record.Holder, epoch, p.keeper.placing()
}

// Register adds the calls that other instances make.
func (p *Placer) Register(mux *drpcmux.Mux) error {
	if err := placerpb.DRPCRegisterPlacer(mux, &service{placer: p}); err != nil {
		return errors.Wrap(err, "register placer")
	}
	return nil
}

// reportDemand tells the holder what requests want, at once if a model is waited
// for that wasn't before.
func (p *Placer) reportDemand(ctx context.Context) {
	for ctx.Err() == nil {
		pause.Until(ctx, p.collector.changed, reportInterval)
		pause.For(ctx, reportCoalesce)
		tallies := p.collector.take()
		if err := p.report(ctx, tallies); err != nil {
			p.collector.putBack(tallies)
			p.keeper.doubt()
			p.log.Debug().Err(err).Msg("demand_unreported")
			pause.For(ctx, holderRetry)
		}
	}
}

var errNoHolder = errors.New("no instance places models")

func (p *Placer) report(ctx context.Context, tallies map[demand.Key]demand.Tally) error {
	if p.keeper.placing() {
		p.meet(p.holder.report(p.name, p.address, tallies))
		return nil
	}
	if len(tallies) == 0 && p.idleReports < idleReports {
		p.idleReports++
		return nil
	}
	p.idleReports = 0
	r, _, held := p.keeper.holder()
	if !held || r.Address == p.address {
		return errNoHolder
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := placerpb.NewDRPCPlacerClient(p.peers.Conn(r.Address)).Report(ctx, encodeDemand(p.name, p.address, tallies))
	if err != nil {
		return err
	}
	p.keeper.hear(reply.Tenure)
	if !reply.Placing {
		return errNoHolder
	}
	p.keeper.alive(reply.Tenure.GetEpoch())
	p.meet(reply.Peers)
	return nil
}

// meet takes in which instances serve the deployment.
func (p *Placer) meet(peers []string) {
	p.views.SetInstances(len(peers))
	p.known.Store(&peers)
}

// askAround asks one of the other instances who places models. An instance that
// the store turns away learns it so.
func (p *Placer) askAround(ctx context.Context) {
	peers := p.known.Load()
	if peers == nil || len(*peers) == 0 {
		return
	}
	address := (*peers)[rand.IntN(len(*peers))]
	if address == p.address {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := placerpb.NewDRPCPlacerClient(p.peers.Conn(address)).Watch(ctx, &placerpb.WatchRequest{})
	if err != nil {
		p.log.Debug().Err(err).Str("peer", address).Msg("tenure_unheard")
		return
	}
	p.keeper.hear(reply.Tenure)
}

// watch follows what the holder says that servers hold.
func (p *Placer) watch(ctx context.Context) {
	var epoch, version int64
	for ctx.Err() == nil {
		r, _, held := p.keeper.holder()
		if p.keeper.placing() {
			pause.For(ctx, holderRetry)
			continue
		}
		var placement *placerpb.Placement
		err := errNoHolder
		if held && r.Address != p.address {
			placement, err = p.watchOnce(ctx, r.Address, epoch, version)
		}
		if err != nil || !placement.Placing {
			p.log.Debug().Err(err).Str("holder", r.Holder).Msg("placement_unread")
			p.keeper.hear(placement.GetTenure())
			p.keeper.doubt()
			p.askAround(ctx)
			pause.For(ctx, holderRetry)
			continue
		}
		epoch, version = placement.Epoch, placement.Version
		p.keeper.alive(epoch)
		if len(placement.Servers) > 0 {
			p.views.SetResidency(decodePlacement(placement, time.Now()))
		}
		pause.For(ctx, watchSpacing)
	}
}

func (p *Placer) watchOnce(ctx context.Context, address string, epoch, version int64) (*placerpb.Placement, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
	defer cancel()
	return placerpb.NewDRPCPlacerClient(p.peers.Conn(address)).Watch(ctx, &placerpb.WatchRequest{
		Epoch: epoch, Version: version, WaitMs: uint32(watchWait.Milliseconds()),
	})
}

func sortServers(servers []modelplan.Server) {
	sort.Slice(servers, func(i, j int) bool { return servers[i].ID < servers[j].ID })
}
