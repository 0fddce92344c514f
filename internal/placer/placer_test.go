package placer

import (
	"context"
	"math"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace/noop"
	"storj.io/drpc/drpcmux"

	"github.com/cyclamenhoist/cyclamenhoist/internal/edge"
	"github.com/cyclamenhoist/cyclamenhoist/internal/peer"
	"github.com/cyclamenhoist/cyclamenhoist/internal/placer/placerpb"
	"github.com/cyclamenhoist/cyclamenhoist/internal/storemirror"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/demand"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/modelplan"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
	"github.com/cyclamenhoist/cyclamenhoist/platform/standin"
)

const (
	summaries    = "summaries"
	largeModel   = "large"
	testTimeout  = time.Minute
	pollInterval = 2 * time.Millisecond
)

// cluster is a store and servers for the instances under test.
type cluster struct {
	*testing.T

	store *standin.Store
	// reader reads the store as the test does.
	reader  *platform.Store
	servers []*standin.Server
	models  []string
	// withoutCalls are the calls that instances started from now on don't serve, as earlier builds.
	withoutCalls []string
	// version is the software version of the servers, as instances started from now on see them first.
	version string
}

func newCluster(t *testing.T, models []string, servers ...standin.ServerConfig) *cluster {
	c := &cluster{T: t, store: standin.NewStore(), models: models}
	t.Cleanup(c.store.Close)
	c.reader = platform.NewStore(c.store.Address())
	for _, cfg := range servers {
		cfg.Service, cfg.Zone, cfg.Slots, cfg.ModelCapacity = summaries, "zone-a", 8, 2
		s := standin.NewServer(cfg)
		t.Cleanup(s.Close)
		c.servers = append(c.servers, s)
	}
	return c
}

type instance struct {
	*Placer

	views          *edge.Views
	collector      *Collector
	reachesServers atomic.Bool
	// stop ends the instance gracefully, and end at once.
	stop, end func()
}

func (c *cluster) start(name string) *instance { return c.startAt(name, c.store) }

// startAt starts an instance that uses the given store.
func (c *cluster) startAt(name string, store *standin.Store) *instance {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(c, err)
	i := &instance{views: edge.NewViews(), collector: NewCollector()}
	logger := &log.Logger{Level: log.PanicLevel}
	tracer := noop.NewTracerProvider().Tracer("")
	i.reachesServers.Store(true)
	i.Placer = New(Config{
		Name: name, Address: listener.Addr().String(), Lease: 400 * time.Millisecond, Fenced: true, Capacity: 1, ReachesServers: i.reachesServers.Load,
	},
		platform.NewStore(store.Address()), storemirror.New(2*time.Second), i.views, i.collector, logger, metrics.NewRegistry(), tracer)
	servers := map[fleet.ServerID]*fleet.Server{}
	for n, s := range c.servers {
		id := fleet.ServerID(s.ID())
		servers[id] = &fleet.Server{ID: id, Service: summaries, Address: s.Address(), Slots: 8, Sequence: int64(n), Version: c.version}
	}
	engine := &fleet.Engine{Slots: 8, WeightsMB: 201, AdapterSlots: 2, LoadsPerSecond: 10, Models: map[string]fleet.Model{}}
	for _, m := range c.models {
		weights := 100.0
		if m == largeModel {
			weights = 200
		}
		engine.Models[m] = fleet.Model{Name: m, WeightsMB: weights, StoreLoad: 60 * time.Millisecond, DiskLoad: 30 * time.Millisecond, HostLoad: 10 * time.Millisecond}
	}
	i.views.SetManifest(fleet.NewManifest(1, nil, []fleet.Service{{Name: summaries, Engine: engine}}, fleet.CallerLimits{}))
	i.views.SetServers(servers)

	ctx, end := context.WithCancel(context.Background())
	stop, cancel := context.WithCancel(ctx)
	serving, endServing := context.WithCancel(context.Background())
	mux := drpcmux.New()
	require.NoError(c, mux.Register(&service{placer: i.Placer}, servedCalls{without: c.withoutCalls}))
	go func() { _ = peer.ServeMux(serving, listener, mux, tracer, logger) }()
	ended := make(chan struct{})
	go func() { defer close(ended); i.Run(ctx, stop) }()
	i.stop, i.end = cancel, func() { end(); <-ended; endServing() }
	c.Cleanup(func() { end(); <-ended; endServing() })
	return i
}

