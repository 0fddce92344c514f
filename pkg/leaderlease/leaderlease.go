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
//   - There is one holder in any prefix of the log: the writer of its last record that is of the log's
//     history. A record of an earlier history claims nothing.
//   - Two holders never share an epoch, and a later holder has a higher one, whatever the log has lost.
//     A claim states its epoch: at least one more than that of the record before it and than its own
//     offset. The first claim in a history adds eraEpochs for each era, so that it is higher than all
//     epochs of earlier histories, also of those whose records are lost.
//   - In a new history the lease is claimed anew. Only the holder may do so at once, and only while its
//     lease runs: nobody else can have claimed it meanwhile. The others wait for a whole lease duration,
//     in which a holder of the former history that doesn't know of the new one ceases to order.
//   - A record is proposed from the same state in which it was found to be due. If the log grows before it is
//     appended, its condition fails, and it is judged anew.
//   - Without fencing no order is under way when the lease of its epoch ends, and none of a later epoch is sent
//     before those of an earlier one have ended.
//   - A holder sends no orders while it releases the lease, and releases it when none is under way. Without fencing
//     it sends none either after a release whose answer got lost, until a later answer shows that it holds the lease.
//   - An instance that has sent orders, and after which another one has held the lease, claims it again only when a
//     lease duration has passed: holders don't take turns within it.
//   - A holder that has read a later record of another instance sends no more orders. What it is told of
//     its own lease never counts.
//
// Safety doesn't depend on clocks within one history. The epoch is a fencing token: servers reject orders
// with an epoch lower than the highest one they have received, and each order names the state of the
// server that it is based on. Clocks determine when to claim the lease, and how long a holder that can't
// reach the log continues.
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
	// Epoch is the epoch of the holder; 0 in records of builds that don't state it.
	Epoch int64 `json:"epoch,omitempty"`
	// Era is the era of the log's history that the record was written for; 0 if the log states none, and
	// in records of builds that don't state it.
	Era int64 `json:"era,omitempty"`
}

// Config configures a State.
type Config struct {
	Self Record
	// LeaseDuration is how long an unreachable holder is waited for.
	LeaseDuration time.Duration
	// OrderTimeout is how long an order can be under way.
	OrderTimeout time.Duration
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
	// eraEpochs is how many epochs each era of the log's history adds. It is more than the records that
	// the topic of the lease can lose in one drill.
	eraEpochs = 1 << 20
	// maxEras is the number of eras that are told apart by their epochs alone. MaxEpoch bounds epochs, so
	// that they fit into JSON numbers and into the sequences that are derived from them.
	maxEras = 1 << 18
	// MaxEpoch is the highest epoch that is believed.
	MaxEpoch = 1<<39 - 1
)

// State is the lease as known to one instance. It isn't safe for concurrent use. Times are
// readings of a clock that includes suspensions of the machine.
type State struct {
	cfg Config

	initialized bool
	// era is the era of the log's history; 0 if the log states none.
	era int64
	end int64
	// endKnownAt is when the end was last learned.
	endKnownAt time.Duration
	// copiedUntil is the offset before which records are those of a copy from which the log came back.
	copiedUntil int64
	// unclaimed means that nobody is known to have claimed the lease in the log's current history. The
	// last record is of an earlier one then. ranOn means that this instance held the lease when it learned
	// of the new history, and that its lease was running.
	unclaimed, ranOn bool
	last             Record
	epoch            int64
	// derived means that the epoch was derived from a record that needn't be the first one of the holder's
	// run. The holder's epoch isn't higher.
	derived bool
	// highest is the highest epoch that is known from any history, or from a peer.
	highest     int64
	lastContact time.Duration
	renewed     time.Duration
	// superseded means that a server rejected this instance's epoch. The log may still accept
	// a renewal if its later records weren't read, so a renewal doesn't reset the flag.
	superseded bool
	// orders is the number of orders that are under way, and ordersEpoch their epoch.
	orders      int
	ordersEpoch int64
	// releasing means that a release is about to be appended, or is being appended. releaseLost means that the answer to
	// one got lost, so that the log may have accepted it.
	releasing, releaseLost bool
	// orderedAt is when an order of this instance was last under way, possibly one of an earlier process.
	orderedAt time.Duration
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
		// An empty log may be a copy from before the first claim.
		s.initialize(now)
		s.lastContact, s.unclaimed = now, s.era > 0
	}
	s.advance(end, now)
}

