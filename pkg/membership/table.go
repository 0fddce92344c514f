package membership

import (
	"container/list"
	"sort"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/hash64"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// Table is what this instance knows. It is not safe for concurrent use.
type Table struct {
	cfg       Config
	version   uint64
	heartbeat uint64
	leaving   bool
	// round counts the calls of Links, and hash is that of this instance's ID.
	round, hash uint64

	servers   map[port.ServerID]*serverEntry
	instances map[port.InstanceID]*instanceEntry
	peers     map[port.InstanceID]*peerState
	// serverOrder and instanceOrder hold the entries, latest change first.
	serverOrder, instanceOrder *list.List
	changes                    changeLog

	listAt, listCompiled time.Time
	refused              uint64
}

// NewTable returns a table that knows only this instance.
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

// Beat advances this instance's own heartbeat; call it about once a second.
func (t *Table) Beat() { t.heartbeat++ }

// Leave marks this instance as leaving, for good.
func (t *Table) Leave() { t.leaving = true }

// Refused counts arrivals turned away because the table was full.
func (t *Table) Refused() uint64 { return t.refused }

// Self describes this instance.
func (t *Table) Self() port.Instance {
	self := t.cfg.Self
	self.Leaving = t.leaving
	return self
}

// MergeLive takes in one answer of the live list. An answer compiled before one
// that was merged a short while ago is only searched for leaving marks; after that
// while the platform's clock is taken to have been set back.
func (t *Table) MergeLive(now time.Time, set port.LiveSet) {
	outdated := set.At.Before(t.listCompiled) && now.Sub(t.listAt) < t.cfg.ListGrace
	if !outdated {
		t.listAt, t.listCompiled = now, set.At
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
	t.forget(now)
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
		e.listedAt, e.lastSign = now, now
	}
	if s.Leaving {
		t.markServerLeaving(e, "")
	}
}

// MergeReport takes in a report that this instance has read from the server
// itself. It returns false for a report that is older than what is known, or
// from an incarnation that has ended.
func (t *Table) MergeReport(now time.Time, s port.Server, r port.Report) bool {
	e := t.servers[s.ID]
	if e == nil {
		if e = t.addServer(now, s, ""); e == nil {
			return false
		}
	}
	if s.Leaving || r.Leaving {
		// Even an old report may be the first sign: leaving never reverts.
		t.markServerLeaving(e, "")
	}
	generation, take := e.judgeRead(&r)
	if !take {
		return false
	}
	e.lastSign = now
	t.take(now, e, generation, r, now, "")
	return true
}

// take adopts a report and marks what others must be told.
func (t *Table) take(now time.Time, e *serverEntry, generation uint64, r port.Report, at time.Time, source port.InstanceID) {
	t.changes.touch(e)
	before, known := e.stateHash, e.reported() && e.generation == generation
	e.adopt(generation, r, at)
	switch {
	case !known || e.stateHash != before:
		t.changedServer(e, true, source)
	case t.significant(now, e):
		t.changedServer(e, false, source)
	default:
		return
	}
	e.toldLoad, e.toldAt = e.load(), now
}

// significant decides whether a load is worth telling: others act on loads that
// are some seconds old anyway.
func (t *Table) significant(now time.Time, e *serverEntry) bool {
	step := int(t.cfg.LoadStep * float64(e.toldLoad))
	if step < t.cfg.LoadFloor {
		step = t.cfg.LoadFloor
	}
	refresh := t.cfg.LoadRefresh
	if !e.listed {
		// Only fresh reports show that the server is alive.
		refresh = t.cfg.ReportFresh / 2
	}
	diff := e.load() - e.toldLoad
	return diff >= step || -diff >= step || now.Sub(e.toldAt) >= refresh
}

func (t *Table) markServerLeaving(e *serverEntry, source port.InstanceID) {
	if e.server.Leaving {
		return
	}
	e.server.Leaving = true
	t.changes.touch(e)
	t.changedServer(e, true, source)
}

func (t *Table) addServer(now time.Time, s port.Server, source port.InstanceID) *serverEntry {
	if len(t.servers) >= t.cfg.MaxServers {
		t.refused++
		return nil
	}
	e := &serverEntry{server: s, hash: hash64.String(string(s.ID)), lastSign: now}
	t.servers[s.ID] = e
	t.changes.touch(e)
	t.changedServer(e, true, source)
	return e
}

// changedServer gives the entry the newest version.
func (t *Table) changedServer(e *serverEntry, state bool, source port.InstanceID) {
	t.touch(t.serverOrder, &e.mark, e, state, source)
}

// touch moves an entry to the front of its order. A peer whose delta caused the
// change needn't be told, provided that it knew all that came before, or was the
// cause of that too.
func (t *Table) touch(order *list.List, m *mark, e any, state bool, source port.InstanceID) {
	if p := t.peers[source]; p == nil || m.any > p.acked && m.source != source {
		source = ""
	}
	m.source = source
	t.version++
	m.any = t.version
	if state {
		m.state = t.version
	}
	if m.element == nil {
		m.element = order.PushFront(e)
		return
	}
	order.MoveToFront(m.element)
}

// forget drops what has been gone for long, after which its ID may be reused.
func (t *Table) forget(now time.Time) {
	for id, e := range t.servers {
		if !e.listed && now.Sub(e.lastSign) > t.cfg.ForgetAfter {
			t.serverOrder.Remove(e.element)
			t.changes.remove(e)
			delete(t.servers, id)
		}
	}
	for id, e := range t.instances {
		if !e.listed && now.Sub(e.kept) > t.cfg.ForgetAfter {
			t.instanceOrder.Remove(e.element)
			delete(t.instances, id)
			delete(t.peers, id)
		}
	}
}

// Servers lists the servers of a zone in the order of their IDs, or of every
// zone if zone is empty.
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

// Server returns what is known of one server.
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
	// With no list at all, as after a start during an outage, whatever peers
	// tell of is taken.
	return listed || fresh || t.listAt.IsZero()
}

// View copies the whole table.
func (t *Table) View(now time.Time) View {
	return View{At: now, Instances: t.Instances(now, ""), Servers: t.Servers(now, ""), ListAt: t.listAt}
}

// Version grows with every change of the table.
func (t *Table) Version() uint64 { return t.version }
