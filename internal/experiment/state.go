package experiment

import (
	"slices"
	"sort"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/keepalive"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/ledger"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/placement"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// epoch is virtual time zero, a midnight.
var epoch = time.Date(2026, 3, 2, 0, 0, 0, 0, time.UTC)

// caller is one request that waits.
type caller struct {
	at, deadline time.Duration
}

// modelState is one model in its home zone. Each has one replica at most.
type modelState struct {
	spec     *modelSpec
	zone     *zoneState
	base     *modelState
	adapters []*modelState
	arrivals []time.Duration
	next     int // index of the next arrival

	waiting []caller
	// server holds the replica from the moment it is decided.
	server    *serverState
	intent    string
	ready     bool
	unloading bool
	entered   bool // waits in the store's queue
	wanted    bool // is loaded ahead
	running   int
	// life changes when the replica is lost, so that the ends of its work are
	// ignored.
	life int
	// check names the one planned look at whether to keep the replica.
	check      int
	readySince time.Duration
	idleSince  time.Duration
	// counted is up to when idle time has been counted.
	counted time.Duration
	last    *serverState
}

func (m *modelState) accelerators() float64 {
	return float64(m.spec.info.Bytes) / (memoryShare * acceleratorBytes)
}

// deadline is that of the first caller, far away if nobody waits.
func (m *modelState) deadline() time.Duration {
	if len(m.waiting) == 0 {
		return never
	}
	return m.waiting[0].deadline
}

// busy reports whether the replica has work, its own or an adapter's.
func (m *modelState) busy() bool {
	return m.running > 0 || slices.ContainsFunc(m.adapters, func(a *modelState) bool { return a.running > 0 })
}

// held reports whether adapters are decided on the base model.
func (m *modelState) held() bool {
	return slices.ContainsFunc(m.adapters, func(a *modelState) bool { return a.server != nil })
}

// coldStart estimates how long a load would take after an unload now.
func (m *modelState) coldStart() time.Duration {
	s := m.server
	if s == nil {
		s = m.last
	}
	if s == nil {
		return m.zone.speeds.LoadTime("", placement.TierRemote, m.spec.info.Bytes)
	}
	return m.zone.speeds.LoadTime(s.id, s.tier(m.spec.info.ID), m.spec.info.Bytes)
}

func (m *modelState) nextArrival(now time.Duration) (time.Duration, bool) {
	for i := m.next; i < len(m.arrivals); i++ {
		if m.arrivals[i] > now {
			return m.arrivals[i], true
		}
	}
	return 0, false
}

// waitCost is what the callers would wait if a load started with an arrival.
func (m *modelState) waitCost(first time.Duration) float64 {
	ready, sum := first+m.coldStart(), 0.0
	start := sort.Search(len(m.arrivals), func(i int) bool { return m.arrivals[i] >= first })
	for _, at := range m.arrivals[start:] {
		if at >= ready {
			break
		}
		sum += keepalive.WaitCost(ready - at)
	}
	return sum
}

// cache is the checkpoints on one tier of a server, the last used first.
type cache struct {
	limit, used int64
	models      []port.ModelID
	bytes       []int64
}

func (c *cache) touch(model port.ModelID, bytes int64) {
	if at := slices.Index(c.models, model); at >= 0 {
		c.used -= c.bytes[at]
		c.models = slices.Delete(c.models, at, at+1)
		c.bytes = slices.Delete(c.bytes, at, at+1)
	}
	c.models = slices.Insert(c.models, 0, model)
	c.bytes = slices.Insert(c.bytes, 0, bytes)
	c.used += bytes
	for c.used > c.limit {
		last := len(c.bytes) - 1
		c.used -= c.bytes[last]
		c.models, c.bytes = c.models[:last], c.bytes[:last]
	}
}

// serverState is one runner.
type serverState struct {
	id       port.ServerID
	zone     *zoneState
	sequence uint64
	gone     bool
	memory   cache
	disk     cache
}

func (s *serverState) tier(model port.ModelID) placement.Tier {
	switch {
	case slices.Contains(s.memory.models, model):
		return placement.TierMemory
	case slices.Contains(s.disk.models, model):
		return placement.TierDisk
	default:
		return placement.TierRemote
	}
}

func (s *serverState) report() *port.Report {
	s.sequence++
	r := &port.Report{
		Server: s.id, Incarnation: "1", Sequence: s.sequence, MemoryBytes: acceleratorBytes,
		OlderBytes:   acceleratorBytes / 4,
		CachedOnDisk: slices.Clone(s.disk.models), CachedInMemory: slices.Clone(s.memory.models),
	}
	for _, m := range s.zone.models {
		if m.server == s && m.ready {
			r.Replicas = append(r.Replicas, port.Replica{
				Model: m.spec.info.ID, State: port.ReplicaReady, Bytes: m.spec.info.Bytes, OrderID: m.intent,
			})
			r.InFlight += m.running
		}
	}
	return r
}

// zoneState is one availability zone with the state of its deciding instance.
type zoneState struct {
	name    port.Zone
	models  []*modelState
	byName  map[port.ModelID]*modelState
	servers []*serverState
	ledger  *ledger.Ledger
	store   *placement.StoreQueue
	speeds  placement.Speeds
	loads   placement.Progress
	// pumpAt is when the store's queue is looked at next; zero if not planned.
	pumpAt time.Duration
}

func (z *zoneState) model(id port.ModelID) *modelState { return z.byName[id] }

// view shows the zone to placement.
func (z *zoneState) view(now time.Duration, p policy) *placement.View {
	v := &placement.View{
		Ledger: z.ledger, Store: z.store, Speeds: &z.speeds, Progress: &z.loads,
		Worth: func(id port.ModelID) float64 { return p.worth(now, z.model(id)) },
		Busy: func(_ port.ServerID, id port.ModelID) bool {
			m := z.model(id)
			return m.busy() || len(m.waiting) > 0
		},
		BaseOf: func(id port.ModelID) port.ModelID { return z.model(id).spec.info.Base },
	}
	for _, s := range z.servers {
		if s.gone {
			continue
		}
		v.Servers = append(v.Servers, placement.Server{
			Server: port.Server{ID: s.id, Zone: z.name, Service: "models", Kind: port.KindEngine}, Report: s.report(),
		})
	}
	return v
}
