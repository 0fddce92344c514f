package serverpick_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/serverpick"
)

var epoch = time.Unix(1_800_000_000, 0)

// A slow machine must not be avoided because of an old figure, which changes within 600 ms, nor
// counted twice if its figure always exceeds 1.
func TestReportedSlowdownFades(t *testing.T) {
	var s serverpick.Speed
	assert.InDelta(t, 1, s.Slowness(epoch), 0, "nothing known")
	s.Reported(2.5, epoch)
	assert.Greater(t, s.Slowness(epoch), 2.0)
	assert.InDelta(t, 1, s.Slowness(epoch.Add(3*time.Second)), 0.1)
	for i := range 200 {
		at := epoch.Add(time.Duration(i) * 100 * time.Millisecond)
		s.Reported(1.8, at)
		s.Observed(1.8, time.Second, at)
	}
	assert.InDelta(t, 1.8, s.Slowness(epoch.Add(20*time.Second)), 0.1, "the figure repeats what is learned")
}

// A server that turns slow or fast is followed, and absurd figures stay bounded.
func TestSlownessFollowsAnswers(t *testing.T) {
	var s serverpick.Speed
	observe := func(ratio float64, n int) float64 {
		for range n {
			s.Observed(ratio, time.Second, epoch)
		}
		return s.Learned(epoch)
	}
	assert.InDelta(t, 1.8, observe(1.8, 10), 0.15)
	assert.InDelta(t, 0.8, observe(0.8, 20), 0.15)
	observe(math.Inf(1), 1)
	observe(math.NaN(), 1)
	assert.InDelta(t, 0.8, observe(-1, 1), 0.15)
	assert.LessOrEqual(t, observe(1e300, 100), 8.0)
	assert.Less(t, s.Learned(epoch.Add(10*time.Minute)), 2.0, "a server without requests gets some again")
}

// A server whose last report was full must get requests again when that is old, and one that has
// never reported isn't empty where all others are nearly full.
func TestOldReportsFadeToTheUsualLoad(t *testing.T) {
	var usual serverpick.UsualLoad
	assert.InDelta(t, 12, usual.Others(24, 0.5), 0)
	for range 50 {
		usual = usual.Observe(30)
	}
	full := serverpick.Load{Reported: 30, Age: 0, OthersUsual: usual.Others(24, 0.5), Holding: time.Second}
	assert.Equal(t, int64(30), full.Estimate())
	full.Age = time.Minute
	assert.Less(t, full.Estimate(), int64(24))
	assert.Greater(t, full.Estimate(), int64(18))
	assert.LessOrEqual(t, usual.Others(1, 1), 0.0, "the only slot")
}

// A server that is usually full must not be asked again and again, but is after a time that depends
// on how many instances ask it. A server that was busy once isn't taken for full.
func TestFullServersAreAskedAtIntervals(t *testing.T) {
	var usual serverpick.UsualLoad
	assert.Zero(t, usual.OthersWhenFull(24, 1))
	assert.Zero(t, usual.Observe(17).OthersWhenFull(24, 0.5))
	for range 10 {
		usual = usual.Observe(26)
	}
	c := serverpick.Candidate{ID: "full", Slots: 24, Usable: true, Load: serverpick.Load{
		Reported: 26, OthersUsual: usual.Others(24, 1), OthersWhenFull: usual.OthersWhenFull(24, 1),
		Holding: 3 * time.Second, ProbeAfter: serverpick.ProbeAfter(3*time.Second, 24, 80, 30),
	}}
	pick := func(age time.Duration) int {
		c.Load.Age = age
		return serverpick.Pick(serverpick.Request{WaitForSlot: true}, []serverpick.Candidate{c})
	}
	assert.Equal(t, 3333*time.Millisecond, c.Load.ProbeAfter.Truncate(time.Millisecond))
	assert.Equal(t, -1, pick(3*time.Second))
	assert.Equal(t, 0, pick(3400*time.Millisecond))
	assert.LessOrEqual(t, serverpick.ProbeAfter(time.Hour, 1, 300, 40), 10*time.Second, "bounded")
	assert.Equal(t, 2*time.Second, serverpick.ProbeAfter(3*time.Second, 24, 80, 2), "few servers, after a burst")
	assert.Equal(t, 2*time.Second, serverpick.ProbeAfter(0, 24, 80, 30), "as before while nothing is known")
}

