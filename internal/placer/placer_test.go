package placer

import (
	"context"
	"net"
	"slices"
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
	"github.com/cyclamenhoist/cyclamenhoist/pkg/demand"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/modelplan"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
	"github.com/cyclamenhoist/cyclamenhoist/platform/standin"
)

const (
	summaries = "summaries"
	patience  = time.Minute
	pollEach  = 2 * time.Millisecond
)

// cluster is a store and servers, and the instances that place models on them.
type cluster struct {
	*testing.T

	store   *standin.Store
	servers []*standin.Server
	models  []string
}

func newCluster(t *testing.T, models []string, servers ...standin.ServerConfig) *cluster {
	c := &cluster{T: t, store: standin.NewStore(), models: models}
	t.Cleanup(c.store.Close)
	for _, cfg := range servers {
		cfg.Service, cfg.Zone, cfg.Slots, cfg.PlacesForModels = summaries, "zone-a", 8, 2
		s := standin.NewServer(cfg)
		t.Cleanup(s.Close)
		c.servers = append(c.servers, s)
	}
	return c
}

type instance struct {
	*Placer

	views     *edge.Views
	collector *Collector
	// stop ends the instance gracefully.
	stop func()
}

func (c *cluster) start(name string) *instance { return c.startAt(name, c.store) }

// startAt starts an instance that uses another store than the others.
func (c *cluster) startAt(name string, store *standin.Store) *instance {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(c, err)
	i := &instance{views: edge.NewViews(), collector: NewCollector()}
	logger := &log.Logger{Level: log.PanicLevel}
	tracer := noop.NewTracerProvider().Tracer("")
	i.Placer = New(Config{Name: name, Address: listener.Addr().String(), Lease: 400 * time.Millisecond, Fenced: true},
		platform.NewStore(store.Address()), i.views, i.collector, logger, metrics.NewRegistry(), tracer)
	servers := map[fleet.ServerID]*fleet.Server{}
	for n, s := range c.servers {
		id := fleet.ServerID(s.ID())
		servers[id] = &fleet.Server{ID: id, Service: summaries, Address: s.Address(), Slots: 8, Sequence: int64(n)}
	}
	engine := &fleet.Engine{Slots: 8, WeightsMB: 201, AdapterSlots: 2, LoadsPerSecond: 10, Models: map[string]fleet.Model{}}
	for _, m := range c.models {
		engine.Models[m] = fleet.Model{Name: m, WeightsMB: 100, StoreLoad: 60 * time.Millisecond, DiskLoad: 30 * time.Millisecond, HostLoad: 10 * time.Millisecond}
	}
	i.views.SetManifest(fleet.NewManifest(1, nil, []fleet.Service{{Name: summaries, Engine: engine}}, fleet.CallerLimits{}))
	i.views.SetServers(servers)

	ctx, end := context.WithCancel(context.Background())
	stop, cancel := context.WithCancel(ctx)
	serving, endServing := context.WithCancel(context.Background())
	mux := drpcmux.New()
	require.NoError(c, i.Register(mux))
	go func() { _ = peer.ServeMux(serving, listener, mux, tracer, logger) }()
	ended := make(chan struct{})
	go func() { defer close(ended); i.Run(ctx, stop) }()
	i.stop = cancel
	c.Cleanup(func() { end(); <-ended; endServing() })
	return i
}

func (c *cluster) eventually(what string, condition func() bool) {
	c.Helper()
	require.Eventually(c, condition, patience, pollEach, what)
}

func (c *cluster) holds(server int, model string) bool {
	return slices.Contains(c.servers[server].Models(), model)
}

func wantModel(model string) edge.Want {
	return edge.Want{Service: summaries, Model: model, Lasting: true, Left: time.Minute}
}

func TestLoadsWhatRequestsWaitFor(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, standin.ServerConfig{ID: "s0", Models: []string{"a", "b"}, OnDisk: []string{"a", "b", "c"}})
	i := c.start("i0")
	done := i.collector.Wait(wantModel("c"))
	defer done()
	c.eventually("c is loaded", func() bool { return c.holds(0, "c") })
	assert.Zero(t, c.servers[0].Overloaded())
}

