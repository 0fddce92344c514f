package routing

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/hash64"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// Pool is the candidates of one pick, with the means to judge them. It is valid
// during the call of Picker.Pick only.
type Pool struct {
	router   *Router
	now      time.Duration
	query    Query
	set      *Set
	from, to int
	random   uint64
}

// Len is the number of candidates.
func (p *Pool) Len() int { return p.to - p.from }

// At returns one candidate.
func (p *Pool) At(i int) *Candidate { return p.set.candidates[p.from+i] }

// Query returns the query.
func (p *Pool) Query() *Query { return &p.query }

// Cost is the scorer's estimate for a candidate, in seconds.
func (p *Pool) Cost(c *Candidate) float64 {
	return p.router.cfg.Scorer.Cost(p.now, &p.query, c)
}

// Keep reports whether a candidate may be used and has a free slot.
func (p *Pool) Keep(c *Candidate) bool {
	return c.Stats.InFlight() < c.Stats.Limit() && c.Stats.usable(p.now) && p.eligible(c)
}

// eligible reports whether a candidate may be used once it has a free slot.
func (p *Pool) eligible(c *Candidate) bool {
	if c.Stats.leaving.Load() || p.excluded(c.Server.ID) {
		return false
	}
	for _, f := range p.router.cfg.Filters {
		if !f.Keep(p.now, &p.query, c) {
			return false
		}
	}
	return true
}

func (p *Pool) excluded(id port.ServerID) bool {
	return len(p.query.Exclude) > 0 && slices.Contains(p.query.Exclude, id)
}

// Random returns the next number of the query's random sequence.
func (p *Pool) Random() uint64 {
	// The increment of SplitMix64.
	p.random += 0x9e3779b97f4a7c15
	return hash64.Mix(p.random)
}

// Affinity returns the candidate that most likely has the query's prefix cached,
// and the seconds that this is expected to save; nil without a prefix. Known
// holders go before the one that the rendezvous hash of the prefix names.
func (p *Pool) Affinity() (*Candidate, float64) {
	prefix := p.query.PrefixHash
	if prefix == 0 {
		return nil, 0
	}
	saves := p.query.PrefixSaves
	if saves == 0 {
		saves = p.router.cfg.PrefixSaves
	}
	best, trust := p.holder(prefix)
	if trust < p.router.cfg.GuessTrust {
		best, trust = p.rendezvous(prefix), p.router.cfg.GuessTrust
	}
	if best < 0 {
		return nil, 0
	}
	return p.At(best), trust * saves.Seconds()
}

// holder returns the candidate that is known to hold the prefix and is trusted
// most, and how far.
func (p *Pool) holder(prefix uint64) (best int, trust float64) {
	bucket := p.router.prefixes.bucket(prefix)
	if bucket.prefix.Load() != prefix {
		return -1, 0
	}
	for i, key := range p.set.keys[p.from:p.to] {
		if t := p.trust(bucket, i, key); t > trust {
			best, trust = i, t
		}
	}
	return best, trust
}

// rendezvous returns the candidate with the highest weight for the prefix, -1 if
// there is none. Keys are hashes already, so that one multiplication mixes enough.
func (p *Pool) rendezvous(prefix uint64) int {
	best, top := -1, uint64(0)
	seed := hash64.Mix(prefix)
	for i, key := range p.set.keys[p.from:p.to] {
		h := (seed ^ key) * rendezvousFactor
		h ^= h >> 32
		if h >= top {
			top, best = h, i
		}
	}
	return best
}

// rendezvousFactor is the odd number nearest to 2^64 over the golden ratio.
const rendezvousFactor = 0x9e3779b97f4a7c15

// trust says how likely a holder still has the prefix: an event grows old, and a
// gap in the events voids it.
func (p *Pool) trust(b *prefixBucket, i int, key uint64) float64 {
	at, ok := b.holder(key)
	if !ok || int64(at) < p.At(i).Stats.cache.resetAt.Load() {
		return 0
	}
	age := max(p.now-at, 0)
	return 1 / (1 + age.Seconds()/p.router.cfg.PrefixHalfLife.Seconds())
}

// attempt is a slot on a server, reused through a pool. Its term grows by one
// when the slot is given back, so that old copies of a Choice have no effect.
type attempt struct {
	term  atomic.Uint64
	stats *ServerStats
	probe probes
	pool  Pool
}

func (a *attempt) finish(now time.Time, r Result) {
	router := a.pool.router
	a.stats.finish(router.since(now), r, a.probe)
	a.release()
}

// release returns an attempt that holds no slot.
func (a *attempt) release() {
	router := a.pool.router
	a.stats = nil
	a.pool.set = nil
	a.pool.query = Query{}
	router.attempts.Put(a)
}
