package limit

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestServiceBrittle(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	load := BrittleLoad{Slots: 10, Instances: 5, ServiceTime: 100 * time.Millisecond}
	var s ServiceBrittle
	var b Brittle
	b.Presume(&s, load, at(0), 0.5, at(0))
	assert.False(t, b.IsBrittle(), "the service isn't")

	s.Stated(4, at(1), at(2))
	assert.True(t, s.Concerns(time.Time{}, at(2)), "a server that has said nothing")
	assert.False(t, s.Concerns(at(1), at(2)), "one that has said otherwise lately")
	assert.True(t, s.Concerns(at(-2), at(2)), "one that has said otherwise long ago")
	s.Stated(-1, at(4), at(5))
	assert.True(t, s.IsBrittle(at(5)), "one server says otherwise")
	b.Presume(&s, load, at(4), 0.5, at(4))
	assert.True(t, b.IsBrittle())
	assert.InDelta(t, brittleUtilization*100/5, b.Rate(), 0.01)
	assert.False(t, b.Usable(load, at(4.05)))
	assert.True(t, b.Usable(load, at(4.1)), "after a part of the time between two turns")
	b.Take()
	rate := b.Rate()
	b.Resume(0, at(300))
	assert.False(t, b.Usable(load, at(300)), "no turns have added up")
	assert.InDelta(t, rate, b.Rate(), 1e-9, "nor does the rate rise without requests")
	b.Stated(-1, load, at(299), at(301))
	assert.False(t, b.IsBrittle(), "its own word holds")

	s.Stated(-1, at(6), at(7))
	assert.False(t, s.IsBrittle(at(7)), "none says so any longer")
	s.Stated(4, at(7), at(8))
	assert.False(t, s.IsBrittle(at(8).Add(serviceBrittleTTL)))
}

// Whatever the servers of a service state, the rate of one that is presumed to be brittle is positive
// and within its capacity, it has one turn at most, and its own word ends it.
func TestPresumedRateIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s ServiceBrittle
		now := time.Unix(1_800_000_000, 0)
		tolerated := rapid.SampledFrom([]int{-1, 0, 1, 5, math.MaxInt32})
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			before := now
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			load := BrittleLoad{
				Slots: rapid.IntRange(0, 100).Draw(t, "slots"), Instances: rapid.IntRange(0, 300).Draw(t, "instances"),
				ServiceTime: time.Duration(rapid.IntRange(0, 20_000).Draw(t, "service ms")) * time.Millisecond,
			}
			s.Stated(tolerated.Draw(t, "tolerated"), before, now)
			s.Served(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "took"))*time.Millisecond, load)
			var b Brittle
			b.Presume(&s, load, before, rapid.Float64Range(0, 1).Draw(t, "phase"), now)
			if b.IsBrittle() != s.IsBrittle(now) {
				t.Fatalf("presumed %v, service %v", b.IsBrittle(), s.IsBrittle(now))
			}
			if !b.IsBrittle() {
				continue
			}
			b.Resume(1, now)
			if !b.Usable(load, now) {
				t.Fatal("no turn")
			}
			b.Take()
			if b.Usable(load, now) {
				t.Fatal("two turns at once")
			}
			b.Usable(load, now.Add(time.Hour))
			if !(b.Rate() > 0) || b.Rate() > max(b.capacity(load), minBrittleRate) {
				t.Fatalf("rate %v, capacity %v", b.Rate(), b.capacity(load))
			}
			b.Stated(-1, load, now.Add(time.Millisecond), now.Add(time.Second))
			if b.IsBrittle() {
				t.Fatal("its own word doesn't hold")
			}
		}
	})
}
