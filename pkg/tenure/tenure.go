// Package tenure decides which instance of a deployment may place models. It
// answers a holder that dies, is cut off or is suspended while others have to
// take over within seconds, with nothing to agree on but a log that appends under
// a condition on its end.
//
// Invariants:
//   - There is one holder in any prefix of the log: the writer of its last record.
//   - The epoch of a holder is the offset of the first record of its unbroken run,
//     plus one; two holders never share an epoch, and a later one's is higher.
//   - A holder that has seen a later record of another's orders nothing more.
//
// Safety doesn't rest on clocks: servers refuse an epoch lower than one that they
// have seen, and each order names the server's state that it was decided on.
// Time only decides when to claim, and how long a holder that can't reach the log
// goes on.
package tenure

import "time"

// Record is what a holder appends to claim or renew its tenure.
type Record struct {
	// Holder names the instance, Life its process, Address where peers reach it.
	Holder  string `json:"holder"`
	Life    string `json:"life"`
	Address string `json:"address"`
	// Released ends the tenure, so that another may claim at once.
	Released bool `json:"released,omitempty"`
}

// Config sets up a State.
type Config struct {
	Self Record
	// Lease is how long a silent holder is waited for.
	Lease time.Duration
	// Fenced means that servers refuse orders of an older epoch.
	Fenced bool
}

const (
	// renewalsPerLease lets one renewal fail without losing the tenure.
	renewalsPerLease = 3
	// outageLeases is how long, in leases, a holder goes on that can't renew,
	// where servers refuse superseded epochs. Outages of the store last some ten
	// seconds, in which nobody can take over.
	outageLeases = 5
	// claimStagger spreads the claims of instances that all see a silent holder.
	claimStagger = 150 * time.Millisecond
)

// State is the tenure as one instance knows it. It isn't safe for concurrent use.
// Times are of a clock that counts suspensions of the machine.
type State struct {
	cfg Config

	known   bool
	end     int64
	last    Record
	epoch   int64
	seen    time.Duration
	renewed time.Duration
	// superseded means that the own epoch was refused; a renewal may still be
	// accepted by a log whose later records weren't read.
	superseded bool
	// heard is what a peer said of a later tenure, which the log would show if it
	// could be read.
	heard      Record
	heardEpoch int64
}

// New returns a state that has read nothing yet.
func New(cfg Config) *State { return &State{cfg: cfg} }

// Empty notes that the log was read and holds no record before end.
func (s *State) Empty(end int64, now time.Duration) {
	if !s.known {
		s.known, s.seen = true, now
	}
	s.end = max(s.end, end)
}

// Regained notes that the log can be read again after an outage, in which no
// holder could renew: a silent one is waited for anew.
func (s *State) Regained(now time.Duration) {
	if s.known {
		s.seen = now
	}
}

// Alive notes that the holder has answered as such, which shows as much as a
// renewal on the log.
func (s *State) Alive(epoch int64, now time.Duration) {
	if _, held, _ := s.Holder(); held == epoch {
		s.seen = now
	}
}

// Observe takes in a record of the log. Records come in order; a repeated one is
// ignored.
func (s *State) Observe(offset int64, r Record, now time.Duration) {
	if s.known && offset < s.end {
		return
	}
	if !s.known || r.Life != s.last.Life || s.last.Released {
		s.epoch = offset + 1
		s.superseded = false
	}
	s.known, s.end, s.last, s.seen = true, offset+1, r, now
}

// Appended takes in that a record of this instance was accepted at offset; asked
// is when the append was begun.
func (s *State) Appended(offset int64, released bool, asked time.Duration) {
	r := s.cfg.Self
	r.Released = released
	s.Observe(offset, r, asked)
	s.renewed = asked
}

// Hear takes in what a peer has read of the log. It tells where to report and
// whether to stop ordering; only records that were read here let this instance
// claim or order.
func (s *State) Hear(r Record, epoch int64) {
	if epoch > s.epoch && epoch > s.heardEpoch {
		s.heard, s.heardEpoch = r, epoch
	}
}

// Holder returns the holder's record and epoch; false if there is none.
func (s *State) Holder() (Record, int64, bool) {
	if s.heardEpoch > s.epoch {
		return s.heard, s.heardEpoch, s.heard.Life != s.cfg.Self.Life
	}
	return s.last, s.epoch, s.known && s.last.Life != "" && !s.last.Released
}

// Mine reports whether this instance holds the tenure as far as it knows.
func (s *State) Mine() bool {
	r, _, held := s.Holder()
	return held && r.Life == s.cfg.Self.Life
}

// Epoch returns the epoch of the last record's holder.
func (s *State) Epoch() int64 { return s.epoch }

// End returns the offset at which the next record must be appended.
func (s *State) End() int64 { return s.end }

// MayOrder reports whether this instance may send orders now.
func (s *State) MayOrder(now time.Duration) bool {
	if !s.Mine() || s.superseded {
		return false
	}
	limit := s.cfg.Lease
	if s.cfg.Fenced {
		limit *= outageLeases
	}
	return now-s.renewed < limit
}

// Supersede notes that a server refused the own epoch, and reports whether that
// is news.
func (s *State) Supersede() bool {
	news := s.Mine() && !s.superseded
	s.superseded = news || s.superseded
	return news
}

// silence is how long a holder may be silent before another claims. Where servers
// refuse superseded epochs, two missed renewals are enough.
func (s *State) silence() time.Duration {
	if s.cfg.Fenced {
		return s.cfg.Lease * (renewalsPerLease - 1) / renewalsPerLease
	}
	return s.cfg.Lease
}

// NextAppend returns when to append next, to renew the own tenure or to claim a
// lapsed one; rank spreads the claims of several instances and is 0 to 1.
func (s *State) NextAppend(rank float64) time.Duration {
	if s.Mine() {
		return s.renewed + s.cfg.Lease/renewalsPerLease
	}
	stagger := time.Duration(rank * float64(claimStagger))
	if s.last.Life == "" || s.last.Released || s.last.Holder == s.cfg.Self.Holder {
		// An earlier process of this instance has ended.
		return s.seen + stagger
	}
	return s.seen + s.silence() + stagger
}
