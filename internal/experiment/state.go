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

// epoch is the wall-clock time at virtual time zero, a midnight.
var epoch = time.Date(2026, 3, 2, 0, 0, 0, 0, time.UTC)

// waitingCaller is a request that waits for a replica.
type waitingCaller struct {
	arrivedAt, deadline time.Duration
}

// modelState is the state of one model in its home zone. A model has at most one
// replica.
type modelState struct {
	spec      *modelSpec
	zone      *zoneState
	base      *modelState
	adapters  []*modelState
	arrivals  []time.Duration
	nextIndex int // index of the next arrival

	waiting []waitingCaller
	// server is the server of the replica, from the placement decision on.
	server        *serverState
	intent        string
	ready         bool
	unloading     bool
	queuedAtStore bool // waits in the queue of the weight store
	preload       bool // is to be loaded without waiting callers
	running       int
	// generation changes when a replica becomes ready or is removed. Events that were
	// scheduled for an earlier generation are ignored.
	generation int
	// checkID identifies the scheduled keep-alive check; earlier checks are ignored.
	checkID    int
	readySince time.Duration
	idleSince  time.Duration
	// idleAccountedUntil is the time up to which idle time has been accounted for.
	idleAccountedUntil time.Duration
	lastServer         *serverState
}

// accelerators returns the size of the model as a fraction of the usable memory of one
// accelerator.
func (m *modelState) accelerators() float64 {
	return float64(m.spec.info.Bytes) / (memoryShare * acceleratorBytes)
}

// firstDeadline returns the deadline of the first waiting caller, beyondTrace if no
// caller waits.
func (m *modelState) firstDeadline() time.Duration {
	if len(m.waiting) == 0 {
		return beyondTrace
	}
	return m.waiting[0].deadline
}

// busy reports whether the replica or one of its adapters has running requests.
func (m *modelState) busy() bool {
	return m.running > 0 || slices.ContainsFunc(m.adapters, func(a *modelState) bool { return a.running > 0 })
}

// hasPlacedAdapters reports whether adapters of the model have been placed.
func (m *modelState) hasPlacedAdapters() bool {
	return slices.ContainsFunc(m.adapters, func(a *modelState) bool { return a.server != nil })
}

// coldStart estimates the duration of a load if the model were unloaded now.
func (m *modelState) coldStart() time.Duration {
	s := m.server
	if s == nil {
		s = m.lastServer
	}
	if s == nil {
		return m.zone.speeds.LoadTime("", placement.TierRemote, m.spec.info.Bytes)
	}
	return m.zone.speeds.LoadTime(s.id, s.tier(m.spec.info.ID), m.spec.info.Bytes)
}

// nextArrival returns the first arrival after now, and false if there is none.
func (m *modelState) nextArrival(now time.Duration) (time.Duration, bool) {
	for i := m.nextIndex; i < len(m.arrivals); i++ {
		if m.arrivals[i] > now {
			return m.arrivals[i], true
		}
	}
	return 0, false
}

// waitCost returns the sum of keepalive.WaitCost over the callers that would wait if a
// load started with the arrival at first.
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

// checkpointCache is the LRU cache of checkpoints on one tier of a server, the most
// recently used first. Sizes are in bytes.
type checkpointCache struct {
	limit, used int64
	models      []port.ModelID
	bytes       []int64
}

// touch marks a checkpoint as most recently used, adds it if it is absent, and evicts
// the least recently used checkpoints beyond the limit.
func (c *checkpointCache) touch(model port.ModelID, bytes int64) {
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

// serverState is the state of one server.
type serverState struct {
	id       port.ServerID
	zone     *zoneState
	sequence uint64
	lost     bool
	memory   checkpointCache
	disk     checkpointCache
}

// tier returns the fastest tier from which the server can load a model.
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

// report returns the report that the server would send now.
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

// zoneState is one availability zone with the state of the instance that holds its
// lease.
type zoneState struct {
	name     port.Zone
	models   []*modelState
	byName   map[port.ModelID]*modelState
	servers  []*serverState
	ledger   *ledger.Ledger
	store    *placement.StoreQueue
	speeds   placement.Speeds
	progress placement.Progress
	// nextAdmissionAt is the scheduled time of the next admission from the store's queue.
	// None is scheduled if it isn't in the future.
	nextAdmissionAt time.Duration
}

func (z *zoneState) model(id port.ModelID) *modelState { return z.byName[id] }

// view returns the zone's state as input for pkg/placement.
func (z *zoneState) view(now time.Duration, p policy) *placement.View {
	v := &placement.View{
		Ledger: z.ledger, Store: z.store, Speeds: &z.speeds, Progress: &z.progress,
		Worth: func(id port.ModelID) float64 { return p.worth(now, z.model(id)) },
		Busy: func(_ port.ServerID, id port.ModelID) bool {
			m := z.model(id)
			return m.busy() || len(m.waiting) > 0
		},
		BaseOf: func(id port.ModelID) port.ModelID { return z.model(id).spec.info.Base },
	}
	for _, s := range z.servers {
		if s.lost {
			continue
		}
		v.Servers = append(v.Servers, placement.Server{
			Server: port.Server{ID: s.id, Zone: z.name, Service: "models", Kind: port.KindEngine}, Report: s.report(),
		})
	}
	return v
}
