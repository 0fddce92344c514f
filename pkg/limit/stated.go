package limit

import (
	"math"
	"time"
)

// Unlimited is the rate of a server that states no limit.
var Unlimited = math.Inf(1)

// StatedRate is the limit on its requests per second that a server has last stated in an
// answer. The zero value is that of a server that hasn't stated anything. It isn't safe for
// concurrent use.
type StatedRate struct {
	perSecond float64
	at        time.Time
}

// PerSecond returns the limit on the requests of all instances together; Unlimited if there
// is none.
func (r *StatedRate) PerSecond() float64 {
	if r.at.IsZero() {
		return Unlimited
	}
	return r.perSecond
}

// At returns when the limit was received; the zero time if nothing has been stated.
func (r *StatedRate) At() time.Time { return r.at }

// Observe records the limit of an answer that was received now, to a request sent at sent,
// and reports whether the limit changed. Answers overtake each other: one without a limit
// shows that the limit is gone only if its request was sent after the limit was last stated.
func (r *StatedRate) Observe(perSecond float64, sent, now time.Time) bool {
	if perSecond == Unlimited && !sent.After(r.at) {
		return false
	}
	changed := perSecond != r.PerSecond()
	r.perSecond, r.at = perSecond, now
	return changed
}