// The estimate counts what a request waits for: requests beyond the free slots, prompts that are
// read before it, and its own, at the speed of the server.
func TestFirstEvent(t *testing.T) {
	r := serverpick.Request{Reading: 100 * time.Millisecond}
	c := candidate("a", 9)
	assert.Equal(t, 100*time.Millisecond, r.FirstEvent(&c))
	c.Load.Unread, c.Slowness = 50*time.Millisecond, 2
	assert.Equal(t, 300*time.Millisecond, r.FirstEvent(&c))
	c.Load.InFlight, c.Load.Holding = 12, 2*time.Second
	assert.Equal(t, 300*time.Millisecond+2*3*200*time.Millisecond, r.FirstEvent(&c))
}

// A slower server gets a request only once faster ones are clearly busier.
func TestPickWeighsSpeed(t *testing.T) {
	r := serverpick.Request{Objective: 800 * time.Millisecond, Reading: 100 * time.Millisecond}
	slow, fast := candidate("slow", 0), candidate("fast", 0)
	slow.Slowness, fast.Slowness = 1.8, 0.8
	assert.Equal(t, 1, serverpick.Pick(r, []serverpick.Candidate{slow, fast}))
	fast.Load.InFlight = 4
	assert.Equal(t, 0, serverpick.Pick(r, []serverpick.Candidate{slow, fast}))
}

// Requests that choose by the same reports must not all choose the same server, nor another zone
// while the own one has room.
func TestSpreadPicksAmongEquals(t *testing.T) {
	near, far := candidate("near", 3), candidate("far", 2)
	near.SameZone = true
	candidates := []serverpick.Candidate{near, near, near, far, candidate("busy", 9)}
	counts := make([]int, len(candidates))
	for n := range 3000 {
		counts[serverpick.Pick(serverpick.Request{Spread: 2, Random: uint64(n)}, candidates)]++
	}
	for i := range 3 {
		assert.InDelta(t, 1000, counts[i], 150, "%v", counts)
	}
}

func manyCandidates(n int) []serverpick.Candidate {
	var candidates []serverpick.Candidate
	for i := range n {
		c := candidate(fmt.Sprint("server-", i), int64(i%7))
		c.Hash, c.SameZone, c.Slowness = serverpick.HashID(c.ID), i%3 == 0, 1+float64(i%5)/10
		c.Load.Age, c.Load.Reported, c.Load.OthersUsual = time.Duration(i%30)*100*time.Millisecond, int64(i%9), 3
		candidates = append(candidates, c)
	}
	return candidates
}

var heavyRequests = map[string]serverpick.Request{
	"spread":   {Objective: time.Second, Reading: 50 * time.Millisecond, WaitForSlot: true, Spread: 2},
	"affinity": {Objective: time.Second, Reading: 50 * time.Millisecond, WaitForSlot: true, Affinity: "m||1|2", SharedReading: time.Second},
}

func TestPickDoesNotAllocate(t *testing.T) {
	candidates := manyCandidates(200)
	for name, r := range heavyRequests {
		assert.Zero(t, testing.AllocsPerRun(100, func() { r.Random++; serverpick.Pick(r, candidates) }), name)
	}
}

func BenchmarkPick200(b *testing.B) {
	candidates := manyCandidates(200)
	for name, r := range heavyRequests {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r.Random++
				serverpick.Pick(r, candidates)
			}
		})
	}
}
