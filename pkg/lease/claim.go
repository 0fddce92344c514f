package lease

import (
	"maps"
	"slices"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fold"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record/recordpb"
)

// claim is an attempt to acquire or renew the lease.
type claim struct {
	supersedes port.Epoch
	copies     map[string]record.Intent
	// pendingSeals are the copy holders whose response to the seal request is
	// awaited.
	pendingSeals map[port.InstanceID]bool
	deadline     time.Duration
	// sealConfirmed is set once no more copies of the superseded epoch can be
	// decided, and all decided ones are in copies.
	sealConfirmed bool
	// record is set once the claim record was built. Its payload never changes.
	record   *recordpb.Record
	inFlight bool
	retryAt  time.Duration
	// offset is set once the record is known to be in the log.
	offset port.Offset
}

// reconcileClaim starts a claim if one is due, and advances the current one.
func (m *Machine) reconcileClaim() {
	if m.claim == nil && m.claimDue() {
		m.startClaim()
	}
	c := m.claim
	if c == nil {
		return
	}
	if c.record == nil && !c.sealConfirmed && (len(c.pendingSeals) == 0 || m.now >= c.deadline) {
		m.buildClaimRecord()
	}
	if c.record != nil && !c.inFlight && c.offset == 0 && m.logUp && m.now >= c.retryAt {
		c.inFlight = true
		m.emit(Append{Record: c.record})
	}
}

// claimDue reports whether a claim should start. A claim needs the log, and its
// writer stores no copies while it is in progress, so none starts while the log
// is unavailable.
func (m *Machine) claimDue() bool {
	if !m.logUp || m.stopping || !m.zone.IsMember(m.cfg.Self) {
		return false
	}
	if m.held != nil {
		return m.renewalDue()
	}
	if m.zone.Epoch > 0 && !m.zone.Released && !m.holderUnreachable() {
		m.vacant = false
		return false
	}
	if !m.vacant {
		m.vacant, m.vacantSince = true, m.now
	}
	return m.now >= m.vacantSince+time.Duration(m.rank())*m.cfg.ClaimStagger
}

func (m *Machine) holderUnreachable() bool {
	if m.zone.Holder == m.cfg.Self {
		return false // the lease begins in the Step that reads the claim
	}
	last := max(m.lastContact[m.zone.Holder], m.epochSeenAt)
	return m.now >= last+m.cfg.HeartbeatTimeout
}

// rank counts the reachable members that claim before this instance, which are
// those with a smaller id.
func (m *Machine) rank() int {
	rank := 0
	for _, o := range m.zone.Members {
		at, ok := m.lastContact[o.Instance]
		recent := ok && m.now < at+m.cfg.HeartbeatTimeout && !m.leaving[o.Instance]
		if o.Instance < m.cfg.Self && recent {
			rank++
		}
	}
	return rank
}

// renewalDue reports whether the holder should claim again: to add new members
// to the copy holders, to end an epoch against which a copy holder is sealed, or
// to record that suspect epochs are resolved. A renewal waits until every intent
// of the epoch is in the log.
func (m *Machine) renewalDue() bool {
	t := m.held
	if t.releaseID != "" || m.now < m.lastClaim+m.cfg.ReclaimInterval {
		return false
	}
	for _, e := range t.entries {
		if !e.inLog {
			return false
		}
	}
	return m.sealed >= t.epoch || t.copyRefused || !sameInstances(m.zone.Members, m.zone.CopyHolders) ||
		len(m.openSuspects()) < len(m.zone.SuspectEpochs)
}

func sameInstances(a, b []fold.Member) bool {
	return slices.EqualFunc(a, b, func(x, y fold.Member) bool { return x.Instance == y.Instance })
}

// startClaim seals the instance itself. If the epoch was not released and this
// instance isn't one of its copy holders, it also asks the copy holders to seal
// themselves.
func (m *Machine) startClaim() {
	e := m.zone.Epoch
	c := &claim{supersedes: e, copies: map[string]record.Intent{}, pendingSeals: map[port.InstanceID]bool{}}
	m.claim = c
	m.lastClaim = m.now
	m.sealed = max(m.sealed, e)
	for id, i := range m.copies {
		if i.Epoch == e {
			c.copies[id] = i
		}
	}
	c.sealConfirmed = e == 0 || m.zone.Released || m.zone.IsCopyHolder(m.cfg.Self) || m.cfg.faults.skipSeal
	if c.sealConfirmed {
		m.buildClaimRecord()
		return
	}
	c.deadline = m.now + m.cfg.SealTimeout
	targets := m.zone.CopyHolders
	if m.cfg.faults.sealAnyMember {
		targets = m.zone.Members
	}
	for _, o := range targets {
		if o.Instance != m.cfg.Self {
			c.pendingSeals[o.Instance] = true
			m.emit(SendSeal{To: o, Epoch: e})
		}
	}
}

func (m *Machine) handleSealReply(e SealReply) {
	m.resolveSuspectBySeal(e)
	c := m.claim
	if c == nil || c.record != nil || e.Epoch != c.supersedes || !c.pendingSeals[e.From] {
		return
	}
	delete(c.pendingSeals, e.From)
	if !e.Sealed {
		return
	}
	for _, i := range e.Copies {
		if i.Epoch == c.supersedes && i.Zone == m.cfg.Zone {
			c.copies[i.ID] = i
		}
	}
	c.sealConfirmed = true
	m.buildClaimRecord()
}

func (m *Machine) handleSealFailed(e SealFailed) {
	if c := m.claim; c != nil && e.Epoch == c.supersedes {
		delete(c.pendingSeals, e.From)
	}
}

// buildClaimRecord builds the record of the claim.
func (m *Machine) buildClaimRecord() {
	c := m.claim
	body := &recordpb.Claim{Supersedes: int64(c.supersedes)}
	for _, id := range slices.Sorted(maps.Keys(c.copies)) {
		if _, open := m.zone.Intent(id); !open && !m.zone.RecentlyClosed(id) {
			body.Copies = append(body.Copies, c.copies[id].Proto())
		}
	}
	for _, e := range m.openSuspects() {
		if m.cfg.faults.omitSuspects {
			break
		}
		body.Doubtful = append(body.Doubtful, int64(e))
	}
	if !c.sealConfirmed {
		body.Doubtful = append(body.Doubtful, int64(c.supersedes))
	}
	c.record = newRecord(m, body)
}

// updateClaim ends the claim once the log shows its result.
func (m *Machine) updateClaim() {
	c := m.claim
	if c == nil {
		return
	}
	if m.zone.Epoch != c.supersedes {
		if m.zone.Holder == m.cfg.Self {
			c.offset = m.zone.Epoch
			return // updateLease completes the claim
		}
		m.claim = nil
		return
	}
	if c.offset > 0 && m.state.Through() >= c.offset {
		m.claim = nil // void although no other claim won: this instance is no longer a member
	}
}

// completeClaim ends a successful claim and returns the epoch that it
// superseded; zero if there is no successful claim.
func (m *Machine) completeClaim() port.Epoch {
	c := m.claim
	if c == nil || c.offset != m.zone.Epoch {
		return 0
	}
	m.claim = nil
	return c.supersedes
}
