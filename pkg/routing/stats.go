package routing

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/limit"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/retry"
)

// ServerStats holds what changes with each request on one server. It outlives
// snapshots. All methods are safe for concurrent use.
//
// Fields are updated one by one: a reader may see a new report's load with the
// old report's time. It then misjudges one pick, which costs nothing but a
// slightly worse choice.
type ServerStats struct {
	id    port.ServerID
	key   uint64
	group *groupStats
	// zone is nil for servers of the router's own zone.
	zone *zoneStats

	inFlight atomic.Int64
	// others is the load that a report showed beyond our own requests, own our
	// requests then, and reportedAt when, in nanoseconds of the router's time.
	others     atomic.Int64
	own        atomic.Int64
	reportedAt atomic.Int64
	// instances is how many instances send to the server, this one included.
	instances *atomic.Int64
	// latency is the mean time to the first byte, in nanoseconds.
	latency atomic.Int64
	tail    retry.Quantile
	// total is the mean time that a request takes a slot, in nanoseconds.
	total   atomic.Int64
	leaving atomic.Bool

	limiter *limit.Adaptive
	health  retry.Health
	cache   cacheState
}

// groupStats holds what the servers of one service share.
type groupStats struct {
	// meanOthers is the mean load by others, as the bits of a float64: what is
	// expected of a server whose report is old.
	meanOthers atomic.Uint64
	ejection   *retry.Group
}

// zoneStats holds what the servers of another zone share: whether the zone can be
// reached at all.
type zoneStats struct {
	health retry.Health
	group  *retry.Group
}

const (
	// meanWeight is the weight of the newest result in a mean, as a shift.
	meanWeight = 3
	// groupWeight is the weight of the newest report in a service's mean load.
	groupWeight = 0.05
	// tailQuantile is the quantile that Tail follows.
	tailQuantile = 0.95
	// defaultLatency stands in for that of a server without results.
	defaultLatency = 100 * time.Millisecond
)

// ID names the server.
func (s *ServerStats) ID() port.ServerID { return s.id }

// InFlight is how many of this instance's requests run on the server.
func (s *ServerStats) InFlight() int64 { return s.inFlight.Load() }

// Latency is the mean time to the first byte, zero if none was seen.
func (s *ServerStats) Latency() time.Duration { return time.Duration(s.latency.Load()) }

// Tail is the 95th percentile of the time to the first byte, zero if none was
// seen; a second attempt beside a slow first one starts after it.
func (s *ServerStats) Tail() time.Duration { return s.tail.Value() }

// Limit is how many of this instance's requests may run on the server at once.
func (s *ServerStats) Limit() int64 { return s.limiter.Limit() }

// SetCeiling bounds the limit to our share of the server; zero removes it.
func (s *ServerStats) SetCeiling(requests int64) { s.limiter.SetCeiling(requests) }

// MarkLeaving stops new work at once, before the next snapshot does.
func (s *ServerStats) MarkLeaving() { s.leaving.Store(true) }

// acquire takes a slot unless the server is at its limit.
func (s *ServerStats) acquire() bool {
	limit := s.limiter.Limit()
	for {
		running := s.inFlight.Load()
		if running >= limit {
			return false
		}
		if s.inFlight.CompareAndSwap(running, running+1) {
			s.limiter.Started(running + 1)
			return true
		}
	}
}

// usable reports whether neither the server nor its zone is ejected.
func (s *ServerStats) usable(now time.Duration) bool {
	return s.health.Usable(now) && (s.zone == nil || s.zone.health.Usable(now))
}

// probes says which ejections a request puts to the test.
type probes struct {
	server, zone bool
}

// admit takes a slot on a server that isn't ejected, or the right to probe it.
func (s *ServerStats) admit(now time.Duration) (p probes, ok bool) {
	if p.server, ok = s.health.Admit(now); !ok {
		return probes{}, false
	}
	if s.zone != nil {
		if p.zone, ok = s.zone.health.Admit(now); !ok {
			s.health.Released(p.server)
			return probes{}, false
		}
	}
	if !s.acquire() {
		s.judge(now, OutcomeCanceled, p)
		return probes{}, false
	}
	return p, true
}

