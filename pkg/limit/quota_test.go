package limit_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/limit"
)

const quotaUnit = "account"

var known = limit.QuotaLimit{Rate: 1000, Burst: 1000, Version: 3}

// quotaStart is later than 0, since a bucket fills from the start of the holder on.
const quotaStart = time.Minute

func need(cost float64, of limit.QuotaLimit) limit.QuotaAsk {
	return limit.QuotaAsk{Need: cost, Least: cost, Limit: of}
}

// Guards against a new holder that grants the burst which the former one has just granted.
func TestNewHolderBeginsWithPartOfTheBurst(t *testing.T) {
	q := limit.NewQuotas(1, quotaStart)
	assert.Zero(t, q.Reserve("a", quotaUnit, need(251, known), quotaStart).Amount)
	assert.EqualValues(t, 250, q.Reserve("a", quotaUnit, need(250, known), quotaStart).Amount)
	short := q.Reserve("a", quotaUnit, need(100, known), quotaStart)
	assert.Zero(t, short.Amount)
	assert.Equal(t, 100*time.Millisecond, short.Retry)
	assert.EqualValues(t, 1000, q.Reserve("a", quotaUnit, need(1000, known), quotaStart+time.Minute).Amount)
}

// Guards against an instance of an older manifest that restores a limit that was lowered.
func TestNewestVersionSetsTheLimit(t *testing.T) {
	q := limit.NewQuotas(1, 0)
	lowered := limit.QuotaLimit{Rate: 10, Burst: 10, Version: 4}
	q.Reserve("a", quotaUnit, need(0, known), quotaStart)
	all := limit.QuotaAsk{Need: 1000, Least: 1, Limit: lowered}
	assert.EqualValues(t, 10, q.Reserve("b", quotaUnit, all, quotaStart).Amount)
	assert.Zero(t, q.Reserve("a", quotaUnit, need(5, known), quotaStart+100*time.Millisecond).Amount)
}

// Guards against fallback shares that add up to more than the rate, also if replies are lost and the
// holder is replaced.
func TestFallbackSharesAddUpToOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const instances = 5
		now, holds, asked := quotaStart, make([]float64, instances), make([]time.Duration, instances)
		q := limit.NewQuotas(instances, now)
		for range rapid.IntRange(1, 200).Draw(t, "asks") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond
			if rapid.IntRange(0, 50).Draw(t, "holder") == 0 {
				q = limit.NewQuotas(instances, now)
				for j, fraction := range holds {
					if rapid.Bool().Draw(t, "reaches the new holder") {
						asked[j], holds[j] = now, q.Reserve(fmt.Sprint(j), quotaUnit, limit.QuotaAsk{Limit: known, Fraction: fraction}, now).Fraction
					}
				}
			}
			for j, at := range asked {
				if now-at >= 20*time.Second {
					holds[j] = 0 // it has forgotten the account, or is gone
				}
			}
			i := rapid.IntRange(0, instances-1).Draw(t, "instance")
			ask := need(float64(rapid.IntRange(0, 900).Draw(t, "need")), known)
			ask.Demand, ask.Fraction = float64(rapid.IntRange(0, 9000).Draw(t, "demand")), holds[i]
			grant := q.Reserve(fmt.Sprint(i), quotaUnit, ask, now)
			asked[i] = now
			if rapid.Bool().Draw(t, "received") {
				holds[i] = grant.Fraction
			}
			sum := 0.0
			for _, fraction := range holds {
				sum += fraction
			}
			if sum > 1+1e-9 {
				t.Fatalf("the shares are %v", holds)
			}
		}
	})
}

// Guards against a bucket that a faulty peer breaks.
func TestFaultyAsksAreBounded(t *testing.T) {
	q := limit.NewQuotas(1, 0)
	for _, bad := range []float64{math.NaN(), math.Inf(1), -1} {
		ask := limit.QuotaAsk{Need: bad, Least: bad, Extra: bad, Demand: bad, Limit: known, Fraction: bad, Alone: bad}
		grant := q.Reserve("bad", quotaUnit, ask, quotaStart)
		assert.True(t, grant.Amount >= 0 && grant.Amount <= known.Burst && grant.Fraction >= 0 && grant.Fraction <= 1, "%+v", grant)
	}
	assert.EqualValues(t, 500, q.Reserve("good", quotaUnit, need(500, known), quotaStart+5*time.Second).Amount)
}

// granted returns what an instance gets that asks for all each 100 ms, while others are heard.
func granted(q *limit.Quotas, instance string, from, to time.Duration, others ...string) (sum float64) {
	for now := from; now <= to; now += 100 * time.Millisecond {
		for _, other := range others {
			q.Heard(other, now)
		}
		sum += q.Reserve(instance, quotaUnit, limit.QuotaAsk{Need: 1e6, Least: 1, Limit: known}, now).Amount
	}
	return sum
}

// Guards against a rate that is granted in full while silent instances use a part of it.
func TestShareOfASilentInstanceIsReserved(t *testing.T) {
	q, second := limit.NewQuotas(2, 0), time.Second
	q.Heard("a", quotaStart)
	part := q.Reserve("silent", quotaUnit, limit.QuotaAsk{Limit: known, Demand: 1000}, quotaStart).Fraction
	assert.Positive(t, part)
	assert.InDelta(t, known.Burst+(1-part)*known.Rate*10, granted(q, "a", quotaStart, quotaStart+10*second), known.Rate/10)
	assert.InDelta(t, known.Rate*5, granted(q, "a", quotaStart+10*second, quotaStart+15*second, "silent"), known.Rate/10)
}

