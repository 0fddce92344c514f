package routing

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/limit"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/retry"
)

// ServerStats holds the values of one server that change with each request. It outlives
// snapshots. All methods are safe for concurrent use.
//
// Fields are updated independently: a reader can see the load of a new report with the
// time of the previous one. The only consequence is one slightly worse pick.
type ServerStats struct {
	id    port.ServerID
	key   uint64
	group *groupStats
	// zone is nil for servers of the router's own zone.
	zone *zoneStats

	inFlight atomic.Int64
	// othersAtReport is the load in the last report beyond this instance's own requests,
	// ownAtReport the number of own requests at that time, and reportedAt the time of the
	// report in nanoseconds of the router's clock.
	othersAtReport atomic.Int64
	ownAtReport    atomic.Int64
	reportedAt     atomic.Int64
	// instances is the number of instances, including this one, that send requests to the
	// server.
	instances *atomic.Int64
	// latency is the mean time to the first byte, in nanoseconds.
	latency atomic.Int64
	tail    retry.Quantile
	// total is the mean time for which a request occupies a slot, in nanoseconds.
	total   atomic.Int64
	leaving atomic.Bool

	limiter *limit.Adaptive
	health  retry.Health
	cache   cacheState
}

// groupStats holds values that the servers of one service share.
type groupStats struct {
	// meanOthers is the mean load by other instances, stored as the bits of a float64. It
	// is the estimate for a server whose report is old.
	meanOthers atomic.Uint64
	ejection   *retry.Group
}

// zoneStats tracks whether another zone is reachable; the servers of that zone share it.
type zoneStats struct {
	health retry.Health
	group  *retry.Group
}

const (
	// meanWeight is the weight of a new sample in an exponential moving average, as a
	// right shift.
	meanWeight = 3
	// groupWeight is the weight of a new report in the mean load of a service.
	groupWeight = 0.05
	// tailQuantile is the quantile that Tail estimates.
	tailQuantile = 0.95
	// defaultLatency is assumed for a server without results.
	defaultLatency = 100 * time.Millisecond
)

// ID returns the ID of the server.
func (s *ServerStats) ID() port.ServerID { return s.id }

// InFlight returns the number of this instance's requests in flight on the server.
func (s *ServerStats) InFlight() int64 { return s.inFlight.Load() }

// Latency returns the mean time to the first byte, or zero if there is no sample.
func (s *ServerStats) Latency() time.Duration { return time.Duration(s.latency.Load()) }

// Tail returns the 95th percentile of the time to the first byte, or zero if there is no
// sample. A hedged request is sent after this delay.
func (s *ServerStats) Tail() time.Duration { return s.tail.Value() }

// Limit returns the maximum number of this instance's requests in flight on the server.
func (s *ServerStats) Limit() int64 { return s.limiter.Limit() }

// SetCeiling caps the limit at this instance's share of the server's capacity; zero
// removes the cap.
func (s *ServerStats) SetCeiling(requests int64) { s.limiter.SetCeiling(requests) }

// MarkLeaving excludes the server from further picks immediately, before the next
// snapshot does.
func (s *ServerStats) MarkLeaving() { s.leaving.Store(true) }

// acquire reserves a slot unless the server is at its limit.
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

// usable reports whether a request can be sent to the server: neither the server nor its zone
// is ejected, or they are due for a probe.
func (s *ServerStats) usable(now time.Duration) bool {
	return s.health.Usable(now) && (s.zone == nil || s.zone.health.Usable(now))
}

// probes states which ejections a request tests.
type probes struct {
	server, zone bool
}

// admit reserves a slot on a server that is not ejected, or that is due for a probe.
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
		s.recordHealth(now, OutcomeCanceled, p)
		return probes{}, false
	}
	return p, true
}

// recordHealth updates the health of the server and its zone from an outcome.
func (s *ServerStats) recordHealth(now time.Duration, o Outcome, p probes) {
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
		// Any answer proves that the zone is reachable.
		s.zone.health.Succeeded(p.zone, s.zone.group)
	}
}

// report records the load of a report that was made at the given time. The current number
// of own requests is used in place of the number at that time. Requests sent since then
// are thereby subtracted from the load of others but counted in full through inFlight.
func (s *ServerStats) report(load int, at time.Duration) {
	own := s.inFlight.Load()
	others := max(int64(load)-own, 0)
	s.othersAtReport.Store(others)
	s.ownAtReport.Store(own)
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

// estimateLoad estimates the number of requests on the server: this instance's own, those of
// others according to the last report, and those that others have sent since. The load
// balancer distributes callers evenly, so each other instance is assumed to have sent as
// many as this one, until a report of them would have arrived. An old report says little
// about this server, so the estimate for others then converges to the mean of the
// service.
func (s *ServerStats) estimateLoad(now time.Duration, ages LoadScorer) float64 {
	own := s.inFlight.Load()
	mean := math.Float64frombits(s.group.meanOthers.Load())
	at := s.reportedAt.Load()
	if at == 0 {
		return float64(own) + mean
	}
	age := now - time.Duration(at)
	weight := ageWeight(age, ages.ReportFresh)
	others := weight*float64(s.othersAtReport.Load()) + (1-weight)*mean
	sinceReport := max(own-s.ownAtReport.Load(), 0) * (s.instances.Load() - 1)
	return float64(own) + others + ageWeight(age, ages.PropagationDelay)*float64(sinceReport)
}

// ageWeight is 1 up to fullWeightAge and inversely proportional to the age above it.
func ageWeight(age, fullWeightAge time.Duration) float64 {
	if age <= fullWeightAge {
		return 1
	}
	return float64(fullWeightAge) / float64(age)
}

// finish records a result and releases the slot.
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
	s.recordHealth(now, r.Outcome, p)
}

// observeMean updates a moving average with a sample; samples that are not positive are
// ignored.
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

// retryAfter estimates the time until a slot becomes free.
func (s *ServerStats) retryAfter(now time.Duration) time.Duration {
	remaining := s.health.EjectedUntil() - now
	if s.zone != nil {
		remaining = max(remaining, s.zone.health.EjectedUntil()-now)
	}
	if remaining > 0 {
		return remaining
	}
	total := time.Duration(s.total.Load())
	if total == 0 {
		total = defaultLatency
	}
	return total / time.Duration(max(s.inFlight.Load(), 1))
}
