package limit

import (
	"math"
	"time"
)

// Unlimited is the rate of a server that states no limit.
var Unlimited = math.Inf(1)

// Statement is a limit on the requests per second that a server accepts from all instances
// together, and the time as of which it is known.
type Statement struct {
	PerSecond float64
	At        time.Time
}

// StatedRate is the newest known Statement of a server. The zero value is that of a server
// that hasn't stated anything. It isn't safe for concurrent use.
type StatedRate struct{ newest Statement }

// PerSecond returns the limit; Unlimited if there is none.
func (r *StatedRate) PerSecond() float64 { return r.Newest().PerSecond }

// Newest returns the newest statement.
func (r *StatedRate) Newest() Statement {
	if r.newest.At.IsZero() {
		return Statement{PerSecond: Unlimited}
	}
	return r.newest
}

// Observe records the limit of an answer that was received now, to a request sent at sent.
// Answers overtake each other: one without a limit shows only that there was none when the
// request was sent.
func (r *StatedRate) Observe(perSecond float64, sent, now time.Time) {
	at := now
	if perSecond == Unlimited {
		at = sent
	}
	r.Merge(Statement{PerSecond: perSecond, At: at})
}

// Merge records a statement if it is newer.
func (r *StatedRate) Merge(s Statement) {
	if s.At.After(r.newest.At) {
		r.newest = s
	}
}
