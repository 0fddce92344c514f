package limit

import (
	"cmp"
	"math"
	"sync/atomic"
	"time"
)

// AdaptiveConfig bounds an adaptive concurrency limit. Zero fields take the
// default.
type AdaptiveConfig struct {
	// Initial, Min and Max are in requests running at once.
	Initial, Min, Max float64
	// Window is the least time, and Samples the fewest results, between two
	// changes of the limit.
	Window  time.Duration
	Samples int64
	// Tolerance is by which factor latency may exceed its baseline before the
	// limit goes down.
	Tolerance float64
	// Backoff is the factor on the limit after a window with an overload.
	Backoff float64
	// Smoothing is the weight of the newest window in the limit.
	Smoothing float64
	// ProbeEvery is after how many windows at the limit the baseline is measured
	// anew, and ProbeFactor the part of the limit that is allowed meanwhile.
	ProbeEvery  int
	ProbeFactor float64
}

// The defaults of AdaptiveConfig.
const (
	DefaultInitial     = 8
	DefaultMin         = 1
	DefaultMax         = 512
	DefaultWindow      = 250 * time.Millisecond
	DefaultSamples     = 8
	DefaultTolerance   = 1.1
	DefaultBackoff     = 0.8
	DefaultSmoothing   = 0.3
	DefaultProbeEvery  = 40
	DefaultProbeFactor = 0.7
)

const (
	// minGradient bounds how far one window can take the limit down.
	minGradient = 0.5
	// probeWindows is how long a probe lasts. The first window still holds
	// requests that started before it.
	probeWindows = 2
	// firstProbe is after how many windows the first probe comes. The time to
	// the next doubles up to ProbeEvery: the first baselines may come from a
	// limit that is far too high.
	firstProbe = 5
	// maxDoublings bounds the doublings.
	maxDoublings = 16
	// baselineWeight is the weight of the newest window in the baseline, and
	// probeWeight that of a probe that shows a higher one.
	baselineWeight = 0.1
	probeWeight    = 0.5
	// growth is the factor that the limit strives for while latency shows no
	// sign of queueing.
	growth = 2
)

func (c AdaptiveConfig) withDefaults() AdaptiveConfig {
	c.Initial = cmp.Or(c.Initial, DefaultInitial)
	c.Min = cmp.Or(c.Min, DefaultMin)
	c.Max = cmp.Or(c.Max, DefaultMax)
	c.Window = cmp.Or(c.Window, DefaultWindow)
	c.Samples = cmp.Or(c.Samples, DefaultSamples)
	c.Tolerance = cmp.Or(c.Tolerance, DefaultTolerance)
	c.Backoff = cmp.Or(c.Backoff, DefaultBackoff)
	c.Smoothing = cmp.Or(c.Smoothing, DefaultSmoothing)
	c.ProbeEvery = cmp.Or(c.ProbeEvery, DefaultProbeEvery)
	c.ProbeFactor = cmp.Or(c.ProbeFactor, DefaultProbeFactor)
	return c
}

// Level is the state from which the next limit is worked out.
type Level struct {
	Limit float64
	// Baseline is the latency of a server that isn't overloaded, in seconds;
	// zero until the first window has closed.
	Baseline float64
	// Bound counts the windows at the limit with signs of queueing since the baseline was measured, and
	// Probes the probes made.
	Bound, Probes int
	// Probing counts down the windows of a probe, after which the limit goes
	// back to Held.
	Probing int
	Held    float64
}

// Window sums up the results between two changes of a limit.
type Window struct {
	Results int64
	// MeanLatency is in seconds, over the results that have a latency.
	MeanLatency float64
	// Peak is the largest number of requests that ran at once.
	Peak int64
	// Overloads counts refusals by the server for want of capacity.
	Overloads int64
}

// Next works out the limit that follows from one window: down with the ratio of
// the baseline to the latency, and up by a step. It raises the limit only if the
// window came near it, so that an idle server's limit stays put.
//
// Under lasting load no window shows the latency of an unloaded server. Letting
// the baseline follow would raise the limit without end; instead the limit is
// lowered for a moment from time to time, and the baseline measured then.
func (c AdaptiveConfig) Next(l Level, w Window) Level {
	c = c.withDefaults()
	switch {
	case w.Overloads > 0:
		l.Limit = c.clamp(max(l.Limit, l.Held) * c.Backoff)
		l.Probing, l.Held = 0, 0
		return l
	case w.MeanLatency <= 0:
		return l
	case l.Probing > 0:
		return c.probe(l, w)
	}
	bound := float64(w.Peak)*2 >= l.Limit
	l.Baseline = baseline(l.Baseline, w.MeanLatency, bound)
	if bound && !c.unloaded(l, w.MeanLatency) {
		l.Bound++
	}
	if l.Bound >= min(c.ProbeEvery, firstProbe<<min(l.Probes, maxDoublings)) {
		l.Bound, l.Probing, l.Held = 0, probeWindows, l.Limit
		l.Probes++
		l.Limit = c.clamp(l.Limit * c.ProbeFactor)
		return l
	}
	target := c.target(l, w.MeanLatency)
	if target > l.Limit && !bound {
		return l
	}
	l.Limit = c.clamp(l.Limit + c.Smoothing*(target-l.Limit))
	return l
}