func (c *cluster) eventually(what string, condition func() bool) {
	c.Helper()
	require.Eventually(c, condition, testTimeout, pollInterval, what)
}

func (c *cluster) holds(server int, model string) bool {
	return slices.Contains(c.servers[server].Models(), model)
}

func wantModel(model string) edge.Want {
	return edge.Want{Service: summaries, Model: model, NonRepeatable: true, Remaining: time.Minute}
}

func TestLoadsWhatRequestsWaitFor(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, standin.ServerConfig{ID: "s0", Models: []string{"a", "b"}, OnDisk: []string{"a", "b", "c"}})
	i := c.start("i0")
	done := i.collector.Wait(wantModel("c"))
	defer done()
	c.eventually("c is loaded", func() bool { return c.holds(0, "c") })
	assert.Zero(t, c.servers[0].LoadsOverCapacity())
}

// Requests for the same model wait on two instances. The holder sends a single order to load
// it, and both instances receive the placement.
func TestOneLoadForAllInstances(t *testing.T) {
	c := newCluster(t, []string{"a"}, standin.ServerConfig{ID: "s0", OnDisk: []string{"a"}}, standin.ServerConfig{ID: "s1", OnDisk: []string{"a"}})
	first, second := c.start("i0"), c.start("i1")
	defer first.collector.Wait(wantModel("a"))()
	defer second.collector.Wait(wantModel("a"))()
	for _, i := range []*instance{first, second} {
		c.eventually("the instance receives the placement", func() bool { return i.views.Load().Holders(summaries, "a") == 1 })
	}
	assert.Len(t, append(c.servers[0].Orders(), c.servers[1].Orders()...), 1)
}

// An unload whose response is lost frees no memory until a report confirms it. An order that
// is delayed past other orders has no effect.
func TestLostAndLateOrders(t *testing.T) {
	for name, faults := range map[string]standin.ServerFaults{
		"lost": {LoseOrders: true}, "late": {HoldOrders: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, []string{"a", "b", "c", "d"}, standin.ServerConfig{
				ID: "s0", Models: []string{"a", "b"}, OnDisk: []string{"a", "b", "c", "d"},
			})
			c.servers[0].SetFaults(faults)
			i := c.start("i0")
			defer i.collector.Wait(wantModel("c"))()
			c.eventually("orders are sent", func() bool { return i.holder.orders.Count() >= 3 })
			c.servers[0].SetFaults(standin.ServerFaults{})
			c.eventually("c is loaded without faults", func() bool { return c.holds(0, "c") })
			before := c.servers[0].Orders()
			c.servers[0].ReleaseOrders()
			assert.Equal(t, before, c.servers[0].Orders(), "delayed orders don't match the sequence")
			assert.Zero(t, c.servers[0].LoadsOverCapacity())
		})
	}
}

func TestTakeover(t *testing.T) {
	c := newCluster(t, []string{"a", "b"}, standin.ServerConfig{ID: "s0", OnDisk: []string{"a", "b"}})
	first := c.start("i0")
	c.eventually("the first holds the lease", first.elector.isHolder)
	second := c.start("i1")
	defer second.collector.Wait(wantModel("a"))()
	c.eventually("the first loads for the second", func() bool { return c.holds(0, "a") })
	first.stop()
	c.eventually("the second takes over", second.elector.isHolder)
	defer second.collector.Wait(wantModel("b"))()
	c.eventually("the new holder loads a model", func() bool { return c.holds(0, "b") })
	assert.Zero(t, c.servers[0].LoadsOverCapacity())
}

