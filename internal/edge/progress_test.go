package edge

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

func TestMissedObjective(t *testing.T) {
	route := &fleet.Route{TargetLatency: 800 * time.Millisecond, GapTarget: 400 * time.Millisecond}
	for name, c := range map[string]struct {
		progress progress
		took     time.Duration
		late     bool
	}{
		"answer in time":       {took: 700 * time.Millisecond},
		"answer late":          {took: 900 * time.Millisecond, late: true},
		"long stream in time":  {progress: progress{firstEvent: 100 * time.Millisecond, events: 9, longestPause: 300 * time.Millisecond}, took: 3 * time.Second},
		"first event late":     {progress: progress{firstEvent: 900 * time.Millisecond, events: 9}, took: 3 * time.Second, late: true},
		"paused between":       {progress: progress{firstEvent: 100 * time.Millisecond, events: 9, longestPause: 500 * time.Millisecond}, took: 3 * time.Second, late: true},
		"route without a goal": {took: time.Hour},
	} {
		r := route
		if name == "route without a goal" {
			r = &fleet.Route{}
		}
		assert.Equal(t, c.late, c.progress.missedObjective(r, c.took), name)
	}
}

func TestProgressOfAStream(t *testing.T) {
	arrived := time.Unix(1_800_000_000, 0)
	at := func(ms int) time.Time { return arrived.Add(time.Duration(ms) * time.Millisecond) }
	var p progress
	p.attemptBegins("s1", 2, at(10))
	p.eventsForwarded(arrived, at(110))
	p.attemptBegins("s2", 0, at(500))
	p.load, p.hasLoad = platform.ServerLoad{Running: 3}, true
	p.eventsForwarded(arrived, at(700))
	p.eventsForwarded(arrived, at(750))
	assert.Equal(t, 110*time.Millisecond, p.firstEvent, "of the whole request")
	assert.Equal(t, 590*time.Millisecond, p.longestPause, "over both attempts")
	assert.Equal(t, 3, p.events)
	o := p.observation()
	assert.Equal(t, 200*time.Millisecond, o.FirstEvent, "of the last attempt")
	assert.Equal(t, 50*time.Millisecond, o.Generation)
	assert.True(t, o.Alone)
}

// The reading of a prompt ends once, with the first event or with the attempt, and others'
// waiting requests are those that a report has beyond one's own.
func TestUnreadPrompts(t *testing.T) {
	var s stats
	now := time.Unix(1_800_000_000, 0)
	first := s.beginReading(200 * time.Millisecond)
	s.beginReading(100 * time.Millisecond)
	assert.Equal(t, 300*time.Millisecond, s.loadAt(now).Unread)
	s.recordLoad(platform.ServerLoad{Running: 1, Waiting: 5}, 8, 50*time.Millisecond, now)
	assert.Equal(t, 450*time.Millisecond, s.loadAt(now).Backlog())
	first()
	first()
	assert.Equal(t, 100*time.Millisecond, s.loadAt(now).Unread)
	s.recordLoad(platform.ServerLoad{Waiting: 1}, 8, 50*time.Millisecond, now)
	assert.Equal(t, 100*time.Millisecond, s.loadAt(now).Backlog())
	s.recordLoad(platform.ServerLoad{Waiting: math.MaxInt}, 8, 24*time.Hour, now)
	assert.Positive(t, s.loadAt(now).Backlog(), "a server that lies")
}

func TestSharedPart(t *testing.T) {
	part := func(tokens ...int) float64 {
		var head platform.RequestHead
		for _, n := range tokens {
			head.Prefix = append(head.Prefix, platform.PromptPart{ID: "x", Tokens: n})
		}
		return sharedPart(head)
	}
	assert.InDelta(t, 0.75, part(100, 200, 100), 1e-9)
	assert.Zero(t, part())
	assert.Zero(t, part(100), "the last part belongs to the request")
	assert.Zero(t, part(-5, -1), "absurd")
	assert.InDelta(t, 1, part(1<<40, -1), 1e-9)
}

// A client that reads slowly made its server count as slow.
func TestWritingToTheClientIsNotGeneration(t *testing.T) {
	var p progress
	at := time.Now()
	for range 3 {
		at = at.Add(time.Second + 50*time.Millisecond)
		p.writing += time.Second
		p.eventsForwarded(at, at)
	}
	assert.Equal(t, 100*time.Millisecond, p.observation().Generation)
}
