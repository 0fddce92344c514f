package lease

import (
	"slices"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record"
)

// serverSync is the progress of the holder in raising a server's fencing token
// and reading its state.
type serverSync struct {
	// fenceRaised is set once the server rejects the fencing tokens of earlier
	// leases.
	fenceRaised bool
	raiseToken  uint64
	readToken   uint64
	// readSeq is the sequence number of the event at which the read in flight was
	// requested, and readThrough the log offset at that time. The read proves
	// nothing about later intents.
	readSeq     uint64
	readThrough port.Offset
	retryAt     time.Duration
	// missing is set while the live list doesn't contain the server, and missingAt
	// is when that began.
	missing   bool
	missingAt time.Duration
	// verified is set once the holder can decide on the server.
	verified bool
	// rereadNeeded requests another read.
	rereadNeeded bool
	// seenIncarnation is the incarnation in the latest requested read.
	seenIncarnation string
}

// reconcileServerSyncs raises the fencing token and reads each server for which
// that is due.
func (m *Machine) reconcileServerSyncs() {
	var due []port.ServerID
	for id, v := range m.held.serverSyncs {
		if v.verified && !v.fenceRaised && m.fenceRequired(id) {
			v.verified = false // the targets now declare that the server checks fencing tokens
		}
		if (!v.verified || v.rereadNeeded) && v.raiseToken == 0 && v.readToken == 0 && m.now >= v.retryAt {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	for _, id := range due {
		v := m.held.serverSyncs[id]
		if !m.cfg.FencingKnown(id) {
			continue
		}
		if !v.fenceRaised && m.fenceRequired(id) {
			v.raiseToken = m.nextID()
			m.emit(RaiseFence{Token: v.raiseToken, Server: id, Fence: m.held.epoch})
			continue
		}
		if !m.cfg.ChecksFencing(id) && !m.suspectsResolved() {
			continue
		}
		v.readToken, v.readSeq, v.readThrough = m.nextID(), m.eventSeq, m.state.Through()
		m.emit(ReadServer{Token: v.readToken, Server: id})
	}
}

// reconcileMissingServers closes the intents of servers that have been absent
// from the live list for longer than its lag plus the lifetime of an order. A
// server that returns is read again before anything is decided on it.
func (m *Machine) reconcileMissingServers() {
	m.trackServers()
	var gone []port.ServerID
	for id, v := range m.held.serverSyncs {
		switch {
		case m.live.servers[id]:
			v.missing = false
		case !v.missing:
			v.missing, v.missingAt = true, m.now
		case m.now >= v.missingAt+m.cfg.LiveLag+m.cfg.OrderLifetime:
			gone = append(gone, id)
		}
	}
	slices.Sort(gone)
	for _, id := range gone {
		m.closeIntentsOn(id)
		delete(m.held.serverSyncs, id)
	}
}

// trackServers adds the servers that the live list or an open intent names.
func (m *Machine) trackServers() {
	for id := range m.live.servers {
		if m.held.serverSyncs[id] == nil {
			m.held.serverSyncs[id] = &serverSync{}
		}
	}
	for _, e := range m.held.entries {
		if s := e.intent.Server; m.held.serverSyncs[s] == nil && e.result == resultNone {
			m.held.serverSyncs[s] = &serverSync{}
		}
	}
}

func (m *Machine) closeIntentsOn(s port.ServerID) {
	for i := range m.zone.IntentsOn(s) {
		if m.held.entries[i.ID] == nil && !m.held.freedLoads[i.ID] {
			m.addEntry(i.Intent)
		}
	}
	for _, e := range m.held.sorted() {
		if e.intent.Server == s && e.result != resultFreed && e.result != resultLost {
			m.closeEntry(e, resultLost)
			e.outcome = pendingAppend{}
		}
	}
}

func (m *Machine) fenceRequired(id port.ServerID) bool {
	return m.cfg.ChecksFencing(id) && !m.cfg.faults.skipFence
}

// suspectsResolved reports whether no holder of a suspect epoch can still decide
// on a server that doesn't check fencing tokens. A sole copy holder never
// decides there.
func (m *Machine) suspectsResolved() bool {
	if m.cfg.faults.ignoreSuspects {
		return true
	}
	for _, d := range m.held.suspects {
		if d.resolvedSeq == 0 && !d.soleCopyHolder() {
			return false
		}
	}
	return true
}

// decisionsAllowed reports whether decisions can start. While an epoch is
// suspect, every known server that checks fencing tokens must have been fenced
// and read first.
func (m *Machine) decisionsAllowed() bool {
	for _, d := range m.held.suspects {
		if d.resolvedSeq == 0 {
			return m.fencedServersVerified()
		}
	}
	return true
}

func (m *Machine) fencedServersVerified() bool {
	for id, v := range m.held.serverSyncs {
		gone := m.live.known && !m.live.servers[id]
		mustVerify := m.cfg.ChecksFencing(id) || !m.cfg.FencingKnown(id)
		if mustVerify && !v.verified && !gone {
			return false
		}
	}
	return m.live.known
}

func (m *Machine) handleFenceRaised(e FenceRaised) {
	if m.held == nil {
		return
	}
	v := m.held.serverSyncs[e.Server]
	if v == nil || e.Token == 0 || v.raiseToken != e.Token {
		return
	}
	v.raiseToken = 0
	if e.Err != nil {
		v.retryAt = m.now + m.cfg.Retry
		return
	}
	v.fenceRaised = true
}

// handleServerRead processes a report. Only a requested read is used as proof.
// An unrequested report with an unexpected incarnation causes a new read.
func (m *Machine) handleServerRead(e ServerRead) {
	if m.held == nil {
		return
	}
	v := m.held.serverSyncs[e.Report.Server]
	if v == nil {
		return
	}
	if e.Token == 0 || v.readToken != e.Token {
		if v.verified && e.Err == nil && e.Report.Incarnation != v.seenIncarnation {
			v.rereadNeeded = true
		}
		return
	}
	v.readToken = 0
	checks := m.cfg.ChecksFencing(e.Report.Server)
	fenced := v.fenceRaised && e.Report.Fence >= m.held.takeoverEpoch || m.cfg.faults.skipFence
	if e.Err != nil || checks && !fenced {
		// An engine that has restarted no longer has the fencing token.
		v.fenceRaised = v.fenceRaised && e.Err != nil
		v.retryAt = m.now + m.cfg.Retry
		return
	}
	if !v.verified {
		m.adoptReplicas(e.Report)
	}
	v.verified, v.rereadNeeded, v.seenIncarnation = true, false, e.Report.Incarnation
	m.closeProvenIntents(e.Report, v, checks)
}

// adoptReplicas adds the replicas that no intent explains to this lease. It runs
// before the first decision on the server, so this lease has ordered none of
// them.
func (m *Machine) adoptReplicas(r port.Report) {
	for _, p := range r.Replicas {
		if p.State == port.ReplicaUnloading || m.hasLoad(r.Server, p.Model) {
			continue
		}
		id := p.OrderID
		if id == "" || m.zone.RecentlyClosed(id) {
			id = string(m.cfg.Self) + "/" + string(r.Server) + "/" + string(p.Model)
		}
		e := m.adopt(record.Intent{
			ID: id, Kind: port.OrderLoad, Model: p.Model, Server: r.Server, Bytes: p.Bytes,
			Incarnation: r.Incarnation, Reason: "found loaded by a new holder",
		})
		if e != nil && p.State == port.ReplicaReady {
			m.closeEntry(e, resultLoaded)
		}
	}
}

func (m *Machine) hasLoad(s port.ServerID, model port.ModelID) bool {
	for _, o := range m.intentsFor(s, model) {
		if o.Kind == port.OrderLoad {
			return true
		}
	}
	return false
}

// closeProvenIntents closes the intents that, according to the report, have
// ended or are ready.
func (m *Machine) closeProvenIntents(r port.Report, v *serverSync, checks bool) {
	replicas := map[port.ModelID]port.Replica{}
	for _, p := range r.Replicas {
		replicas[p.Model] = p
	}
	for i := range m.zone.IntentsOn(r.Server) {
		if i.Loaded && i.Offset <= v.readThrough && m.held.entries[i.ID] == nil && !m.held.freedLoads[i.ID] {
			m.checkLoaded(i.Intent, r, replicas, checks)
		}
	}
	for _, e := range m.held.sorted() {
		if e.intent.Server == r.Server && e.result == resultNone && e.createdSeq <= v.readSeq {
			m.checkEntry(e, r, replicas, checks)
		}
	}
}

// checkLoaded closes a loaded intent if the engine has restarted. It also closes
// one of an earlier lease if the server checks fencing tokens and the replica is
// missing from a report made after the token was raised.
func (m *Machine) checkLoaded(i record.Intent, r port.Report, replicas map[port.ModelID]port.Replica, checks bool) {
	_, there := replicas[i.Model]
	switch {
	case i.Incarnation != "" && i.Incarnation != r.Incarnation:
		m.closeEntry(m.addEntry(i), resultLost)
	case checks && !there && i.Epoch < m.held.takeoverEpoch && !m.hasUnload(i):
		m.closeEntry(m.addEntry(i), resultFreed)
	}
}

// addEntry creates an entry for an intent of the log that has none.
func (m *Machine) addEntry(i record.Intent) *entry {
	e := &entry{intent: i, createdSeq: m.eventSeq, index: m.nextID(), inherited: true, inLog: true, decided: true}
	m.held.entries[i.ID] = e
	return e
}

func (m *Machine) checkEntry(e *entry, r port.Report, replicas map[port.ModelID]port.Replica, checks bool) {
	i := e.intent
	replica, there := replicas[i.Model]
	switch {
	case i.Incarnation != "" && i.Incarnation != r.Incarnation:
		m.closeEntry(e, resultLost)
	case i.Kind == port.OrderUnload:
		// The order of an unload is sent, or sent again, until its result is known.
	case there && replica.State == port.ReplicaReady && replica.OrderID == i.ID:
		m.closeEntry(e, resultLoaded)
	case !there && checks && e.inherited && !e.inFlight && !e.uncertain && i.Epoch < m.held.takeoverEpoch:
		m.closeEntry(e, resultFreed)
	}
}

// hasUnload reports whether an unload of the load's replica is open.
func (m *Machine) hasUnload(i record.Intent) bool {
	for _, o := range m.intentsFor(i.Server, i.Model) {
		if o.Kind == port.OrderUnload {
			return true
		}
	}
	return false
}
