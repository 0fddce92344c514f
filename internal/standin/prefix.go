package standin

import (
	"net/http"
	"strconv"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// maxCacheEvents is the maximum number of cache events in a report. A reader that
// polls too rarely misses events and sees a gap in their sequence numbers.
const maxCacheEvents = 64

// prefixCache is the LRU cache of prompt prefixes of an engine. It is guarded by
// engine.mu.
type prefixCache struct {
	entries  *simplelru.LRU[uint64, struct{}]
	sequence uint64
	events   []cacheEvent
}

type cacheEvent struct {
	port.CacheEvent
	at time.Time
}

func newPrefixCache(size int) *prefixCache {
	c := &prefixCache{}
	entries, err := simplelru.NewLRU(size, func(prefix uint64, _ struct{}) { c.recordEvent(prefix, false) })
	if err != nil {
		panic(err) // only fails for a size below 1, which validation excludes
	}
	c.entries = entries
	return c
}

// recordEvent adds an event for a stored or evicted prefix.
func (c *prefixCache) recordEvent(prefix uint64, stored bool) {
	c.sequence++
	c.events = append(c.events, cacheEvent{port.CacheEvent{Sequence: c.sequence, Prefix: prefix, Stored: stored}, time.Now()})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// lookUpOrAdd reports whether the prefix is cached, and adds it if it isn't.
func (c *prefixCache) lookUpOrAdd(prefix uint64) bool {
	if _, hit := c.entries.Get(prefix); hit {
		return true
	}
	c.entries.Add(prefix, struct{}{})
	c.recordEvent(prefix, true)
	return false
}

// report returns the latest events with their current age.
func (c *prefixCache) report() []port.CacheEvent {
	var events []port.CacheEvent
	for _, e := range c.events {
		e.AgeMS = time.Since(e.at).Milliseconds()
		events = append(events, e.CacheEvent)
	}
	return events
}

// usePrefix looks up the prefix hash of a request in the cache and reports whether
// it was cached. A request without a valid hash counts neither as a hit nor as a
// miss.
func (e *engine) usePrefix(h http.Header) bool {
	prefix, err := strconv.ParseUint(h.Get(port.HeaderPrefixHash), 16, 64)
	if err != nil {
		return false
	}
	e.mu.Lock()
	hit := e.prefixes.lookUpOrAdd(prefix)
	e.recordReport()
	e.mu.Unlock()
	e.counters.update(func(c *Counters) {
		if hit {
			c.PrefixHits++
		} else {
			c.PrefixMisses++
		}
	})
	return hit
}
