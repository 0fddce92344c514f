package standin

import (
	"net/http"
	"strconv"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// eventsKept is how many cache events a report brings at most. A reader that
// comes too seldom sees a gap.
const eventsKept = 64

// prefixCache is an engine's cache of prompt prefixes. The engine's lock guards
// it.
type prefixCache struct {
	held     *simplelru.LRU[uint64, struct{}]
	sequence uint64
	events   []cacheEvent
}

type cacheEvent struct {
	port.CacheEvent
	at time.Time
}

func newPrefixCache(size int) *prefixCache {
	c := &prefixCache{}
	held, err := simplelru.NewLRU(size, func(prefix uint64, _ struct{}) { c.note(prefix, false) })
	if err != nil {
		panic(err) // the settings bound the size
	}
	c.held = held
	return c
}

func (c *prefixCache) note(prefix uint64, stored bool) {
	c.sequence++
	c.events = append(c.events, cacheEvent{port.CacheEvent{Sequence: c.sequence, Prefix: prefix, Stored: stored}, time.Now()})
	if len(c.events) > eventsKept {
		c.events = c.events[1:]
	}
}

// use reports whether the prefix is cached, and caches it.
func (c *prefixCache) use(prefix uint64) bool {
	if _, hit := c.held.Get(prefix); hit {
		return true
	}
	c.held.Add(prefix, struct{}{})
	c.note(prefix, true)
	return false
}

func (c *prefixCache) report() []port.CacheEvent {
	var events []port.CacheEvent
	for _, e := range c.events {
		e.AgeMS = time.Since(e.at).Milliseconds()
		events = append(events, e.CacheEvent)
	}
	return events
}

// usePrefix looks the request's prefix up and reports whether it was cached.
// Requests without one count as neither.
func (e *engine) usePrefix(h http.Header) bool {
	prefix, err := strconv.ParseUint(h.Get(port.HeaderPrefixHash), 16, 64)
	if err != nil {
		return false
	}
	e.mu.Lock()
	hit := e.prefixes.use(prefix)
	e.record()
	e.mu.Unlock()
	e.tally.update(func(c *Counters) {
		if hit {
			c.PrefixHits++
		} else {
			c.PrefixMisses++
		}
	})
	return hit
}