// Guards against a new holder that takes a partitioned zone, or a few dead instances, for idle.
func TestSharesOfUnheardInstancesAreReserved(t *testing.T) {
	for unheard, part := range map[int]float64{5: 0.05, 40: 0.85, 0: 0} {
		q, heard := limit.NewQuotas(100, quotaStart), []string(nil)
		for i := range 99 - unheard {
			heard = append(heard, fmt.Sprint("i", i))
		}
		want := known.Burst/4 + (1-part)*known.Rate*10
		assert.InDelta(t, want, granted(q, "a", quotaStart, quotaStart+10*time.Second, heard...), known.Rate/10, "%d unheard", unheard)
	}
}

// Guards against use without the holder that is never counted, since asks arrive and replies don't.
func TestUseWithoutTheHolderIsCharged(t *testing.T) {
	q := limit.NewQuotas(2, 0)
	alone := limit.QuotaAsk{Limit: known}
	q.Reserve("alone", quotaUnit, alone, quotaStart)
	granted(q, "a", quotaStart, quotaStart)
	alone.Alone = 600
	for range 2 {
		q.Reserve("alone", quotaUnit, alone, quotaStart+500*time.Millisecond)
	}
	assert.InDelta(t, 400, granted(q, "a", quotaStart+time.Second, quotaStart+time.Second), 1)
}

// Guards against grants that add up over time, and against cost that is given back later.
func TestGrantsExpire(t *testing.T) {
	var l limit.LocalQuota
	l.Arrived(100, known, quotaStart)
	l.Granted(limit.QuotaGrant{Amount: 300}, quotaStart, quotaStart+time.Millisecond)
	taken, ok := l.Take(100, quotaStart+time.Millisecond)
	assert.True(t, ok)
	l.Return(taken, quotaStart+2*time.Millisecond)
	_, ok = l.Take(300, quotaStart+499*time.Millisecond)
	assert.True(t, ok)
	l.Granted(limit.QuotaGrant{Amount: 300}, quotaStart, quotaStart+499*time.Millisecond)
	_, ok = l.Take(1, quotaStart+500*time.Millisecond)
	assert.False(t, ok)
	l.Return(taken, quotaStart+500*time.Millisecond)
	_, ok = l.Take(1, quotaStart+500*time.Millisecond)
	assert.False(t, ok)
}

// Guards against an account that is refused for good by an instance with a small share.
func TestSmallShareIsEnoughAfterSomeTime(t *testing.T) {
	var l limit.LocalQuota
	l.Arrived(500, known, quotaStart)
	l.Lost(quotaStart)
	unstated := limit.UnstatedFraction(10, true)
	_, retry, ok := l.TakeAlone(500, unstated, quotaStart)
	assert.False(t, ok)
	assert.Greater(t, retry, time.Second)
	_, _, ok = l.TakeAlone(500, unstated, quotaStart+20*time.Second)
	assert.True(t, ok)
}

func BenchmarkReserveQuota(b *testing.B) {
	for _, instances := range []int{8, 83, 300} {
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			q, now := limit.NewQuotas(instances, 0), quotaStart
			names := make([]string, instances)
			for i := range names {
				names[i] = fmt.Sprint("instance-", i)
			}
			ask := need(1, known)
			ask.Demand = 10
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += 200 * time.Microsecond
				q.Reserve(names[i%instances], quotaUnit, ask, now)
			}
		})
	}
}

// A bucket without a tolerance refuses requests below the limit, since the instances know the use of the
// others late.
func TestBucketHoldsAPartOfTheTolerance(t *testing.T) {
	granted := func(tolerance limit.QuotaTolerance) float64 {
		q := limit.NewQuotas(1, 0)
		q.Tolerate(tolerance)
		ask := limit.QuotaAsk{Need: 1e9, Limit: limit.QuotaLimit{Rate: 100, Burst: 100, Version: 1}}
		q.Reserve("i", "a", ask, 0)
		return q.Reserve("i", "a", ask, time.Hour).Amount
	}
	assert.InDelta(t, 100, granted(limit.QuotaTolerance{}), 1)
	assert.InDelta(t, 100+0.5*(900*0.1+50), granted(limit.QuotaTolerance{Window: 8 * time.Second, Ratio: 0.1, Amount: 50}), 1)
	assert.InDelta(t, 100, granted(limit.QuotaTolerance{Window: 8 * time.Second, Ratio: -1, Amount: math.NaN()}), 1)
}

// One large request raised the bucket of its account for as long as the holder knew the account.
func TestLargeRequestRaisesTheBucketForAWindow(t *testing.T) {
	q := limit.NewQuotas(1, 0)
	known := limit.QuotaLimit{Rate: 100, Burst: 100, Version: 1}
	q.Reserve("i", "a", limit.QuotaAsk{Need: 800, Least: 800, Limit: known}, 0)
	q.Reserve("i", "a", limit.QuotaAsk{Need: 1, Least: 1, Limit: known}, time.Minute)
	assert.LessOrEqual(t, q.Reserve("i", "a", limit.QuotaAsk{Need: 1e9, Least: 1, Limit: known}, 2*time.Minute).Amount, 200.0)
}
