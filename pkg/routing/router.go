package routing

import (
	"cmp"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/limit"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/membership"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/retry"
)

// Config configures a Router. Zero fields select the defaults.
type Config struct {
	// Zone is the router's own zone; its servers have precedence.
	Zone port.Zone
	// Filters apply in addition to the checks for draining, excluded, ejected and full
	// servers.
	Filters []Filter
	Scorer  Scorer
	Picker  Picker
	Limit   limit.AdaptiveConfig
	Eject   retry.EjectConfig
	// PrefixSaves is the time that a cached prefix saves if the query does not specify
	// it.
	PrefixSaves time.Duration
	// PrefixHalfLife is the age at which the confidence in a cache event has dropped to
	// one half. RendezvousConfidence is the confidence in the server selected by
	// rendezvous hashing; 1 means certainty.
	PrefixHalfLife       time.Duration
	RendezvousConfidence float64
	// SpillAbove is the expected queueing time in the query's zone above which other
	// zones are considered, and also the minimum improvement that they must offer.
	SpillAbove time.Duration
	// PrefixTable is the number of prefixes to track, rounded up to a power of two.
	PrefixTable int
}

// The defaults of the Config fields.
const (
	DefaultPrefixSaves          = 50 * time.Millisecond
	DefaultPrefixHalfLife       = time.Minute
	DefaultRendezvousConfidence = 0.5
	DefaultPrefixTable          = 1 << 14
	DefaultSpillAbove           = 200 * time.Millisecond
)

func (c Config) withDefaults() Config {
	if c.Scorer == nil {
		c.Scorer = LoadScorer{ReportFresh: DefaultReportFresh, PropagationDelay: DefaultPropagationDelay}
	}
	if c.Picker == nil {
		c.Picker = TwoChoices{}
	}
	c.PrefixSaves = cmp.Or(c.PrefixSaves, DefaultPrefixSaves)
	c.PrefixHalfLife = cmp.Or(c.PrefixHalfLife, DefaultPrefixHalfLife)
	c.RendezvousConfidence = cmp.Or(c.RendezvousConfidence, DefaultRendezvousConfidence)
	c.PrefixTable = cmp.Or(c.PrefixTable, DefaultPrefixTable)
	c.SpillAbove = cmp.Or(c.SpillAbove, DefaultSpillAbove)
	return c
}

// Router selects servers. It is safe for concurrent use.
type Router struct {
	cfg      Config
	start    time.Time
	snapshot atomic.Pointer[Snapshot]
	prefixes *prefixTable
	attempts sync.Pool
	// instances is the number of instances that send requests to the same servers.
	instances atomic.Int64
}

// NewRouter returns a Router with an empty snapshot. The time start is the origin of the
// router's internal clock and can be any moment before the first report.
func NewRouter(cfg Config, start time.Time) *Router {
	r := &Router{cfg: cfg.withDefaults(), start: start}
	r.prefixes = newPrefixTable(r.cfg.PrefixTable)
	r.attempts.New = func() any { return &attempt{pool: Pool{router: r}} }
	r.snapshot.Store(&Snapshot{At: start})
	r.SetInstances(1)
	return r
}

// NewBuilder returns a Builder of snapshots. A router must have only one.
func (r *Router) NewBuilder() *Builder { return newBuilder(r) }

// Build returns a snapshot of a complete view.
func (r *Router) Build(now time.Time, models []port.ModelInfo, servers []membership.ServerView) *Snapshot {
	b := r.NewBuilder()
	b.SetCatalogue(models)
	for _, v := range servers {
		b.Update(v)
	}
	return b.Snapshot(now)
}

// SetInstances sets the number of instances, including this one, that send requests to
// the servers of the router's zone.
func (r *Router) SetInstances(n int) { r.instances.Store(int64(max(n, 1))) }

// Publish replaces the current snapshot.
func (r *Router) Publish(s *Snapshot) { r.snapshot.Store(s) }

// Snapshot returns the current snapshot.
func (r *Router) Snapshot() *Snapshot { return r.snapshot.Load() }

// since converts a time to the router's clock, whose values are always positive.
func (r *Router) since(t time.Time) time.Duration { return max(t.Sub(r.start), 0) + 1 }

// acquireTries is the maximum number of picks if concurrent requests keep acquiring the
// last slot of the selected server.
const acquireTries = 3

// Pick selects a server for the query and reserves a slot on it. It returns
// ErrUnknownModel, ErrNoReplica or ErrNoCapacity if there is none.
func (r *Router) Pick(now time.Time, q Query) (Choice, error) {
	set, ok := r.Snapshot().find(&q)
	if !ok {
		return Choice{}, ErrUnknownModel
	}
	if set.Len() == 0 {
		return Choice{}, ErrNoReplica
	}
	a := r.attempts.Get().(*attempt)
	p := &a.pool
	p.now, p.query, p.set, p.random = r.since(now), q, set, q.Seed
	if q.Seed == 0 {
		p.random = rand.Uint64()
	}
	c := a.choose()
	if c == nil {
		err := a.failure()
		a.release()
		return Choice{}, err
	}
	a.stats = c.Stats
	return Choice{Server: c.Server, Stats: c.Stats, slot: a, generation: a.generation.Load()}, nil
}

func (s *Snapshot) find(q *Query) (*Set, bool) {
	if q.Model != "" {
		return s.Model(q.Model)
	}
	return s.Service(q.Service)
}

// choose reserves a slot in the query's zone, or in another zone if the query's zone has
// no slot or its expected queueing time exceeds Config.SpillAbove. It returns nil if no
// slot could be reserved.
func (a *attempt) choose() *Candidate {
	p := &a.pool
	zone := p.query.Zone
	if zone == "" {
		zone = p.router.cfg.Zone
	}
	from, to := p.set.zoneRange(zone)
	for range acquireTries {
		p.from, p.to = from, to
		c := p.router.cfg.Picker.Pick(p)
		p.from, p.to = 0, p.set.Len()
		if c == nil || p.Cost(c) > p.router.cfg.SpillAbove.Seconds() {
			c = a.spill(c)
		}
		if c == nil {
			return nil
		}
		var ok bool
		if a.probe, ok = c.Stats.admit(p.now); ok {
			return c
		}
	}
	return nil
}

// spill selects among the candidates of all zones, and returns local unless the
// improvement exceeds Config.SpillAbove.
func (a *attempt) spill(local *Candidate) *Candidate {
	p := &a.pool
	c := p.router.cfg.Picker.Pick(p)
	if local == nil || c == nil {
		return cmp.Or(local, c)
	}
	if p.Cost(c)+p.router.cfg.SpillAbove.Seconds() < p.Cost(local) {
		return c
	}
	return local
}

// failure returns a CapacityError if some candidate is eligible but full or ejected, and
// ErrNoReplica otherwise.
func (a *attempt) failure() error {
	p := &a.pool
	wait := time.Duration(-1)
	for i := range p.Len() {
		c := p.At(i)
		if !p.eligible(c) {
			continue
		}
		if w := c.Stats.retryAfter(p.now); wait < 0 || w < wait {
			wait = w
		}
	}
	if wait < 0 {
		return ErrNoReplica
	}
	return &CapacityError{RetryAfter: wait}
}
