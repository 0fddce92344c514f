package edge

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/cyclamenhoist/cyclamenhoist/internal/bootclock"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/limit"
)

// Quotas grants parts of the quotas of client accounts, such that all instances together keep
// within them.
type Quotas interface {
	// ReserveQuota reserves a part. It fails if the instance that grants them doesn't respond.
	ReserveQuota(ctx context.Context, account string, ask limit.QuotaAsk) (limit.QuotaGrant, error)
	// StatesFallbackShares reports whether a holder that this instance has followed states fallback
	// shares, which those of earlier builds don't.
	StatesFallbackShares() bool
}

const (
	// quotaTimeout limits a reservation. It takes a round trip to another zone.
	quotaTimeout = 100 * time.Millisecond
	// quotaWait limits how long a request waits for the account's bucket to fill. It is worth less
	// to the client than an immediate refusal after that.
	quotaWait = 100 * time.Millisecond
	// quotaAskInterval is the minimum time after which an instance asks again for an account whose
	// bucket is empty. It limits the calls while an account is above its limit.
	quotaAskInterval = 25 * time.Millisecond
	// quotaOutage is how long no reservation is tried after one has failed.
	quotaOutage = 500 * time.Millisecond
	// quotaRenewal is the interval at which fallback shares are renewed. A new holder learns them
	// within it.
	quotaRenewal = time.Second
	// quotaIdle is the time without requests after which the fallback share of an account is given
	// up. It is longer than the pauses of a busy client.
	quotaIdle = 10 * time.Second
	// assumedQuotaInstances is the number of instances that share an account's rate while it is
	// unknown.
	assumedQuotaInstances = 64
	// maxQuotaCalls is how many reservations one request waits for: the one in progress, its own,
	// and one after a wait.
	maxQuotaCalls = 4
)

// accountQuotas are the quotas of the accounts that use this instance.
type accountQuotas struct {
	clock func() time.Duration
	peer  Quotas
	// refused and refusedAlone count the requests refused by the holder's bucket and by the
	// fallback shares.
	refused, refusedAlone metrics.Counter
	counters              quotaCounters

	mu        sync.RWMutex
	byAccount map[string]*accountQuota
}

// accountQuota is the quota of one account at this instance.
type accountQuota struct {
	name     string
	counters *accountCounters
	events   quotaEvents

	mu    sync.Mutex
	local limit.LocalQuota
	// need is the cost of the requests that wait, and least that of the smallest of them.
	need, least float64
	// call is closed when the reservation in progress ends; nil if there is none.
	call chan struct{}
	// emptyUntil is the time until which the bucket is known to lack what requests need, and
	// filledAt when it should have it.
	emptyUntil, filledAt time.Duration
	// askAt is the time before which no reservation is tried after a failure.
	askAt, askedAt, usedAt time.Duration
	renewing               bool
}

func (a *accountQuotas) init(clock func() time.Duration, peer Quotas, registry metrics.Registry) {
	if clock == nil {
		clock = bootclock.Now
	}
	a.clock, a.peer, a.byAccount = clock, peer, map[string]*accountQuota{}
	a.refused = metrics.NewRegisteredCounter("edge_quota_refused", registry)
	a.refusedAlone = metrics.NewRegisteredCounter("edge_quota_share_refused", registry)
	a.counters.registry, a.counters.byAccount = registry, map[string]*accountCounters{}
}