// TestHolderWithoutServersPlacesNothing: a holder that had lost its path to the servers kept the
// lease, so that no model was loaded until it had the path again.
func TestHolderWithoutServersPlacesNothing(t *testing.T) {
	c := newCluster(t, []string{"a", "b"}, standin.ServerConfig{ID: "s0", OnDisk: []string{"a", "b"}})
	first := c.start("i0")
	c.eventually("the first holds the lease", first.elector.isHolder)
	second := c.start("i1")
	defer second.collector.Wait(wantModel("a"))()
	c.eventually("the first loads for the second", func() bool { return c.holds(0, "a") })
	first.reachesServers.Store(false)
	c.eventually("the second takes over", second.elector.isHolder)
	defer first.collector.Wait(wantModel("b"))()
	c.eventually("the second loads for the first", func() bool { return c.holds(0, "b") })
	second.reachesServers.Store(false)
	c.eventually("none holds the lease", func() bool { return !second.elector.isHolder() && !first.elector.isHolder() })
	first.reachesServers.Store(true)
	c.eventually("the first takes over again", first.elector.isHolder)
	assert.Zero(t, c.servers[0].LoadsOverCapacity())
}

// An instance that the store rejects learns from a peer which instance is the holder, and has
// its models loaded there.
func TestLeaseIsReceivedFromPeers(t *testing.T) {
	c := newCluster(t, []string{"a"}, standin.ServerConfig{ID: "s0", OnDisk: []string{"a"}})
	holder, other := c.start("i0"), c.start("i1")
	c.eventually("one instance holds the lease", func() bool { return holder.elector.placing() || other.elector.placing() })
	if other.elector.placing() {
		holder, other = other, holder
	}
	rejecting := standin.NewStore()
	defer rejecting.Close()
	rejecting.SetFaults(standin.StoreFaults{Refuse: 503})
	isolated := c.startAt("i2", rejecting)
	isolated.peerAddresses.Store(&[]string{other.address})
	defer isolated.collector.Wait(wantModel("a"))()
	c.eventually("its model is loaded", func() bool { return c.holds(0, "a") })
	r, _, _ := isolated.elector.holder()
	assert.Equal(t, holder.name, r.Holder)
	assert.False(t, isolated.elector.placing())
	c.eventually("the instance receives the placement", func() bool { return isolated.views.Load().Holders(summaries, "a") == 1 })
}

// A holder that is shut down during an outage of the store continues to place models until it
// can release the lease.
func TestHolderStoppedWithoutTheStore(t *testing.T) {
	c := newCluster(t, []string{"a", "b"}, standin.ServerConfig{ID: "s0", OnDisk: []string{"a", "b"}})
	first, second := c.start("i0"), c.start("i1")
	c.eventually("one instance holds the lease", func() bool { return first.elector.isHolder() || second.elector.isHolder() })
	if second.elector.isHolder() {
		first, second = second, first
	}
	c.store.SetFaults(standin.StoreFaults{Refuse: 503})
	first.stop()
	defer second.collector.Wait(wantModel("a"))()
	c.eventually("the holder still loads models", func() bool { return c.holds(0, "a") })
	c.store.SetFaults(standin.StoreFaults{})
	c.eventually("the other takes over", second.elector.isHolder)
	defer second.collector.Wait(wantModel("b"))()
	c.eventually("the new holder loads a model", func() bool { return c.holds(0, "b") })
}

// A holder that the store rejects continues, because no other instance can take over. It stops
// as soon as a server rejects its epoch.
func TestHolderWithoutTheStore(t *testing.T) {
	c := newCluster(t, []string{"a", "b"}, standin.ServerConfig{ID: "s0", OnDisk: []string{"a", "b"}})
	i := c.start("i0")
	c.eventually("the instance holds the lease", i.elector.isHolder)
	c.store.SetFaults(standin.StoreFaults{Refuse: 503})
	defer i.collector.Wait(wantModel("a"))()
	c.eventually("it loads without the store", func() bool { return c.holds(0, "a") })

	_, err := platform.NewControl(func(*fleet.Server, platform.Notice) {}).SendOrder(t.Context(), platform.Order{
		Server: i.views.Load().Engines()["s0"], Model: "a", Expect: 77, Holder: "another", Epoch: 1 << 40,
	})
	require.ErrorIs(t, err, platform.ErrOrderBusy)
	defer i.collector.Wait(wantModel("b"))()
	c.eventually("its epoch is refused", func() bool { _, allowed := i.elector.canOrder(); return !allowed })
	assert.False(t, c.holds(0, "b"))
}

