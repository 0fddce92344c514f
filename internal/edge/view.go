package edge

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/retry"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/serverpick"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

// Residency lists the models that a server is known to hold. Of two residencies of one
// incarnation, the one with the higher Sequence is newer.
type Residency struct {
	StartedAt int64
	Sequence  int64
	Models    []fleet.Resident
	// Loading maps each model that is being loaded to its expected completion time.
	Loading map[string]time.Time
}

// View is an immutable snapshot of the state that requests are routed by.
type View struct {
	Manifest *fleet.Manifest
	services map[string][]*backend
	engines  map[fleet.ServerID]*fleet.Server
	// versions are the software versions of the servers of each service, and when those that
	// are no longer listed were last listed; the zero time for the others.
	versions map[string]map[string]time.Time
	// knownSince is when this instance first knew the servers; the zero time if it doesn't.
	knownSince time.Time
	// versionsComplete means that versions has all that servers have had before this instance started.
	versionsComplete bool
	// leaving are the servers that have said that they leave before their entry does.
	leaving   []Standing
	urgencies urgencies
	// superseded is closed when a newer view replaces this one.
	superseded chan struct{}
}

// backend is one server in one view; its stats are shared with later views.
type backend struct {
	server  *fleet.Server
	hash    uint64          // serverpick.HashID of its ID
	models  map[string]bool // "model" and "model/adapter"
	loading map[string]time.Time
	stats   *stats
}

// stats holds what this instance measures about one incarnation of a server.
type stats struct {
	group    *retry.Group
	inFlight atomic.Int64
	// unread is the expected time to read the prompts of the instance's requests that haven't
	// had an event, in nanoseconds, and unreadRequests their number.
	unread, unreadRequests atomic.Int64
	// waiting is the number of requests that waited on the server at its last answer.
	waiting   atomic.Int64
	health    retry.Health
	load      atomic.Pointer[loadSample]
	speed     serverpick.Speed
	rateLimit rateLimit
	crash     crashCheck
	brittle   brittlePace
	standing  *standing
	// unlistedAt is when the server was first missing in the list; the zero time while it is listed. It
	// is guarded by the lock of the Views.
	unlistedAt time.Time
	// missing maps models that the server reported as absent to a missingRecord; a later
	// residency or missingTTL clears the entry.
	missing sync.Map
}

type loadSample struct {
	reported, ownAtReport int64
	othersUnread          time.Duration
	usual                 serverpick.UsualLoad
	at                    time.Time
}

// recordLoad records the load that a server reported. reading is the mean time to read a prompt.
func (s *stats) recordLoad(load platform.ServerLoad, slots int, reading time.Duration, now time.Time) {
	othersWaiting := min(max(int64(load.Waiting)-s.unreadRequests.Load(), 0), maxBelievedWaiting)
	sample := &loadSample{
		reported: min(int64(load.Running), maxBelievedRequests) + min(int64(load.Waiting), maxBelievedWaiting), ownAtReport: s.inFlight.Load(),
		othersUnread: time.Duration(othersWaiting) * reading, at: now,
	}
	if before := s.load.Load(); before != nil {
		sample.usual = before.usual
	}
	// What is usual must not follow one absurd report for long.
	sample.usual = sample.usual.Observe(float64(min(sample.others(), int64(maxUsualPerSlot*max(slots, 1)))))
	s.load.Store(sample)
	s.speed.Reported(load.Slowdown, now)
}

// others returns the number of requests of other instances.
func (l *loadSample) others() int64 { return max(l.reported-l.ownAtReport, 0) }

// maxUsualPerSlot bounds the usual number of requests for each slot of a server.
const maxUsualPerSlot = 2

// maxBelievedWaiting bounds the waiting requests that a server's report is believed to have.
const maxBelievedWaiting = 1 << 12

// maxBelievedRequests bounds the running requests that a server's report is believed to have.
const maxBelievedRequests = 1 << 20

// beginReading records that a server has to read the prompt of a request, until the returned
// function is called.
func (s *stats) beginReading(takes time.Duration) (done func()) {
	s.unread.Add(int64(takes))
	s.unreadRequests.Add(1)
	return sync.OnceFunc(func() {
		s.unread.Add(-int64(takes))
		s.unreadRequests.Add(-1)
	})
}

func (s *stats) loadAt(now time.Time) serverpick.Load {
	load := serverpick.Load{InFlight: s.inFlight.Load(), Age: -1, Unread: time.Duration(s.unread.Load())}
	if sample := s.load.Load(); sample != nil {
		load.Reported, load.InFlightAtReport, load.Age = sample.reported, sample.ownAtReport, now.Sub(sample.at)
		load.OthersUnread = sample.othersUnread
	}
	return load
}

// serviceLoad is what is known of the servers of a service together.
type serviceLoad struct {
	// others is the mean utilization of servers by other instances.
	others float64
	// holding is the mean time that a request keeps a slot.
	holding time.Duration
	// instances is the number of instances that send to the servers.
	instances int
}