// initialize records that the log has been read. An earlier process of this instance may have sent orders until now.
func (s *State) initialize(now time.Duration) {
	if s.initialized {
		return
	}
	s.initialized, s.orderedAt = true, now
	if s.cfg.Fenced {
		s.orderedAt -= s.cfg.LeaseDuration
	}
}

func (s *State) advance(end int64, now time.Duration) {
	if end > s.end {
		s.end, s.endKnownAt = end, now
	}
}

// BeginHistory records that the log was read from its beginning on, and up to end, in a history of
// this era; 0 if the log states none. started is when the read was started. It reports whether the log
// has come back from an older copy since it was read last: the era is another one, or the log ends before
// an end that was known when the read was started.
func (s *State) BeginHistory(era, end int64, started, now time.Duration) bool {
	if !s.initialized {
		s.era = era
		return false
	}
	if era == s.era && (end >= s.end || started < s.endKnownAt) {
		return false
	}
	s.ranOn = (s.ranOn || s.IsHolder()) && now-s.renewed < s.cfg.LeaseDuration
	s.unclaimed = true
	s.era, s.end, s.endKnownAt, s.copiedUntil, s.lastContact = era, end, now, end, now
	s.releasing, s.releaseLost = false, false
	return true
}

// LogRecovered records that the log is readable again after an outage. No holder could renew
// during the outage, so the wait for the current one starts over.
func (s *State) LogRecovered(now time.Duration) {
	if s.initialized {
		s.lastContact = now
	}
}

// HolderResponded records that the instance that Holder returns answered a request and stated this epoch, which
// counts like a renewal if it is that of the lease.
func (s *State) HolderResponded(epoch int64, now time.Duration) {
	switch {
	case s.peerEpoch > s.epoch:
		// A build that states no epochs may have derived a later one and told it.
		s.peerEpoch = epoch
	case s.derived && epoch > 0 && epoch < s.epoch:
		s.epoch = epoch
	}
	if _, held, _ := s.Holder(); held != epoch {
		return
	}
	s.derived = s.derived && epoch != s.epoch
	if !s.unclaimed {
		s.lastContact = now
	}
}

// Observe applies a record of the log. Records arrive in log order; a repeated record is
// ignored.
func (s *State) Observe(offset int64, r Record, now time.Duration) {
	if s.initialized && offset < s.end && offset >= s.copiedUntil {
		return
	}
	if s.isFormer(offset, r) {
		s.observeFormer(offset, r, now)
		return
	}
	first := s.last.Incarnation == "" || s.unclaimed
	if first || r.Incarnation != s.last.Incarnation || s.last.Released || r.Epoch > 0 && r.Epoch != s.epoch {
		s.derived = r.Epoch == 0 && offset > 0 && (!s.initialized || s.unclaimed)
		s.epoch = epochOf(offset, r)
		s.superseded = false
	}
	s.highest = max(s.highest, s.epoch)
	s.initialize(now)
	s.unclaimed, s.ranOn, s.last, s.lastContact = false, false, r, now
	// The condition of a release that is on its way fails now.
	s.releasing, s.releaseLost = false, false
	s.advance(offset+1, now)
}

// epochOf returns the epoch that the first record of a run states, or that it has by its offset.
func epochOf(offset int64, r Record) int64 {
	if r.Epoch > 0 && r.Epoch <= MaxEpoch {
		return r.Epoch
	}
	return offset + 1
}

// isFormer reports whether a record was written for an earlier history: it was copied, or its append
// was accepted in another history than the one that it was based on.
func (s *State) isFormer(offset int64, r Record) bool {
	if r.Era == 0 || s.era == 0 {
		return offset < s.copiedUntil
	}
	return r.Era != s.era
}

