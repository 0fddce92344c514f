package streamorigin

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestMemory(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	m := NewMemory()
	first, second := Origin{Service: "s", Version: "v1"}, Origin{Service: "s", Version: "v2"}
	m.Put("a", first, now)
	m.Put("a", second, now)
	origin, known := m.Get("a")
	assert.True(t, known)
	assert.Equal(t, second, origin, "the later attempt counts")
	_, known = m.Get("b")
	assert.False(t, known)
	m.Put("b", first, now.Add(TTL+time.Second))
	_, known = m.Get("a")
	assert.True(t, known, "kept for a TTL at least")
	m.Put("c", first, now.Add(2*TTL+2*time.Second))
	_, known = m.Get("a")
	assert.False(t, known)
	for i := range 3 * maxOrigins {
		m.Put(fmt.Sprint(i), first, now.Add(2*TTL+2*time.Second))
	}
	assert.LessOrEqual(t, len(m.recent)+len(m.older), 2*maxOrigins)
}

// One instance more or less changes at most one keeper of a stream.
func TestKeepersHardlyChangeWithTheInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var instances []string
		for i := range rapid.IntRange(3, 12).Draw(t, "instances") {
			instances = append(instances, fmt.Sprint("i", i))
		}
		stream := rapid.String().Draw(t, "stream")
		before, after := Keepers(stream, instances, 3), Keepers(stream, instances[1:], 3)
		common := 0
		for _, keeper := range after {
			for _, other := range before {
				if keeper == other {
					common++
				}
			}
		}
		assert.GreaterOrEqual(t, common, 2)
		assert.Len(t, before, 3)
	})
}
