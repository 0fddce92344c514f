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
	"github.com/cyclamenhoist/cyclamenhoist/internal/storemirror"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/crashcause"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/demand"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/leaderlease"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/limit"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/modelplan"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/pause"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/streamorigin"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

const (
	// waitingTTL is how long the waiting requests in a demand report are valid.
	waitingTTL = 3 * reportInterval
	// reportInterval is the interval of demand reports that aren't urgent.
	reportInterval = 500 * time.Millisecond
	// maxSkippedReports is how many empty reports are skipped before one is sent as a
	// heartbeat to the holder.
	maxSkippedReports = 5
	// reportBatchDelay is the delay of an urgent report, to batch requests that start to wait
	// at the same time.
	reportBatchDelay = 2 * time.Millisecond
	// callTimeout limits a call to the holder.
	callTimeout = 500 * time.Millisecond
	// watchTimeout is how long the holder holds a long poll without changes, at most.
	watchTimeout = time.Second
	// minWatchInterval is the minimum interval between two watch calls, to batch changes that
	// follow each other closely. Each call costs the holder some 30 us of processor time, so the
	// interval grows by watchIntervalPerInstance with the number of instances, which limits the
	// calls to 6,000 a second.
	minWatchInterval         = 10 * time.Millisecond
	watchIntervalPerInstance = 170 * time.Microsecond
	// holderRetryInterval is the delay after a failed call to the holder.
	holderRetryInterval = 200 * time.Millisecond
)

// Config configures a Placer.
type Config struct {
	// Name is the name of the instance, and Address is where peers reach it.
	Name, Address string
	Lease         time.Duration
	// Fenced means that servers reject orders with an older epoch.
	Fenced bool
	// Capacity is how much of a holder's work this instance can do. See leaderlease.Capacity.
	Capacity float64
	// ReachesServers reports whether this instance reaches the servers. While it doesn't, another
	// instance should place models.
	ReachesServers func() bool
	// Quotas is by how much accounts may exceed their limits.
	Quotas limit.QuotaTolerance
}

// Placer is an instance's part in the placement of models, and in what else the instances know
// together.
type Placer struct {
	*crashcause.Watcher

	name      string
	address   string
	elector   *elector
	holder    *holder
	collector *Collector
	permits   *permitIssuer
	quotas    *quotaIssuer
	origins   *origins
	originLog *originLog
	versions  *versionRecorder
	crashes   *crashTransport
	standings *standings
	views     *edge.Views
	mirror    *storemirror.Mirror
	peers     *peer.Client
	log       *log.Logger

	// skippedReports counts consecutive skipped reports. Only reportDemand accesses it.
	skippedReports int
	historySent    historyReceiver
	// peerAddresses are the addresses of peers that can be queried for the holder, and
	// peersVersion is their version at the holder that reported them.
	peerAddresses atomic.Pointer[[]string]
	peersVersion  atomic.Uint64
}

// New returns a Placer, which Run starts.
func New(cfg Config, store *platform.Store, mirror *storemirror.Mirror, views *edge.Views, collector *Collector, logger *log.Logger, registry metrics.Registry, tracer trace.Tracer) *Placer {
	e := newElector(store, logger, registry, leaderlease.Config{
		Self:          leaderlease.Record{Holder: cfg.Name, Incarnation: uuid.NewString(), Address: cfg.Address},
		LeaseDuration: cfg.Lease, OrderTimeout: platform.OrderTimeout, Fenced: cfg.Fenced,
	}, cfg.Capacity, views.Known, cfg.ReachesServers)
	permits := newPermitIssuer()
	dialer := &net.Dialer{Timeout: callTimeout, KeepAliveConfig: peer.KeepAlive()}
	p := &Placer{
		name: cfg.Name, address: cfg.Address, elector: e, collector: collector, views: views, mirror: mirror, log: logger, permits: permits, origins: newOrigins(),
		peers: peer.NewClient(func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}, tracer),
		holder: &holder{
			elector: e, permits: permits, views: views, log: logger, name: cfg.Name,
			orders:  metrics.NewRegisteredCounter("placer_orders", registry),
			tracker: demand.NewTracker(waitingTTL), instances: newInstanceRegistry(), reports: newCallWindow(), reported: map[string]bool{}, servers: map[fleet.ServerID]*trackedServer{}, suspectedSince: map[demand.Key]time.Time{},
			wake: make(chan struct{}, 1), published: make(chan struct{}),
		},
	}
	e.released = p.holder.wakeAllWatchers
	e.nothingRanBefore = func() { views.AddVersions(streamorigin.VersionRecord{Complete: true}) }
	era := func() int64 { return mirror.Known().ListEnd.Era }
	p.versions = &versionRecorder{store: store, views: views, elector: e, era: era, log: logger}
	p.originLog = newOriginLog(store, e, era, p.origins.memory, logger, registry)
	mirror.SetTeller(e.placing, p.holder.wakeAllWatchers)
	p.quotas = newQuotaIssuer(p.name, e.canOrder, views.Instances, cfg.Quotas)
	p.crashes, p.standings = newCrashTransport(p), newStandings(p)
	recorder := edge.NewStandingRecorder(views, p.standings, logger)
	p.holder.control = platform.NewControl(func(server *fleet.Server, notice platform.Notice) {
		recorder.Record(server, notice, edge.AnswerOrigin{})
	})
	p.Watcher = crashcause.NewWatcher(p.crashes)
	return p
}

