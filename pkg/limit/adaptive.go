package limit

import (
	"cmp"
	"math"
	"sync/atomic"
	"time"
)

// AdaptiveConfig configures an adaptive concurrency limit. Zero fields select the
// defaults.
type AdaptiveConfig struct {
	// Initial, Min and Max are the initial, the lowest and the highest limit, in requests
	// in flight.
	Initial, Min, Max float64
	// Window is the minimum time, and Samples the minimum number of results, between two
	// adjustments of the limit.
	Window  time.Duration
	Samples int64
	// Tolerance is the factor by which the latency can exceed the baseline before the
	// limit is lowered.
	Tolerance float64
	// Backoff is the factor by which the limit is multiplied after a window with an
	// overload.
	Backoff float64
	// Smoothing is the weight of the newest window in the limit.
	Smoothing float64
	// ProbeEvery is the number of windows at the limit after which the baseline is
	// measured again, and ProbeFactor the share of the limit that is allowed during the
	// measurement.
	ProbeEvery  int
	ProbeFactor float64
}

// The defaults of the AdaptiveConfig fields.
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
	// minGradient is the lowest factor by which one window can lower the target of the
	// limit.
	minGradient = 0.5
	// probeWindows is the duration of a probe in windows. The first window still includes
	// requests that started before the probe.
	probeWindows = 2
	// firstProbe is the number of windows before the first probe. The interval doubles
	// after each probe up to ProbeEvery, because the first baselines may come from a
	// limit that is far too high.
	firstProbe = 5
	// maxDoublings is the maximum number of doublings, which avoids an overflow.
	maxDoublings = 16
	// baselineWeight is the weight of the newest window in the baseline, and probeWeight
	// the weight of a probe whose latency exceeds the baseline.
	baselineWeight = 0.1
	probeWeight    = 0.5
	// growth is the factor between the limit and its target while the latency shows no
	// queueing.
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

// State is the state of an adaptive limit between two windows.
type State struct {
	Limit float64
	// Baseline is the latency of a server that is not overloaded, in seconds. It is zero
	// until the first window is closed.
	Baseline float64
	// QueueingWindows is the number of windows at the limit that showed queueing since
	// the last measurement of the baseline, and Probes the number of probes so far.
	QueueingWindows, Probes int
	// ProbeWindowsLeft is the number of windows until the probe ends and the limit
	// returns to LimitBeforeProbe. It is zero if there is no probe.
	ProbeWindowsLeft int
	LimitBeforeProbe float64
}

// Window summarizes the results between two adjustments of a limit.
type Window struct {
	Results int64
	// MeanLatency is the mean of the results with a latency, in seconds.
	MeanLatency float64
	// Peak is the maximum number of requests in flight.
	Peak int64
	// Overloads is the number of requests that the server refused for lack of capacity.
	Overloads int64
}

// Next computes the state after one window. The limit is lowered in proportion to the
// ratio of baseline to latency, and raised step by step. It is raised only if the window
// came close to the limit, so that the limit of an idle server does not change.
//
// Under constant load no window shows the latency of a server without queueing. If the
// baseline followed the latency, the limit would grow without bound. Instead, Next
// periodically probes: it lowers the limit briefly and measures the baseline meanwhile.
func (c AdaptiveConfig) Next(s State, w Window) State {
	c = c.withDefaults()
	switch {
	case w.Overloads > 0:
		s.Limit = c.clamp(max(s.Limit, s.LimitBeforeProbe) * c.Backoff)
		s.ProbeWindowsLeft, s.LimitBeforeProbe = 0, 0
		return s
	case w.MeanLatency <= 0:
		return s
	case s.ProbeWindowsLeft > 0:
		return c.probe(s, w)
	}
	atLimit := float64(w.Peak)*2 >= s.Limit
	s.Baseline = baseline(s.Baseline, w.MeanLatency, atLimit)
	if atLimit && !c.unloaded(s, w.MeanLatency) {
		s.QueueingWindows++
	}
	if s.QueueingWindows >= min(c.ProbeEvery, firstProbe<<min(s.Probes, maxDoublings)) {
		s.QueueingWindows, s.ProbeWindowsLeft, s.LimitBeforeProbe = 0, probeWindows, s.Limit
		s.Probes++
		s.Limit = c.clamp(s.Limit * c.ProbeFactor)
		return s
	}
	target := c.target(s, w.MeanLatency)
	if target > s.Limit && !atLimit {
		return s
	}
	s.Limit = c.clamp(s.Limit + c.Smoothing*(target-s.Limit))
	return s
}

