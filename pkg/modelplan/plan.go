// Package modelplan decides which server holds which model. It is made for deployments with
// many more models than fit into memory: most models are requested rarely, a few receive most
// of the requests, and which ones these are changes within seconds.
//
// A plan is a pure function of what servers hold and of the demand. Each plan contains at most
// one order per server; the next plan is made from the resulting state.
//
// Invariants:
//   - No action makes a server exceed its memory or its adapter slots, counting
//     loads in progress.
//   - A server with an order in progress gets no other.
package modelplan

import (
	"sort"
	"time"
)

// Adapter is an adapter that a server holds.
type Adapter struct {
	Name string
	// LastUsed is the time of the last request for the adapter on any server. Since is when this
	// server began to hold the adapter.
	LastUsed, Since time.Time
}

// Resident is a model that a server holds.
type Resident struct {
	Model    string
	Adapters []Adapter
	// LastUsed is the time of the last request for the model on any server. Since is when this
	// server began to hold the model.
	LastUsed, Since time.Time
	// Running is the number of requests for the model that the server runs. An unload waits for
	// them.
	Running int
}

// Server is the state of one server that a plan starts from.
type Server struct {
	ID string
	// Version is the version of the server's software.
	Version  string
	MemoryMB float64
	// Busy is true while the server executes an order, or may be executing one.
	Busy bool
	// Loading is the model that the server is loading, if any. FromStore is true if its
	// weights come from the weight store.
	Loading   string
	FromStore bool
	Models    []Resident
	// Unloaded maps adapters to when they were last unloaded from the server.
	Unloaded map[AdapterID]time.Time
	InMemory map[string]bool
	OnDisk   map[string]bool
	// Limited means that the server states a limit on its rate of requests. RateLimit is that
	// limit per second.
	Limited   bool
	RateLimit float64
}

// Model describes a model to the planner. Sizes are in MB.
type Model struct {
	Name                          string
	WeightsMB, AdapterMB          float64
	StoreLoad, DiskLoad, HostLoad time.Duration
}

// Demand is the demand for one model over all instances.
type Demand struct {
	// Rate is the exponentially decayed rate of arrivals per second.
	Rate float64
	// WorthRate is the exponentially decayed rate of arrivals per second, weighted by worth. A
	// repeatable request has a worth of 1.
	WorthRate float64
	// WorkRate is the exponentially decayed server time, in seconds, that the arrivals of one
	// second take: the number of servers that the model keeps busy.
	WorkRate float64
	// RunTime is the mean time from sending a request to its end.
	RunTime time.Duration
	// Waiting is the total worth of the requests that wait for the model.
	Waiting float64
	// Adapters maps the adapters that requests wait for to the total worth of these requests.
	Adapters map[string]float64
	// Versions are the requests that only servers of one software version can serve, by
	// version.
	Versions map[string]VersionDemand
	LastUsed time.Time
}

// VersionDemand is the demand of requests that only servers of one software version can serve.
// Its fields are as in Demand.
type VersionDemand struct {
	Waiting  float64
	Adapters map[string]float64
}

// State is the input of a plan.
type State struct {
	Servers      []Server
	Models       map[string]Model
	Demand       map[string]Demand
	AdapterSlots int
	// StoreLoads is how many loads from the weight store may start now.
	StoreLoads int
}

// ActionKind is the kind of an order.
type ActionKind uint8

// The kinds of actions.
const (
	LoadModel ActionKind = iota + 1
	UnloadModel
	LoadAdapter
	UnloadAdapter
)

var actionNames = map[ActionKind]string{
	LoadModel: "load", UnloadModel: "unload", LoadAdapter: "load_adapter", UnloadAdapter: "unload_adapter",
}

// String returns the name of the kind for logs.
func (k ActionKind) String() string { return actionNames[k] }

