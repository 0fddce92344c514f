// Package leaderlease implements the lease under which one instance of a deployment places
// models. Other instances take over within seconds from a holder that crashes, is partitioned
// or is suspended. The only coordination primitive is a log with a conditional append: a record
// is accepted only at the expected end of the log.
//
// Package lease is another protocol: it elects the holder of one availability zone and records
// every order as an intent, while this lease covers a whole deployment on the platform and only
// its claims, renewals and releases are recorded.
//
// Invariants:
//   - There is one holder in any prefix of the log: the writer of its last record.
//   - The epoch of a holder is the offset of the first record of its unbroken run of
//     records, plus one. Two holders never share an epoch, and a later holder has a
//     higher one.
//   - A holder that has read a later record of another instance sends no more orders.
//
// Safety doesn't depend on clocks. The epoch is a fencing token: servers reject orders with an
// epoch lower than the highest one they have received, and each order names the state of the
// server that it is based on. Clocks only determine when to claim the lease, and how long a
// holder that can't reach the log continues.
package leaderlease

import "time"

// Record is the log record with which an instance claims, renews or releases the lease.
type Record struct {
	// Holder is the name of the instance, Incarnation identifies its process, and Address is
	// where peers reach it.
	Holder      string `json:"holder"`
	Incarnation string `json:"life"`
	Address     string `json:"address"`
	// Released ends the lease, so that another instance can claim it immediately.
	Released bool `json:"released,omitempty"`
	// Successor is the name of the instance that a holder releases the lease to. The others
	// leave it some time to claim the lease. It is empty if any instance may follow.
	Successor string `json:"successor,omitempty"`
}

// Config configures a State.
type Config struct {
	Self Record
	// LeaseDuration is how long an unreachable holder is waited for.
	LeaseDuration time.Duration
	// Fenced means that servers reject orders with an older epoch.
	Fenced bool
}

const (
	// renewalsPerLease allows one renewal to fail without losing the lease.
	renewalsPerLease = 3
	// outageLeases is how long, in lease durations, a holder that can't renew continues if
	// servers reject superseded epochs. Outages of the log store last about ten seconds,
	// during which no instance can take over.
	outageLeases = 5
	// successorHeadStart is how long the other instances wait for the successor that a holder
	// has named.
	successorHeadStart = 500 * time.Millisecond
)

// State is the lease as known to one instance. It isn't safe for concurrent use. Times are
// readings of a clock that includes suspensions of the machine.
type State struct {
	cfg Config

	initialized bool
	end         int64
	last        Record
	epoch       int64
	lastContact time.Duration
	renewed     time.Duration
	// superseded means that a server rejected this instance's epoch. The log may still accept
	// a renewal if its later records weren't read, so a renewal doesn't reset the flag.
	superseded bool
	// peerRecord is a later lease that a peer reported, which this instance hasn't read from
	// the log yet.
	peerRecord Record
	peerEpoch  int64
}

// New returns a State without any records.
func New(cfg Config) *State { return &State{cfg: cfg} }

// ObserveEnd records that the log was read up to end.
func (s *State) ObserveEnd(end int64, now time.Duration) {
	if !s.initialized {
		s.initialized, s.lastContact = true, now
	}
	s.end = max(s.end, end)
}

// LogRecovered records that the log is readable again after an outage. No holder could renew
// during the outage, so the wait for the current one starts over.
func (s *State) LogRecovered(now time.Duration) {
	if s.initialized {
		s.lastContact = now
	}
}

// HolderResponded records that the holder of the epoch answered a request, which counts like a
// renewal.
func (s *State) HolderResponded(epoch int64, now time.Duration) {
	if _, held, _ := s.Holder(); held == epoch {
		s.lastContact = now
	}
}

// Observe applies a record of the log. Records arrive in log order; a repeated record is
// ignored.
func (s *State) Observe(offset int64, r Record, now time.Duration) {
	if s.initialized && offset < s.end {
		return
	}
	if !s.initialized || r.Incarnation != s.last.Incarnation || s.last.Released {
		s.epoch = offset + 1
		s.superseded = false
	}
	s.initialized, s.end, s.last, s.lastContact = true, offset+1, r, now
}

// Appended records that the log accepted a record of this instance at offset. started is when
// the append was sent.
func (s *State) Appended(offset int64, r Record, started time.Duration) {
	s.Observe(offset, r, started)
	s.renewed = started
}

// ObservePeer records a lease that a peer has read from the log. It only determines where to
// report and whether to stop ordering. Claims and orders require records that this instance
// has read itself.
func (s *State) ObservePeer(r Record, epoch int64) {
	if epoch > s.epoch && epoch > s.peerEpoch {
		s.peerRecord, s.peerEpoch = r, epoch
	}
}

// Holder returns the record and the epoch of the holder; false if there is none.
func (s *State) Holder() (Record, int64, bool) {
	if s.peerEpoch > s.epoch {
		return s.peerRecord, s.peerEpoch, s.peerRecord.Incarnation != s.cfg.Self.Incarnation
	}
	return s.last, s.epoch, s.initialized && s.last.Incarnation != "" && !s.last.Released
}

// IsHolder reports whether this instance holds the lease, as far as it knows.
func (s *State) IsHolder() bool {
	r, _, held := s.Holder()
	return held && r.Incarnation == s.cfg.Self.Incarnation
}

// Epoch returns the epoch of the last record that was read.
func (s *State) Epoch() int64 { return s.epoch }

// LeaseDuration returns how long an unreachable holder is waited for.
func (s *State) LeaseDuration() time.Duration { return s.cfg.LeaseDuration }

// Renewed returns when this instance last claimed or renewed the lease.
func (s *State) Renewed() time.Duration { return s.renewed }

// End returns the offset at which the next record must be appended.
func (s *State) End() int64 { return s.end }

// CanOrder reports whether this instance is allowed to send orders now.
func (s *State) CanOrder(now time.Duration) bool {
	if !s.IsHolder() || s.superseded {
		return false
	}
	limit := s.cfg.LeaseDuration
	if s.cfg.Fenced {
		limit *= outageLeases
	}
	return now-s.renewed < limit
}

// MarkSuperseded records that a server rejected this instance's epoch, and reports whether
// that wasn't known before.
func (s *State) MarkSuperseded() bool {
	first := s.IsHolder() && !s.superseded
	s.superseded = first || s.superseded
	return first
}

// expiryDelay returns how long after the last contact with the holder another instance can
// claim the lease. If servers reject superseded epochs, two missed renewals are enough.
func (s *State) expiryDelay() time.Duration {
	if s.cfg.Fenced {
		return s.cfg.LeaseDuration * (renewalsPerLease - 1) / renewalsPerLease
	}
	return s.cfg.LeaseDuration
}

// NextAppend returns when to append the next record, either to renew the lease or to claim an
// expired one. claimDelay is this instance's ClaimDelay.
func (s *State) NextAppend(claimDelay time.Duration) time.Duration {
	switch {
	case s.IsHolder():
		return s.renewed + s.cfg.LeaseDuration/renewalsPerLease
	case s.last.Incarnation != "" && s.last.Holder == s.cfg.Self.Holder && !s.last.Released:
		// The holder was an earlier process of this instance, which has ended.
		return s.lastContact
	case s.last.Released && s.last.Successor == s.cfg.Self.Holder:
		return s.lastContact
	case s.last.Released && s.last.Successor != "":
		return s.lastContact + successorHeadStart + claimDelay
	case s.last.Incarnation == "" || s.last.Released:
		return s.lastContact + claimDelay
	}
	return s.lastContact + s.expiryDelay() + claimDelay
}
