package membership

import (
	"container/list"
	"sort"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/hash64"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// Table holds the state of the other instances and of the backend servers. It is
// not safe for concurrent use.
type Table struct {
	cfg       Config
	version   uint64
	heartbeat uint64
	leaving   bool
	// round counts the calls of Links. hash is the hash of this instance's ID.
	round, hash uint64

	servers   map[port.ServerID]*serverEntry
	instances map[port.InstanceID]*instanceEntry
	peers     map[port.InstanceID]*peerState
	// serverOrder and instanceOrder hold the entries, most recently changed first.
	serverOrder, instanceOrder *list.List
	changes                    changeLog

	listAt, listCompiledAt time.Time
	refused                uint64
}

// NewTable returns a table without other instances or servers.
func NewTable(cfg Config) *Table {
	return &Table{
		cfg:           cfg.withDefaults(),
		hash:          hash64.String(string(cfg.Self.ID)),
		leaving:       cfg.Self.Leaving,
		servers:       make(map[port.ServerID]*serverEntry),
		instances:     make(map[port.InstanceID]*instanceEntry),
		peers:         make(map[port.InstanceID]*peerState),
		serverOrder:   list.New(),
		instanceOrder: list.New(),
		changes:       changeLog{order: list.New()},
	}
}

// AdvanceHeartbeat advances this instance's own heartbeat. Call it about once a
// second.
func (t *Table) AdvanceHeartbeat() { t.heartbeat++ }

// MarkLeaving marks this instance as leaving, which can't be undone.
func (t *Table) MarkLeaving() { t.leaving = true }

// Refused returns how often a new server or instance was rejected because the
// table was full.
func (t *Table) Refused() uint64 { return t.refused }

// Self describes this instance.
func (t *Table) Self() port.Instance {
	self := t.cfg.Self
	self.Leaving = t.leaving
	return self
}

// MergeLive merges one answer of the live list. An answer is outdated if it was
// compiled before an answer that was merged less than ListGrace ago; only its
// leaving marks are used. After ListGrace, an older compile time is attributed to
// a platform clock that has been set back, and the answer is merged in full.
func (t *Table) MergeLive(now time.Time, set port.LiveSet) {
	outdated := set.At.Before(t.listCompiledAt) && now.Sub(t.listAt) < t.cfg.ListGrace
	if !outdated {
		t.listAt, t.listCompiledAt = now, set.At
		for _, e := range t.servers {
			e.listed = false
		}
		for _, e := range t.instances {
			e.listed = false
		}
	}
	for _, s := range set.Servers {
		t.mergeListedServer(now, s, outdated)
	}
	for _, i := range set.Instances {
		t.mergeListedInstance(now, i, outdated)
	}
	t.evictExpired(now)
	t.checkAllRoutable(now)
}

func (t *Table) mergeListedServer(now time.Time, s port.Server, outdated bool) {
	e := t.servers[s.ID]
	if e == nil {
		if outdated {
			return
		}
		if e = t.addServer(now, s, ""); e == nil {
			return
		}
	}
	if !outdated {
		e.listed = true
		e.listedAt, e.lastContact = now, now
	}
	if s.Leaving {
		t.markServerLeaving(e, "")
	}
}

// MergeReport merges a report that this instance has read from the server itself.
// It returns false if the report isn't newer than the stored one, belongs to a
// past incarnation, or is from a new server that exceeds MaxServers.
func (t *Table) MergeReport(now time.Time, s port.Server, r port.Report) bool {
	e := t.servers[s.ID]
	if e == nil {
		if e = t.addServer(now, s, ""); e == nil {
			return false
		}
	}
	if s.Leaving || r.Leaving {
		// Even an outdated report can be the first one that says so: leaving never
		// reverts to false.
		t.markServerLeaving(e, "")
	}
	generation, accept := e.evaluateReport(&r)
	if !accept {
		return false
	}
	e.lastContact = now
	t.acceptReport(now, e, generation, r, now, "")
	return true
}

// acceptReport stores a report and decides whether the change is sent to other
// instances.
func (t *Table) acceptReport(now time.Time, e *serverEntry, generation uint64, r port.Report, at time.Time, source port.InstanceID) {
	t.changes.recordChange(e)
	before, known := e.stateHash, e.reported() && e.generation == generation
	e.setReport(generation, r, at)
	switch {
	case !known || e.stateHash != before:
		t.recordServerChange(e, true, source)
	case t.loadChangeSignificant(now, e):
		t.recordServerChange(e, false, source)
	default:
		return
	}
	e.publishedLoad, e.publishedAt = e.load(), now
}

// loadChangeSignificant reports whether a changed load is sent to other instances.
// They use loads that are some seconds old anyway, so small changes aren't sent.
func (t *Table) loadChangeSignificant(now time.Time, e *serverEntry) bool {
	threshold := int(t.cfg.LoadStep * float64(e.publishedLoad))
	if threshold < t.cfg.LoadFloor {
		threshold = t.cfg.LoadFloor
	}
	refresh := t.cfg.LoadRefresh
	if !e.listed {
		// For an unlisted server, only fresh reports show that it is alive.
		refresh = t.cfg.ReportFresh / 2
	}
	diff := e.load() - e.publishedLoad
	return diff >= threshold || -diff >= threshold || now.Sub(e.publishedAt) >= refresh
}

func (t *Table) markServerLeaving(e *serverEntry, source port.InstanceID) {
	if e.server.Leaving {
		return
	}
	e.server.Leaving = true
	t.changes.recordChange(e)
	t.recordServerChange(e, true, source)
}

func (t *Table) addServer(now time.Time, s port.Server, source port.InstanceID) *serverEntry {
	if len(t.servers) >= t.cfg.MaxServers {
		t.refused++
		return nil
	}
	e := &serverEntry{server: s, hash: hash64.String(string(s.ID)), lastContact: now}
	t.servers[s.ID] = e
	t.changes.recordChange(e)
	t.recordServerChange(e, true, source)
	return e
}

// recordServerChange assigns a new table version to the entry. state is set if the
// change isn't one of the load only.
func (t *Table) recordServerChange(e *serverEntry, state bool, source port.InstanceID) {
	t.recordChange(t.serverOrder, &e.changeMark, e, state, source)
}

// recordChange assigns a new table version to an entry and moves it to the front of
// its order. The change isn't sent back to the peer that it was received from, if
// that peer has acknowledged the previous change of the entry or was its source
// too. Otherwise the entry is sent to all peers.
func (t *Table) recordChange(order *list.List, m *changeMark, e any, state bool, source port.InstanceID) {
	if p := t.peers[source]; p == nil || m.anyVersion > p.acked && m.source != source {
		source = ""
	}
	m.source = source
	t.version++
	m.anyVersion = t.version
	if state {
		m.stateVersion = t.version
	}
	if m.element == nil {
		m.element = order.PushFront(e)
		return
	}
	order.MoveToFront(m.element)
}

// evictExpired removes servers and instances that have been gone for ForgetAfter.
// Their IDs can be reused from then on.
func (t *Table) evictExpired(now time.Time) {
	for id, e := range t.servers {
		if !e.listed && now.Sub(e.lastContact) > t.cfg.ForgetAfter {
			t.serverOrder.Remove(e.element)
			t.changes.remove(e)
			delete(t.servers, id)
		}
	}
	for id, e := range t.instances {
		if !e.listed && now.Sub(e.lastConfirmed) > t.cfg.ForgetAfter {
			t.instanceOrder.Remove(e.element)
			delete(t.instances, id)
			delete(t.peers, id)
		}
	}
}

// Servers returns the servers of a zone, or of all zones if zone is empty, sorted
// by ID.
func (t *Table) Servers(now time.Time, zone port.Zone) []ServerView {
	views := make([]ServerView, 0, len(t.servers))
	for _, e := range t.servers {
		if zone == "" || e.server.Zone == zone {
			views = append(views, t.serverView(now, e))
		}
	}
	sort.Slice(views, func(i, j int) bool { return views[i].Server.ID < views[j].Server.ID })
	return views
}

// Server returns the state of one server. It returns false if the server isn't in
// the table.
func (t *Table) Server(now time.Time, id port.ServerID) (ServerView, bool) {
	e := t.servers[id]
	if e == nil {
		return ServerView{}, false
	}
	return t.serverView(now, e), true
}

func (t *Table) serverView(now time.Time, e *serverEntry) ServerView {
	return ServerView{
		Server:   e.server,
		Reported: e.reported(),
		Report:   e.report,
		ReportAt: e.reportAt,
		Listed:   e.listed,
		Routable: t.routable(now, e),
	}
}

func (t *Table) routable(now time.Time, e *serverEntry) bool {
	if e.server.Leaving {
		return false
	}
	fresh := e.reported() && now.Sub(e.reportAt) < t.cfg.ReportFresh
	listed := e.listed || !e.listedAt.IsZero() && now.Sub(e.listedAt) < t.cfg.UnlistedGrace
	// If no live list has been received, for example after a start during an
	// outage, every server that peers report counts as routable.
	return listed || fresh || t.listAt.IsZero()
}

// View returns a snapshot of the table.
func (t *Table) View(now time.Time) View {
	return View{At: now, Instances: t.Instances(now, ""), Servers: t.Servers(now, ""), ListAt: t.listAt}
}

// Version returns the table version, which increases with every change that is
// sent to other instances.
func (t *Table) Version() uint64 { return t.version }
