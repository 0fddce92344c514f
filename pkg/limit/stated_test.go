package limit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestStatedRate(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var r StatedRate
	assert.Equal(t, Unlimited, r.PerSecond())
	assert.False(t, r.Observe(Unlimited, at(0), at(10)), "no limit is no change")
	assert.True(t, r.Observe(5, at(10), at(30)))
	assert.False(t, r.Observe(Unlimited, at(20), at(40)), "the request was sent before the limit was stated")
	assert.Equal(t, 5.0, r.PerSecond())
	assert.True(t, r.Observe(3, at(15), at(50)), "a limit always counts")
	assert.True(t, r.Observe(Unlimited, at(55), at(60)))
	assert.Equal(t, Unlimited, r.PerSecond())
	assert.Equal(t, at(60), r.At())
}