// Action is one order to one server.
type Action struct {
	Server         string
	Kind           ActionKind
	Model, Adapter string
	// FromStore is true if the load reads the weights from the weight store. Duration is its
	// expected duration.
	FromStore bool
	Duration  time.Duration
	// EvictedFor is the model, or the model and adapter, that an unload frees memory or a slot
	// for.
	EvictedFor string
}

const (
	// maxStoreLoads is the largest number of concurrent loads from the weight store. Beyond it
	// each load takes proportionally longer.
	maxStoreLoads = 4
	// hotArrivals is the arrivals during a load from a server's disk from which a model gets a
	// second replica: that many callers would wait after the loss of a single replica.
	hotArrivals = 1.5
	// maxUtilization is the part of its time that a server is planned to work for a model.
	// Beyond it, waiting times grow quickly.
	maxUtilization = 0.4
	// retentionMargin is the factor applied to a model's rate when deciding how many replicas
	// to retain.
	retentionMargin = 1.7
	// overloadSeconds is the backlog, in seconds of a hot model's arrivals, that would queue
	// on the remaining replicas if one replica were evicted.
	overloadSeconds = 2.0
	// lookaheadSeconds is how far ahead arrivals count towards the worth of a load: about the
	// duration of a load from a server's disk.
	lookaheadSeconds = 1.5
	// prefetchStoreLoads is how many loads from the weight store may run ahead of demand. The
	// rest are reserved for models that requests wait for.
	prefetchStoreLoads = 2
	// unrequestedServerDivisor limits a model that was never requested to one in this many
	// servers, with a minimum of two servers.
	unrequestedServerDivisor = 5
	// minResidency is how long a model or an adapter stays on a server after its load, so that
	// the requests that waited for it are served.
	minResidency = 400 * time.Millisecond
	// idleUnloadTime is the time that unloading an idle model adds to a load.
	idleUnloadTime = 80 * time.Millisecond
	// blockedLossPerSecond is the cost, in worth, of a server that can't execute other orders
	// while an unload waits for requests.
	blockedLossPerSecond = 1.0
	// surplusLossFactor is the fraction of the eviction loss that applies to a replica beyond
	// those the model needs.
	surplusLossFactor = 0.05
	// restoreLossPerSecond is the worth lost for each second that a request waits for its
	// model to be reloaded.
	restoreLossPerSecond = 0.5
)

type planner struct {
	now               time.Time
	state             State
	byModel           map[string][]*Server // servers that hold or load the model
	ordered           map[string]bool      // servers with an action in this plan
	storeLoads        int                  // loads from the weight store in progress
	storeLoadsStarted int                  // loads from the weight store started by this plan
	crowded           map[string]bool      // isCrowded, by server
	actions           []Action
}

// Plan returns the orders to send now.
func Plan(now time.Time, state State) []Action {
	p := &planner{now: now, state: state, byModel: map[string][]*Server{}, ordered: map[string]bool{}, crowded: map[string]bool{}}
	for i := range state.Servers {
		s := &state.Servers[i]
		if s.Busy {
			p.ordered[s.ID] = true
		}
		if s.Loading != "" {
			p.byModel[s.Loading] = append(p.byModel[s.Loading], s)
			if s.FromStore {
				p.storeLoads++
			}
		}
		for _, resident := range s.Models {
			if resident.Model != s.Loading {
				p.byModel[resident.Model] = append(p.byModel[resident.Model], s)
			}
		}
	}
	p.placeForVersions()
	p.placeAdapters()
	p.placeMissing()
	p.addReplicas()
	p.prefetchModels()
	return p.actions
}

// modelsByWeight returns the models with a positive weight, highest first.
func (p *planner) modelsByWeight(weight func(string, Demand) float64) []string {
	var names []string
	for name, d := range p.state.Demand {
		if _, known := p.state.Models[name]; known && weight(name, d) > 0 {
			names = append(names, name)
		}
	}
	sort.Slice(names, func(i, j int) bool {
		wi, wj := weight(names[i], p.state.Demand[names[i]]), weight(names[j], p.state.Demand[names[j]])
		if wi != wj {
			return wi > wj
		}
		return names[i] < names[j]
	})
	return names
}

