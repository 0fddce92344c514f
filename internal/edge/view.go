package edge

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/retry"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/serverpick"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

// Residency is what a server is known to hold at a point of its order sequence.
type Residency struct {
	Born     int64
	Sequence int64
	Models   []fleet.Resident
	// Loading maps models under way to when they are expected.
	Loading map[string]time.Time
}

// View is one immutable state of what requests are routed by.
type View struct {
	Manifest *fleet.Manifest
	services map[string][]*backend
	engines  map[fleet.ServerID]*fleet.Server
	// superseded is closed when a newer view is in force.
	superseded chan struct{}
}

// backend is one server as of one view; its stats outlive the view.
type backend struct {
	server  *fleet.Server
	models  map[string]bool // "model" and "model/adapter"
	loading map[string]time.Time
	stats   *stats
}

// stats counts what this instance does at one life of a server.
type stats struct {
	group  *retry.Group
	own    atomic.Int64
	health retry.Health
	load   atomic.Pointer[loadSample]
	// missing holds models that the server said it doesn't have, until told
	// otherwise by a later residency.
	missing sync.Map
}

type loadSample struct {
	reported, ownThen int64
	at                time.Time
}

func (s *stats) noteLoad(load platform.ServerLoad, now time.Time) {
	s.load.Store(&loadSample{reported: int64(load.Running + load.Waiting), ownThen: s.own.Load(), at: now})
}

func (s *stats) loadAt(now time.Time) serverpick.Load {
	load := serverpick.Load{Own: s.own.Load(), Age: -1}
	if sample := s.load.Load(); sample != nil {
		load.Reported, load.OwnThen, load.Age = sample.reported, sample.ownThen, now.Sub(sample.at)
	}
	return load
}

func modelKey(model, adapter string) string {
	if adapter == "" {
		return model
	}
	return model + "/" + adapter
}

func (b *backend) holds(key string) bool {
	if key == "" {
		return true
	}
	if !b.models[key] {
		return false
	}
	_, missing := b.stats.missing.Load(key)
	return !missing
}

// Views builds views from what controllers bring, and publishes them. Its
// methods are safe for concurrent use.
type Views struct {
	current   atomic.Pointer[View]
	instances atomic.Int64

	mu        sync.Mutex
	manifest  *fleet.Manifest
	servers   map[fleet.ServerID]*fleet.Server
	residency map[fleet.ServerID]Residency
	stats     map[statsKey]*stats
	groups    map[string]*retry.Group
}

type statsKey struct {
	id   fleet.ServerID
	born int64
}

// NewViews returns views that know nothing.
func NewViews() *Views {
	v := &Views{
		residency: map[fleet.ServerID]Residency{}, stats: map[statsKey]*stats{},
		groups: map[string]*retry.Group{},
	}
	v.current.Store(&View{superseded: make(chan struct{})})
	return v
}

// SetInstances takes in how many instances serve the deployment.
func (v *Views) SetInstances(n int) { v.instances.Store(int64(n)) }

// Instances returns how many instances serve the deployment, 0 if not known.
func (v *Views) Instances() int { return int(v.instances.Load()) }

// Load returns the view in force.
func (v *Views) Load() *View { return v.current.Load() }

// SetManifest puts a newer manifest in force and reports whether it was newer.
func (v *Views) SetManifest(m *fleet.Manifest) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.manifest != nil && m.Version <= v.manifest.Version {
		return false
	}
	v.manifest = m
	v.publish()
	return true
}

// SetServers replaces the server list.
func (v *Views) SetServers(servers map[fleet.ServerID]*fleet.Server) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.servers = servers
	v.publish()
}

// Known reports whether requests can be routed.
func (v *Views) Known() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.manifest != nil && v.servers != nil
}

// SetResidency takes in what servers hold, as the placer knows it.
func (v *Views) SetResidency(changed map[fleet.ServerID]Residency) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for id, r := range changed {
		if held, known := v.residency[id]; known && (r.Born < held.Born || r.Born == held.Born && r.Sequence < held.Sequence) {
			continue
		}
		v.residency[id] = r
	}
	v.publish()
}