// Two instances wait for one model: one load, ordered by the holder of the tenure,
// and both learn where the model is.
func TestOneLoadForAllInstances(t *testing.T) {
	c := newCluster(t, []string{"a"}, standin.ServerConfig{ID: "s0", OnDisk: []string{"a"}}, standin.ServerConfig{ID: "s1", OnDisk: []string{"a"}})
	first, second := c.start("i0"), c.start("i1")
	defer first.collector.Wait(wantModel("a"))()
	defer second.collector.Wait(wantModel("a"))()
	for _, i := range []*instance{first, second} {
		c.eventually("the instance knows", func() bool { return i.views.Load().Holders(summaries, "a") == 1 })
	}
	assert.Len(t, append(c.servers[0].Orders(), c.servers[1].Orders()...), 1)
}

// An unload whose answer is lost frees no memory until a report says so, and one
// that is carried out late, after other orders, does nothing.
func TestLostAndLateOrders(t *testing.T) {
	for name, faults := range map[string]standin.ServerFaults{
		"lost": {LoseOrders: true}, "late": {LateOrders: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, []string{"a", "b", "c", "d"}, standin.ServerConfig{
				ID: "s0", Models: []string{"a", "b"}, OnDisk: []string{"a", "b", "c", "d"},
			})
			c.servers[0].SetFaults(faults)
			i := c.start("i0")
			defer i.collector.Wait(wantModel("c"))()
			c.eventually("orders are tried", func() bool { return i.holder.orders.Count() >= 3 })
			c.servers[0].SetFaults(standin.ServerFaults{})
			c.eventually("c is loaded in the end", func() bool { return c.holds(0, "c") })
			before := c.servers[0].Orders()
			c.servers[0].Late()
			assert.Equal(t, before, c.servers[0].Orders(), "late orders find another sequence")
			assert.Zero(t, c.servers[0].Overloaded())
		})
	}
}

func TestTakeover(t *testing.T) {
	c := newCluster(t, []string{"a", "b"}, standin.ServerConfig{ID: "s0", OnDisk: []string{"a", "b"}})
	first := c.start("i0")
	c.eventually("the first holds the tenure", first.keeper.mine)
	second := c.start("i1")
	defer second.collector.Wait(wantModel("a"))()
	c.eventually("the first loads for the second", func() bool { return c.holds(0, "a") })
	first.stop()
	c.eventually("the second takes over", second.keeper.mine)
	defer second.collector.Wait(wantModel("b"))()
	c.eventually("and loads", func() bool { return c.holds(0, "b") })
	assert.Zero(t, c.servers[0].Overloaded())
}

// An instance that the store turns away learns from a peer who places models, and
// has its models loaded there.
func TestTenureIsHeardFromPeers(t *testing.T) {
	c := newCluster(t, []string{"a"}, standin.ServerConfig{ID: "s0", OnDisk: []string{"a"}})
	holder, other := c.start("i0"), c.start("i1")
	c.eventually("one holds the tenure", func() bool { return holder.keeper.placing() || other.keeper.placing() })
	if other.keeper.placing() {
		holder, other = other, holder
	}
	turnedAway := standin.NewStore()
	defer turnedAway.Close()
	turnedAway.SetFaults(standin.StoreFaults{Refuse: 503})
	cut := c.startAt("i2", turnedAway)
	cut.known.Store(&[]string{other.address})
	defer cut.collector.Wait(wantModel("a"))()
	c.eventually("its model is loaded", func() bool { return c.holds(0, "a") })
	r, _, _ := cut.keeper.holder()
	assert.Equal(t, holder.name, r.Holder)
	assert.False(t, cut.keeper.placing())
	c.eventually("and it knows where", func() bool { return cut.views.Load().Holders(summaries, "a") == 1 })
}

