package edge

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/limit"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/slotqueue"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

const (
	// rateLimitLogInterval is the interval of the log lines on a server that states a rate
	// limit, unless the limit begins or ends.
	rateLimitLogInterval = 4 * time.Second
	// permitTTL is how long a permit can be used. Permits that are kept for longer would add up
	// to a burst.
	permitTTL = 500 * time.Millisecond
)

// rateLimit is the rate limit that one incarnation of a server states in its answers, and
// this instance's permits to send requests to it. Without a limit no permit is needed.
type rateLimit struct {
	// limited is true while the server states a limit. It can be read without the lock.
	limited atomic.Bool
	// sent and repeated count the requests, and among them the retries, that this instance
	// has sent since loggedAt.
	sent, repeated atomic.Int64
	// awaited is the number of requests that wait for a permit.
	awaited atomic.Int64

	mu       sync.Mutex
	stated   limit.StatedRate
	loggedAt time.Time
	// permits are the times from which the permits can be used, in order.
	permits []time.Time
	// asking is true while permits are being reserved, and askAt is the time before which no
	// more are; askSpareAt is the same for spare ones.
	asking            bool
	askAt, askSpareAt time.Time
	// sharing is the number of instances that share the rate.
	sharing int
	// alone gives out permits while the holder doesn't respond; nil while it does.
	alone *limit.Pacer
}

// recordSent counts a request that is sent to the server.
func (l *rateLimit) recordSent(repeated bool) {
	l.sent.Add(1)
	if repeated {
		l.repeated.Add(1)
	}
}

// usable reports whether a request can be sent to the server now.
func (l *rateLimit) usable(now time.Time) bool {
	if !l.limited.Load() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hasPermit(now)
}

// take takes a permit for a request, if one is needed. It reports false if there is none.
func (l *rateLimit) take(now time.Time) bool {
	if !l.limited.Load() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.hasPermit(now) {
		return false
	}
	l.permits = l.permits[1:]
	return true
}

// hasPermit drops the permits that have expired, and reports whether the first of the others
// can be used.
func (l *rateLimit) hasPermit(now time.Time) bool {
	for len(l.permits) > 0 && now.Sub(l.permits[0]) > permitTTL {
		l.permits = l.permits[1:]
	}
	return len(l.permits) > 0 && !now.Before(l.permits[0])
}

// permitDelay returns how long one of the requests that wait for permits of the servers is
// expected to wait, and how long the others are. It is 0 if one of the servers states no limit.
func permitDelay(servers []*rateLimit) (wait, others time.Duration) {
	wait = math.MaxInt64
	for _, l := range servers {
		awaited := int(l.awaited.Load())
		delay := l.queueDelay(awaited)
		if awaited > 1 {
			// Requests that can still meet their objective overtake.
			delay *= slotqueue.LateSlowdown
		}
		if delay < wait {
			wait, others = delay, l.queueDelay(awaited-1)
		}
	}
	return wait, others
}

// queueDelay returns how long this instance's part of the rate takes for a number of requests.
func (l *rateLimit) queueDelay(requests int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return limit.QueueDelay(requests*max(l.sharing, 1), l.stated.PerSecond())
}

// newest returns the newest statement of the server.
func (l *rateLimit) newest() limit.Statement {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stated.Newest()
}

// rateLimitEvent is what the log tells of a rate limit.
type rateLimitEvent struct {
	// previous and perSecond are the limits before and after the answer.
	previous, perSecond float64
	// sent and repeated are the requests and retries of this instance within the time.
	sent, repeated int64
	within         time.Duration
}