// probe continues a probe. The last window ends it and determines the new baseline.
func (c AdaptiveConfig) probe(s State, w Window) State {
	s.ProbeWindowsLeft--
	if s.ProbeWindowsLeft > 0 {
		return s
	}
	if w.MeanLatency < s.Baseline {
		s.Baseline = w.MeanLatency
	} else {
		s.Baseline += probeWeight * (w.MeanLatency - s.Baseline)
	}
	s.Limit, s.LimitBeforeProbe = s.LimitBeforeProbe, 0
	return s
}

// unloaded reports whether the latency shows no queueing.
func (c AdaptiveConfig) unloaded(s State, latency float64) bool {
	return latency < s.Baseline*(1+c.Tolerance)/2
}

// target returns the limit that the latency suggests.
func (c AdaptiveConfig) target(s State, latency float64) float64 {
	if c.unloaded(s, latency) {
		return s.Limit * growth
	}
	gradient := c.Tolerance * s.Baseline / latency
	gradient = math.Max(minGradient, math.Min(1, gradient))
	return s.Limit*gradient + math.Sqrt(s.Limit)/4
}

// baseline returns the moving average of the latency. It increases only while the limit
// is not reached.
func baseline(old, mean float64, atLimit bool) float64 {
	if old == 0 {
		return mean
	}
	if mean > old && atLimit {
		return old
	}
	return old + baselineWeight*(mean-old)
}

func (c AdaptiveConfig) clamp(limit float64) float64 {
	return math.Max(c.Min, math.Min(c.Max, limit))
}

// Adaptive is a concurrency limit that adapts to the latency and the refusals of one
// server. It is safe for concurrent use and lock-free.
type Adaptive struct {
	cfg AdaptiveConfig
	// limit holds the bits of a float64.
	limit   atomic.Uint64
	ceiling atomic.Int64
	// state is accessed only by the goroutine that has set closing.
	closing atomic.Bool
	state   State

	// The current window. A result that arrives while the window is closed may be counted
	// in this window, the next one or neither, since the limit is only an estimate.
	opened    atomic.Int64
	results   atomic.Int64
	latencies atomic.Int64
	measured  atomic.Int64
	peak      atomic.Int64
	overloads atomic.Int64
}

// NewAdaptive returns an Adaptive with the initial limit.
func NewAdaptive(cfg AdaptiveConfig) *Adaptive {
	a := &Adaptive{cfg: cfg.withDefaults()}
	a.state.Limit = a.cfg.Initial
	a.limit.Store(math.Float64bits(a.cfg.Initial))
	return a
}

// Limit returns the maximum number of requests in flight, at least 1.
func (a *Adaptive) Limit() int64 {
	limit := int64(math.Float64frombits(a.limit.Load()))
	if ceiling := a.ceiling.Load(); ceiling > 0 && limit > ceiling {
		limit = ceiling
	}
	return max(limit, 1)
}

// SetCeiling sets an external upper bound of the limit, such as this instance's share of
// a server that an older system uses too; zero removes the bound.
func (a *Adaptive) SetCeiling(requests int64) { a.ceiling.Store(requests) }

// Started records that a request has started, with running requests now in flight.
func (a *Adaptive) Started(running int64) {
	for {
		peak := a.peak.Load()
		if running <= peak || a.peak.CompareAndSwap(peak, running) {
			return
		}
	}
}

// Observe records the result of one request. The argument since is the time since a fixed
// moment. The latency is zero if the result has none that the limit should adapt to.
func (a *Adaptive) Observe(since, latency time.Duration, overload bool) {
	if overload {
		a.overloads.Add(1)
	}
	if latency > 0 {
		a.latencies.Add(int64(latency))
		a.measured.Add(1)
	}
	n := a.results.Add(1)
	// A window covers at least as many requests as can be in flight, so that a few slow
	// requests do not look like a slow server.
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
	a.state = a.cfg.Next(a.state, w)
	a.limit.Store(math.Float64bits(a.state.Limit))
}

// Ceiling returns the number of a server's slots that one instance can use: the given
// share of the slots, divided by the number of instances that send requests to the
// server, but at least one. It returns zero, which means no ceiling, if slots is not
// positive.
func Ceiling(slots int, share float64, instances int) int64 {
	if slots <= 0 {
		return 0
	}
	own := float64(slots) * share / float64(max(instances, 1))
	return max(int64(own), 1)
}
