package routing

import (
	"math/bits"
	"sync/atomic"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/hash64"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// CacheEvent is one event of an engine's prefix cache. Events can be late or missing.
type CacheEvent struct {
	Server port.ServerID
	// Sequence increases by one with each event of a server.
	Sequence uint64
	// Prefix is the hash of the prefix, computed like Query.PrefixHash.
	Prefix uint64
	// Stored is false if the prefix was evicted.
	Stored bool
	// Age is how long ago the event happened.
	Age time.Duration
}

// cacheState tracks the cache events of one server.
type cacheState struct {
	sequence atomic.Uint64
	// resetAt invalidates all events before it: events were lost, or the engine
	// restarted.
	resetAt atomic.Int64
}

// holdersPerPrefix is the maximum number of servers recorded for one prefix.
const holdersPerPrefix = 3

// prefixBucket records which servers hold one prefix. It fills one cache line. A reader
// that races with the writer can mistake a server of another prefix for a holder; it then
// merely prefers a server without reason.
type prefixBucket struct {
	prefix  atomic.Uint64
	holders [holdersPerPrefix]atomic.Uint64
	at      [holdersPerPrefix]atomic.Int64
	_       [8]byte
}

// prefixTable maps prefixes to servers in a fixed amount of memory: a new prefix replaces
// an old one in the same bucket. It allows one writer and concurrent readers.
type prefixTable struct {
	buckets []prefixBucket
	shift   int
}

func newPrefixTable(size int) *prefixTable {
	n := 1 << bits.Len(uint(max(size, 2)-1))
	return &prefixTable{buckets: make([]prefixBucket, n), shift: 64 - bits.Len(uint(n-1))}
}

func (t *prefixTable) bucket(prefix uint64) *prefixBucket {
	return &t.buckets[hash64.Mix(prefix)>>t.shift]
}

// store records that the server with the given key holds the prefix.
func (t *prefixTable) store(prefix, key uint64, at time.Duration) {
	b := t.bucket(prefix)
	if b.prefix.Load() != prefix {
		for i := range b.holders {
			b.holders[i].Store(0)
		}
		b.prefix.Store(prefix)
	}
	slot := 0
	for i := range b.holders {
		holder := b.holders[i].Load()
		if holder == key || holder == 0 {
			slot = i
			break
		}
		if b.at[i].Load() < b.at[slot].Load() {
			slot = i
		}
	}
	b.at[slot].Store(int64(at))
	b.holders[slot].Store(key)
}

// evict records that the server with the given key no longer holds the prefix.
func (t *prefixTable) evict(prefix, key uint64) {
	b := t.bucket(prefix)
	if b.prefix.Load() != prefix {
		return
	}
	for i := range b.holders {
		if b.holders[i].Load() == key {
			b.holders[i].Store(0)
		}
	}
}

// holder returns when the server was last known to hold the prefix.
func (b *prefixBucket) holder(key uint64) (at time.Duration, ok bool) {
	for i := range b.holders {
		if b.holders[i].Load() == key {
			return time.Duration(b.at[i].Load()), true
		}
	}
	return 0, false
}

// apply processes one event of a server. An event that is older than the newest one is
// ignored; a gap in the sequence invalidates all earlier events of the server.
func (t *prefixTable) apply(now time.Duration, s *ServerStats, e CacheEvent) {
	last := s.cache.sequence.Load()
	if e.Sequence <= last {
		return
	}
	s.cache.sequence.Store(e.Sequence)
	at := now - max(e.Age, 0)
	if last != 0 && e.Sequence != last+1 {
		s.cache.resetAt.Store(int64(at))
	}
	if e.Stored {
		t.store(e.Prefix, s.key, at)
		return
	}
	t.evict(e.Prefix, s.key)
}

// restart invalidates all events of the server.
func (c *cacheState) restart(now time.Duration) {
	c.sequence.Store(0)
	c.resetAt.Store(int64(now))
}
