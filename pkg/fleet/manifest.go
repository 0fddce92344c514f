package fleet

import (
	"math/rand/v2"
	"sort"
	"strings"
	"time"
)

// Kind says what may be repeated of a route's requests.
type Kind uint8

// The kinds of routes.
const (
	// KindSafe requests may run any number of times.
	KindSafe Kind = iota + 1
	// KindUnsafe requests may run once at the most.
	KindUnsafe
	// KindStream requests answer with a series of events; they may be sent
	// again only if the route can be resumed.
	KindStream
)

// Share is one service's part of a split route.
type Share struct {
	Service string
	Weight  float64
}

// Route says where requests go and how they are treated.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Timeout bounds how long a request may be kept waiting.
	Timeout time.Duration
	// TargetLatency is the time to the answer, or to a stream's first event,
	// within which a request is worth most.
	TargetLatency time.Duration
	// Priority is the rank among routes; 0 is the highest.
	Priority int
	// Shares has one entry for a route that isn't split.
	Shares []Share
	// MaxAttempts bounds the servers that one request is sent to.
	MaxAttempts int
	// CanResume means that a stream may go on at another server.
	CanResume bool
	// GapTarget is the longest pause between a stream's events that is on time.
	GapTarget time.Duration
}

// Idempotent reports whether a request may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.CanResume
}

// PickService draws a service by the weights of the split.
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
	// WeightsMB and AdapterMB are the memory of the weights and of one adapter.
	WeightsMB, AdapterMB float64
	// StoreLoad, DiskLoad and HostLoad are the durations of a load from the
	// weight store, the server's disk and its host memory.
	StoreLoad, DiskLoad, HostLoad time.Duration
	Adapters                      int
}

// Engine describes the servers of a service that run models.
type Engine struct {
	// Slots is how many requests one server runs at once.
	Slots int
	// WeightsMB is a server's memory for weights and adapters.
	WeightsMB    float64
	AdapterSlots int
	// LoadsPerSecond bounds the loads from the weight store, over all servers.
	LoadsPerSecond float64
	Models         map[string]Model
}

// Service is a set of backend servers with one purpose.
type Service struct {
	Name string
	// Engine is nil for a service that runs no models.
	Engine *Engine
}

// CallerLimits bound what a client may send.
type CallerLimits struct {
	MaxBodyBytes int64
}

// Manifest is one version of the published routes and services.
type Manifest struct {
	Version  int64
	Services map[string]Service
	Limits   CallerLimits

	routes map[string][]Route // by host, longest prefix first
	count  int
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
	for _, ofHost := range m.routes {
		sort.SliceStable(ofHost, func(i, j int) bool {
			return len(ofHost[i].PathPrefix) > len(ofHost[j].PathPrefix)
		})
	}
	return m
}

// Routes returns the number of routes.
func (m *Manifest) Routes() int { return m.count }

// Route returns the route of the host with the longest prefix of the path, or
// nil.
func (m *Manifest) Route(host, path string) *Route {
	ofHost := m.routes[host]
	for i := range ofHost {
		if strings.HasPrefix(path, ofHost[i].PathPrefix) {
			return &ofHost[i]
		}
	}
	return nil
}
