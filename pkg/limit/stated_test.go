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
	r.Observe(Unlimited, at(0), at(10))
	assert.Equal(t, Unlimited, r.PerSecond())
	r.Observe(5, at(10), at(30))
	assert.Equal(t, 5.0, r.PerSecond())
	r.Observe(Unlimited, at(20), at(40))
	assert.Equal(t, 5.0, r.PerSecond(), "the request was sent before the limit was stated")
	r.Observe(3, at(15), at(50))
	assert.Equal(t, 3.0, r.PerSecond(), "a limit always counts")
	r.Merge(Statement{PerSecond: Unlimited, At: at(45)})
	assert.Equal(t, 3.0, r.PerSecond(), "an older statement")
	r.Observe(Unlimited, at(55), at(60))
	assert.Equal(t, Unlimited, r.PerSecond())
	assert.Equal(t, at(55), r.Newest().At)
}
