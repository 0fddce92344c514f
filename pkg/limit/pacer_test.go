package limit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// In any span, a pacer gives out permits for the span at the highest limit in force, one more,
// and those kept and reserved ahead. Instances that always ask get nearly all that the limit
// allows.
func TestPacerKeepsTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1_800_000_000, 0)
		now, end := start, start.Add(10*time.Second)
		perSecond := rapid.Float64Range(0.5, 200).Draw(t, "limit")
		pacer := NewPacer(now)
		var used []time.Time
		eager := rapid.Bool().Draw(t, "eager")
		for now.Before(end) {
			permits := pacer.Reserve(PermitInterval(perSecond), rapid.IntRange(1, 8).Draw(t, "count"), !eager && rapid.Bool().Draw(t, "spare"), now)
			for i := range permits.Count {
				at := now.Add(permits.First + time.Duration(i)*permits.Interval)
				if at.Before(now) {
					at = now
				}
				used = append(used, at)
			}
			pause := permits.Retry + time.Millisecond
			if !eager {
				pause = time.Duration(rapid.IntRange(1, 1500).Draw(t, "pause")) * time.Millisecond
			}
			now = now.Add(pause)
		}
		const span = 4 * time.Second
		allowed := perSecond*(span+maxPacerCredit).Seconds() + 1
		for i := range used {
			n := 0
			for _, at := range used[i:] {
				if at.Sub(used[i]) < span {
					n++
				}
			}
			assert.LessOrEqual(t, float64(n), allowed+1e-6)
		}
		if eager {
			assert.GreaterOrEqual(t, float64(len(used)), perSecond*10*0.9-1)
		}
	})
}

func TestPacerFollowsAChangedLimit(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	pacer := NewPacer(now)
	assert.Equal(t, 1, pacer.Reserve(PermitInterval(0), 5, false, now).Count, "a limit of none is probed")
	denied := pacer.Reserve(PermitInterval(0), 5, false, now)
	assert.Zero(t, denied.Count)
	assert.Equal(t, PermitInterval(0)-maxPacerAhead, denied.Retry)
	raised := pacer.Reserve(PermitInterval(100), 5, false, now)
	assert.Equal(t, 10*time.Millisecond, raised.Retry, "the raised limit counts, not the time until the next probe")
	lowered := pacer.Reserve(PermitInterval(1), 5, false, now.Add(raised.Retry))
	assert.Equal(t, 1, lowered.Count)
}

// An instance whose requests have other servers gets a permit only if no other needs it.
func TestSparePermitsAreThoseThatNobodyNeeds(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	shared, stated := NewShared(now), Statement{PerSecond: 4, At: now}
	needs, spare := Ask{Stated: stated, Count: 1}, Ask{Stated: stated, Count: 1, Spare: true}
	assert.Equal(t, 1, shared.Reserve("a", spare, now).Permits.Count)
	assert.Zero(t, shared.Reserve("a", spare, now).Permits.Count)
	grant := shared.Reserve("b", needs, now)
	assert.Equal(t, 1, grant.Permits.Count, "reserved ahead")
	assert.Equal(t, 1, grant.Instances, "a doesn't share the rate")
	for range 40 {
		now = now.Add(PermitInterval(stated.PerSecond))
		assert.Zero(t, shared.Reserve("a", spare, now).Permits.Count)
		assert.Equal(t, 1, shared.Reserve("b", needs, now).Permits.Count)
	}
	now = now.Add(time.Second)
	assert.Equal(t, 1, shared.Reserve("a", spare, now).Permits.Count)
}
