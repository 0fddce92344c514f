// Package streamorigin remembers at which software version each stream began. What two versions
// of a server write doesn't fit together, so that a client that takes a stream up again, through
// whichever instance, has to reach the version that began it.
//
// The origins of streams are kept in memory by a few instances, which all others find by the
// name of the stream.
package streamorigin

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/hash64"
)

// Origin is where a stream began.
type Origin struct {
	Service string
	// Version is the software version of the server that began the stream.
	Version string
}

// TTL is how long an origin is remembered at least: longer than a stream lasts, with all
// attempts of its client.
const TTL = 60 * time.Second

// maxOrigins bounds the origins that are remembered within a TTL. At a few thousand streams a
// second over all instances, an instance remembers a few hundred a second.
const maxOrigins = 1 << 16

// Memory maps streams, named by the client attempt that began them, to their origins. It is
// safe for concurrent use.
type Memory struct {
	mu sync.Mutex
	// Origins are added to recent, which becomes older after a TTL.
	recent, older map[string]Origin
	recentSince   time.Time
}

// NewMemory returns an empty memory.
func NewMemory() *Memory { return &Memory{recent: map[string]Origin{}} }

// Put records the origin of a stream. A later one replaces it.
func (m *Memory) Put(stream string, origin Origin, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.recentSince) > TTL || len(m.recent) >= maxOrigins {
		m.recent, m.older, m.recentSince = map[string]Origin{}, m.recent, now
	}
	m.recent[stream] = origin
}

// Get returns the origin of a stream, and false if it isn't known.
func (m *Memory) Get(stream string) (Origin, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if origin, known := m.recent[stream]; known {
		return origin, true
	}
	origin, known := m.older[stream]
	return origin, known
}

// Keepers returns up to n of the instances, which keep the origin of a stream: those with the
// highest rendezvous hashes. Instances that know slightly different sets of instances agree on
// most of them.
func Keepers(stream string, instances []string, n int) []string {
	type weighted struct {
		instance string
		weight   uint64
	}
	ranked := make([]weighted, 0, len(instances))
	for _, instance := range instances {
		ranked = append(ranked, weighted{instance, hash64.Mix(hash64.String(stream) ^ hash64.Mix(hash64.String(instance)))})
	}
	slices.SortFunc(ranked, func(a, b weighted) int { return cmp.Compare(b.weight, a.weight) })
	out := make([]string, 0, n)
	for _, r := range ranked[:min(n, len(ranked))] {
		out = append(out, r.instance)
	}
	return out
}
