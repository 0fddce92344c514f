package limit

import "time"

const (
	// maxPacerCredit is the time for which a Pacer keeps permits that nobody has asked for.
	maxPacerCredit = 500 * time.Millisecond
	// maxPacerAhead is how far ahead permits are reserved. Permits that were reserved under a
	// limit that has been lowered since can still be used.
	maxPacerAhead = 500 * time.Millisecond
	// minPermitRate is the lowest rate of permits per second. A server with a lower limit is
	// still sent requests, because only its answers show that the limit is gone.
	minPermitRate = 0.2
	// maxPermits is the largest number of permits of one reservation.
	maxPermits = 64
)

// Permits allow requests to a server that states a rate limit.
type Permits struct {
	// Count is the number of permits. The first can be used after First, which is negative for
	// one that could have been used before, and each further one an Interval later.
	Count           int
	First, Interval time.Duration
	// Retry is the time after which more permits can be reserved, if Count is lower than asked
	// for.
	Retry time.Duration
}

// Pacer gives out permits at the rate of a limit, evenly over time and in the order in which
// they are asked for. It isn't safe for concurrent use.
type Pacer struct {
	// next is the time of the next permit.
	next time.Time
}

// NewPacer returns a Pacer whose first permit can be used at start.
func NewPacer(start time.Time) *Pacer { return &Pacer{next: start} }

// PermitInterval returns the time between two permits under a limit.
func PermitInterval(perSecond float64) time.Duration { return QueueDelay(1, perSecond) }

// Reserve reserves up to count permits at the given interval. Spare permits are those that can
// be used now, which nobody who needs them has reserved; the others are at most maxPacerAhead
// later.
func (p *Pacer) Reserve(interval time.Duration, count int, spare bool, now time.Time) Permits {
	horizon := now.Add(maxPacerAhead)
	if spare {
		horizon = now
	}
	if earliest := now.Add(-max(maxPacerCredit-interval, 0)); p.next.Before(earliest) {
		p.next = earliest
	}
	// The interval may have become shorter.
	if latest := now.Add(maxPacerAhead + interval); p.next.After(latest) {
		p.next = latest
	}
	permits := Permits{First: p.next.Sub(now), Interval: interval}
	for permits.Count < min(count, maxPermits) && !p.next.After(horizon) {
		permits.Count++
		p.next = p.next.Add(interval)
	}
	permits.Retry = max(p.next.Sub(horizon), 0)
	return permits
}
