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

// claim is an attempt to open a term.
type claim struct {
	supersedes port.Epoch
	copies     map[string]record.Intent
	// waiting are the copy holders whose answer to the seal is awaited.
	waiting  map[port.InstanceID]bool
	deadline time.Duration
	// sealedOne says that no copy of the superseded epoch can be decided any
	// more, and that all decided ones are in copies.
	sealedOne bool
	// record is set once the claim itself is made. Its payload never changes.
	record *recordpb.Record
	out    bool
	retry  time.Duration
	// offset is set once the record is known to be in the log.
	offset port.Offset
}

// reconcileClaim starts and drives a claim.
func (m *Machine) reconcileClaim() {
	if m.claim == nil && m.wantsClaim() {
		m.startClaim()
	}
	c := m.claim
	if c == nil {
		return
	}
	if c.record == nil && !c.sealedOne && (len(c.waiting) == 0 || m.now >= c.deadline) {
		m.makeClaim()
	}
	if c.record != nil && !c.out && c.offset == 0 && m.logUp && m.now >= c.retry {
		c.out = true
		m.emit(Append{Record: c.record})
	}
}

// wantsClaim reports whether a claim is due. A claim needs the log, and while
// one is under way its writer stores no copies, so none starts while the log
// is away.
func (m *Machine) wantsClaim() bool {
	if !m.logUp || m.stopping || !m.zone.IsMember(m.cfg.Self) {
		return false
	}
	if m.term != nil {
		return m.wantsRenewal()
	}
	if m.zone.Epoch > 0 && !m.zone.Released && !m.holderSilent() {
		m.vacant = false
		return false
	}
	if !m.vacant {
		m.vacant, m.vacantSince = true, m.now
	}
	return m.now >= m.vacantSince+time.Duration(m.rank())*m.cfg.ClaimStagger
}

func (m *Machine) holderSilent() bool {
	if m.zone.Holder == m.cfg.Self {
		return false // the term begins with the same state that shows it
	}
	last := max(m.heard[m.zone.Holder], m.epochAt)
	return m.now >= last+m.cfg.HeartbeatTimeout
}

// rank counts the members that were heard from lately and claim earlier.
func (m *Machine) rank() int {
	rank := 0
	for _, o := range m.zone.Members {
		at, ok := m.heard[o.Instance]
		recent := ok && m.now < at+m.cfg.HeartbeatTimeout && !m.leaving[o.Instance]
		if o.Instance < m.cfg.Self && recent {
			rank++
		}
	}
	return rank
}

// wantsRenewal reports whether the holder should claim again: to take new
// members among the copy holders, to leave an epoch that a copy holder is sealed
// against, or to record that doubts are settled. It waits until nothing of the epoch is outside the log.
func (m *Machine) wantsRenewal() bool {
	t := m.term
	if t.release != "" || m.now < m.lastClaim+m.cfg.ReclaimInterval {
		return false
	}
	for _, e := range t.entries {
		if !e.onLog {
			return false
		}
	}
	return m.sealed >= t.epoch || t.copyRefused || !sameInstances(m.zone.Members, m.zone.CopyHolders) ||
		len(m.openDoubts()) < len(m.zone.Doubts)
}

func sameInstances(a, b []fold.Member) bool {
	return slices.EqualFunc(a, b, func(x, y fold.Member) bool { return x.Instance == y.Instance })
}

// startClaim seals the instance itself and, unless that suffices, asks the copy
// holders to seal themselves.
func (m *Machine) startClaim() {
	e := m.zone.Epoch
	c := &claim{supersedes: e, copies: map[string]record.Intent{}, waiting: map[port.InstanceID]bool{}}
	m.claim = c
	m.lastClaim = m.now
	m.sealed = max(m.sealed, e)
	for id, i := range m.copies {
		if i.Epoch == e {
			c.copies[id] = i
		}
	}
	c.sealedOne = e == 0 || m.zone.Released || m.zone.IsCopyHolder(m.cfg.Self) || m.cfg.faults.skipSeal
	if c.sealedOne {
		m.makeClaim()
		return
	}
	c.deadline = m.now + m.cfg.SealTimeout
	targets := m.zone.CopyHolders
	if m.cfg.faults.sealAnyMember {
		targets = m.zone.Members
	}
	for _, o := range targets {
		if o.Instance != m.cfg.Self {
			c.waiting[o.Instance] = true
			m.emit(SendSeal{To: o, Epoch: e})
		}
	}
}

func (m *Machine) sealReply(e SealReply) {
	m.doubtSealReply(e)
	c := m.claim
	if c == nil || c.record != nil || e.Epoch != c.supersedes || !c.waiting[e.From] {
		return
	}
	delete(c.waiting, e.From)
	if !e.Sealed {
		return
	}
	for _, i := range e.Copies {
		if i.Epoch == c.supersedes && i.Zone == m.cfg.Zone {
			c.copies[i.ID] = i
		}
	}
	c.sealedOne = true
	m.makeClaim()
}

func (m *Machine) sealFailed(e SealFailed) {
	if c := m.claim; c != nil && e.Epoch == c.supersedes {
		delete(c.waiting, e.From)
	}
}

// makeClaim fixes the claim's record.
func (m *Machine) makeClaim() {
	c := m.claim
	body := &recordpb.Claim{Supersedes: int64(c.supersedes)}
	for _, id := range slices.Sorted(maps.Keys(c.copies)) {
		if _, open := m.zone.Intent(id); !open && !m.zone.Closed(id) {
			body.Copies = append(body.Copies, c.copies[id].Proto())
		}
	}
	for _, e := range m.openDoubts() {
		if m.cfg.faults.forgetDoubts {
			break
		}
		body.Doubtful = append(body.Doubtful, int64(e))
	}
	if !c.sealedOne {
		body.Doubtful = append(body.Doubtful, int64(c.supersedes))
	}
	c.record = newRecord(m, body)
}

// foldedClaim ends the attempt once the log shows how it went.
func (m *Machine) foldedClaim() {
	c := m.claim
	if c == nil {
		return
	}
	if m.zone.Epoch != c.supersedes {
		if m.zone.Holder == m.cfg.Self {
			c.offset = m.zone.Epoch
			return // foldedTerm ends it
		}
		m.claim = nil
		return
	}
	if c.offset > 0 && m.state.Through() >= c.offset {
		m.claim = nil // void although nobody else claimed: no longer a member
	}
}

// lastSuperseded ends a successful attempt and returns the epoch that it
// superseded.
func (m *Machine) lastSuperseded() port.Epoch {
	c := m.claim
	if c == nil || c.offset != m.zone.Epoch {
		return 0
	}
	m.claim = nil
	return c.supersedes
}