// A holder that is stopped while the store is away goes on placing until it can
// hand over.
func TestHolderStoppedWithoutTheStore(t *testing.T) {
	c := newCluster(t, []string{"a", "b"}, standin.ServerConfig{ID: "s0", OnDisk: []string{"a", "b"}})
	first, second := c.start("i0"), c.start("i1")
	c.eventually("one holds the tenure", func() bool { return first.keeper.mine() || second.keeper.mine() })
	if second.keeper.mine() {
		first, second = second, first
	}
	c.store.SetFaults(standin.StoreFaults{Refuse: 503})
	first.stop()
	defer second.collector.Wait(wantModel("a"))()
	c.eventually("it loads still", func() bool { return c.holds(0, "a") })
	c.store.SetFaults(standin.StoreFaults{})
	c.eventually("the other takes over", second.keeper.mine)
	defer second.collector.Wait(wantModel("b"))()
	c.eventually("and loads", func() bool { return c.holds(0, "b") })
}

// A holder that the store turns away goes on, as nobody else can take over; one
// whose epoch a server refuses stops at once.
func TestHolderWithoutTheStore(t *testing.T) {
	c := newCluster(t, []string{"a", "b"}, standin.ServerConfig{ID: "s0", OnDisk: []string{"a", "b"}})
	i := c.start("i0")
	c.eventually("it holds the tenure", i.keeper.mine)
	c.store.SetFaults(standin.StoreFaults{Refuse: 503})
	defer i.collector.Wait(wantModel("a"))()
	c.eventually("it loads without the store", func() bool { return c.holds(0, "a") })

	_, err := platform.NewControl().Give(t.Context(), platform.Order{
		Server: i.views.Load().Engines()["s0"], Model: "a", Expect: 77, Holder: "another", Epoch: 1 << 40,
	})
	require.ErrorIs(t, err, platform.ErrOrderBusy)
	defer i.collector.Wait(wantModel("b"))()
	c.eventually("its epoch is refused", func() bool { _, may := i.keeper.mayOrder(); return !may })
	assert.False(t, c.holds(0, "b"))
}

// An order that was decided under a tenure that has ended since isn't sent.
func TestNoOrderAfterTheTenure(t *testing.T) {
	c := newCluster(t, []string{"a"}, standin.ServerConfig{ID: "s0", OnDisk: []string{"a"}})
	i := c.start("i0")
	// Its record may be read back before the append is answered.
	c.eventually("it may order", func() bool { _, may := i.keeper.mayOrder(); return may })
	epoch, _ := i.keeper.mayOrder()
	server := i.views.Load().Engines()["s0"]
	give := func(epoch int64) error {
		order := platform.Order{Server: server, Model: "b", Holder: "i0", Epoch: epoch}
		return i.holder.give(t.Context(), newTracked(server, time.Now()), modelplan.Action{Kind: modelplan.LoadModel, Model: "b"}, order)
	}
	require.ErrorIs(t, give(epoch-1), platform.ErrOrderFenced, "of an earlier tenure")
	i.keeper.superseded(epoch)
	require.ErrorIs(t, give(epoch), platform.ErrOrderFenced, "another has ordered since")
	assert.NotContains(t, c.servers[0].Orders(), "load b")
}

func TestReportsOlderThanOrdersAreIgnored(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	tr := newTracked(&fleet.Server{ID: "s"}, start)
	require.True(t, tr.take(platform.Report{Sequence: 5, Models: []fleet.Resident{{Model: "a"}}}, start))
	tr.accepted(modelplan.Action{Kind: modelplan.UnloadModel, Model: "a"}, true, start)
	assert.False(t, tr.take(platform.Report{Sequence: 5, Models: []fleet.Resident{{Model: "a"}}}, start))
	assert.Empty(t, tr.models)
	for range staleReports {
		tr.take(platform.Report{Sequence: 0}, start)
	}
	assert.Equal(t, int64(0), tr.sequence, "a server that started anew is believed in the end")
}

