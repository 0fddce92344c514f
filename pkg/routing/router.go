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

// Config sets up a Router. Zero fields take the default.
type Config struct {
	// Zone is the router's own; its servers go first.
	Zone port.Zone
	// Filters apply beside those for leaving, excluded, ejected and full servers.
	Filters []Filter
	Scorer  Scorer
	Picker  Picker
	Limit   limit.AdaptiveConfig
	Eject   retry.EjectConfig
	// PrefixSaves is the time that a cached prefix saves where the query
	// doesn't say.
	PrefixSaves time.Duration
	// PrefixHalfLife is the age at which a cache event counts by half, and
	// GuessTrust what the rendezvous hash counts, where 1 is certain.
	PrefixHalfLife time.Duration
	GuessTrust     float64
	// SpillAbove is the expected queueing time in the query's zone above which
	// other zones are looked at, and by how much they must be better.
	SpillAbove time.Duration
	// PrefixTable is the number of prefixes remembered.
	PrefixTable int
}

// The defaults of Config.
const (
	DefaultPrefixSaves    = 50 * time.Millisecond
	DefaultPrefixHalfLife = time.Minute
	DefaultGuessTrust     = 0.5
	DefaultPrefixTable    = 1 << 14
	DefaultSpillAbove     = 200 * time.Millisecond
)

func (c Config) withDefaults() Config {
	if c.Scorer == nil {
		c.Scorer = LoadScorer{ReportFresh: DefaultReportFresh, NewsDelay: DefaultNewsDelay}
	}
	if c.Picker == nil {
		c.Picker = TwoChoices{}
	}
	c.PrefixSaves = cmp.Or(c.PrefixSaves, DefaultPrefixSaves)
	c.PrefixHalfLife = cmp.Or(c.PrefixHalfLife, DefaultPrefixHalfLife)
	c.GuessTrust = cmp.Or(c.GuessTrust, DefaultGuessTrust)
	c.PrefixTable = cmp.Or(c.PrefixTable, DefaultPrefixTable)
	c.SpillAbove = cmp.Or(c.SpillAbove, DefaultSpillAbove)
	return c
}

// Router picks servers. It is safe for concurrent use.
type Router struct {
	cfg      Config
	start    time.Time
	snapshot atomic.Pointer[Snapshot]
	prefixes *prefixTable
	attempts sync.Pool
	// instances is how many instances send to the same servers.
	instances atomic.Int64
}

// NewRouter returns a router with an empty snapshot. The time start is the origin
// of its own times: any moment before the first report.
func NewRouter(cfg Config, start time.Time) *Router {
	r := &Router{cfg: cfg.withDefaults(), start: start}
	r.prefixes = newPrefixTable(r.cfg.PrefixTable)
	r.attempts.New = func() any { return &attempt{pool: Pool{router: r}} }
	r.snapshot.Store(&Snapshot{At: start})
	r.SetInstances(1)
	return r
}

// NewBuilder returns the builder of the router's snapshots. A router has one.
func (r *Router) NewBuilder() *Builder { return newBuilder(r) }

// Build makes a snapshot from a whole view at once.
func (r *Router) Build(now time.Time, models []port.ModelInfo, servers []membership.ServerView) *Snapshot {
	b := r.NewBuilder()
	b.SetCatalogue(models)
	for _, v := range servers {
		b.Update(v)
	}
	return b.Snapshot(now)
}

// SetInstances tells how many instances, this one included, send to the servers of
// the router's zone.
func (r *Router) SetInstances(n int) { r.instances.Store(int64(max(n, 1))) }

// Publish puts a snapshot in force.
func (r *Router) Publish(s *Snapshot) { r.snapshot.Store(s) }

// Snapshot returns the one in force.
func (r *Router) Snapshot() *Snapshot { return r.snapshot.Load() }

// since turns a time into the router's own, which starts above zero.
func (r *Router) since(t time.Time) time.Duration { return max(t.Sub(r.start), 0) + 1 }

// acquireTries bounds the picks after which another request took the last slot.
const acquireTries = 3

// Pick chooses a server for the query and takes a slot on it. Errors are
// ErrUnknownModel, ErrNoReplica and ErrNoCapacity.
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
	return Choice{Server: c.Server, Stats: c.Stats, lease: a, term: a.term.Load()}, nil
}

func (s *Snapshot) find(q *Query) (*Set, bool) {
	if q.Model != "" {
		return s.Model(q.Model)
	}
	return s.Service(q.Service)
}

// choose takes a slot in the query's zone, or elsewhere if the zone has none or
// its queues have grown long.
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

// spill picks among all zones, unless that gains too little over near.
func (a *attempt) spill(near *Candidate) *Candidate {
	p := &a.pool
	c := p.router.cfg.Picker.Pick(p)
	if near == nil || c == nil {
		return cmp.Or(near, c)
	}
	if p.Cost(c)+p.router.cfg.SpillAbove.Seconds() < p.Cost(near) {
		return c
	}
	return near
}

// failure tells whether the candidates are full or not to be used at all.
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
