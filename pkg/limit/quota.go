package limit

import "time"

const (
	// silentAfter is the time without a message after which an instance counts as silent. It is
	// longer than the longest interval between two messages, which is a long poll of 1 s, one round
	// trip, and the pause between two polls.
	silentAfter = 1200 * time.Millisecond
	// claimTime is the time in which the instances that reach a new holder tell it their shares, which
	// they renew each second.
	claimTime = 2 * time.Second
	// goneAfter is how long the fallback share of a silent instance is reserved. An instance that
	// doesn't reach the holder for longer has lost its clients or its power.
	goneAfter = 20 * time.Second
	// demandPart is the part of the fallback shares that follows the recent demand; the rest is
	// divided equally, for clients that move to another instance while the holder is lost.
	demandPart = 0.75
	// firstCredit is the part of a burst with which a new holder begins. The former holder may just
	// have granted a whole one.
	firstCredit = 0.25
	// shareDecay is the time constant of the demand that fallback shares follow, the length of a
	// short burst of requests.
	shareDecay = 2 * time.Second
	// settleInterval is the interval at which reserved shares are charged. It bounds the work per
	// call.
	settleInterval = 50 * time.Millisecond
	// maxQuotaDebt, in time at the account's rate, limits what is charged in retrospect, so that
	// a wrong report doesn't stop an account for long.
	maxQuotaDebt = 2 * time.Second
	// maxUnheard and unheardPart say how many instances can be missing after a change of the holder
	// as single failures, which don't depend on an account's demand. If more are, a zone may be
	// partitioned that serves most of an account's demand.
	maxUnheard  = 2
	unheardPart = 8
	// quotaWindow is the time within which a request can be granted that costs more than the burst, and the
	// interval at which a fallback share gets its credit.
	quotaWindow = 8 * time.Second
	// burstRequests is the number of the largest requests that a full bucket holds at least, as long
	// as it isn't filled with more than burstExcess at the account's rate. A bucket that holds two or three
	// large requests refuses some of an account that stays below its rate, whenever they come together.
	burstRequests = 6
	burstExcess   = time.Second
	// toleranceShare is the part of a tolerance that a full bucket holds in addition. The rest is for
	// grants of one window that are used in the next, and for a change of the holder.
	toleranceShare = 0.5
	// maxQuotaRetry is the longest time after which an instance asks again. A raised limit becomes
	// known within it.
	maxQuotaRetry = quotaWindow
	// maxQuotaAmount bounds amounts of messages. It is above any limit that can be stated.
	maxQuotaAmount = 1 << 50
)

// QuotaLimit is the limit of one account.
type QuotaLimit struct {
	// Rate is per second, Burst is what can be used at once in addition. Both are positive numbers
	// in the unit of the account.
	Rate, Burst float64
	// Version is the version of the manifest that states them.
	Version int64
}

// QuotaAsk asks the holder for a part of an account's quota.
type QuotaAsk struct {
	// Need is the cost of the requests that wait, and Least that of the smallest of them. If both
	// are 0, the ask only renews the fallback share.
	Need, Least float64
	// Extra is what requests are likely to cost that arrive soon.
	Extra float64
	// Demand is the cost per second of the requests that have arrived recently.
	Demand float64
	Limit  QuotaLimit
	// Fraction is the fallback share, from 0 to 1, that the instance holds.
	Fraction float64
	// Alone is the cost of all requests that the instance has admitted without the holder since it
	// has known the account.
	Alone float64
}

// QuotaGrant is the reply to a QuotaAsk.
type QuotaGrant struct {
	// Amount can be used until grantTTL after the instance has asked.
	Amount float64
	// Retry is the time after which the smallest request can be granted if no other instance asks;
	// 0 if Amount is enough for all.
	Retry time.Duration
	// Fraction is the fallback share: the part of the account's rate, from 0 to 1, that the
	// instance uses while it doesn't reach the holder. Over all instances they sum to at most 1.
	Fraction float64
}

// QuotaTolerance says by how much an account may exceed its limit within any Window: by Ratio times
// what the limit allows there, and by Amount. Instances that each know only a part of the use refuse
// requests below the limit without it.
type QuotaTolerance struct {
	Window        time.Duration
	Ratio, Amount float64
}

