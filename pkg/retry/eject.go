package retry

import (
	"cmp"
	"math"
	"sync/atomic"
	"time"
)

// EjectConfig configures outlier ejection. Zero fields select the defaults.
type EjectConfig struct {
	// Failures is the number of consecutive failures that ejects a server.
	Failures int64
	// FailureRate is the share of failures among recent results, a few dozen, that ejects
	// a server even if the failures are not consecutive.
	FailureRate float64
	// MaxShare is the maximum share of a service's servers that can be ejected at the
	// same time. Further failing servers stay in use, since a fault that affects so many
	// servers is rarely caused by the servers themselves.
	MaxShare float64
	// Base is the duration of the first ejection. It doubles with each consecutive
	// ejection, up to Max.
	Base, Max time.Duration
}

// The defaults of the EjectConfig fields.
const (
	DefaultEjectFailures = 5
	DefaultEjectRate     = 0.5
	DefaultEjectMaxShare = 0.5
	DefaultEjectBase     = time.Second
	DefaultEjectMax      = 30 * time.Second
)

func (c EjectConfig) withDefaults() EjectConfig {
	c.Failures = cmp.Or(c.Failures, DefaultEjectFailures)
	c.FailureRate = cmp.Or(c.FailureRate, DefaultEjectRate)
	c.MaxShare = cmp.Or(c.MaxShare, DefaultEjectMaxShare)
	c.Base = cmp.Or(c.Base, DefaultEjectBase)
	c.Max = cmp.Or(c.Max, DefaultEjectMax)
	return c
}

// Duration returns the duration of an ejection that follows the given number of
// consecutive ejections.
func (c EjectConfig) Duration(previous int64) time.Duration {
	duration := c.Base
	for range previous {
		duration *= 2
		if duration >= c.Max {
			return c.Max
		}
	}
	return duration
}

// Group counts the servers of one service and how many of them are ejected. It is safe
// for concurrent use.
type Group struct {
	cfg     EjectConfig
	servers atomic.Int64
	ejected atomic.Int64
}

// NewGroup returns a Group without servers.
func NewGroup(cfg EjectConfig) *Group {
	return &Group{cfg: cfg.withDefaults()}
}

// Resize sets the number of servers in the service.
func (g *Group) Resize(servers int) { g.servers.Store(int64(servers)) }

// Ejected returns the number of servers that are currently ejected.
func (g *Group) Ejected() int64 { return g.ejected.Load() }

// tryEject increments the number of ejected servers unless MaxShare is reached, and
// reports whether it did.
func (g *Group) tryEject() bool {
	for {
		ejected := g.ejected.Load()
		if float64(ejected+1) > g.cfg.MaxShare*float64(g.servers.Load()) {
			return false
		}
		if g.ejected.CompareAndSwap(ejected, ejected+1) {
			return true
		}
	}
}

// Health is the ejection state of one server. The zero value is a healthy server. It is
// safe for concurrent use: each state change is a single compare-and-swap, and a
// concurrent result counts before or after it.
type Health struct {
	failures atomic.Int64
	// rate is the moving average of recent results, where a failure is 1 and a success 0,
	// stored as the bits of a float64.
	rate atomic.Uint64
	// ejectedUntil is the end of an ejection, in nanoseconds of the clock that the
	// callers use, or zero while the server is not ejected.
	ejectedUntil atomic.Int64
	ejections    atomic.Int64
	probing      atomic.Bool
}

// Usable reports whether a request can be sent to the server: the server is not ejected,
// or its ejection has expired and no other request is probing it.
func (h *Health) Usable(now time.Duration) bool {
	until := h.ejectedUntil.Load()
	return until == 0 || int64(now) >= until && !h.probing.Load()
}

// Admit reserves the right to send one request. If the server's ejection has expired,
// only one caller at a time is admitted, as a probe, and must report the result with
// probe set.
func (h *Health) Admit(now time.Duration) (probe, ok bool) {
	until := h.ejectedUntil.Load()
	if until == 0 {
		return false, true
	}
	if int64(now) < until || !h.probing.CompareAndSwap(false, true) {
		return false, false
	}
	return true, true
}

// EjectedUntil returns when the ejection expires, or zero if the server is not ejected.
func (h *Health) EjectedUntil() time.Duration { return time.Duration(h.ejectedUntil.Load()) }

// Succeeded records a success. The success of a probe ends the ejection.
func (h *Health) Succeeded(probe bool, g *Group) {
	h.failures.Store(0)
	h.observe(0)
	if !probe {
		if h.ejectedUntil.Load() == 0 {
			h.ejections.Store(0)
		}
		return
	}
	h.endEjection(g)
	h.probing.Store(false)
}

// Failed records a failure. It ejects the server if the failures reach one of the
// thresholds and MaxShare allows it, and reports whether it did. The failure of a probe
// extends the ejection.
func (h *Health) Failed(now time.Duration, probe bool, g *Group) bool {
	failures, rate := h.failures.Add(1), h.observe(1)
	if probe {
		h.ejectedUntil.Store(int64(now + g.cfg.Duration(h.ejections.Add(1)-1)))
		h.probing.Store(false)
		return true
	}
	if failures < g.cfg.Failures && rate < g.cfg.FailureRate {
		return false
	}
	if h.ejectedUntil.Load() != 0 || !g.tryEject() {
		return false
	}
	until := int64(now + g.cfg.Duration(h.ejections.Load()))
	if !h.ejectedUntil.CompareAndSwap(0, until) {
		g.ejected.Add(-1)
		return false
	}
	h.ejections.Add(1)
	return true
}

// Released records a request whose result is no evidence about the server.
func (h *Health) Released(probe bool) {
	if probe {
		h.probing.Store(false)
	}
}

// Forget removes a server that no longer exists from the ejected servers of its group.
func (h *Health) Forget(g *Group) { h.endEjection(g) }

// rateWeight is the weight of the newest result in the rate. Starting from zero, the rate
// exceeds one half after 22 consecutive failures, or after more if there are successes in
// between.
const rateWeight = 1.0 / 32

func (h *Health) observe(result float64) float64 {
	for {
		old := h.rate.Load()
		rate := math.Float64frombits(old)
		rate += rateWeight * (result - rate)
		if h.rate.CompareAndSwap(old, math.Float64bits(rate)) {
			return rate
		}
	}
}

func (h *Health) endEjection(g *Group) {
	h.rate.Store(0)
	if h.ejectedUntil.Swap(0) != 0 {
		g.ejected.Add(-1)
	}
}