// observeFormer applies a record of an earlier history, which only says who was the holder.
func (s *State) observeFormer(offset int64, r Record, now time.Duration) {
	s.highest = max(s.highest, epochOf(offset, r))
	if !s.initialized {
		s.initialize(now)
		s.unclaimed, s.lastContact = true, now
	}
	if s.unclaimed && s.last.Incarnation == "" {
		s.last, s.epoch = r, epochOf(offset, r)
	}
	s.advance(offset+1, now)
}

// Proposal is a record to append, decided and made from one state of the log as it was read.
type Proposal struct {
	// At is the offset at which the record must be appended. If the log has grown since, it doesn't end there.
	At     int64
	Record Record
	// Renewal means that the record renews the lease of its holder. Otherwise it claims or releases it.
	Renewal bool
}

// Propose returns the record with which to claim or renew the lease, and whether that is due. A record that
// isn't due must not be appended. claimDelay is this instance's ClaimDelay.
func (s *State) Propose(claimDelay, now time.Duration) (p Proposal, due bool) {
	p = s.proposal()
	p.Renewal = s.IsHolder()
	return p, s.initialized && now >= s.NextAppend(claimDelay)
}

// ProposeRelease returns the record with which to release the lease, to the successor unless it is empty, and
// whether it can be appended: only when no order is under way. From then on this instance sends no orders until
// NotAppended says that it still holds the lease.
func (s *State) ProposeRelease(successor string) (p Proposal, due bool) {
	p = s.proposal()
	p.Record.Released, p.Record.Successor = true, successor
	s.releasing = s.IsHolder()
	return p, s.releasing && s.orders == 0
}

// NotAppended records that the log didn't accept a proposal. refused means that it can't accept it any more;
// otherwise the answer got lost.
func (s *State) NotAppended(p Proposal, refused bool) {
	if p.Record.Released {
		s.releasing, s.releaseLost = false, s.releaseLost || !refused
	}
}

// KeepLease records that a release is no longer pursued, and that none is being appended.
func (s *State) KeepLease() { s.releasing = false }

func (s *State) proposal() Proposal {
	r := s.cfg.Self
	r.Era, r.Epoch = s.era, s.epoch
	if !s.IsHolder() {
		r.Epoch = s.nextEpoch()
	}
	return Proposal{At: s.end, Record: r}
}

// nextEpoch returns the epoch of a claim at the end of the log.
func (s *State) nextEpoch() int64 {
	epoch := max(s.end, s.highest) + 1
	if s.unclaimed {
		epoch = max(epoch, s.era%maxEras*eraEpochs+s.end+1)
	}
	return epoch
}

// Appended records that the log accepted a record of this instance at offset. started is when
// the append was sent, and now when its answer arrived.
func (s *State) Appended(offset int64, r Record, started, now time.Duration) {
	s.Observe(offset, r, started)
	s.renewed, s.endKnownAt = started, now
}

// ObservePeer records a lease that a peer has read from the log. It only determines where to
// report and whether to stop ordering. Claims and orders require records that this instance
// has read itself.
func (s *State) ObservePeer(r Record, epoch int64) {
	if epoch > MaxEpoch || epoch <= s.epoch || epoch <= s.peerEpoch || r.Incarnation == s.cfg.Self.Incarnation {
		return // what this instance did is known best by itself
	}
	s.peerRecord, s.peerEpoch = r, epoch
	s.highest = max(s.highest, epoch)
}

// Holder returns the record and the epoch of the holder; false if there is none.
func (s *State) Holder() (Record, int64, bool) {
	if s.peerEpoch > s.epoch {
		return s.peerRecord, s.peerEpoch, true
	}
	return s.last, s.epoch, s.initialized && s.last.Incarnation != "" && !s.last.Released
}

// IsHolder reports whether this instance holds the lease, as far as it knows.
func (s *State) IsHolder() bool {
	r, _, held := s.Holder()
	return held && !s.unclaimed && r.Incarnation == s.cfg.Self.Incarnation
}