// excess returns what a full bucket holds in addition.
func (t QuotaTolerance) excess(l QuotaLimit) float64 {
	if t.Window <= 0 {
		return 0
	}
	return toleranceShare * boundedAmount((l.Rate*t.Window.Seconds()+l.Burst)*boundedAmount(t.Ratio)+boundedAmount(t.Amount))
}

// Quotas is what the holder knows of the use of all accounts. Times are those of one clock that
// includes suspensions. It isn't safe for concurrent use.
type Quotas struct {
	begun     time.Duration
	tolerance QuotaTolerance
	// expected is the number of instances that the former holder knew; 0 if unknown.
	expected  int
	instances map[string]*quotaInstance
	accounts  map[string]*quotaAccount
	sweptAt   time.Duration
	// gone is the silence of instances that have been removed.
	gone time.Duration
	// silence is the sum over all instances at silenceAt.
	silence, silenceAt time.Duration
}

// quotaInstance is one instance that has been heard.
type quotaInstance struct {
	at time.Duration
	// silence is the sum of the times for which it was silent before at.
	silence time.Duration
}

// silenceAt returns for how long the instance has been silent in all, and whether it is now.
func (i *quotaInstance) silenceAt(now time.Duration) (time.Duration, bool) {
	if now-i.at <= silentAfter {
		return i.silence, false
	}
	// It may have used its fallback share since the last message.
	return i.silence + min(now-i.at, goneAfter), true
}

// quotaAccount is the token bucket of one account.
type quotaAccount struct {
	limit     QuotaLimit
	tolerance QuotaTolerance
	// level is what can be granted at a time. It is negative after a charge in retrospect.
	level     float64
	at, asked time.Duration
	// held and demand are the sums over the shares; demand is that of the last settling and of the
	// asks since.
	held, demand float64
	// settled is the time until which the shares of silent and unheard instances are charged.
	settled time.Duration
	// silence is the part of Quotas.silence that has been charged.
	silence time.Duration
	// largest is the cost of the largest recent request, which was last asked for at largestAt.
	largest   float64
	largestAt time.Duration
	shares    map[string]*quotaShare
}

// quotaShare is the fallback share of one instance in one account.
type quotaShare struct {
	fraction float64
	// demand is what the instance has stated when it asked, per second.
	demand float64
	asked  time.Duration
	// silence is the part of the instance's silence that has been charged, and reserved what has
	// been charged for it since the instance asked.
	silence  time.Duration
	reserved float64
	// alone is the last QuotaAsk.Alone.
	alone float64
}

// NewQuotas returns the quotas of a holder that begins now. expected is the number of instances
// that the former holder knew; 0 if unknown.
func NewQuotas(expected int, now time.Duration) *Quotas {
	return &Quotas{begun: now, expected: expected, instances: map[string]*quotaInstance{}, accounts: map[string]*quotaAccount{}}
}

// Tolerate sets the tolerance of all accounts. It must be called before the first Reserve.
func (q *Quotas) Tolerate(t QuotaTolerance) { q.tolerance = t }

// Heard records any message of an instance.
func (q *Quotas) Heard(instance string, now time.Duration) {
	known := q.instances[instance]
	if known == nil {
		q.instances[instance] = &quotaInstance{at: now}
		return
	}
	if silence, silent := known.silenceAt(now); silent {
		known.silence, q.silenceAt = silence, 0
	}
	known.at = max(known.at, now)
	q.sweep(now)
}

// Knows reports whether an instance has been heard, and isn't gone.
func (q *Quotas) Knows(instance string) bool { return q.instances[instance] != nil }

// Reserve grants an instance a part of an account's quota.
func (q *Quotas) Reserve(instance, account string, ask QuotaAsk, now time.Duration) QuotaGrant {
	ask = ask.bounded()
	q.Heard(instance, now)
	q.sweep(now)
	a := q.accounts[account]
	if a == nil {
		a = &quotaAccount{limit: ask.Limit, tolerance: q.tolerance, level: ask.Limit.Burst * firstCredit, at: q.begun, settled: q.begun, shares: map[string]*quotaShare{}}
		a.silence = q.totalSilence(now)
		q.accounts[account] = a
	}
	a.asked = now
	if ask.Least >= a.largest || now-a.largestAt > quotaWindow {
		a.largest, a.largestAt = ask.Least, now
	}
	newer := ask.Limit.Version > a.limit.Version
	share := a.shares[instance]
	if share == nil {
		silence, _ := q.instances[instance].silenceAt(now)
		share = &quotaShare{silence: silence, alone: ask.Alone}
		a.shares[instance] = share
		share.fraction, share.asked = ask.Fraction, now
		a.held += ask.Fraction
	}
	if newer || now-a.settled >= settleInterval {
		a.settle(q, now)
	}
	if newer {
		a.limit = ask.Limit
	}
	a.refill(now)
	a.charge(share, ask.Alone)
	a.demand += ask.Demand - share.demandAt(now)
	share.asked, share.demand = now, ask.Demand
	grant := a.grant(ask)
	grant.Fraction = q.assign(a, share, ask.Fraction, now)
	return grant
}

