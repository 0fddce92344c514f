package limit

import (
	"math"
	"time"
)

const (
	// grantTTL is how long a grant can be used after it was asked for. Grants that are kept for
	// longer would add up to a burst.
	grantTTL = 500 * time.Millisecond
	// askAhead is the time whose likely cost is asked for together.
	askAhead = 200 * time.Millisecond
	// askBelow is the time whose likely cost is left when more is asked for: some round trips to
	// another zone.
	askBelow = 50 * time.Millisecond
	// demandDecay is the time constant of the demand by which an instance asks ahead.
	demandDecay = 500 * time.Millisecond
	// usualWeight is the weight of a request in the usual cost of one.
	usualWeight = 0.1
	// maxGrants is the number of grants that are kept apart. Calls are that frequent only if the
	// account is short, when the grants are used at once.
	maxGrants = 8
	// aloneCredit is the time at the fallback share with which it begins. Without it, a tenth of the
	// requests were refused of an account at 1/1.8 of its rate while there was no holder.
	aloneCredit = 500 * time.Millisecond
	// aloneSizes is how many requests of usual size the fallback share accumulates at least.
	aloneSizes = 2
)

// LocalQuota is an instance's part in the quota of one account. Times are those of one clock that
// includes suspensions. It isn't safe for concurrent use. The zero value has nothing.
type LocalQuota struct {
	limit QuotaLimit
	// grants are those that can still be used, in the order of their expiry.
	grants [maxGrants]heldGrant
	held   int
	// demand and recent are the sums of the cost of the requests, at demandAt, which decay by
	// demandDecay and by shareDecay. usual is the usual cost of one.
	demand, recent, usual float64
	demandAt              time.Duration
	// fraction is the fallback share, if the holder has stated one.
	fraction    float64
	hasFraction bool
	// alone is true while the holder doesn't respond. Then level, at aloneAt, is what has accrued
	// of the fallback share, and used is the sum of what has been taken from it.
	alone   bool
	level   float64
	aloneAt time.Duration
	used    float64
	// fresh means that aloneCredit hasn't been added yet.
	fresh bool
}

type heldGrant struct {
	amount  float64
	expires time.Duration
}

// QuotaCost is what a request has taken.
type QuotaCost struct {
	Amount  float64
	expires time.Duration
}

// Arrived records a request.
func (l *LocalQuota) Arrived(cost float64, limit QuotaLimit, now time.Duration) {
	if limit.Version >= l.limit.Version {
		limit.Rate, limit.Burst = boundedAmount(limit.Rate), boundedAmount(limit.Burst)
		l.limit = limit
	}
	l.demand = decayed(l.demand, now-l.demandAt, demandDecay) + cost
	l.recent = decayed(l.recent, now-l.demandAt, shareDecay) + cost
	l.demandAt = now
	if l.usual == 0 {
		l.usual = cost
	}
	l.usual += usualWeight * (cost - l.usual)
}

func decayed(sum float64, age, decay time.Duration) float64 {
	return sum * math.Exp(-max(age, 0).Seconds()/decay.Seconds())
}

// likely returns the cost of the requests that are likely to arrive within a time.
func (l *LocalQuota) likely(within, now time.Duration) float64 {
	return decayed(l.demand, now-l.demandAt, demandDecay) * within.Seconds() / demandDecay.Seconds()
}

// Take takes the cost of a request from the grants. It reports false if they don't suffice.
func (l *LocalQuota) Take(cost float64, now time.Duration) (QuotaCost, bool) {
	if l.balance(now) < cost {
		return QuotaCost{}, false
	}
	taken := QuotaCost{Amount: cost}
	for i := range l.held {
		g := &l.grants[i]
		part := min(g.amount, cost)
		if part > 0 && taken.expires == 0 {
			taken.expires = g.expires
		}
		g.amount -= part
		cost -= part
	}
	return taken, true
}

// balance drops the grants that have expired and returns the sum of the others.
func (l *LocalQuota) balance(now time.Duration) float64 {
	kept, sum := 0, 0.0
	for i := range l.held {
		if g := l.grants[i]; g.expires > now && g.amount > 0 {
			l.grants[kept] = g
			kept++
			sum += g.amount
		}
	}
	l.held = kept
	return sum
}

