package retry

import (
	"cmp"
	"math"
	"sync/atomic"
	"time"
)

// EjectConfig bounds outlier ejection. Zero fields take the default.
type EjectConfig struct {
	// Failures is how many failures in a row get a server ejected.
	Failures int64
	// FailureRate is the part of recent results, a few dozen, that gets a
	// server ejected whose failures aren't in a row.
	FailureRate float64
	// MaxShare is the part of a service's servers that may be ejected at once;
	// beyond it failing servers stay in use, since a fault that hits so many
	// is rarely the servers' own.
	MaxShare float64
	// Base is the first ejection's length; it doubles with each one in a row,
	// up to Max.
	Base, Max time.Duration
}

// The defaults of EjectConfig.
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

// Length is how long the ejection lasts that follows earlier ones in a row.
func (c EjectConfig) Length(earlier int64) time.Duration {
	length := c.Base
	for range earlier {
		length *= 2
		if length >= c.Max {
			return c.Max
		}
	}
	return length
}

// Group counts the servers of one service and how many of them are ejected. It
// is safe for concurrent use.
type Group struct {
	cfg     EjectConfig
	servers atomic.Int64
	ejected atomic.Int64
}

// NewGroup returns a group without servers.
func NewGroup(cfg EjectConfig) *Group {
	return &Group{cfg: cfg.withDefaults()}
}

// Resize sets the number of servers in the service.
func (g *Group) Resize(servers int) { g.servers.Store(int64(servers)) }

// Ejected is the number of servers that are ejected now.
func (g *Group) Ejected() int64 { return g.ejected.Load() }

// enter counts one more ejected server, unless the cap is reached.
func (g *Group) enter() bool {
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

// Health is the ejection state of one server. Its zero value is a healthy
// server. It is safe for concurrent use: each change of state is one
// compare-and-swap, and a result that races with it counts before or after it.
type Health struct {
	failures atomic.Int64
	// rate is the mean of recent results, where a failure is 1, as the bits of a
	// float64.
	rate atomic.Uint64
	// until is when an ejection ends, in nanoseconds of the owner's time; zero
	// while the server is in use.
	until   atomic.Int64
	earlier atomic.Int64
	probing atomic.Bool
}

// Usable reports whether a request may go to the server: it isn't ejected, or
// its ejection has run out and no other request is probing it.
func (h *Health) Usable(now time.Duration) bool {
	until := h.until.Load()
	return until == 0 || int64(now) >= until && !h.probing.Load()
}

// Admit claims the right to send one request. For an ejected server whose time
// has run out only one caller gets it, as the probe; it must report back with
// probe set.
func (h *Health) Admit(now time.Duration) (probe, ok bool) {
	until := h.until.Load()
	if until == 0 {
		return false, true
	}
	if int64(now) < until || !h.probing.CompareAndSwap(false, true) {
		return false, false
	}
	return true, true
}

// EjectedUntil is when the ejection runs out, zero if there is none.
func (h *Health) EjectedUntil() time.Duration { return time.Duration(h.until.Load()) }

// Succeeded takes in a success. A probe's success ends the ejection.
func (h *Health) Succeeded(probe bool, g *Group) {
	h.failures.Store(0)
	h.observe(0)
	if !probe {
		if h.until.Load() == 0 {
			h.earlier.Store(0)
		}
		return
	}
	h.leave(g)
	h.probing.Store(false)
}

// Failed takes in a failure, and ejects the server if there were enough in a
// row and the group's cap allows it. It reports whether it did.
func (h *Health) Failed(now time.Duration, probe bool, g *Group) bool {
	failures, rate := h.failures.Add(1), h.observe(1)
	if probe {
		h.until.Store(int64(now + g.cfg.Length(h.earlier.Add(1)-1)))
		h.probing.Store(false)
		return true
	}
	if failures < g.cfg.Failures && rate < g.cfg.FailureRate {
		return false
	}
	if h.until.Load() != 0 || !g.enter() {
		return false
	}
	until := int64(now + g.cfg.Length(h.earlier.Load()))
	if !h.until.CompareAndSwap(0, until) {
		g.ejected.Add(-1)
		return false
	}
	h.earlier.Add(1)
	return true
}

// Released takes in a request that ended without saying anything of the server.
func (h *Health) Released(probe bool) {
	if probe {
		h.probing.Store(false)
	}
}

// Forget takes a server that no longer exists out of its group's count.
func (h *Health) Forget(g *Group) { h.leave(g) }

// rateWeight is the weight of the newest result in the rate. Starting from zero,
// it takes 22 failures on end, or more among successes, to pass a half.
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

func (h *Health) leave(g *Group) {
	h.rate.Store(0)
	if h.until.Swap(0) != 0 {
		g.ejected.Add(-1)
	}
}