// placeMissing places models that requests wait for and that no server holds or loads, or only
// servers whose rate limits make these requests wait.
func (p *planner) placeMissing() {
	for _, model := range p.modelsByWeight(p.urgency) {
		if len(p.byModel[model]) == 0 || p.replicas(model) == 0 && p.state.Demand[model].Waiting > 0 {
			p.place(model, p.urgency(model, p.state.Demand[model]), true, nil)
		}
	}
}

// place loads a model on the server with the lowest cost, which combines the time until the
// model is ready with the loss of the model that it evicts. An urgent load, of a model that no
// server holds, may evict a model that is worth more, unless that model is hot.
//
// Only servers that pass the filter are considered, unless it is nil.
func (p *planner) place(model string, worth float64, urgent bool, filter func(*Server) bool) {
	var best *Server
	var bestVictims []*Resident
	bestCost := 0.0
	copyServes, storeLoads := p.copyServes(model), maxStoreLoads
	if !urgent {
		storeLoads = prefetchStoreLoads
	}
	for i := range p.state.Servers {
		s := &p.state.Servers[i]
		if p.ordered[s.ID] || s.resident(model) != nil || !p.hasRateFor(s, model) || filter != nil && !filter(s) {
			continue
		}
		duration, fromStore := p.loadDuration(s, model)
		if fromStore && (copyServes || !p.canLoadFromStore(storeLoads)) {
			// Waiting for a busy server with a copy is faster than a load from the store.
			continue
		}
		victims, loss, fits := p.selectVictims(s, model)
		if !fits || loss >= worth && (!urgent || p.anyHot(victims)) {
			continue
		}
		for _, victim := range victims {
			duration += p.unloadDuration(victim)
		}
		cost := duration.Seconds()*(1+worth*restoreLossPerSecond) + loss
		if best == nil || cost < bestCost {
			best, bestVictims, bestCost = s, victims, cost
		}
	}
	switch {
	case best == nil:
	case len(bestVictims) > 0:
		// Further victims follow in the next plan, when the first one is gone.
		victim := bestVictims[0]
		if _, fromStore := p.loadDuration(best, model); fromStore {
			p.storeLoads++
			p.storeLoadsStarted++
		}
		p.addAction(Action{Server: best.ID, Kind: UnloadModel, Model: victim.Model, EvictedFor: model})
		p.byModel[victim.Model] = removeServer(p.byModel[victim.Model], best)
		p.byModel[model] = append(p.byModel[model], best)
	default:
		p.load(best, model)
	}
}

// canLoadFromStore reports whether another load from the weight store may start, given the
// limit on concurrent loads.
func (p *planner) canLoadFromStore(limit int) bool {
	return p.storeLoads < limit && p.storeLoadsStarted < p.state.StoreLoads
}

// unloadDuration returns the time that unloading the model adds to a load. It is the expected
// time until the last of the running requests ends, if their remaining times are distributed
// exponentially: the mean times the harmonic number of the requests.
func (p *planner) unloadDuration(victim *Resident) time.Duration {
	means := 0.0
	for n := 1; n <= victim.Running; n++ {
		means += 1 / float64(n)
	}
	return idleUnloadTime + time.Duration(means*float64(p.state.Demand[victim.Model].RunTime))
}

func (p *planner) load(s *Server, model string) {
	duration, fromStore := p.loadDuration(s, model)
	if fromStore {
		p.storeLoads++
		p.storeLoadsStarted++
	}
	p.addAction(Action{Server: s.ID, Kind: LoadModel, Model: model, FromStore: fromStore, Duration: duration})
	p.byModel[model] = append(p.byModel[model], s)
}

func (p *planner) addAction(a Action) {
	p.ordered[a.Server] = true
	p.actions = append(p.actions, a)
}
