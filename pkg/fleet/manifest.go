package fleet

import (
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/account"
)

// Kind determines whether the requests of a route can be repeated.
type Kind uint8

// The kinds of routes.
const (
	// KindSafe requests can run any number of times.
	KindSafe Kind = iota + 1
	// KindUnsafe requests must run at most once.
	KindUnsafe
	// KindStream requests are answered with a stream of events. They can be sent again only if
	// the route can be resumed.
	KindStream
)

// Share is the weight of one service in a route's traffic split.
type Share struct {
	Service string
	Weight  float64
}

// Route determines where requests are sent and how they are handled.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Timeout is the maximum time that a request may be kept waiting.
	Timeout time.Duration
	// TargetLatency is the latency objective: the time to the answer, or to the first event of
	// a stream, within which a request has its full worth.
	TargetLatency time.Duration
	// Priority is the rank among routes; 0 is the highest.
	Priority int
	// Shares has a single entry for a route without a traffic split.
	Shares []Share
	// MaxAttempts is the maximum number of servers that one request is sent to.
	MaxAttempts int
	// CanResume means that a stream can be continued on another server.
	CanResume bool
	// GapTarget is the latency objective for the time between two events of a stream.
	GapTarget time.Duration
	// Public requests need no key, whatever the manifest's accounts.
	Public bool
}

// Idempotent reports whether a request can run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.CanResume
}

const (
	// minPatience, patiencePerObjective and patiencePerGap are how long the platform's clients
	// wait for the next event of a stream, its first one included: the longest of minPatience
	// and these multiples of the objectives.
	minPatience          = 2 * time.Second
	patiencePerObjective = 4
	patiencePerGap       = 8
)

// Patience returns how long a client waits for the next event of a stream before it leaves,
// whatever its deadline; 0 if the route has no streams.
func (r *Route) Patience() time.Duration {
	if r.Kind != KindStream {
		return 0
	}
	return max(minPatience, patiencePerObjective*r.TargetLatency, patiencePerGap*r.GapTarget)
}

// PickService selects a service at random, by the weights of the traffic split.
func (r *Route) PickService() string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	total := 0.0
	for _, share := range r.Shares {
		total += share.Weight
	}
	at := rand.Float64() * total
	for _, share := range r.Shares {
		if at -= share.Weight; at < 0 {
			return share.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Model is one model that an engine service can load.
type Model struct {
	Name string
	// WeightsMB and AdapterMB are the memory, in MB, of the weights and of one adapter.
	WeightsMB, AdapterMB float64
	// StoreLoad, DiskLoad and HostLoad are the durations of a load from the weight store, from
	// the server's disk and from its host memory.
	StoreLoad, DiskLoad, HostLoad time.Duration
	Adapters                      int
}

// Engine describes the servers of a service that run models.
type Engine struct {
	// Slots is how many requests one server runs concurrently.
	Slots int
	// WeightsMB is the memory, in MB, that a server has for weights and adapters.
	WeightsMB    float64
	AdapterSlots int
	// LoadsPerSecond limits the loads from the weight store over all servers.
	LoadsPerSecond float64
	Models         map[string]Model
}

// Service is a set of backend servers with the same function.
type Service struct {
	Name string
	// HealthPath is the path at which servers say whether they are healthy; empty if not stated.
	HealthPath string
	// Engine is nil for a service that runs no models.
	Engine *Engine
}

// CallerLimits limits the requests of clients.
type CallerLimits struct {
	// MaxHeaderBytes and MaxBodyBytes limit the head and the body of a request; 0 if not stated.
	MaxHeaderBytes, MaxBodyBytes int64
	// HeaderTimeout is how long a client may take to send a head, and IdleTimeout how long a
	// connection may be idle between requests; 0 if not stated.
	HeaderTimeout, IdleTimeout time.Duration
}

// Manifest is one version of the published routes and services.
type Manifest struct {
	Version  int64
	Services map[string]Service
	Limits   CallerLimits
	// Accounts are the client accounts; nil if requests need no key.
	Accounts *account.Directory

	routes map[string][]Route // by host, longest prefix first
	count  int
}

// Priorities returns the priorities of all routes and accounts, in ascending order and without
// duplicates.
func (m *Manifest) Priorities() []int {
	var priorities []int
	for _, routes := range m.routes {
		for i := range routes {
			priorities = append(priorities, routes[i].Priority)
		}
	}
	if m.Accounts != nil {
		priorities = append(priorities, m.Accounts.Priorities()...)
	}
	slices.Sort(priorities)
	return slices.Compact(priorities)
}

// NewManifest builds a manifest; it takes ownership of its arguments.
func NewManifest(version int64, routes []Route, services []Service, limits CallerLimits) *Manifest {
	m := &Manifest{Version: version, Services: map[string]Service{}, Limits: limits, routes: map[string][]Route{}, count: len(routes)}
	for _, service := range services {
		m.Services[service.Name] = service
	}
	for _, route := range routes {
		m.routes[route.Host] = append(m.routes[route.Host], route)
	}
	for _, hostRoutes := range m.routes {
		sort.SliceStable(hostRoutes, func(i, j int) bool {
			return len(hostRoutes[i].PathPrefix) > len(hostRoutes[j].PathPrefix)
		})
	}
	return m
}

// Routes returns the number of routes.
func (m *Manifest) Routes() int { return m.count }

// Route returns the route of the host with the longest prefix that matches the path, or nil if
// there is none.
func (m *Manifest) Route(host, path string) *Route {
	hostRoutes := m.routes[host]
	for i := range hostRoutes {
		if strings.HasPrefix(path, hostRoutes[i].PathPrefix) {
			return &hostRoutes[i]
		}
	}
	return nil
}
