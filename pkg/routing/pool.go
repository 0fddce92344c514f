package routing

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/hash64"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// Pool holds the candidates of one pick and the methods to compare them. It is valid only
// during the call of Picker.Pick.
type Pool struct {
	router   *Router
	now      time.Duration
	query    Query
	set      *Set
	from, to int
	random   uint64
}

// Len returns the number of candidates.
func (p *Pool) Len() int { return p.to - p.from }

// At returns the candidate with index i.
func (p *Pool) At(i int) *Candidate { return p.set.candidates[p.from+i] }

// Query returns the query.
func (p *Pool) Query() *Query { return &p.query }

// Cost returns the scorer's estimate for a candidate, in seconds.
func (p *Pool) Cost(c *Candidate) float64 {
	return p.router.cfg.Scorer.Cost(p.now, &p.query, c)
}

// Allowed reports whether a candidate can be used and has a free slot.
func (p *Pool) Allowed(c *Candidate) bool {
	return c.Stats.InFlight() < c.Stats.Limit() && c.Stats.usable(p.now) && p.eligible(c)
}

// eligible reports whether a candidate can be used as soon as it has a free slot.
func (p *Pool) eligible(c *Candidate) bool {
	if c.Stats.leaving.Load() || p.excluded(c.Server.ID) {
		return false
	}
	for _, f := range p.router.cfg.Filters {
		if !f.Allowed(p.now, &p.query, c) {
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

// Affinity returns the candidate that most probably has the query's prefix cached, and
// the seconds that this is expected to save; it returns nil for a query without a prefix.
// Candidates that reported the prefix have precedence over the candidate that rendezvous
// hashing selects.
func (p *Pool) Affinity() (*Candidate, float64) {
	prefix := p.query.PrefixHash
	if prefix == 0 {
		return nil, 0
	}
	saved := p.query.PrefixSaves
	if saved == 0 {
		saved = p.router.cfg.PrefixSaves
	}
	best, confidence := p.holder(prefix)
	if confidence < p.router.cfg.RendezvousConfidence {
		best, confidence = p.rendezvous(prefix), p.router.cfg.RendezvousConfidence
	}
	if best < 0 {
		return nil, 0
	}
	return p.At(best), confidence * saved.Seconds()
}

// holder returns the candidate that most probably still has the prefix cached according
// to its cache events, and the probability.
func (p *Pool) holder(prefix uint64) (best int, confidence float64) {
	bucket := p.router.prefixes.bucket(prefix)
	if bucket.prefix.Load() != prefix {
		return -1, 0
	}
	for i, key := range p.set.keys[p.from:p.to] {
		if c := p.confidence(bucket, i, key); c > confidence {
			best, confidence = i, c
		}
	}
	return best, confidence
}

// rendezvous returns the candidate with the highest rendezvous weight for the prefix, or
// -1 if there are no candidates. Keys are hashes already, so one multiplication mixes
// them sufficiently.
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

// rendezvousFactor is the odd integer nearest to 2^64 divided by the golden ratio.
const rendezvousFactor = 0x9e3779b97f4a7c15

// confidence estimates the probability that a server still has the prefix cached. It
// decreases with the age of the event, and a gap in the server's events reduces it to
// zero.
func (p *Pool) confidence(b *prefixBucket, i int, key uint64) float64 {
	at, ok := b.holder(key)
	if !ok || int64(at) < p.At(i).Stats.cache.resetAt.Load() {
		return 0
	}
	age := max(p.now-at, 0)
	return 1 / (1 + age.Seconds()/p.router.cfg.PrefixHalfLife.Seconds())
}

// attempt is a slot on a server, recycled through a sync.Pool. Its generation is
// incremented when the slot is released, so that stale copies of a Choice have no effect.
type attempt struct {
	generation atomic.Uint64
	stats      *ServerStats
	probe      probes
	pool       Pool
}

func (a *attempt) finish(now time.Time, r Result) {
	router := a.pool.router
	a.stats.finish(router.since(now), r, a.probe)
	a.release()
}

// release recycles an attempt that holds no slot.
func (a *attempt) release() {
	router := a.pool.router
	a.stats = nil
	a.pool.set = nil
	a.pool.query = Query{}
	router.attempts.Put(a)
}