// An order that was planned under an expired lease isn't sent.
func TestNoOrderAfterTheLease(t *testing.T) {
	c := newCluster(t, []string{"a"}, standin.ServerConfig{ID: "s0", OnDisk: []string{"a"}})
	i := c.start("i0")
	// The lease may be read back from the log before the append returns.
	c.eventually("the instance is allowed to order", func() bool { _, allowed := i.elector.canOrder(); return allowed })
	epoch, _ := i.elector.canOrder()
	server := i.views.Load().Engines()["s0"]
	send := func(epoch int64) error {
		order := platform.Order{Server: server, Model: "b", Holder: "i0", Epoch: epoch}
		return i.holder.sendOrder(t.Context(), newTrackedServer(server, time.Now()), modelplan.Action{Kind: modelplan.LoadModel, Model: "b"}, order)
	}
	require.ErrorIs(t, send(epoch-1), platform.ErrOrderFenced, "the epoch is older")
	i.elector.superseded(epoch)
	require.ErrorIs(t, send(epoch), platform.ErrOrderFenced, "the epoch is superseded")
	assert.NotContains(t, c.servers[0].Orders(), "load b")
}

// A load was to be confirmed when the holder wasn't allowed to order for a time. It took its epoch for rejected by a
// server, and placed no models any more, while its renewals kept others from the lease.
func TestUnsentConfirmationDoesNotSupersedeTheHolder(t *testing.T) {
	c := newCluster(t, []string{"a"}, standin.ServerConfig{ID: "s0", OnDisk: []string{"a"}})
	i := c.start("i0")
	c.eventually("the instance is allowed to order", i.elector.placing)
	doubt := func(at time.Duration) {
		i.elector.mu.Lock()
		defer i.elector.mu.Unlock()
		i.elector.doubtedAt = at
	}
	epoch, _ := i.elector.canOrder()
	doubt(math.MaxInt64)
	tracked := newTrackedServer(i.views.Load().Engines()["s0"], time.Now())
	tracked.loading = "a"
	func() {
		i.holder.mu.Lock()
		defer i.holder.mu.Unlock()
		i.holder.beginEpoch(epoch, time.Now())
		i.holder.confirmLoad(t.Context(), tracked)
	}()
	c.eventually("the confirmation has ended", func() bool {
		i.holder.mu.Lock()
		defer i.holder.mu.Unlock()
		return !tracked.callInFlight
	})
	doubt(0)
	assert.True(t, i.elector.placing())
}

func TestReportsOlderThanOrdersAreIgnored(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	tr := newTrackedServer(&fleet.Server{ID: "s"}, start)
	require.True(t, tr.applyReport(platform.Report{Sequence: 5, Models: []fleet.Resident{{Model: "a"}}}, start))
	tr.applyOrder(modelplan.Action{Kind: modelplan.UnloadModel, Model: "a"}, true, start)
	assert.False(t, tr.applyReport(platform.Report{Sequence: 5, Models: []fleet.Resident{{Model: "a"}}}, start))
	assert.Empty(t, tr.models)
	for range maxStaleReports {
		tr.applyReport(platform.Report{Sequence: 0}, start)
	}
	assert.Equal(t, int64(0), tr.sequence, "a server that has restarted is recognized")
}