// judge takes an outcome into the health of the server and its zone.
func (s *ServerStats) judge(now time.Duration, o Outcome, p probes) {
	switch o {
	case OutcomeServed:
		s.health.Succeeded(p.server, s.group.ejection)
	case OutcomeFailed, OutcomeUnreachable:
		s.health.Failed(now, p.server, s.group.ejection)
	default:
		s.health.Released(p.server)
	}
	if s.zone == nil {
		return
	}
	switch o {
	case OutcomeUnreachable:
		s.zone.health.Failed(now, p.zone, s.zone.group)
	case OutcomeCanceled:
		s.zone.health.Released(p.zone)
	default:
		// Any answer shows that the zone can be reached.
		s.zone.health.Succeeded(p.zone, s.zone.group)
	}
}

// report takes in the load of a report that describes the moment at. Our own
// requests of that moment are taken to be those of now: what was sent since is
// then counted too little by others, and in full by inFlight.
func (s *ServerStats) report(load int, at time.Duration) {
	own := s.inFlight.Load()
	others := max(int64(load)-own, 0)
	s.others.Store(others)
	s.own.Store(own)
	s.reportedAt.Store(int64(at))
	s.group.observe(float64(others))
}

func (g *groupStats) observe(others float64) {
	for {
		old := g.meanOthers.Load()
		mean := math.Float64frombits(old)
		next := math.Float64bits(mean + groupWeight*(others-mean))
		if g.meanOthers.CompareAndSwap(old, next) {
			return
		}
	}
}

// load estimates the requests on the server: our own, those of others as the
// report had them, and those that others have sent since. The balancer spreads
// callers evenly, so each other instance is taken to have sent as many as this
// one. That holds until news of them would have arrived. An old report says little
// of this server, so the estimate of others then moves to the mean of the service.
func (s *ServerStats) load(now time.Duration, ages LoadScorer) float64 {
	own := s.inFlight.Load()
	mean := math.Float64frombits(s.group.meanOthers.Load())
	at := s.reportedAt.Load()
	if at == 0 {
		return float64(own) + mean
	}
	age := now - time.Duration(at)
	weight := weightAt(age, ages.ReportFresh)
	others := weight*float64(s.others.Load()) + (1-weight)*mean
	since := max(own-s.own.Load(), 0) * (s.instances.Load() - 1)
	return float64(own) + others + weightAt(age, ages.NewsDelay)*float64(since)
}

// weightAt is 1 up to an age, and falls in inverse proportion after it.
func weightAt(age, full time.Duration) float64 {
	if age <= full {
		return 1
	}
	return float64(full) / float64(age)
}

// finish takes in a result and gives the slot back.
func (s *ServerStats) finish(now time.Duration, r Result, p probes) {
	s.inFlight.Add(-1)
	latency := time.Duration(0)
	if r.Outcome == OutcomeServed {
		latency = r.FirstByte
		observeMean(&s.latency, int64(r.FirstByte))
		s.tail.Observe(tailQuantile, r.FirstByte)
		observeMean(&s.total, int64(r.Total))
	}
	if r.Outcome != OutcomeCanceled {
		s.limiter.Observe(now, latency, r.Outcome == OutcomeOverloaded)
	}
	s.judge(now, r.Outcome, p)
}

// observeMean moves a mean towards a sample; a sample of zero says nothing.
func observeMean(mean *atomic.Int64, sample int64) {
	if sample <= 0 {
		return
	}
	for {
		old := mean.Load()
		next := sample
		if old > 0 {
			next = old + (sample-old)>>meanWeight
		}
		if mean.CompareAndSwap(old, max(next, 1)) {
			return
		}
	}
}

// retryAfter estimates when a slot comes free.
func (s *ServerStats) retryAfter(now time.Duration) time.Duration {
	left := s.health.EjectedUntil() - now
	if s.zone != nil {
		left = max(left, s.zone.health.EjectedUntil()-now)
	}
	if left > 0 {
		return left
	}
	total := time.Duration(s.total.Load())
	if total == 0 {
		total = defaultLatency
	}
	return total / time.Duration(max(s.inFlight.Load(), 1))
}