// publish builds the next view. A request that still reads the last one at most
// goes to a server that has just left, which refuses it.
func (v *Views) publish() {
	view := &View{Manifest: v.manifest, services: map[string][]*backend{}, engines: map[fleet.ServerID]*fleet.Server{}, superseded: make(chan struct{})}
	kept := make(map[statsKey]*stats, len(v.servers))
	counts := map[string]int{}
	for id, server := range v.servers {
		counts[server.Service]++
		key := statsKey{id, server.Born}
		st := v.stats[key]
		if st == nil {
			st = &stats{group: v.group(server.Service)}
		}
		kept[key] = st
		if v.manifest != nil && v.manifest.Services[server.Service].Engine != nil {
			view.engines[id] = server
		}
		if !server.Draining {
			view.services[server.Service] = append(view.services[server.Service], v.backendOf(server, st))
		}
	}
	for key, st := range v.stats {
		if kept[key] == nil {
			st.health.Forget(st.group)
		}
	}
	v.stats = kept
	for service, n := range counts {
		v.group(service).Resize(n)
	}
	for id := range v.residency {
		if v.servers[id] == nil {
			delete(v.residency, id)
		}
	}
	old := v.current.Swap(view)
	close(old.superseded)
}

func (v *Views) group(service string) *retry.Group {
	group := v.groups[service]
	if group == nil {
		group = retry.NewGroup(retry.EjectConfig{Failures: ejectFailures, MaxShare: ejectMaxShare, Max: ejectMax})
		v.groups[service] = group
	}
	return group
}

const (
	// ejectFailures in a row eject a server. A request waits for its time limit
	// at a silent one, so few are let pass.
	ejectFailures = 3
	// ejectMaxShare keeps most servers of a service in use whatever they answer.
	ejectMaxShare = 0.4
	// ejectMax bounds one ejection; disturbances last some seconds.
	ejectMax = 4 * time.Second
)

func (v *Views) backendOf(server *fleet.Server, st *stats) *backend {
	b := &backend{server: server, stats: st, models: map[string]bool{}}
	models, sequence := server.Models, int64(-1)
	if r, known := v.residency[server.ID]; known && r.Born == server.Born {
		models, b.loading, sequence = r.Models, r.Loading, r.Sequence
	}
	for _, resident := range models {
		b.models[resident.Model] = true
		for _, adapter := range resident.Adapters {
			b.models[modelKey(resident.Model, adapter)] = true
		}
	}
	st.missing.Range(func(key, at any) bool {
		if at.(missingAt).sequence < sequence || time.Since(at.(missingAt).when) > missingFor {
			st.missing.Delete(key)
		}
		return true
	})
	return b
}

// missingAt is when a server said that it lacks a model, and the residency that
// had claimed it.
type missingAt struct {
	sequence int64
	when     time.Time
}

// missingFor bounds how long a server's word that it lacks a model outweighs the
// server list, which lags by some seconds.
const missingFor = 3 * time.Second

// noteMissing records that a server lacks a model that it was thought to hold.
func (v *Views) noteMissing(b *backend, key string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	sequence := int64(-1)
	if r, known := v.residency[b.server.ID]; known && r.Born == b.server.Born {
		sequence = r.Sequence
	}
	b.stats.missing.Store(key, missingAt{sequence: sequence, when: time.Now()})
}

// Engines returns the listed servers that run models, draining ones included.
func (v *View) Engines() map[fleet.ServerID]*fleet.Server { return v.engines }

// Holders returns how many servers of a service a request for a model may go to.
func (v *View) Holders(service, model string) int {
	n := 0
	for _, b := range v.services[service] {
		if b.holds(model) {
			n++
		}
	}
	return n
}

// ServiceCounts counts the servers of a service that take requests, and the different
// models that they hold.
type ServiceCounts struct{ Servers, Models int }

// Services returns the counts of each service.
func (v *View) Services() map[string]ServiceCounts {
	out := make(map[string]ServiceCounts, len(v.services))
	for name, backends := range v.services {
		models := map[string]bool{}
		for _, b := range backends {
			for key := range b.models {
				model, _, _ := strings.Cut(key, "/")
				models[model] = true
			}
		}
		out[name] = ServiceCounts{Servers: len(backends), Models: len(models)}
	}
	return out
}
