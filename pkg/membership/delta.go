package membership

import (
	"container/list"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// peerState is the replication state between this table and that of one peer.
type peerState struct {
	// acked is the version of this table that the peer has acknowledged.
	acked uint64
	// merged is the version of the peer's table that has been merged into this
	// table.
	merged uint64
	// wants holds the servers whose full state the peer should send, with the
	// number of remaining requests.
	wants map[port.ServerID]int
}

const (
	// maxWants bounds the servers whose state is requested in one delta.
	maxWants = 256
	// wantAttempts is how often the state of a server is requested. A peer that
	// hasn't sent the state by then no longer has it.
	wantAttempts = 8
)

// peer returns the replication state of a peer. The state is stored only if the
// instance is in the table, which bounds the number of stored states.
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

// DeltaFor returns the changes that the peer hasn't acknowledged. A delta can be
// lost: the next one contains all unacknowledged changes again.
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
	d.Want = p.takeWanted()
	return d
}

// takeWanted returns the servers whose state to request, and drops those that have
// been requested wantAttempts times.
func (p *peerState) takeWanted() []port.ServerID {
	var want []port.ServerID
	for id, remaining := range p.wants {
		want = append(want, id)
		p.wants[id] = remaining - 1
		if remaining <= 1 {
			delete(p.wants, id)
		}
	}
	return want
}

func (t *Table) instanceDelta(peer port.Instance, p *peerState) []InstanceObservation {
	var out []InstanceObservation
	sameZone := peer.Zone == t.cfg.Self.Zone
	for el := t.instanceOrder.Front(); el != nil; el = el.Next() {
		e := el.Value.(*instanceEntry)
		if e.anyVersion <= p.acked {
			break
		}
		if e.source == peer.ID || e.instance.ID == peer.ID {
			continue
		}
		if !sameZone && e.stateVersion <= p.acked && e.farVersion <= p.acked {
			continue
		}
		o := InstanceObservation{Instance: e.instance, Heartbeat: e.heartbeat}
		if e.stateVersion <= p.acked {
			o.Instance = port.Instance{ID: e.instance.ID}
			o.HeartbeatOnly = true
		}
		out = append(out, o)
	}
	return out
}

func (t *Table) serverDelta(now time.Time, peer port.Instance, p *peerState) []ServerObservation {
	var out []ServerObservation
	sameZone := peer.Zone == t.cfg.Self.Zone
	for el := t.serverOrder.Front(); el != nil; el = el.Next() {
		e := el.Value.(*serverEntry)
		if e.anyVersion <= p.acked {
			break
		}
		loadOnly := e.stateVersion <= p.acked
		if e.source == peer.ID || loadOnly && !sameZone {
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

// MergeDelta merges a delta from a peer. Deltas can arrive repeatedly or out of
// order.
func (t *Table) MergeDelta(now time.Time, d *Delta) {
	if d.From.ID == t.cfg.Self.ID {
		return
	}
	t.mergeSender(now, d)
	p := t.peer(d.From.ID)
	if d.Seen == 0 && p.acked > 0 {
		t.clearSource(d.From.ID)
	}
	// A lower value comes from a delta that arrived out of order, or from a peer
	// that has evicted this instance since. Sending the changes again is harmless.
	p.acked = min(d.Seen, t.version)
	for _, o := range d.Instances {
		t.mergeInstance(now, o, d.From.ID)
	}
	for i := range d.Servers {
		t.mergeServer(now, &d.Servers[i], d.From.ID)
	}
	for _, id := range d.Want {
		if e := t.servers[id]; e != nil {
			t.recordServerChange(e, true, "")
		}
	}
	p.merged = max(p.merged, d.Version)
}

// clearSource makes deltas for the peer include the entries that were received
// from it. It is called if the peer has evicted this instance, since the peer can
// have evicted these entries too.
func (t *Table) clearSource(peer port.InstanceID) {
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
	t.recordContact(now, e)
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
	if o.Generation == 0 || !e.isNewer(o.Generation, o.Report.Incarnation, o.Report.Sequence) {
		return
	}
	at := now.Add(-max(o.Age, 0))
	if at.After(e.lastContact) {
		e.lastContact = at
	}
	t.acceptReport(now, e, o.Generation, o.Report, at, source)
}

// mergeLoad merges an observation that contains only the load. If the rest of the
// state differs from the state in this table, the full state is requested.
func (t *Table) mergeLoad(now time.Time, e *serverEntry, o *ServerObservation, source port.InstanceID) {
	if e != nil && !e.isNewer(o.Generation, o.Report.Incarnation, o.Report.Sequence) {
		return
	}
	if e == nil || o.StateHash != e.stateHash || o.Generation != e.generation {
		if wants := t.peer(source).wants; len(wants) < maxWants {
			wants[o.Server.ID] = wantAttempts
		}
		return
	}
	r := e.report
	r.Sequence, r.InFlight, r.Queued = o.Report.Sequence, o.Report.InFlight, o.Report.Queued
	at := now.Add(-max(o.Age, 0))
	if at.After(e.lastContact) {
		e.lastContact = at
	}
	t.acceptReport(now, e, o.Generation, r, at, source)
}

// Changed reports whether the peer hasn't acknowledged a change that justifies an
// immediate exchange, such as a server or an instance that has started to drain.
// Changes of loads and heartbeats don't count.
func (t *Table) Changed(peer port.InstanceID) bool {
	p := t.peers[peer]
	if p == nil {
		return true
	}
	return hasStateChange(t.serverOrder, p.acked, peer) || hasStateChange(t.instanceOrder, p.acked, peer)
}

func hasStateChange(order *list.List, acked uint64, peer port.InstanceID) bool {
	for el := order.Front(); el != nil; el = el.Next() {
		var m *changeMark
		switch e := el.Value.(type) {
		case *serverEntry:
			m = &e.changeMark
		case *instanceEntry:
			m = &e.changeMark
		}
		if m.anyVersion <= acked {
			return false
		}
		if m.stateVersion > acked && m.source != peer {
			return true
		}
	}
	return false
}
