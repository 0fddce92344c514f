package routing

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/hash64"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/limit"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/membership"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/retry"
)

// Builder derives snapshots from changes of membership and of the catalogue. It is not
// safe for concurrent use. The cost of a snapshot is proportional to the changes.
type Builder struct {
	router       *Router
	servers      map[port.ServerID]*builtServer
	groups       map[string]*groupStats
	zones        map[port.Zone]*zoneStats
	remoteZones  *retry.Group
	serverCounts map[string]int
	models       map[port.ModelID]*members
	services     map[string]*members
	// catalogue lists the models that are known even if no server reports them.
	catalogue map[port.ModelID]port.ModelInfo

	dirtyModels   map[port.ModelID]struct{}
	dirtyServices map[string]struct{}
	lastSnapshot  *Snapshot
}

// builtServer records the sets to which the builder has added a server.
type builtServer struct {
	candidate   *Candidate
	routable    bool
	incarnation string
	sequence    uint64
	// replicas lists all replicas in the last report, and ready the models that the
	// server is a candidate for.
	replicas []port.Replica
	ready    []port.ModelID
}

// members holds the candidates of one set, unordered. A catalogue model that is ready on
// no server has no entry, to save memory.
type members struct {
	service    string
	candidates []*Candidate
}

// zoneEjection ejects unreachable zones, all of them if necessary.
var zoneEjection = retry.EjectConfig{Failures: 8, MaxShare: 1}

func newBuilder(r *Router) *Builder {
	return &Builder{
		router:        r,
		servers:       make(map[port.ServerID]*builtServer),
		groups:        make(map[string]*groupStats),
		zones:         make(map[port.Zone]*zoneStats),
		remoteZones:   retry.NewGroup(zoneEjection),
		serverCounts:  make(map[string]int),
		models:        make(map[port.ModelID]*members),
		services:      make(map[string]*members),
		catalogue:     make(map[port.ModelID]port.ModelInfo),
		dirtyModels:   make(map[port.ModelID]struct{}),
		dirtyServices: make(map[string]struct{}),
		lastSnapshot:  &Snapshot{},
	}
}

// SetCatalogue replaces the models that are known even if no server reports them.
func (b *Builder) SetCatalogue(models []port.ModelInfo) {
	old := b.catalogue
	b.catalogue = make(map[port.ModelID]port.ModelInfo, len(models))
	basesChanged := false
	for _, m := range models {
		b.catalogue[m.ID] = m
		previous, known := old[m.ID]
		if known && previous == m {
			continue
		}
		basesChanged = basesChanged || previous.Base != m.Base
		b.dirtyModels[m.ID] = struct{}{}
	}
	for id := range old {
		if _, listed := b.catalogue[id]; !listed {
			b.dirtyModels[id] = struct{}{}
		}
	}
	if basesChanged {
		for _, s := range b.servers {
			b.updateModelSets(s, b.readyModels(s))
		}
	}
}

// Update applies the membership state of one server.
func (b *Builder) Update(v membership.ServerView) {
	s := b.server(v.Server)
	if v.Server.Leaving {
		s.candidate.Stats.MarkLeaving()
	}
	if v.Reported {
		b.report(s, &v)
	}
	if v.Routable != s.routable {
		s.routable = v.Routable
		b.updateServiceSet(s)
	}
	b.updateModelSets(s, b.readyModels(s))
}

// Sync applies a complete view: it updates every server in it and removes all others.
func (b *Builder) Sync(servers []membership.ServerView) {
	listed := make(map[port.ServerID]struct{}, len(servers))
	for _, v := range servers {
		b.Update(v)
		listed[v.Server.ID] = struct{}{}
	}
	for id := range b.servers {
		if _, ok := listed[id]; !ok {
			b.Remove(id)
		}
	}
}

// Apply applies the changes of a membership table.
func (b *Builder) Apply(c membership.Changes) {
	if c.All {
		b.Sync(c.Servers)
		return
	}
	for _, v := range c.Servers {
		b.Update(v)
	}
	for _, id := range c.Removed {
		b.Remove(id)
	}
}

// Remove removes a server that is no longer in the membership table.
func (b *Builder) Remove(id port.ServerID) {
	s := b.servers[id]
	if s == nil {
		return
	}
	s.routable = false
	b.updateServiceSet(s)
	b.updateModelSets(s, nil)
	b.invalidate(s.replicas)
	delete(b.servers, id)
	service := s.candidate.Server.Service
	b.adjustServerCount(service, -1)
	s.candidate.Stats.health.Forget(b.groups[service].ejection)
}

