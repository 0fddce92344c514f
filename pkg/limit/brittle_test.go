package limit

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestBrittle(t *testing.T) {
	load := BrittleLoad{Slots: 10, Instances: 5}
	start := time.Unix(1_800_000_000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var b Brittle
	assert.True(t, b.Usable(load, at(0)))
	assert.Equal(t, Unlimited, b.Rate())
	for range 100 {
		b.Served(100*time.Millisecond, load)
	}
	b.Stated(4, load, at(0), at(100))
	assert.True(t, b.IsBrittle())
	assert.InDelta(t, brittleUtilization*100/5, b.Rate(), 0.01, "a part of what the server can do")
	assert.False(t, b.Usable(load, at(100)))
	assert.True(t, b.Usable(load, at(300)))
	b.Take()
	assert.False(t, b.Usable(load, at(301)))

	before := b.Rate()
	b.Rejected(at(500))
	b.Rejected(at(501))
	assert.InDelta(t, brittleBackoff*before, b.Rate(), 0.01, "rejections at the same time count once")
	assert.False(t, b.Usable(load, at(502)))

	b.Stated(-1, load, at(99), at(600))
	assert.True(t, b.IsBrittle(), "the answer is older")
	b.Stated(-1, load, at(590), at(700))
	assert.False(t, b.IsBrittle())
	assert.True(t, b.Usable(load, at(700)))
}

// Whatever a server states and does, the rate stays positive and within its capacity, and
// turns don't add up.
func TestBrittleRateIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Brittle
		now := time.Unix(1_800_000_000, 0)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			load := BrittleLoad{Slots: rapid.IntRange(-1, 100).Draw(t, "slots"), Waiting: rapid.IntRange(-5, 1000).Draw(t, "waiting"), Instances: rapid.IntRange(-1, 100).Draw(t, "instances")}
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				b.Served(time.Duration(rapid.IntRange(0, 5000).Draw(t, "took"))*time.Millisecond, load)
			case 1:
				b.Stated(rapid.IntRange(-1, 100).Draw(t, "tolerated"), load, now.Add(-time.Second), now)
			case 2:
				b.Rejected(now)
			default:
				for range 1000 {
					if !b.Usable(load, now) || !b.IsBrittle() {
						break
					}
					b.Take()
				}
				if b.IsBrittle() && b.Usable(load, now) && b.Rate()*brittleBurst.Seconds() < 1000 {
					t.Fatal("turns added up")
				}
			}
			if b.IsBrittle() && (!(b.Rate() > 0) || math.IsInf(b.Rate(), 0)) {
				t.Fatalf("rate %v", b.Rate())
			}
		}
	})
}