// loadAt returns the load of a server, with what is usual while its last report is old.
func (b *backend) loadAt(service serviceLoad, now time.Time) serverpick.Load {
	load := b.stats.loadAt(now)
	var usual serverpick.UsualLoad
	if sample := b.stats.load.Load(); sample != nil {
		usual = sample.usual
	}
	load.OthersWhenFull = usual.OthersWhenFull(b.server.Slots, service.others)
	load.OthersUsual, load.Holding = usual.Others(b.server.Slots, service.others), service.holding
	return load
}

// othersUtilization returns the mean utilization of the servers of a service by other instances.
func (e *Edge) othersUtilization(service string) *serverpick.Mean {
	if m, known := e.utilizations.Load(service); known {
		return m.(*serverpick.Mean)
	}
	m, _ := e.utilizations.LoadOrStore(service, &serverpick.Mean{})
	return m.(*serverpick.Mean)
}

func (e *Edge) serviceLoad(service string) serviceLoad {
	return serviceLoad{
		others: e.othersUtilization(service).Value(), holding: e.workload(service).MeanHolding(),
		instances: cmp.Or(e.views.Instances(), e.cfg.Instances),
	}
}

// recordLoad records the load that a server reported.
func (e *Edge) recordLoad(b *backend, load platform.ServerLoad, now time.Time) {
	b.stats.recordLoad(load, b.server.Slots, e.workload(b.server.Service).MeanReading(), now)
	others := float64(b.stats.load.Load().others())
	e.othersUtilization(b.server.Service).Observe(min(others/float64(max(b.server.Slots, 1)), 1))
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

// Views builds and publishes views from the state that the controllers supply. Its
// methods are safe for concurrent use.
type Views struct {
	current   atomic.Pointer[View]
	instances atomic.Int64

	mu        sync.Mutex
	manifest  *fleet.Manifest
	urgencies urgencies
	servers   map[fleet.ServerID]*fleet.Server
	residency map[fleet.ServerID]Residency
	// stats are those of the listed servers, and of others that may be listed again.
	stats    map[statsKey]*stats
	groups   map[string]*retry.Group
	services map[string]*brittleService
	// standings are those of the listed servers, and of others that still matter.
	standings map[statsKey]*standing
	// versionsComplete is as in View.
	versionsComplete bool
}

type statsKey struct {
	id        fleet.ServerID
	startedAt int64
}

// NewViews returns a Views whose current view is empty.
func NewViews() *Views {
	v := &Views{
		residency: map[fleet.ServerID]Residency{}, stats: map[statsKey]*stats{},
		groups: map[string]*retry.Group{}, services: map[string]*brittleService{}, standings: map[statsKey]*standing{},
	}
	v.current.Store(&View{superseded: make(chan struct{})})
	return v
}

// SetInstances sets the number of instances that serve the deployment.
func (v *Views) SetInstances(n int) { v.instances.Store(int64(n)) }

// Instances returns the number of instances that serve the deployment, or 0 if it is
// unknown.
func (v *Views) Instances() int { return int(v.instances.Load()) }

// Load returns the current view.
func (v *Views) Load() *View { return v.current.Load() }

// SetManifest publishes a view with the manifest if its version is higher than the
// current one, and reports whether it was.
func (v *Views) SetManifest(m *fleet.Manifest) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.manifest != nil && m.Version <= v.manifest.Version {
		return false
	}
	v.manifest, v.urgencies = m, newUrgencies(m.Priorities())
	v.publish()
	return true
}

// ManifestVersion returns the version of the manifest in force, or 0 if there is none.
func (v *Views) ManifestVersion() int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.manifest == nil {
		return 0
	}
	return v.manifest.Version
}

// SetServers replaces the server list, and returns the servers that no longer accept requests
// according to it.
func (v *Views) SetServers(servers map[fleet.ServerID]*fleet.Server) (withdrawn []fleet.ServerID) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for id, before := range v.servers {
		if now := servers[id]; !before.Draining && (now == nil || now.Draining) {
			withdrawn = append(withdrawn, id)
		}
	}
	v.servers = servers
	v.publish()
	return withdrawn
}

// Known reports whether both a manifest and a server list have been received, so that
// requests can be routed.
func (v *Views) Known() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.manifest != nil && v.servers != nil
}

// ServerAddresses returns the addresses of all listed servers.
func (v *Views) ServerAddresses() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	addresses := make([]string, 0, len(v.servers))
	for _, server := range v.servers {
		addresses = append(addresses, server.Address)
	}
	return addresses
}

// AcceptsRequests reports whether a listed server with the address accepts requests of this
// instance, its own or relayed ones.
func (v *Views) AcceptsRequests(address string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for id, server := range v.servers {
		if server.Address == address && v.standings[statsKey{id, server.StartedAt}].accepts() {
			return true
		}
	}
	return false
}