// Stats returns the stats of a server, or nil if the server is unknown.
func (b *Builder) Stats(id port.ServerID) *ServerStats {
	if s := b.servers[id]; s != nil {
		return s.candidate.Stats
	}
	return nil
}

// CacheEvent processes one event of a server's prefix cache. Events of unknown servers
// are ignored.
func (b *Builder) CacheEvent(now time.Time, e CacheEvent) {
	if s := b.servers[e.Server]; s != nil {
		b.router.prefixes.apply(b.router.since(now), s.candidate.Stats, e)
	}
}

// Snapshot returns a snapshot of the current state. If no candidates have changed, it
// returns the previous snapshot again.
func (b *Builder) Snapshot(now time.Time) *Snapshot {
	if len(b.dirtyModels) == 0 && len(b.dirtyServices) == 0 {
		return b.lastSnapshot
	}
	next := &Snapshot{At: now, shards: b.lastSnapshot.shards, services: b.lastSnapshot.services}
	b.buildModels(next)
	if len(b.dirtyServices) > 0 {
		next.services = maps.Clone(next.services)
		if next.services == nil {
			next.services = make(map[string]*Set)
		}
		for name := range b.dirtyServices {
			m := b.services[name]
			next.services[name] = newSet(Set{service: name}, m.candidates)
		}
		clear(b.dirtyServices)
	}
	b.lastSnapshot = next
	return next
}

func (b *Builder) buildModels(next *Snapshot) {
	var copied [shardCount]bool
	for id := range b.dirtyModels {
		n := shardOf(id)
		if !copied[n] {
			copied[n] = true
			next.shards[n] = maps.Clone(next.shards[n])
			if next.shards[n] == nil {
				next.shards[n] = make(shard)
			}
		}
		if set := b.buildModel(id); set != nil {
			next.shards[n][id] = set
		} else {
			delete(next.shards[n], id)
		}
	}
	clear(b.dirtyModels)
}

// buildModel returns the set of a model, or nil if neither the catalogue nor any server
// lists it.
func (b *Builder) buildModel(id port.ModelID) *Set {
	template := Set{model: id}
	info, listed := b.catalogue[id]
	m := b.models[id]
	switch {
	case listed:
		template.base, template.service = info.Base, info.Service
	case m != nil:
		template.service = m.service
	}
	if m != nil && len(m.candidates) > 0 {
		return newSet(template, m.candidates)
	}
	delete(b.models, id)
	if listed {
		return newSet(template, nil)
	}
	service, reported := b.reportedBy(id)
	if !reported {
		return nil
	}
	template.service = service
	return newSet(template, nil)
}

// reportedBy returns the service of a model that only servers report. There are few such
// models, and the scan runs only for those that are ready on no server.
func (b *Builder) reportedBy(id port.ModelID) (service string, reported bool) {
	for _, s := range b.servers {
		if slices.ContainsFunc(s.replicas, func(r port.Replica) bool { return r.Model == id }) {
			return s.candidate.Server.Service, true
		}
	}
	return "", false
}

func (b *Builder) server(v port.Server) *builtServer {
	s := b.servers[v.ID]
	if s == nil {
		key := hash64.String(string(v.ID))
		stats := &ServerStats{
			id:      v.ID,
			key:     max(key, 1),
			group:   b.group(v.Service),
			zone:    b.zone(v.Zone),
			limiter: limit.NewAdaptive(b.router.cfg.Limit),

			instances: &b.router.instances,
		}
		s = &builtServer{candidate: &Candidate{Server: v, Stats: stats}}
		b.servers[v.ID] = s
		b.adjustServerCount(v.Service, 1)
		return s
	}
	if s.candidate.Server.Address != v.Address {
		b.changeAddress(s, v)
	}
	return s
}

// changeAddress replaces the address of a server; its stats, service and zone stay the
// same.
func (b *Builder) changeAddress(s *builtServer, v port.Server) {
	ready, routable := s.ready, s.routable
	s.routable = false
	b.updateServiceSet(s)
	b.updateModelSets(s, nil)
	v.Service, v.Zone = s.candidate.Server.Service, s.candidate.Server.Zone
	s.candidate = &Candidate{Server: v, Stats: s.candidate.Stats}
	s.routable = routable
	if routable {
		b.updateServiceSet(s)
	}
	b.updateModelSets(s, ready)
}

