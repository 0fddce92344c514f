package membership

import (
	"container/list"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// peerState is how far this instance and one peer know each other's tables.
type peerState struct {
	// acked is the version of this table that the peer has confirmed to hold.
	acked uint64
	// merged is the version of the peer's table that was merged here.
	merged uint64
	// wants are servers whose full state the peer should send, with the number
	// of times that it is still asked.
	wants map[port.ServerID]int
}

const (
	// maxWants bounds the servers asked for in one delta.
	maxWants = 256
	// wantTries is how often a server is asked for. A peer that doesn't answer
	// by then has forgotten it.
	wantTries = 8
)

// peer returns the state for a peer. It is kept only for instances that the table
// knows, which bounds it.
func (t *Table) peer(id port.InstanceID) *peerState {
	p := t.peers[id]
	if p == nil {
		p = &peerState{wants: make(map[port.ServerID]int)}
		if t.instances[id] != nil {
			t.peers[id] = p
		}
	}
	return p
}

// DeltaFor returns what the peer isn't known to have. It may be lost: the next
// one repeats whatever the peer hasn't confirmed.
func (t *Table) DeltaFor(now time.Time, peer port.Instance) *Delta {
	p := t.peer(peer.ID)
	d := &Delta{
		From:      t.Self(),
		Heartbeat: t.heartbeat,
		Version:   t.version,
		Seen:      p.merged,
	}
	d.Instances = t.instanceDelta(peer, p)
	d.Servers = t.serverDelta(now, peer, p)
	d.Want = p.ask()
	return d
}

// ask lists the wanted servers, and gives up those that were asked for often.
func (p *peerState) ask() []port.ServerID {
	var want []port.ServerID
	for id, tries := range p.wants {
		want = append(want, id)
		p.wants[id] = tries - 1
		if tries <= 1 {
			delete(p.wants, id)
		}
	}
	return want
}

func (t *Table) instanceDelta(peer port.Instance, p *peerState) []InstanceObservation {
	var out []InstanceObservation
	near := peer.Zone == t.cfg.Self.Zone
	for el := t.instanceOrder.Front(); el != nil; el = el.Next() {
		e := el.Value.(*instanceEntry)
		if e.any <= p.acked {
			break
		}
		if e.source == peer.ID || e.instance.ID == peer.ID {
			continue
		}
		if !near && e.state <= p.acked && e.far <= p.acked {
			continue
		}
		o := InstanceObservation{Instance: e.instance, Heartbeat: e.heartbeat}
		if e.state <= p.acked {
			o.Instance = port.Instance{ID: e.instance.ID}
			o.HeartbeatOnly = true
		}
		out = append(out, o)
	}
	return out
}

func (t *Table) serverDelta(now time.Time, peer port.Instance, p *peerState) []ServerObservation {
	var out []ServerObservation
	near := peer.Zone == t.cfg.Self.Zone
	for el := t.serverOrder.Front(); el != nil; el = el.Next() {
		e := el.Value.(*serverEntry)
		if e.any <= p.acked {
			break
		}
		loadOnly := e.state <= p.acked
		if e.source == peer.ID || loadOnly && !near {
			continue
		}
		out = append(out, e.observe(now, loadOnly))
	}
	return out
}

func (e *serverEntry) observe(now time.Time, loadOnly bool) ServerObservation {
	o := ServerObservation{Server: e.server, Generation: e.generation, Report: e.report}
	if e.reported() {
		o.Age = now.Sub(e.reportAt)
		o.StateHash = e.stateHash
	}
	if loadOnly {
		o.LoadOnly = true
		o.Server = port.Server{ID: e.server.ID}
		o.Report = port.Report{
			Server:      e.report.Server,
			Incarnation: e.report.Incarnation,
			Sequence:    e.report.Sequence,
			InFlight:    e.report.InFlight,
			Queued:      e.report.Queued,
		}
	}
	return o
}

// MergeDelta takes in what a peer tells. Deltas may arrive repeated or out of
// order.
func (t *Table) MergeDelta(now time.Time, d *Delta) {
	if d.From.ID == t.cfg.Self.ID {
		return
	}
	t.mergeSender(now, d)
	p := t.peer(d.From.ID)
	if d.Seen == 0 && p.acked > 0 {
		t.retell(d.From.ID)
	}
	// A lower value comes from a delta that was overtaken, or from a peer that has
	// forgotten this instance since; telling it again does no harm.
	p.acked = min(d.Seen, t.version)
	for _, o := range d.Instances {
		t.mergeInstance(now, o, d.From.ID)
	}
	for i := range d.Servers {
		t.mergeServer(now, &d.Servers[i], d.From.ID)
	}
	for _, id := range d.Want {
		if e := t.servers[id]; e != nil {
			t.changedServer(e, true, "")
		}
	}
	p.merged = max(p.merged, d.Version)
}

// retell has a peer that has forgotten this instance told of what came from itself,
// since it may have forgotten that too.
func (t *Table) retell(peer port.InstanceID) {
	for _, e := range t.servers {
		if e.source == peer {
			e.source = ""
		}
	}
	for _, e := range t.instances {
		if e.source == peer {
			e.source = ""
		}
	}
}

func (t *Table) mergeSender(now time.Time, d *Delta) {
	e := t.instances[d.From.ID]
	if e == nil {
		if e = t.addInstance(now, d.From, d.From.ID); e == nil {
			return
		}
	}
	t.contact(now, e)
	if d.From.Leaving {
		t.markInstanceLeaving(e, d.From.ID)
	}
	t.mergeHeartbeat(now, e, d.Heartbeat, d.From.ID)
}

func (t *Table) mergeInstance(now time.Time, o InstanceObservation, source port.InstanceID) {
	if o.Instance.ID == t.cfg.Self.ID {
		return
	}
	e := t.instances[o.Instance.ID]
	if e == nil {
		if o.HeartbeatOnly {
			return
		}
		if e = t.addInstance(now, o.Instance, source); e == nil {
			return
		}
	}
	if o.Instance.Leaving {
		t.markInstanceLeaving(e, source)
	}
	t.mergeHeartbeat(now, e, o.Heartbeat, source)
}

func (t *Table) mergeServer(now time.Time, o *ServerObservation, source port.InstanceID) {
	e := t.servers[o.Server.ID]
	if o.LoadOnly {
		t.mergeLoad(now, e, o, source)
		return
	}
	if e == nil {
		if e = t.addServer(now, o.Server, source); e == nil {
			return
		}
	}
	if o.Server.Leaving || o.Report.Leaving {
		t.markServerLeaving(e, source)
	}
	delete(t.peer(source).wants, o.Server.ID)
	if o.Generation == 0 || !e.newer(o.Generation, o.Report.Incarnation, o.Report.Sequence) {
		return
	}
	at := now.Add(-max(o.Age, 0))
	if at.After(e.lastSign) {
		e.lastSign = at
	}
	t.take(now, e, o.Generation, o.Report, at, source)
}

// mergeLoad takes in a load on its own. Where the state that it stands on isn't
// the one known here, the full state is asked for.
func (t *Table) mergeLoad(now time.Time, e *serverEntry, o *ServerObservation, source port.InstanceID) {
	if e != nil && !e.newer(o.Generation, o.Report.Incarnation, o.Report.Sequence) {
		return
	}
	if e == nil || o.StateHash != e.stateHash || o.Generation != e.generation {
		if wants := t.peer(source).wants; len(wants) < maxWants {
			wants[o.Server.ID] = wantTries
		}
		return
	}
	r := e.report
	r.Sequence, r.InFlight, r.Queued = o.Report.Sequence, o.Report.InFlight, o.Report.Queued
	at := now.Add(-max(o.Age, 0))
	if at.After(e.lastSign) {
		e.lastSign = at
	}
	t.take(now, e, o.Generation, r, at, source)
}

// Changed reports whether the peer lacks something that is worth an exchange at
// once: a server or an instance that has turned to leaving, or any other change
// of state.
func (t *Table) Changed(peer port.InstanceID) bool {
	p := t.peers[peer]
	if p == nil {
		return true
	}
	return stateAfter(t.serverOrder, p.acked, peer) || stateAfter(t.instanceOrder, p.acked, peer)
}

func stateAfter(order *list.List, acked uint64, peer port.InstanceID) bool {
	for el := order.Front(); el != nil; el = el.Next() {
		var m *mark
		switch e := el.Value.(type) {
		case *serverEntry:
			m = &e.mark
		case *instanceEntry:
			m = &e.mark
		}
		if m.any <= acked {
			return false
		}
		if m.state > acked && m.source != peer {
			return true
		}
	}
	return false
}
