package lease

import (
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record/recordpb"
)

// reconcileMember makes the instance a member, and no member once it has
// stopped holding.
func (m *Machine) reconcileMember() {
	eligible := !m.stopping
	if !m.logUp || m.memberOut != "" || m.now < m.memberRetry || m.state.Through() < m.memberAt ||
		m.zone.IsMember(m.cfg.Self) == eligible || m.stopping && m.busy() {
		return
	}
	r := m.memberRecord(m.cfg.Self, eligible)
	m.memberOut = r.Id
	m.emit(Append{Record: r})
}

// busy reports whether a stop must wait for the end of a term or a claim.
func (m *Machine) busy() bool { return m.term != nil || m.claim != nil }

func (m *Machine) memberRecord(id port.InstanceID, eligible bool) *recordpb.Record {
	body := &recordpb.Member{Instance: string(id), Eligible: eligible, PeerAddress: m.addressOf(id)}
	if id == m.cfg.Self && !eligible {
		body.HandedOverBase = int64(m.identitiesBase)
	}
	return newRecord(m, body)
}

func (m *Machine) addressOf(id port.InstanceID) string {
	if id == m.cfg.Self {
		return m.cfg.PeerAddress
	}
	return ""
}

// memberSettled ends an append about members, or a release.
func (m *Machine) memberSettled(e AppendSettled, retry time.Duration) bool {
	if e.RecordID == m.memberOut {
		m.memberOut, m.memberRetry, m.memberAt = "", retry, max(m.memberAt, e.Offset)
		return true
	}
	for id, p := range m.removals {
		if p.settle(e, retry) {
			m.removals[id] = p
			return true
		}
	}
	if m.term != nil && m.term.release == e.RecordID && !e.Appended {
		m.term.release = ""
		return true
	}
	return false
}

// reconcileRemovals takes members off that are silent and gone from the live
// list. Their copies stay required until the next claim.
func (m *Machine) reconcileRemovals() {
	if !m.logUp || !m.live.known {
		return
	}
	for id, p := range m.removals {
		if p.offset > 0 && m.state.Through() >= p.offset {
			delete(m.removals, id)
		}
	}
	for _, o := range m.zone.Members {
		last := max(m.heard[o.Instance], m.term.since)
		if o.Instance == m.cfg.Self || m.live.instances[o.Instance] || m.now < last+m.cfg.MemberTimeout {
			continue
		}
		p := m.removals[o.Instance]
		if p.record == nil {
			p.record = m.memberRecord(o.Instance, false)
		}
		m.give(&p)
		m.removals[o.Instance] = p
	}
}

// handOver begins the planned stop.
func (m *Machine) handOver(e HandOver) {
	m.stopping = true
	m.identitiesBase = e.IdentitiesBase
	if m.claim != nil && m.claim.record == nil {
		m.claim = nil // nobody has seen it
	}
	if m.term == nil {
		return
	}
	for _, e := range m.term.sorted() {
		if !e.decided && !e.foreign && !e.refused {
			m.giveUp(e, RefusedStopping)
		}
	}
}

// reconcileStop releases the term once every decision is in the log, and ends
// when the log shows that the instance is no member any more.
func (m *Machine) reconcileStop() {
	if !m.stopping {
		return
	}
	if m.term != nil {
		m.releaseTerm()
		return
	}
	if m.claim == nil && !m.zone.IsMember(m.cfg.Self) {
		m.stopped = true
		m.emit(Stopped{})
	}
}

func (m *Machine) releaseTerm() {
	t := m.term
	if !m.logUp || m.claim != nil || t.release != "" {
		return
	}
	for _, e := range t.entries {
		if !e.onLog && (e.decided || e.foreign) {
			return
		}
	}
	// The instance decides nothing by copies from here on, even if the release
	// is never seen.
	m.sealed = max(m.sealed, t.epoch)
	r := newRecord(m, &recordpb.Release{Epoch: int64(t.epoch)})
	t.release = r.Id
	m.emit(Append{Record: r})
}