// Low reports whether more should be asked for before it is needed.
func (l *LocalQuota) Low(now time.Duration) bool {
	return l.likely(askAhead, now) >= l.usual && l.balance(now) < l.likely(askBelow, now)
}

// Ask returns what to ask the holder for. least is the cost of the smallest of the requests that
// wait and need the sum over them.
func (l *LocalQuota) Ask(need, least float64, now time.Duration) QuotaAsk {
	ask := QuotaAsk{Need: need, Least: least, Limit: l.limit, Fraction: l.fraction, Alone: l.used}
	ask.Demand = decayed(l.recent, now-l.demandAt, shareDecay) / shareDecay.Seconds()
	// A part of a request is of no use and would expire.
	if likely := l.likely(askAhead, now); likely >= l.usual {
		ask.Extra = max(likely-l.balance(now), 0)
	}
	return ask
}

// Granted records the reply to what was asked at the given time.
func (l *LocalQuota) Granted(grant QuotaGrant, asked, now time.Duration) {
	l.alone = false
	l.fraction, l.hasFraction = min(boundedAmount(grant.Fraction), 1), true
	l.put(boundedAmount(grant.Amount), asked+grantTTL, now)
}

func (l *LocalQuota) put(amount float64, expires, now time.Duration) {
	if amount == 0 || expires <= now {
		return
	}
	l.balance(now)
	if l.held == maxGrants {
		last := &l.grants[maxGrants-1]
		last.amount, last.expires = last.amount+amount, min(last.expires, expires)
		return
	}
	at := l.held
	for at > 0 && l.grants[at-1].expires > expires {
		l.grants[at] = l.grants[at-1]
		at--
	}
	l.grants[at] = heldGrant{amount, expires}
	l.held++
}

// Lost records that the holder doesn't respond. The fallback share accrues from then on, with a
// credit unless the holder was lost within quotaWindow before.
func (l *LocalQuota) Lost(now time.Duration) {
	if l.alone {
		return
	}
	if l.aloneAt == 0 || now-l.aloneAt > quotaWindow {
		l.level, l.fresh = 0, true
	}
	l.alone, l.aloneAt = true, now
}

// Alone reports whether the fallback share applies.
func (l *LocalQuota) Alone() bool { return l.alone }

// UnstatedFraction returns the fallback share of an instance to which the holder hasn't stated one.
// It is an equal part of all if the holders state none, and of what they leave to instances that
// don't use an account if they do, so that all fallback shares sum to at most 1.
func UnstatedFraction(instances int, stated bool) float64 {
	fraction := 1 / float64(max(instances, 1))
	if stated {
		fraction *= 1 - demandPart
	}
	return fraction
}

// TakeAlone takes the cost of a request from the fallback share, which is unstated if the holder
// hasn't stated one. If the share doesn't suffice, it reports false and the time until it does.
func (l *LocalQuota) TakeAlone(cost, unstated float64, now time.Duration) (QuotaCost, time.Duration, bool) {
	fraction := unstated
	if l.hasFraction {
		fraction = l.fraction
	}
	rate := fraction * l.limit.Rate
	// Also a small share is enough for a request after some time.
	capacity := max(fraction*l.limit.Burst, aloneSizes*l.usual, cost)
	if l.fresh {
		l.level, l.fresh = l.level+rate*aloneCredit.Seconds(), false
	}
	l.level = min(l.level+rate*max(now-l.aloneAt, 0).Seconds(), capacity)
	l.aloneAt = now
	if l.level < cost {
		retry := maxQuotaRetry
		if seconds := (cost - l.level) / rate; seconds < maxQuotaRetry.Seconds() {
			retry = time.Duration(seconds * float64(time.Second))
		}
		return QuotaCost{}, retry, false
	}
	l.level -= cost
	l.used += cost
	return QuotaCost{Amount: cost, expires: now + grantTTL}, 0, true
}

// Return gives back what a request has taken that no server has run.
func (l *LocalQuota) Return(cost QuotaCost, now time.Duration) { l.put(cost.Amount, cost.expires, now) }

// ForgetFraction drops the fallback share of an account that is no longer used.
func (l *LocalQuota) ForgetFraction() { l.fraction, l.hasFraction = 0, false }