func (b *Builder) group(service string) *groupStats {
	g := b.groups[service]
	if g == nil {
		g = &groupStats{ejection: retry.NewGroup(b.router.cfg.Eject)}
		g.meanOthers.Store(math.Float64bits(0))
		b.groups[service] = g
	}
	return g
}

// zone returns the stats that the servers of another zone share, and nil for the router's
// own zone.
func (b *Builder) zone(zone port.Zone) *zoneStats {
	if zone == b.router.cfg.Zone {
		return nil
	}
	z := b.zones[zone]
	if z == nil {
		z = &zoneStats{group: b.remoteZones}
		b.zones[zone] = z
		b.remoteZones.Resize(len(b.zones))
	}
	return z
}

func (b *Builder) adjustServerCount(service string, delta int) {
	b.serverCounts[service] += delta
	b.groups[service].ejection.Resize(b.serverCounts[service])
}

// report applies a report unless it is the one that was applied last. Membership has
// already decided which of two reports is newer.
func (b *Builder) report(s *builtServer, v *membership.ServerView) {
	stats := s.candidate.Stats
	at := b.router.since(v.ReportAt)
	if s.incarnation != v.Report.Incarnation {
		if s.incarnation != "" {
			stats.cache.restart(at)
		}
		s.incarnation = v.Report.Incarnation
	} else if v.Report.Sequence == s.sequence {
		return
	}
	s.sequence = v.Report.Sequence
	stats.report(v.Report.InFlight+v.Report.Queued, at)
	b.invalidate(s.replicas)
	s.replicas = v.Report.Replicas
	b.invalidate(s.replicas)
}

// invalidate marks the models that are not in the catalogue for a rebuild, because the
// set of servers that report them may have changed.
func (b *Builder) invalidate(replicas []port.Replica) {
	for _, r := range replicas {
		if _, listed := b.catalogue[r.Model]; !listed {
			b.dirtyModels[r.Model] = struct{}{}
		}
	}
}

// updateServiceSet adds the server to the set of its service or removes it, according to
// routable.
func (b *Builder) updateServiceSet(s *builtServer) {
	name := s.candidate.Server.Service
	m := b.services[name]
	if m == nil {
		m = &members{service: name}
		b.services[name] = m
	}
	if s.routable {
		m.candidates = append(m.candidates, s.candidate)
	} else {
		m.remove(s.candidate)
	}
	b.dirtyServices[name] = struct{}{}
}

// updateModelSets makes the server a candidate for exactly the given models.
func (b *Builder) updateModelSets(s *builtServer, ready []port.ModelID) {
	for _, id := range s.ready {
		if !slices.Contains(ready, id) {
			b.models[id].remove(s.candidate)
			b.dirtyModels[id] = struct{}{}
		}
	}
	for _, id := range ready {
		if !slices.Contains(s.ready, id) {
			m := b.model(id, s.candidate.Server.Service)
			m.candidates = append(m.candidates, s.candidate)
			b.dirtyModels[id] = struct{}{}
		}
	}
	s.ready = ready
}

// readyModels lists the models that the server can serve: ready replicas, and adapters
// only if their base model is ready too.
func (b *Builder) readyModels(s *builtServer) []port.ModelID {
	if !s.routable {
		return nil
	}
	var ready []port.ModelID
	for _, r := range s.replicas {
		if r.State != port.ReplicaReady || slices.Contains(ready, r.Model) {
			continue
		}
		if base := b.catalogue[r.Model].Base; base != "" && !hasReady(s.replicas, base) {
			continue
		}
		ready = append(ready, r.Model)
	}
	return ready
}

func hasReady(replicas []port.Replica, id port.ModelID) bool {
	return slices.ContainsFunc(replicas, func(r port.Replica) bool {
		return r.Model == id && r.State == port.ReplicaReady
	})
}

func (b *Builder) model(id port.ModelID, service string) *members {
	m := b.models[id]
	if m == nil {
		m = &members{service: service}
		b.models[id] = m
	}
	return m
}

func (m *members) remove(c *Candidate) {
	i := slices.Index(m.candidates, c)
	if i < 0 {
		return
	}
	last := len(m.candidates) - 1
	m.candidates[i] = m.candidates[last]
	m.candidates[last] = nil
	m.candidates = m.candidates[:last]
}