// IsEpochKnown reports whether the epoch of the holder is the one that the holder uses itself. Otherwise it
// was derived from a record that needn't be the first one of the holder's run.
func (s *State) IsEpochKnown() bool { return s.peerEpoch > s.epoch || !s.derived }

// Era returns the era of the log's history; 0 if the log states none.
func (s *State) Era() int64 { return s.era }

// Epoch returns the epoch of the last record that was read.
func (s *State) Epoch() int64 { return s.epoch }

// LeaseDuration returns how long an unreachable holder is waited for.
func (s *State) LeaseDuration() time.Duration { return s.cfg.LeaseDuration }

// Renewed returns when this instance last claimed or renewed the lease.
func (s *State) Renewed() time.Duration { return s.renewed }

// Silent returns for how long nothing was known of the holder.
func (s *State) Silent(now time.Duration) time.Duration { return now - s.lastContact }

// End returns the offset at which the next record must be appended.
func (s *State) End() int64 { return s.end }

// CanOrder reports whether this instance is allowed to send orders now, so that they end before its lease does.
func (s *State) CanOrder(now time.Duration) bool {
	mayHaveReleased := s.releasing || s.releaseLost && !s.cfg.Fenced
	return s.IsHolder() && !s.superseded && !mayHaveReleased && s.orderTimeLeft(now) > s.cfg.OrderTimeout
}

// orderTimeLeft returns for how long the holder's orders can go on without a renewal.
func (s *State) orderTimeLeft(now time.Duration) time.Duration {
	limit := s.cfg.LeaseDuration
	if s.cfg.Fenced {
		limit *= outageLeases
	}
	return s.renewed + limit - now
}

// BeginOrder reports whether an order with this epoch may be sent now, and how long it can be under way. It
// must be followed by EndOrder then. Orders with a later epoch wait for those with an earlier one to end.
func (s *State) BeginOrder(epoch int64, now time.Duration) (left time.Duration, allowed bool) {
	if !s.CanOrder(now) || epoch != s.epoch || s.orders > 0 && s.ordersEpoch != epoch {
		return 0, false
	}
	s.orders++
	s.ordersEpoch, s.orderedAt = epoch, now
	return s.orderTimeLeft(now), true
}

// EndOrder records that an order that BeginOrder allowed was answered or given up, and reports whether a release
// can be appended now that waited for it.
func (s *State) EndOrder(now time.Duration) (releasable bool) {
	s.orders--
	s.orderedAt = now
	return s.releasing && s.orders == 0
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
	case s.IsHolder() && s.releaseLost:
		return s.renewed // A renewal at the same offset shows whether the log has accepted the release.
	case s.IsHolder():
		return s.renewed + s.cfg.LeaseDuration/renewalsPerLease
	case s.last.Incarnation != "" && s.last.Holder != s.cfg.Self.Holder:
		return max(s.nextClaim(claimDelay), s.orderedAt+s.cfg.LeaseDuration)
	}
	return s.nextClaim(claimDelay)
}

// nextClaim returns when the lease can be claimed, as far as its holder is concerned.
func (s *State) nextClaim(claimDelay time.Duration) time.Duration {
	switch {
	case s.unclaimed && s.ranOn:
		return s.lastContact
	case s.unclaimed:
		// What the last record says isn't known to have been the last word of its history.
		return s.lastContact + s.cfg.LeaseDuration + claimDelay
	case s.last.Holder == s.cfg.Self.Holder && s.last.Incarnation != s.cfg.Self.Incarnation && !s.last.Released && s.last.Incarnation != "":
		// The holder was an earlier process of this instance, which has ended. Its orders may be under way.
		if s.cfg.Fenced {
			return s.lastContact
		}
		return s.lastContact + s.cfg.OrderTimeout
	case s.last.Released && s.last.Successor == s.cfg.Self.Holder:
		return s.lastContact
	case s.last.Released && s.last.Successor != "":
		return s.lastContact + successorHeadStart + claimDelay
	case s.last.Incarnation == "" || s.last.Released:
		return s.lastContact + claimDelay
	}
	return s.lastContact + s.expiryDelay() + claimDelay
}