func TestAdaptersOnTheirWayTakePlaces(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	tr := newTracked(&fleet.Server{ID: "s"}, start)
	tr.take(platform.Report{
		Sequence: 1, Models: []fleet.Resident{{Model: "a", Adapters: []string{"x"}}},
		Pending: []platform.PendingAdapter{{Model: "a", Adapter: "y"}},
	}, start)
	assert.Len(t, tr.models["a"].adapters, 2)

	tr.accepted(modelplan.Action{Kind: modelplan.UnloadAdapter, Model: "a", Adapter: "x"}, false, start)
	assert.True(t, tr.unsure, "an adapter in use keeps its place until a report")
	assert.Len(t, tr.models["a"].adapters, 2)
}

// A model under unload isn't offered to requests, also when a report that was
// made meanwhile lists it.
func TestModelUnderUnloadStaysWithdrawn(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	tr := newTracked(&fleet.Server{ID: "s"}, start)
	tr.take(platform.Report{Sequence: 1, Models: []fleet.Resident{{Model: "a"}}}, start)
	tr.withdrawn = "a"
	tr.take(platform.Report{Sequence: 2, Busy: true, Models: []fleet.Resident{{Model: "a"}}}, start)
	assert.Empty(t, tr.residency(1).Models)
	tr.take(platform.Report{Sequence: 2, Models: []fleet.Resident{{Model: "a"}}}, start)
	assert.Len(t, tr.residency(1).Models, 1, "it is still there")
}

// No window of five seconds sees more loads from the weight store than its rate
// allows, also across a takeover.
func TestCeiling(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	c := takenOver(start)
	assert.Equal(t, 13-ceilingAfterTakeover, c.left(2.6, start))
	for c.left(2.6, start) > 0 {
		c.note(start)
	}
	assert.Zero(t, c.left(2.6, start.Add(ceilingWindow-1)))
	assert.Equal(t, 13, c.left(2.6, start.Add(ceilingWindow)))
	assert.Equal(t, 1, c.left(0.01, start.Add(ceilingWindow)), "a slow store isn't never")
}

func TestCollectorKeepsWhatCouldntBeReported(t *testing.T) {
	c := NewCollector()
	c.Arrived(wantModel("a"))
	done := c.Wait(wantModel("a"))
	taken := c.take()
	assert.Equal(t, demand.Tally{Arrived: 1, ArrivedLasting: 1, Waiting: 1, WaitingLasting: 1}, taken[demand.Key{Service: summaries, Model: "a", Adapter: ""}])
	c.putBack(taken)
	done()
	assert.Equal(t, demand.Tally{Arrived: 1, ArrivedLasting: 1}, c.take()[demand.Key{Service: summaries, Model: "a", Adapter: ""}])
	assert.Empty(t, c.take())
}

// A load from a server's own copy is asked about when its time is over, before a report
// tells of it.
func TestLoadsThatAreDue(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	const takes = 500 * time.Millisecond
	load := modelplan.Action{Kind: modelplan.LoadModel, Model: "a", Takes: takes}
	loading := func(a modelplan.Action) *tracked {
		tr := newTracked(&fleet.Server{ID: "s"}, start)
		require.True(t, tr.take(platform.Report{Sequence: 7}, start))
		tr.accepted(a, false, start)
		return tr
	}
	ended := start.Add(takes)

	tr := loading(load)
	require.False(t, tr.isLoadDue(ended.Add(-1)))
	require.True(t, tr.isLoadDue(ended))
	require.Empty(t, tr.residency(1).Models, "not before the server says so")
	tr.loaded(ended)
	assert.Equal(t, []fleet.Resident{{Model: "a"}}, tr.residency(2).Models)
	assert.False(t, tr.plannable(&fleet.Engine{}, demand.NewBook(waitingFresh)).Busy)
	assert.False(t, tr.isLoadDue(ended), "once")

	load.FromStore = true
	require.False(t, loading(load).isLoadDue(ended.Add(time.Minute)), "loads from the weight store slow each other down")
}