// Run runs the placer until ctx ends. When stop ends, it releases the lease; after that it
// only reports demand and follows the holder.
func (p *Placer) Run(ctx, stop context.Context) {
	var group sync.WaitGroup
	group.Go(func() { p.holder.run(ctx) })
	group.Go(func() { p.reportDemand(ctx) })
	group.Go(func() { p.watch(ctx) })
	group.Go(func() { p.sendOrigins(ctx) })
	group.Go(func() { p.originLog.write(ctx) })
	group.Go(func() { p.versions.read(ctx) })
	group.Go(func() { p.versions.record(ctx) })
	group.Go(func() { p.crashes.outbox.run(ctx) })
	group.Go(func() { p.standings.outbox.run(ctx) })
	group.Go(func() { p.crashes.readAll(ctx) })
	group.Go(func() { p.Watcher.Run(ctx) })
	group.Go(func() { p.elector.runElection(ctx, stop) })
	group.Wait()
}

// Holder returns the name and epoch of the holder as far as known, and whether this instance
// is the holder and allowed to place models.
func (p *Placer) Holder() (name string, epoch int64, placing bool) {
	record, epoch, held := p.elector.holder()
	if !held {
		return "", epoch, false
	}
	return record.Holder, epoch, p.elector.placing()
}

// Register registers the service for calls of other instances.
func (p *Placer) Register(mux *drpcmux.Mux) error {
	if err := placerpb.DRPCRegisterPlacer(mux, &service{placer: p}); err != nil {
		return errors.Wrap(err, "register placer")
	}
	return nil
}

// reportDemand reports demand to the holder, immediately if requests start to wait.
func (p *Placer) reportDemand(ctx context.Context) {
	for ctx.Err() == nil {
		pause.Until(ctx, p.collector.changed, reportInterval)
		pause.For(ctx, reportBatchDelay)
		r := p.collector.collect()
		if err := p.report(ctx, r); err != nil {
			p.collector.restore(r)
			p.elector.suspectHolder()
			p.log.Debug().Err(err).Msg("demand_unreported")
			pause.For(ctx, holderRetryInterval)
		}
	}
}

var errNoHolder = errors.New("the holder of the lease is unknown")

