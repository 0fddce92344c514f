package lease

import (
	"slices"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record"
)

// vet is how far the holder has got in learning a server's state.
type vet struct {
	// raised says that the server refuses the numbers of earlier terms.
	raised     bool
	raiseToken uint64
	readToken  uint64
	// readStep is the step at which the outstanding read was asked for, and
	// readThrough the offset then. It proves nothing of what came later.
	readStep    uint64
	readThrough port.Offset
	retry       time.Duration
	// missing says that the live list names the server no more, since
	// missingAt.
	missing   bool
	missingAt time.Duration
	// done says that the holder may decide on the server.
	done bool
	// again asks for another read.
	again bool
	// seenIncarnation is that of the newest read that was asked for.
	seenIncarnation string
}

// reconcileVets raises the fencing number and reads wherever that is due.
func (m *Machine) reconcileVets() {
	var due []port.ServerID
	for id, v := range m.term.vets {
		if v.done && !v.raised && m.mustRaise(id) {
			v.done = false // the targets have come to say that it checks
		}
		if (!v.done || v.again) && v.raiseToken == 0 && v.readToken == 0 && m.now >= v.retry {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	for _, id := range due {
		v := m.term.vets[id]
		if !m.cfg.FencingKnown(id) {
			continue
		}
		if !v.raised && m.mustRaise(id) {
			v.raiseToken = m.nextID()
			m.emit(RaiseFence{Token: v.raiseToken, Server: id, Fence: m.term.epoch})
			continue
		}
		if !m.cfg.ChecksFencing(id) && !m.doubtsSettled() {
			continue
		}
		v.readToken, v.readStep, v.readThrough = m.nextID(), m.step, m.state.Through()
		m.emit(ReadServer{Token: v.readToken, Server: id})
	}
}

// reconcileGone closes what is recorded for servers that are gone: off the live
// list for longer than the list's lag and the life of an order. A server that
// comes back is read again before anything is decided on it.
func (m *Machine) reconcileGone() {
	m.expectServers()
	var gone []port.ServerID
	for id, v := range m.term.vets {
		switch {
		case m.live.servers[id]:
			v.missing = false
		case !v.missing:
			v.missing, v.missingAt = true, m.now
		case m.now >= v.missingAt+m.cfg.LiveLag+m.cfg.OrderLife:
			gone = append(gone, id)
		}
	}
	slices.Sort(gone)
	for _, id := range gone {
		m.closeAllOn(id)
		delete(m.term.vets, id)
	}
}

// expectServers takes in the servers that the live list or an open intent
// names.
func (m *Machine) expectServers() {
	for id := range m.live.servers {
		if m.term.vets[id] == nil {
			m.term.vets[id] = &vet{}
		}
	}
	for _, e := range m.term.entries {
		if s := e.intent.Server; m.term.vets[s] == nil && e.result == resultNone {
			m.term.vets[s] = &vet{}
		}
	}
}

func (m *Machine) closeAllOn(s port.ServerID) {
	for i := range m.zone.On(s) {
		if m.term.entries[i.ID] == nil && !m.term.gone[i.ID] {
			m.track(i.Intent)
		}
	}
	for _, e := range m.term.sorted() {
		if e.intent.Server == s && e.result != resultFreed && e.result != resultLost {
			m.end(e, resultLost)
			e.outcome = pending{}
		}
	}
}

func (m *Machine) mustRaise(id port.ServerID) bool {
	return m.cfg.ChecksFencing(id) && !m.cfg.faults.skipFence
}

// doubtsSettled reports whether no older holder can decide on a server that
// doesn't check. One that was the only copy holder never does.
func (m *Machine) doubtsSettled() bool {
	if m.cfg.faults.ignoreDoubts {
		return true
	}
	for _, d := range m.term.doubts {
		if d.settled == 0 && !d.alone() {
			return false
		}
	}
	return true
}

// gateOpen reports whether decisions may start: while an epoch is in doubt,
// only after every known server that checks has been fenced and read.
func (m *Machine) gateOpen() bool {
	for _, d := range m.term.doubts {
		if d.settled == 0 {
			return m.checkingVetted()
		}
	}
	return true
}

func (m *Machine) checkingVetted() bool {
	for id, v := range m.term.vets {
		gone := m.live.known && !m.live.servers[id]
		mustVet := m.cfg.ChecksFencing(id) || !m.cfg.FencingKnown(id)
		if mustVet && !v.done && !gone {
			return false
		}
	}
	return m.live.known
}

func (m *Machine) fenceRaised(e FenceRaised) {
	if m.term == nil {
		return
	}
	v := m.term.vets[e.Server]
	if v == nil || e.Token == 0 || v.raiseToken != e.Token {
		return
	}
	v.raiseToken = 0
	if e.Err != nil {
		v.retry = m.now + m.cfg.Retry
		return
	}
	v.raised = true
}

// serverRead takes a report. Only a read that was asked for proves anything;
// another one with an unexpected incarnation has the server read afresh.
func (m *Machine) serverRead(e ServerRead) {
	if m.term == nil {
		return
	}
	v := m.term.vets[e.Report.Server]
	if v == nil {
		return
	}
	if e.Token == 0 || v.readToken != e.Token {
		if v.done && e.Err == nil && e.Report.Incarnation != v.seenIncarnation {
			v.again = true
		}
		return
	}
	v.readToken = 0
	checks := m.cfg.ChecksFencing(e.Report.Server)
	fenced := v.raised && e.Report.Fence >= m.term.first || m.cfg.faults.skipFence
	if e.Err != nil || checks && !fenced {
		// An engine that has restarted has forgotten the number.
		v.raised = v.raised && e.Err != nil
		v.retry = m.now + m.cfg.Retry
		return
	}
	if !v.done {
		m.adoptReplicas(e.Report)
	}
	v.done, v.again, v.seenIncarnation = true, false, e.Report.Incarnation
	m.proveIntents(e.Report, v, checks)
}

// adoptReplicas takes the replicas that no intent accounts for into this term.
// It runs before the first decision on the server, so none of them is ours.
func (m *Machine) adoptReplicas(r port.Report) {
	for _, p := range r.Replicas {
		if p.State == port.ReplicaUnloading || m.accounted(r.Server, p.Model) {
			continue
		}
		id := p.OrderID
		if id == "" || m.zone.Closed(id) {
			id = string(m.cfg.Self) + "/" + string(r.Server) + "/" + string(p.Model)
		}
		e := m.adopt(record.Intent{
			ID: id, Kind: port.OrderLoad, Model: p.Model, Server: r.Server, Bytes: p.Bytes,
			Incarnation: r.Incarnation, Reason: "found loaded by a new holder",
		})
		if e != nil && p.State == port.ReplicaReady {
			m.end(e, resultLoaded)
		}
	}
}

func (m *Machine) accounted(s port.ServerID, model port.ModelID) bool {
	for _, o := range m.at(s, model) {
		if o.Kind == port.OrderLoad {
			return true
		}
	}
	return false
}

// proveIntents closes the intents that the report proves dead or ready.
func (m *Machine) proveIntents(r port.Report, v *vet, checks bool) {
	replicas := map[port.ModelID]port.Replica{}
	for _, p := range r.Replicas {
		replicas[p.Model] = p
	}
	for i := range m.zone.On(r.Server) {
		if i.Loaded && i.Offset <= v.readThrough && m.term.entries[i.ID] == nil && !m.term.gone[i.ID] {
			m.proveLoaded(i.Intent, r, replicas, checks)
		}
	}
	for _, e := range m.term.sorted() {
		if e.intent.Server == r.Server && e.result == resultNone && e.seen <= v.readStep {
			m.proveEntry(e, r, replicas, checks)
		}
	}
}

// proveLoaded closes a load that was known to be ready: the engine restarted,
// or, on a server that checks, it is gone from a report that knows this term.
func (m *Machine) proveLoaded(i record.Intent, r port.Report, replicas map[port.ModelID]port.Replica, checks bool) {
	_, there := replicas[i.Model]
	switch {
	case i.Incarnation != "" && i.Incarnation != r.Incarnation:
		m.end(m.track(i), resultLost)
	case checks && !there && i.Epoch < m.term.first && !m.hasUnload(i):
		m.end(m.track(i), resultFreed)
	}
}

// track opens an entry for an intent of the log that had none.
func (m *Machine) track(i record.Intent) *entry {
	e := &entry{intent: i, seen: m.step, order: m.nextID(), foreign: true, onLog: true, decided: true}
	m.term.entries[i.ID] = e
	return e
}

func (m *Machine) proveEntry(e *entry, r port.Report, replicas map[port.ModelID]port.Replica, checks bool) {
	i := e.intent
	replica, there := replicas[i.Model]
	switch {
	case i.Incarnation != "" && i.Incarnation != r.Incarnation:
		m.end(e, resultLost)
	case i.Kind == port.OrderUnload:
		// Its order is sent, or sent again, until it ends.
	case there && replica.State == port.ReplicaReady && replica.OrderID == i.ID:
		m.end(e, resultLoaded)
	case !there && checks && e.foreign && !e.inFlight && !e.tainted && i.Epoch < m.term.first:
		m.end(e, resultFreed)
	}
}

// hasUnload reports whether an unload of the load's replica is open.
func (m *Machine) hasUnload(i record.Intent) bool {
	for _, o := range m.at(i.Server, i.Model) {
		if o.Kind == port.OrderUnload {
			return true
		}
	}
	return false
}