// AdmitsRelayed reports whether a request can be relayed on a connection to the server at an address.
// The connection may have been opened, and used, before the server ceased to accept requests. A new
// one, to an address that a listed server has, can be meant for a server that isn't listed here; who
// answers there then refuses the request.
func (v *Views) AdmitsRelayed(r platform.RelayedRequest, address string) bool {
	if r.Server == "" {
		return v.AcceptsRequests(address)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	server := v.servers[r.Server]
	if server == nil {
		return r.First
	}
	return v.standings[statsKey{server.ID, server.StartedAt}].accepts()
}

// SetResidency updates the models held by the given servers, as reported by the placer.
// Residencies older than the current ones are ignored.
func (v *Views) SetResidency(changed map[fleet.ServerID]Residency) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for id, r := range changed {
		if current, known := v.residency[id]; known && (r.StartedAt < current.StartedAt || r.StartedAt == current.StartedAt && r.Sequence < current.Sequence) {
			continue
		}
		v.residency[id] = r
	}
	v.publish()
}

// publish builds and publishes the next view. A request that still reads the previous
// view can at worst be sent to a server that has just started draining and refuses it.
func (v *Views) publish() { v.publishWith(nil) }

// publishWith publishes a view that also has versions that were recorded elsewhere, by service.
func (v *Views) publishWith(recorded map[string][]string) {
	view := &View{Manifest: v.manifest, urgencies: v.urgencies, services: map[string][]*backend{}, engines: map[fleet.ServerID]*fleet.Server{}, superseded: make(chan struct{})}
	counts := map[string]int{}
	now := time.Now()
	v.updateStandings(now)
	for id, server := range v.servers {
		counts[server.Service]++
		serverStats := v.listedStats(server, now)
		if serverStats.standing.leaving.Load() && !server.Draining {
			// The server has said so before its entry does.
			view.leaving = append(view.leaving, Standing{Server: id, StartedAt: server.StartedAt, Leaving: true})
			draining := *server
			draining.Draining = true
			server = &draining
		}
		if v.manifest != nil && v.manifest.Services[server.Service].Engine != nil {
			view.engines[id] = server
		}
		if !server.Draining {
			view.services[server.Service] = append(view.services[server.Service], v.backendOf(server, serverStats))
		}
	}
	v.forgetStats(now)
	for service, n := range counts {
		v.group(service).Resize(n)
	}
	for id := range v.residency {
		if v.servers[id] == nil {
			delete(v.residency, id)
		}
	}
	old := v.current.Load()
	view.versions, view.versionsComplete, view.knownSince = versionsOf(v.servers, old.versions, recorded, now), v.versionsComplete, old.knownSince
	if v.servers != nil && view.knownSince.IsZero() {
		view.knownSince = now
	}
	v.current.Store(view)
	close(old.superseded)
}

func (v *Views) backendOf(server *fleet.Server, serverStats *stats) *backend {
	b := &backend{server: server, hash: serverpick.HashID(string(server.ID)), stats: serverStats, models: map[string]bool{}}
	models, sequence := server.Models, int64(-1)
	if r, known := v.residency[server.ID]; known && r.StartedAt == server.StartedAt {
		models, b.loading, sequence = r.Models, r.Loading, r.Sequence
	}
	for _, resident := range models {
		b.models[resident.Model] = true
		for _, adapter := range resident.Adapters {
			b.models[modelKey(resident.Model, adapter)] = true
		}
	}
	serverStats.missing.Range(func(key, at any) bool {
		if at.(missingRecord).sequence < sequence || time.Since(at.(missingRecord).when) > missingTTL {
			serverStats.missing.Delete(key)
		}
		return true
	})
	return b
}

// missingRecord records when a server reported that it lacks a model, and the sequence
// number of the residency that listed the model.
type missingRecord struct {
	sequence int64
	when     time.Time
}

// missingTTL is how long a server's report that it lacks a model overrides the server
// list, which lags by some seconds.
const missingTTL = 3 * time.Second

// recordMissing records that a server lacks a model that the view lists for it.
func (v *Views) recordMissing(b *backend, key string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	sequence := int64(-1)
	if r, known := v.residency[b.server.ID]; known && r.StartedAt == b.server.StartedAt {
		sequence = r.Sequence
	}
	b.stats.missing.Store(key, missingRecord{sequence: sequence, when: time.Now()})
}

// lists reports whether the incarnation of a server accepts requests in this view.
func (v *View) lists(b *backend) bool {
	return slices.ContainsFunc(v.services[b.server.Service], func(listed *backend) bool { return listed.stats == b.stats })
}

// Engines returns all listed servers that run models, including draining ones.
func (v *View) Engines() map[fleet.ServerID]*fleet.Server { return v.engines }

// Leaving returns the servers that have said that they leave before their entry does.
func (v *View) Leaving() []Standing { return v.leaving }

// Holders returns the number of servers of a service that can serve requests for a model.
func (v *View) Holders(service, model string) int {
	n := 0
	for _, b := range v.services[service] {
		if b.holds(model) {
			n++
		}
	}
	return n
}

// ServiceCounts holds the number of a service's servers that accept requests, and the
// number of distinct models that they hold.
type ServiceCounts struct{ Servers, Models int }

// Services returns the counts per service.
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
