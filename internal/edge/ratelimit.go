package edge

import (
	"math"
	"sync"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/limit"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

const (
	// rateLimitLogInterval is the interval of the log lines on a server that states a rate
	// limit, unless the limit comes or goes.
	rateLimitLogInterval = 4 * time.Second
)

// rateLimit is the rate limit that one incarnation of a server states in its answers.
type rateLimit struct {
	mu     sync.Mutex
	stated limit.StatedRate
	// sent and repeated count the requests, and among them the retries, that this instance
	// has sent since loggedAt.
	sent, repeated int
	loggedAt       time.Time
}

// recordSent counts a request that is sent to the server.
func (l *rateLimit) recordSent(repeated bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
	if repeated {
		l.repeated++
	}
}

// rateLimitEvent is what the log says of a rate limit.
type rateLimitEvent struct {
	// previous and perSecond are the limits before and after the answer.
	previous, perSecond float64
	// sent and repeated are the requests and retries of this instance within the time.
	sent, repeated int
	within         time.Duration
}

// observe records the limit of an answer to a request that was sent at the given time. It
// reports true if the log should tell of it.
func (l *rateLimit) observe(perSecond float64, sent, now time.Time) (rateLimitEvent, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	previous := l.stated.PerSecond()
	l.stated.Observe(perSecond, sent, now)
	perSecond = l.stated.PerSecond()
	begun, ended := math.IsInf(previous, 1), math.IsInf(perSecond, 1)
	if begun == ended && (ended || now.Sub(l.loggedAt) < rateLimitLogInterval) {
		return rateLimitEvent{}, false
	}
	event := rateLimitEvent{previous: previous, perSecond: perSecond, sent: l.sent, repeated: l.repeated}
	if !l.loggedAt.IsZero() {
		event.within = now.Sub(l.loggedAt)
	}
	l.sent, l.repeated, l.loggedAt = 0, 0, now
	return event, true
}

// recordRateLimit records the rate limit of an answer.
func (q *request) recordRateLimit(b *backend, answer *platform.Answer) {
	if !answer.RequestIDMatches || answer.Misdirected || !answer.Signed && !answer.NotExecuted {
		return // not an answer of this server to this request
	}
	if answer.RateLimitErr != nil {
		q.edge.log.Warn().Str("server", string(b.server.ID)).Str("request", q.head.ID).Err(answer.RateLimitErr).Msg("rate_limit_unreadable")
		return
	}
	if event, logged := b.stats.rateLimit.observe(answer.RateLimit, q.progress.sentAt, time.Now()); logged {
		q.edge.log.Info().Str("server", string(b.server.ID)).Str("request", q.head.ID).
			Float64("limit", event.perSecond).Float64("previous", event.previous).
			Int("sent", event.sent).Int("repeated", event.repeated).Dur("within", event.within).Msg("rate_limit_stated")
	}
}