// observe records the limit of an answer to a request that was sent at the given time. It
// reports whether the limit ended, and returns an event if the log should tell of it.
func (l *rateLimit) observe(perSecond float64, sent, now time.Time) (ended bool, event *rateLimitEvent) {
	if perSecond == limit.Unlimited && !l.limited.Load() {
		return false, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	previous := l.stated.PerSecond()
	l.stated.Observe(perSecond, sent, now)
	l.applyStated()
	current := l.stated.PerSecond()
	began := previous == limit.Unlimited && current != limit.Unlimited
	ended = previous != limit.Unlimited && current == limit.Unlimited
	if !began && !ended && now.Sub(l.loggedAt) < rateLimitLogInterval {
		return ended, nil
	}
	event = &rateLimitEvent{previous: previous, perSecond: current, sent: l.sent.Swap(0), repeated: l.repeated.Swap(0)}
	if !l.loggedAt.IsZero() {
		event.within = now.Sub(l.loggedAt)
	}
	l.loggedAt = now
	return ended, event
}

func (l *rateLimit) applyStated() {
	limited := l.stated.PerSecond() != limit.Unlimited
	l.limited.Store(limited)
	if !limited {
		l.permits, l.askAt, l.askSpareAt, l.alone = nil, time.Time{}, time.Time{}, nil
	}
}

// beginAsking returns what the server has stated, and true if permits should be reserved now.
func (l *rateLimit) beginAsking(spare bool, now time.Time) (limit.Statement, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	stated, askAt := l.stated.Newest(), l.askAt
	if spare {
		askAt = l.askSpareAt
	}
	if l.asking || stated.PerSecond == limit.Unlimited || now.Before(askAt) || len(l.permits) > 0 && now.Before(l.permits[0]) {
		return stated, false
	}
	l.asking = true
	return stated, true
}

// endAsking records the reply to a reservation.
func (l *rateLimit) endAsking(ask limit.Ask, grant limit.Grant, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asking, l.alone = false, nil
	l.stated.Merge(grant.Limit)
	l.applyStated()
	if !l.limited.Load() {
		return
	}
	if !ask.Spare {
		l.sharing = grant.Instances
	}
	l.addPermits(ask, grant.Permits, now)
}

// endAskingAlone reserves permits of this instance's share of the rate, since the holder
// doesn't respond. phase, from 0 to 1, is different for each instance, to spread their permits
// over time.
func (l *rateLimit) endAskingAlone(ask limit.Ask, instances int, phase float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asking = false
	perSecond := l.stated.PerSecond()
	if perSecond == limit.Unlimited {
		return
	}
	l.sharing = max(instances, 1)
	interval := time.Duration(l.sharing) * limit.PermitInterval(perSecond)
	if l.alone == nil {
		l.alone = limit.NewPacer(now.Add(time.Duration(phase * float64(interval))))
	}
	l.addPermits(ask, l.alone.Reserve(interval, ask.Count, ask.Spare, now), now)
}

func (l *rateLimit) addPermits(ask limit.Ask, permits limit.Permits, now time.Time) {
	for i := range permits.Count {
		at := now.Add(permits.First + time.Duration(i)*permits.Interval)
		if at.Before(now) {
			at = now
		}
		l.permits = append(l.permits, at)
	}
	slices.SortFunc(l.permits, time.Time.Compare)
	if ask.Spare {
		l.askSpareAt = now.Add(permits.Retry)
	} else {
		l.askAt = now.Add(permits.Retry)
	}
}

// recordRateLimit records the rate limit of an answer.
func (a *attempt) recordRateLimit(answer *platform.Answer) {
	q, b := a.request, a.backend
	if !answersRequest(answer) {
		return
	}
	if answer.RateLimitErr != nil {
		q.edge.log.Warn().Str("server", string(b.server.ID)).Str("request", q.head.ID).Err(answer.RateLimitErr).Msg("rate_limit_unreadable")
		return
	}
	if answer.RateLimit == limit.Unlimited && !answer.Signed {
		return // a refusal needn't state the limit
	}
	ended, event := b.stats.rateLimit.observe(answer.RateLimit, a.progress.sentAt, time.Now())
	event.log(q.edge.log, b.server.ID, q.head.ID)
	if ended {
		q.edge.tellLimitEnded(b)
		q.edge.dispatchSlots(q.service)
	}
}

// answersRequest reports whether an answer is one of the intended server to the request.
func answersRequest(answer *platform.Answer) bool {
	return answer.RequestIDMatches && !answer.Misdirected && (answer.Signed || answer.NotExecuted)
}

// log logs the event, if there is one.
func (e *rateLimitEvent) log(logger *log.Logger, server fleet.ServerID, request string) {
	if e == nil {
		return
	}
	logger.Info().Str("server", string(server)).Str("request", request).Float64("limit", e.perSecond).Float64("previous", e.previous).
		Int64("sent", e.sent).Int64("repeated", e.repeated).Dur("within", e.within).Msg("rate_limit_stated")
}