// report sends the demand to the holder. The first report to a holder contains the history of
// demand as well, so that a new holder doesn't take the models in use for idle ones.
func (p *Placer) report(ctx context.Context, report demand.Report) error {
	r, _, held := p.elector.holder()
	withHistory := p.historySent.lacksHistory(r.Incarnation)
	if withHistory {
		report = report.WithHistory(p.collector.history())
	}
	origins, begun := p.origins.unreported.next(withHistory)
	if p.elector.placing() {
		epoch, _ := p.elector.canOrder()
		p.originLog.journal.Add(origins, time.Now())
		p.origins.unreported.markReported(begun)
		p.quotas.statesShares.Store(true)
		p.setPeers(p.holder.receiveReport(p.name, p.address, p.elector.capacity, report))
		p.historySent.reported(r.Incarnation, epoch, withHistory)
		return nil
	}
	if report.Empty() && !withHistory && len(origins) == 0 && p.skippedReports < maxSkippedReports {
		p.skippedReports++
		return nil
	}
	p.skippedReports = 0
	if !held || r.Address == p.address {
		return errNoHolder
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	message := encodeDemand(p.name, p.address, report)
	message.Capacity, message.PeersVersion = float32(p.elector.capacity), p.peersVersion.Load()
	message.Origins = encodeOrigins(origins)
	message.LacksVersions = !p.views.Load().KnowsVersions(time.Now())
	reply, err := p.client(r.Address).Report(ctx, message)
	if err != nil {
		return err
	}
	p.elector.receiveLease(reply.Tenure)
	if !reply.Placing {
		return errNoHolder
	}
	p.origins.unreported.markReported(begun)
	p.elector.holderResponded(r, reply.Tenure.GetEpoch())
	p.elector.setSuccessors(reply.Successors)
	p.quotas.statesShares.Store(reply.StatesFallbackShares)
	if len(reply.Versions) > 0 {
		p.views.AddVersions(decodeVersions(reply.Versions))
	}
	if reply.PeersVersion == 0 || reply.PeersVersion != message.PeersVersion {
		p.setPeers(reply.Peers, reply.PeersVersion)
	}
	p.historySent.reported(r.Incarnation, reply.Tenure.GetEpoch(), withHistory)
	return nil
}

// historyReceiver is the holder that has received this instance's demand history.
type historyReceiver struct {
	incarnation string
	// epoch is the holder's epoch as it states it itself. A holder that begins another one
	// forgets the demand.
	epoch   int64
	missing bool
}

func (h *historyReceiver) lacksHistory(incarnation string) bool {
	return h.incarnation != incarnation || h.missing
}

func (h *historyReceiver) reported(incarnation string, epoch int64, withHistory bool) {
	h.missing = !withHistory && epoch != h.epoch
	h.incarnation, h.epoch = incarnation, epoch
}

// setPeers sets the addresses of the instances of the deployment, and their version at the
// holder; 0 if they have none.
func (p *Placer) setPeers(peers []string, version uint64) {
	p.views.SetInstances(len(peers))
	p.peerAddresses.Store(&peers)
	p.peersVersion.Store(version)
}

// queryPeer queries a random peer for the holder, so that an instance that the store rejects
// can still find it.
func (p *Placer) queryPeer(ctx context.Context) {
	peers := p.peerAddresses.Load()
	if peers == nil || len(*peers) == 0 {
		return
	}
	address := (*peers)[rand.IntN(len(*peers))]
	if address == p.address {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := p.client(address).Watch(ctx, &placerpb.WatchRequest{})
	if err != nil {
		p.log.Debug().Err(err).Str("peer", address).Msg("tenure_unheard")
		return
	}
	p.elector.receiveLease(reply.Tenure)
}

// watch follows the placement that the holder publishes.
func (p *Placer) watch(ctx context.Context) {
	var epoch, version int64
	for ctx.Err() == nil {
		r, _, held := p.elector.holder()
		if p.elector.placing() {
			pause.For(ctx, holderRetryInterval)
			continue
		}
		var placement *placerpb.Placement
		known, err := p.mirror.Known(), errNoHolder
		if held && r.Address != p.address {
			placement, err = p.watchOnce(ctx, r.Address, epoch, version, known)
		}
		if err != nil || !placement.Placing {
			p.log.Debug().Err(err).Str("holder", r.Holder).Msg("placement_unread")
			p.mirror.LoseTeller()
			p.elector.receiveLease(placement.GetTenure())
			p.elector.suspectHolder()
			p.queryPeer(ctx)
			pause.For(ctx, holderRetryInterval)
			continue
		}
		epoch, version = placement.Epoch, placement.Version
		p.elector.holderResponded(r, epoch)
		if placement.Store != nil {
			p.elector.renewalHeard(time.Duration(placement.Store.RenewedMs) * time.Millisecond)
			news := decodeNews(placement.Store)
			news.Teller = r.Holder
			p.mirror.Hear(news, known)
		} else {
			p.mirror.HearNothing()
		}
		if len(placement.Servers) > 0 {
			p.views.SetResidency(decodePlacement(placement, time.Now()))
		}
		p.standings.receive(placement.Leaving)
		pause.For(ctx, watchInterval(p.views.Instances()))
	}
}

// watchInterval returns the minimum interval between two watch calls of one instance.
func watchInterval(instances int) time.Duration {
	return max(minWatchInterval, time.Duration(instances)*watchIntervalPerInstance)
}

func (p *Placer) watchOnce(ctx context.Context, address string, epoch, version int64, known storemirror.Knowledge) (*placerpb.Placement, error) {
	wait := min(p.mirror.TellInterval(), watchTimeout)
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	return p.client(address).Watch(ctx, &placerpb.WatchRequest{
		Epoch: epoch, Version: version, WaitMs: uint32(wait.Milliseconds()),
		Store: true, ListEra: known.ListEnd.Era, ListEnd: known.ListEnd.Offset, ManifestVersion: known.ManifestVersion,
		Bulletin: known.List.ID, Revision: known.List.Revision, ListDigest: known.List.Digest, Editions: known.Editions, Instance: p.name,
	})
}

func sortServers(servers []modelplan.Server) {
	sort.Slice(servers, func(i, j int) bool { return servers[i].ID < servers[j].ID })
}