// of returns the quota of an account.
func (a *accountQuotas) of(account string) *accountQuota {
	a.mu.RLock()
	s := a.byAccount[account]
	a.mu.RUnlock()
	if s != nil {
		return s
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if s = a.byAccount[account]; s == nil {
		s = &accountQuota{name: account, counters: a.counters.of(account), usedAt: a.clock()}
		a.byAccount[account] = s
	}
	return s
}

// reserveQuota takes the cost of the request from the account's quota. It reports false with the
// outcome if the request is refused.
func (q *request) reserveQuota(ctx context.Context) (outcome, bool) {
	account := q.account
	if account == nil || !account.Quota.Limited() {
		return outcome{}, true
	}
	cost := float64(account.Cost(q.head.PromptTokens, q.head.OutputTokens, q.head.HasTokens))
	if cost == 0 {
		return outcome{}, true
	}
	known := limit.QuotaLimit{Rate: account.Quota.Rate, Burst: account.Quota.Burst, Version: q.manifestVersion}
	q.quotaOf = q.edge.quotas.of(account.Name)
	refusal, admitted := q.edge.takeQuota(ctx, q.quotaOf, cost, known, &q.quota)
	if admitted {
		return outcome{}, true
	}
	if ctx.Err() != nil {
		return refused(reasonTimeout, 0), false
	}
	return outcome{status: http.StatusTooManyRequests, reason: refusal.why, retryAfter: jitter(refusal.retry)}, false
}

// quotaRefusal says why an account's quota doesn't suffice, and when it does.
type quotaRefusal struct {
	why   reason
	retry time.Duration
}

// takeQuota takes a cost from an account's quota. It waits for at most one reservation that is in
// progress, one of its own, and, once, for the bucket to fill.
func (e *Edge) takeQuota(ctx context.Context, s *accountQuota, cost float64, known limit.QuotaLimit, taken *limit.QuotaCost) (quotaRefusal, bool) {
	now := e.quotas.clock()
	s.mu.Lock()
	s.usedAt = now
	s.counters.asked.Inc(int64(cost))
	s.local.Arrived(cost, known, now)
	var refusal quotaRefusal
	var admitted bool
	if *taken, admitted = s.local.Take(cost, now); !admitted {
		refusal, admitted = e.awaitQuota(ctx, s, cost, taken)
		now = e.quotas.clock()
	}
	if admitted {
		s.counters.granted.Inc(int64(cost))
		if s.call == nil && now >= s.askAt && now >= s.emptyUntil && s.local.Low(now) {
			e.askQuota(s, now)
		}
		s.mu.Unlock()
		return refusal, true
	}
	s.mu.Unlock()
	if ctx.Err() == nil {
		e.recordQuotaRefusal(s, cost, refusal)
	}
	return refusal, false
}

// awaitQuota waits until the account's quota has the cost. The lock is held when it is called and
// when it returns.
func (e *Edge) awaitQuota(ctx context.Context, s *accountQuota, cost float64, taken *limit.QuotaCost) (refusal quotaRefusal, admitted bool) {
	s.beginNeed(cost)
	defer s.endNeed(cost)
	waited := false
	for calls := 0; ctx.Err() == nil; {
		now := e.quotas.clock()
		if *taken, admitted = s.local.Take(cost, now); admitted {
			return refusal, true
		}
		wait := time.Duration(0)
		switch {
		case s.local.Alone():
			if s.call == nil && now >= s.askAt {
				e.askQuota(s, now)
			}
			*taken, wait, admitted = s.local.TakeAlone(cost, e.unstatedFraction(), now)
			if admitted {
				return refusal, true
			}
			refusal = quotaRefusal{reasonQuotaShare, wait}
		case now < s.emptyUntil || calls >= maxQuotaCalls:
			wait = max(s.emptyUntil-now, time.Millisecond)
			refusal = quotaRefusal{reasonQuota, max(s.filledAt-now, 0)}
			if refusal.retry > quotaWait {
				return refusal, false
			}
		}
		if wait == 0 {
			if s.call == nil {
				e.askQuota(s, now)
			}
			calls++
			s.await(ctx, s.call, quotaTimeout)
			continue
		}
		if waited || wait > quotaWait {
			return refusal, false
		}
		waited, calls = true, 0
		s.await(ctx, nil, wait)
	}
	return refusal, false
}

func (s *accountQuota) beginNeed(cost float64) {
	if s.need == 0 || cost < s.least {
		s.least = cost
	}
	s.need += cost
}

func (s *accountQuota) endNeed(cost float64) {
	// Costs are whole numbers below 2^53, so that the sum returns to 0.
	s.need -= cost
	s.least = min(s.least, s.need)
}

// await waits without the lock until done is closed, for at most the given time.
func (s *accountQuota) await(ctx context.Context, done <-chan struct{}, limit time.Duration) {
	s.mu.Unlock()
	defer s.mu.Lock()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-done:
	case <-timer.C:
	}
}

// askQuota starts a reservation of what the waiting requests need. The caller holds the lock.
func (e *Edge) askQuota(s *accountQuota, now time.Duration) {
	done := make(chan struct{})
	s.call, s.askedAt = done, now
	ask := s.local.Ask(s.need, s.least, now)
	if !s.renewing {
		s.renewing = true
		time.AfterFunc(quotaRenewal, func() { e.renewQuota(s) })
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), quotaTimeout)
		defer cancel()
		grant, err := e.quotas.peer.ReserveQuota(ctx, s.name, ask)
		ended := e.quotas.clock()
		s.mu.Lock()
		defer s.mu.Unlock()
		defer close(done)
		s.call = nil
		if err != nil {
			s.local.Lost(ended)
			s.askAt = ended + quotaOutage
			s.events.logLost(e.log, s.name, err, ended)
			return
		}
		s.askAt = 0
		s.local.Granted(grant, now, ended)
		s.emptyUntil = 0
		if grant.Retry > 0 {
			s.filledAt = ended + grant.Retry
			s.emptyUntil = ended + min(max(grant.Retry, quotaAskInterval), quotaWait)
		}
	}()
}

// renewQuota renews the fallback share, and gives it up if the account is no longer used.
func (e *Edge) renewQuota(s *accountQuota) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := e.quotas.clock()
	if now-s.usedAt > quotaIdle && s.need == 0 {
		s.renewing = false
		s.local.ForgetFraction()
		e.quotas.mu.Lock()
		defer e.quotas.mu.Unlock()
		delete(e.quotas.byAccount, s.name)
		return
	}
	if s.call == nil && now >= s.askAt && now-s.askedAt >= quotaRenewal {
		e.askQuota(s, now)
	}
	time.AfterFunc(quotaRenewal, func() { e.renewQuota(s) })
}

// unstatedFraction returns the fallback share of an account for which the holder hasn't stated one.
func (e *Edge) unstatedFraction() float64 {
	return limit.UnstatedFraction(cmp.Or(e.views.Instances(), assumedQuotaInstances), e.quotas.peer.StatesFallbackShares())
}

// returnQuota gives back the cost of a request that no server has run.
func (q *request) returnQuota(answered bool) {
	if answered || q.runs > 0 || q.quota.Amount == 0 {
		return
	}
	s := q.quotaOf
	s.mu.Lock()
	defer s.mu.Unlock()
	s.local.Return(q.quota, q.edge.quotas.clock())
}