// bounded replaces numbers that a faulty peer could send.
func (a QuotaAsk) bounded() QuotaAsk {
	a.Least, a.Need, a.Extra = boundedAmount(a.Least), boundedAmount(a.Need), boundedAmount(a.Extra)
	a.Least = min(a.Least, a.Need)
	a.Limit.Rate, a.Limit.Burst = boundedAmount(a.Limit.Rate), boundedAmount(a.Limit.Burst)
	a.Demand = boundedAmount(a.Demand)
	a.Fraction, a.Alone = min(boundedAmount(a.Fraction), 1), boundedAmount(a.Alone)
	return a
}

// boundedAmount returns an amount within its range; 0 if it isn't a number.
func boundedAmount(amount float64) float64 {
	if !(amount > 0) {
		return 0
	}
	return min(amount, maxQuotaAmount)
}

// refill adds what has accrued since the account was settled, and drops what exceeds its capacity.
func (a *quotaAccount) refill(now time.Duration) {
	a.level = min(a.level+a.limit.Rate*max(now-a.at, 0).Seconds(), a.capacity())
	a.at = max(a.at, now)
}

// capacity returns the highest level: the burst and a part of the tolerance, or the cost of burstRequests, or that of the largest
// request if the window allows it.
func (a *quotaAccount) capacity() float64 {
	burst, rate := a.limit.Burst, a.limit.Rate
	return max(burst+a.tolerance.excess(a.limit), min(burstRequests*a.largest, burst+rate*burstExcess.Seconds()), min(a.largest, burst+rate*quotaWindow.Seconds()))
}

// settle charges what silent instances may use.
func (a *quotaAccount) settle(q *Quotas, now time.Duration) {
	total := q.totalSilence(now)
	a.sum(q, now)
	others, reserved := total-a.silence, 0.0
	a.silence = total
	for name, share := range a.shares {
		known := q.instances[name]
		if known == nil {
			continue
		}
		silence, _ := known.silenceAt(q.silenceAt)
		charged := silence - share.silence
		if charged > 0 {
			share.silence = silence
			others -= charged
			cost := share.fraction * a.limit.Rate * charged.Seconds()
			share.reserved += cost
			reserved += cost
		}
	}
	if others > 0 {
		reserved += UnstatedFraction(q.known(now), true) * a.limit.Rate * others.Seconds()
	}
	reserved += q.unheardPart(a.held, now) * a.limit.Rate * max(now-a.settled, 0).Seconds()
	accrued := a.limit.Rate * max(now-a.at, 0).Seconds()
	a.at, a.settled = max(a.at, now), max(a.settled, now)
	a.level = min(a.level+max(accrued-reserved, 0), a.capacity())
	a.lower(reserved - accrued)
}

// lower charges a cost in retrospect.
func (a *quotaAccount) lower(cost float64) {
	if cost > 0 {
		a.level = max(a.level-cost, min(a.level, -a.limit.Rate*maxQuotaDebt.Seconds()))
	}
}

// charge charges what an instance has used without the holder, beyond what was reserved for that.
func (a *quotaAccount) charge(share *quotaShare, alone float64) {
	used := alone - share.alone
	if used < 0 {
		used = alone // the instance has forgotten the account in the meantime
	}
	a.lower(used - share.reserved)
	share.alone, share.reserved = alone, 0
}