func TestPendingAdaptersOccupySlots(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	tr := newTrackedServer(&fleet.Server{ID: "s"}, start)
	tr.applyReport(platform.Report{
		Sequence: 1, Models: []fleet.Resident{{Model: "a", Adapters: []string{"x"}}},
		Pending: []platform.PendingAdapter{{Model: "a", Adapter: "y"}},
	}, start)
	assert.Len(t, tr.models["a"].adapters, 2)

	tr.applyOrder(modelplan.Action{Kind: modelplan.UnloadAdapter, Model: "a", Adapter: "x"}, false, start)
	assert.True(t, tr.uncertain, "an adapter in use occupies its slot until a report")
	assert.Len(t, tr.models["a"].adapters, 2)
}

// A model that is being unloaded isn't published, even if a report made during the unload
// lists it.
func TestModelUnderUnloadStaysWithdrawn(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	tr := newTrackedServer(&fleet.Server{ID: "s"}, start)
	tr.applyReport(platform.Report{Sequence: 1, Models: []fleet.Resident{{Model: "a"}}}, start)
	tr.withdrawn = "a"
	tr.applyReport(platform.Report{Sequence: 2, Busy: true, Models: []fleet.Resident{{Model: "a"}}}, start)
	assert.Empty(t, tr.residency(1).Models)
	tr.applyReport(platform.Report{Sequence: 2, Models: []fleet.Resident{{Model: "a"}}}, start)
	assert.Len(t, tr.residency(1).Models, 1, "the report lists the model after the unload")
}

// No window of five seconds contains more loads from the weight store than the rate allows,
// including across a takeover.
func TestStoreLimiter(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	c := newStoreLimiter(start)
	assert.Equal(t, 13-loadsAfterTakeover, c.available(2.6, start))
	for c.available(2.6, start) > 0 {
		c.record(start)
	}
	assert.Zero(t, c.available(2.6, start.Add(storeWindow-1)))
	assert.Equal(t, 13, c.available(2.6, start.Add(storeWindow)))
	assert.Equal(t, 1, c.available(0.01, start.Add(storeWindow)), "one load is allowed at any rate")
}

func TestCollectorKeepsWhatCouldntBeReported(t *testing.T) {
	c := NewCollector()
	c.Arrived(wantModel("a"))
	done := c.Wait(wantModel("a"))
	collected := c.collect()
	assert.Equal(t, demand.Tally{Arrived: 1, ArrivedNonRepeatable: 1, Waiting: 1, WaitingNonRepeatable: 1}, collected.Tallies[demand.Key{Service: summaries, Model: "a", Adapter: ""}])
	c.restore(collected)
	done()
	assert.Equal(t, demand.Tally{Arrived: 1, ArrivedNonRepeatable: 1}, c.collect().Tallies[demand.Key{Service: summaries, Model: "a", Adapter: ""}])
	assert.True(t, c.collect().Empty())
}

// A load from a server's own copy is confirmed with the server when its expected duration has
// passed, before a report shows the result.
func TestLoadsDueForConfirmation(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	const takes = 500 * time.Millisecond
	load := modelplan.Action{Kind: modelplan.LoadModel, Model: "a", Duration: takes}
	loading := func(a modelplan.Action) *trackedServer {
		tr := newTrackedServer(&fleet.Server{ID: "s"}, start)
		require.True(t, tr.applyReport(platform.Report{Sequence: 7}, start))
		tr.applyOrder(a, false, start)
		return tr
	}
	ended := start.Add(takes)

	tr := loading(load)
	require.False(t, tr.isLoadDue(ended.Add(-1)))
	require.True(t, tr.isLoadDue(ended))
	require.Empty(t, tr.residency(1).Models, "not before the server confirms the load")
	tr.markLoaded(ended)
	assert.Equal(t, []fleet.Resident{{Model: "a"}}, tr.residency(2).Models)
	assert.False(t, tr.planServer(&fleet.Engine{}, demand.NewTracker(waitingTTL), nil).Busy)
	assert.False(t, tr.isLoadDue(ended), "already confirmed")

	load.FromStore = true
	require.False(t, loading(load).isLoadDue(ended.Add(time.Minute)), "loads from the weight store slow each other down")
}

