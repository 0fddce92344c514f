package lease

import (
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record/recordpb"
)

// reconcileMember adds the instance to the members, and removes it during
// shutdown once it neither holds nor claims the lease.
func (m *Machine) reconcileMember() {
	eligible := !m.stopping
	if !m.logUp || m.memberAppendID != "" || m.now < m.memberRetryAt || m.state.Through() < m.memberOffset ||
		m.zone.IsMember(m.cfg.Self) == eligible || m.stopping && m.holdsOrClaims() {
		return
	}
	r := m.memberRecord(m.cfg.Self, eligible)
	m.memberAppendID = r.Id
	m.emit(Append{Record: r})
}

// holdsOrClaims reports whether a shutdown must wait for the end of a lease or a
// claim.
func (m *Machine) holdsOrClaims() bool { return m.held != nil || m.claim != nil }

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

// completeMemberAppend handles the result of an append of a member or release
// record. It reports whether it has handled the result.
func (m *Machine) completeMemberAppend(e AppendCompleted, retry time.Duration) bool {
	if e.RecordID == m.memberAppendID {
		m.memberAppendID, m.memberRetryAt, m.memberOffset = "", retry, max(m.memberOffset, e.Offset)
		return true
	}
	for id, p := range m.removals {
		if p.complete(e, retry) {
			m.removals[id] = p
			return true
		}
	}
	if m.held != nil && m.held.releaseID == e.RecordID && !e.Appended {
		m.held.releaseID = ""
		return true
	}
	return false
}

// reconcileRemovals removes members that are unreachable and absent from the
// live list. They stay copy holders, so their copies are required until the next
// claim.
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
		last := max(m.lastContact[o.Instance], m.held.heldSince)
		if o.Instance == m.cfg.Self || m.live.instances[o.Instance] || m.now < last+m.cfg.MemberTimeout {
			continue
		}
		p := m.removals[o.Instance]
		if p.record == nil {
			p.record = m.memberRecord(o.Instance, false)
		}
		m.appendIfDue(&p)
		m.removals[o.Instance] = p
	}
}

// handleHandOver starts the planned shutdown.
func (m *Machine) handleHandOver(e HandOver) {
	m.stopping = true
	m.identitiesBase = e.IdentitiesBase
	if m.claim != nil && m.claim.record == nil {
		m.claim = nil // the claim has not been appended
	}
	if m.held == nil {
		return
	}
	for _, e := range m.held.sorted() {
		if !e.decided && !e.inherited && !e.refused {
			m.abandon(e, RefusedStopping)
		}
	}
}

// reconcileShutdown releases the lease once every decision is in the log. The
// shutdown is complete when the log shows that the instance is no longer a
// member.
func (m *Machine) reconcileShutdown() {
	if !m.stopping {
		return
	}
	if m.held != nil {
		m.releaseLease()
		return
	}
	if m.claim == nil && !m.zone.IsMember(m.cfg.Self) {
		m.stopped = true
		m.emit(Stopped{})
	}
}

func (m *Machine) releaseLease() {
	t := m.held
	if !m.logUp || m.claim != nil || t.releaseID != "" {
		return
	}
	for _, e := range t.entries {
		if !e.inLog && (e.decided || e.inherited) {
			return
		}
	}
	// From here on the instance decides nothing by copies, even if the release never
	// reaches the log.
	m.sealed = max(m.sealed, t.epoch)
	r := newRecord(m, &recordpb.Release{Epoch: int64(t.epoch)})
	t.releaseID = r.Id
	m.emit(Append{Record: r})
}
