package routing

import (
	"math/bits"
	"sync/atomic"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/hash64"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// CacheEvent is one event of an engine's prefix cache. Events come late and with
// gaps.
type CacheEvent struct {
	Server port.ServerID
	// Sequence grows by one from event to event of a server.
	Sequence uint64
	// Prefix is the hash of the prefix, made as in Query.PrefixHash.
	Prefix uint64
	// Stored is false if the prefix was evicted.
	Stored bool
	// Age is how long ago the event happened.
	Age time.Duration
}

// cacheState is what is known of one server's cache events.
type cacheState struct {
	sequence atomic.Uint64
	// resetAt voids what was known before it: events were lost, or the engine
	// has restarted.
	resetAt atomic.Int64
}

// holdersPerPrefix bounds the servers remembered for one prefix.
const holdersPerPrefix = 3

// prefixBucket remembers which servers hold one prefix. It fills a cache line.
// A reader that races with the writer may take another prefix's server for a
// holder: it then prefers a server without reason, and no more.
type prefixBucket struct {
	prefix  atomic.Uint64
	holders [holdersPerPrefix]atomic.Uint64
	at      [holdersPerPrefix]atomic.Int64
	_       [8]byte
}

// prefixTable maps prefixes to servers in fixed memory; a new prefix takes the
// place of an old one with the same bucket. One goroutine writes, any may read.
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

// store notes that the server with the key holds the prefix.
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

// evict notes that the server no longer holds the prefix.
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

// apply takes in one event of a server. An event that is older than the newest
// one says nothing; a gap voids what was known of the server.
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

// restart voids what is known of the server's cache.
func (c *cacheState) restart(now time.Duration) {
	c.sequence.Store(0)
	c.resetAt.Store(int64(now))
}