// A new holder makes no plan before the instances have reported: until then every model seems
// idle, and the replicas of hot ones would be unloaded. It doesn't wait for instances that are
// gone.
func TestNewHolderWaitsForDemand(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	views := edge.NewViews()
	views.SetInstances(2)
	h := &holder{views: views, instances: newInstanceRegistry()}
	h.beginEpoch(1, start)
	assert.False(t, h.knowsDemand(start))
	h.reported["i0"] = true
	assert.False(t, h.knowsDemand(start))
	h.reported["i1"] = true
	assert.True(t, h.knowsDemand(start), "all have reported")

	h.beginEpoch(2, start)
	assert.False(t, h.knowsDemand(start.Add(demandTimeout)), "a new epoch begins without demand")
	assert.True(t, h.knowsDemand(start.Add(demandTimeout+1)))

	views.SetInstances(0)
	h.beginEpoch(3, start)
	h.reported["i0"] = true
	assert.False(t, h.knowsDemand(start), "how many instances there are is unknown")
}

func TestHistoryIsSentOncePerEpoch(t *testing.T) {
	var r historyReceiver
	require.True(t, r.lacksHistory("p1"))
	r.reported("p1", 7, true)
	assert.False(t, r.lacksHistory("p1"))
	assert.True(t, r.lacksHistory("p2"), "another process holds the lease")
	r.reported("p1", 9, false)
	assert.True(t, r.lacksHistory("p1"), "the holder has begun another epoch and forgotten the demand")
	r.reported("p1", 9, true)
	assert.False(t, r.lacksHistory("p1"))
}

// A model as large as two others is loaded when both have been unloaded, not before.
func TestLargeModelIsLoadedAfterSeveralUnloads(t *testing.T) {
	c := newCluster(t, []string{"a", "b", largeModel}, standin.ServerConfig{ID: "s0", Models: []string{"a", "b"}, OnDisk: []string{"a", "b", largeModel}})
	i := c.start("i0")
	defer i.collector.Wait(wantModel(largeModel))()
	c.eventually("the large model is loaded", func() bool { return c.holds(0, largeModel) })
	assert.Equal(t, []string{largeModel}, c.servers[0].Models())
}

// A peer that reports no numbers, or absurd ones, doesn't spoil the demand that others report.
func TestReportOfAFaultyPeer(t *testing.T) {
	for _, rate := range []float32{float32(math.NaN()), float32(math.Inf(1)), -5, math.MaxFloat32} {
		r := decodeDemand(&placerpb.DemandReport{
			History: []*placerpb.PastDemand{{Service: summaries, Model: "a", Rate: rate, WorthRate: rate, WorkRate: rate, RunRate: rate}},
		})
		tracker := demand.NewTracker(waitingTTL)
		now := time.Unix(1_800_000_000, 0)
		tracker.Report("faulty", r, now)
		d := tracker.Of(summaries, now)["a"]
		for _, v := range []float64{d.Rate, d.WorthRate, d.WorkRate, d.RunTime.Seconds()} {
			assert.True(t, v >= 0 && v <= 2*maxRate, "%v gives %v", rate, v)
		}
	}
}

// TestLoadAfterAnUnloadOccupiesTheStore: the place that an unload makes for a load from the weight
// store didn't count as one while the unload lasted. Six such loads began together where four may
// run, and half of the servers did nothing else for 13 s.
func TestLoadAfterAnUnloadOccupiesTheStore(t *testing.T) {
	tracked := newTrackedServer(&fleet.Server{ID: "s0", Service: summaries}, time.Unix(1_800_000_000, 0))
	tracked.onDisk, tracked.reservedFor = map[string]bool{"on disk": true}, "elsewhere"
	plan := func() modelplan.Server {
		return tracked.planServer(&fleet.Engine{}, demand.NewTracker(waitingTTL), nil)
	}
	assert.Equal(t, "elsewhere", plan().Loading)
	assert.True(t, plan().FromStore)
	tracked.reservedFor = "on disk"
	assert.False(t, plan().FromStore)
}