// probe goes on with a probe, and ends it with the baseline that it has shown.
func (c AdaptiveConfig) probe(l Level, w Window) Level {
	l.Probing--
	if l.Probing > 0 {
		return l
	}
	if w.MeanLatency < l.Baseline {
		l.Baseline = w.MeanLatency
	} else {
		l.Baseline += probeWeight * (w.MeanLatency - l.Baseline)
	}
	l.Limit, l.Held = l.Held, 0
	return l
}

// unloaded reports whether the latency shows no sign of queueing.
func (c AdaptiveConfig) unloaded(l Level, latency float64) bool {
	return latency < l.Baseline*(1+c.Tolerance)/2
}

// target is the limit that the latency speaks for.
func (c AdaptiveConfig) target(l Level, latency float64) float64 {
	if c.unloaded(l, latency) {
		return l.Limit * growth
	}
	gradient := c.Tolerance * l.Baseline / latency
	gradient = math.Max(minGradient, math.Min(1, gradient))
	return l.Limit*gradient + math.Sqrt(l.Limit)/4
}

// baseline moves down with each window, and up only as long as the limit isn't
// reached.
func baseline(old, mean float64, bound bool) float64 {
	if old == 0 {
		return mean
	}
	if mean > old && bound {
		return old
	}
	return old + baselineWeight*(mean-old)
}

func (c AdaptiveConfig) clamp(limit float64) float64 {
	return math.Max(c.Min, math.Min(c.Max, limit))
}

// Adaptive is a concurrency limit that follows the latency and the refusals of
// one server. It is safe for concurrent use and takes no lock.
type Adaptive struct {
	cfg AdaptiveConfig
	// limit holds the bits of a float64.
	limit   atomic.Uint64
	ceiling atomic.Int64
	// level belongs to the goroutine that has set closing.
	closing atomic.Bool
	level   Level

	// The open window. A result that arrives while the window closes may be
	// counted in either or neither: the limit is an estimate.
	opened    atomic.Int64
	results   atomic.Int64
	latencies atomic.Int64
	measured  atomic.Int64
	peak      atomic.Int64
	overloads atomic.Int64
}

// NewAdaptive returns a limit at its initial value.
func NewAdaptive(cfg AdaptiveConfig) *Adaptive {
	a := &Adaptive{cfg: cfg.withDefaults()}
	a.level.Limit = a.cfg.Initial
	a.limit.Store(math.Float64bits(a.cfg.Initial))
	return a
}

// Limit is the number of requests that may run at once, at least 1.
func (a *Adaptive) Limit() int64 {
	limit := int64(math.Float64frombits(a.limit.Load()))
	if ceiling := a.ceiling.Load(); ceiling > 0 && limit > ceiling {
		limit = ceiling
	}
	return max(limit, 1)
}

// SetCeiling bounds the limit from outside, as by our share of a server that
// an older system uses too; zero removes the bound.
func (a *Adaptive) SetCeiling(requests int64) { a.ceiling.Store(requests) }

// Started notes that a request has started as one of running.
func (a *Adaptive) Started(running int64) {
	for {
		peak := a.peak.Load()
		if running <= peak || a.peak.CompareAndSwap(peak, running) {
			return
		}
	}
}

// Observe takes in the result of one request. The time since is that since any
// fixed moment; latency is zero if there is none to learn from.
func (a *Adaptive) Observe(since, latency time.Duration, overload bool) {
	if overload {
		a.overloads.Add(1)
	}
	if latency > 0 {
		a.latencies.Add(int64(latency))
		a.measured.Add(1)
	}
	n := a.results.Add(1)
	// A window covers about as many requests as run at once, so that few long
	// ones don't pass for a slow server.
	if n < max(a.cfg.Samples, a.Limit()) || since-time.Duration(a.opened.Load()) < a.cfg.Window {
		return
	}
	if a.closing.CompareAndSwap(false, true) {
		a.close(since)
		a.closing.Store(false)
	}
}

func (a *Adaptive) close(since time.Duration) {
	a.opened.Store(int64(since))
	w := Window{
		Results:   a.results.Swap(0),
		Peak:      a.peak.Swap(0),
		Overloads: a.overloads.Swap(0),
	}
	sum, measured := a.latencies.Swap(0), a.measured.Swap(0)
	if measured > 0 {
		w.MeanLatency = time.Duration(sum / measured).Seconds()
	}
	a.level = a.cfg.Next(a.level, w)
	a.limit.Store(math.Float64bits(a.level.Limit))
}

// Ceiling splits a server's slots: ours is the part share of them, divided
// among the instances that send to it, at least one each.
func Ceiling(slots int, share float64, instances int) int64 {
	if slots <= 0 {
		return 0
	}
	ours := float64(slots) * share / float64(max(instances, 1))
	return max(int64(ours), 1)
}