// grant takes an amount from the bucket.
func (a *quotaAccount) grant(ask QuotaAsk) QuotaGrant {
	var grant QuotaGrant
	if a.level >= ask.Least {
		grant.Amount = max(min(ask.Need, a.level), 0)
	}
	if grant.Amount < ask.Need {
		missing := ask.Least - (a.level - grant.Amount)
		retry := maxQuotaRetry
		if seconds := missing / a.limit.Rate; seconds < maxQuotaRetry.Seconds() {
			retry = time.Duration(max(seconds, 0) * float64(time.Second))
		}
		grant.Retry = max(retry, time.Millisecond)
	} else {
		// The rest is left for instances that need it now.
		grant.Amount += max(min(ask.Extra, (a.level-grant.Amount)/2), 0)
	}
	a.level -= grant.Amount
	return grant
}

// demandAt returns the demand of the instance, per second, if nothing has arrived since it asked.
func (s *quotaShare) demandAt(now time.Duration) float64 {
	return decayed(s.demand, now-s.asked, shareDecay)
}

// assign determines the fallback share of an instance that holds a fraction.
func (q *Quotas) assign(a *quotaAccount, share *quotaShare, holds float64, now time.Duration) float64 {
	others := max(a.held-share.fraction, 0)
	target := UnstatedFraction(q.known(now), true)
	if a.demand > 0 {
		target += demandPart * min(share.demand/a.demand, 1)
	}
	fraction := max(min(target, 1-others-q.unclaimedPart(others+holds, now)), 0)
	// The instance holds the former share if it doesn't receive the reply.
	share.fraction = max(fraction, holds)
	a.held = others + share.fraction
	return fraction
}

// sum sums over the shares, and drops those that instances have forgotten.
func (a *quotaAccount) sum(q *Quotas, now time.Duration) {
	a.held, a.demand = 0, 0
	for name, share := range a.shares {
		if now-share.asked > goneAfter && q.heardAt(name, now) {
			delete(a.shares, name)
			continue
		}
		a.held += share.fraction
		a.demand += share.demandAt(now)
	}
}

func (q *Quotas) heardAt(instance string, now time.Duration) bool {
	known := q.instances[instance]
	return known == nil || now-known.at <= silentAfter
}

// known returns the number of instances.
func (q *Quotas) known(now time.Duration) int {
	n := max(len(q.instances), 1)
	if now-q.begun < goneAfter {
		n = max(n, q.expected)
	}
	return n
}

// unheardPart returns the sum of the fallback shares that the instances may hold of which a new
// holder hasn't heard. held is the sum of those that it knows.
func (q *Quotas) unheardPart(held float64, now time.Duration) float64 {
	unheard := q.expected - len(q.instances)
	if unheard <= 0 || now-q.begun > goneAfter {
		return 0
	}
	part := float64(unheard) / float64(q.expected)
	if unheard > max(maxUnheard, q.expected/unheardPart) {
		part = demandPart + (1-demandPart)*part
	}
	return max(min(part, 1-held), 0)
}

// unclaimedPart returns the sum of the fallback shares that instances may hold which haven't told a
// new holder. Other shares can't grow by it.
func (q *Quotas) unclaimedPart(held float64, now time.Duration) float64 {
	age := now - q.begun
	if age < claimTime || age <= goneAfter && q.expected > len(q.instances) {
		return max(1-held, 0)
	}
	return 0
}

// totalSilence returns the sum of the silence of all instances.
func (q *Quotas) totalSilence(now time.Duration) time.Duration {
	if q.silenceAt > 0 && now-q.silenceAt < settleInterval {
		return q.silence
	}
	q.silence, q.silenceAt = q.gone, now
	for _, known := range q.instances {
		silence, _ := known.silenceAt(now)
		q.silence += silence
	}
	return q.silence
}

// sweep removes instances that are gone and accounts that are as good as new.
func (q *Quotas) sweep(now time.Duration) {
	if now-q.sweptAt < silentAfter {
		return
	}
	q.sweptAt = now
	for _, a := range q.accounts {
		a.settle(q, now)
	}
	removed := false
	for name, known := range q.instances {
		if now-known.at <= goneAfter {
			continue
		}
		silence, _ := known.silenceAt(now)
		q.gone += silence
		delete(q.instances, name)
		removed = true
		for _, a := range q.accounts {
			delete(a.shares, name)
		}
	}
	for name, a := range q.accounts {
		if removed {
			a.sum(q, now)
		}
		asNew := a.limit.Burst*firstCredit + a.limit.Rate*(now-q.begun).Seconds()
		if now-a.asked > goneAfter && a.level >= a.limit.Burst && asNew >= a.limit.Burst {
			delete(q.accounts, name)
		}
	}
}
