package experiment

import (
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/keepalive"
)

// exchange is how many seconds of one idle accelerator the weighted cost counts
// for one second of waiting at equal weights, as the keep-alive policy does.
const exchange = 60.0

// never is later than the end of every trace.
const never = 10000 * time.Hour

// policy decides what stays loaded and what is loaded ahead.
type policy interface {
	// arrived and woke tell of an arrival and of a cold start's callers.
	arrived(now time.Duration, m *modelState)
	woke(m *modelState, waits, took time.Duration)
	// keep decides on a model without work, loaded for the time since ready and
	// idle since its last work.
	keep(now time.Duration, m *modelState) bool
	// recheck is when to ask again whether to keep a model idle for age.
	recheck(age time.Duration) time.Duration
	// ahead decides whether to load a model that nobody waits for.
	ahead(now time.Duration, m *modelState) bool
	// worth orders evictions; more is kept longer.
	worth(now time.Duration, m *modelState) float64
}

// history is the keep-alive policy of pkg/keepalive.
type history struct {
	tracker *keepalive.Tracker
}

func newHistory(weight float64) *history {
	return &history{tracker: keepalive.New(epoch, weight)}
}

func (p *history) arrived(now time.Duration, m *modelState) {
	p.tracker.Arrived(epoch.Add(now), m.spec.info.ID)
}

func (p *history) woke(m *modelState, waits, took time.Duration) {
	p.tracker.Waited(m.spec.info.ID, waits, took)
}

func (p *history) facts(m *modelState) keepalive.Facts {
	f := keepalive.Facts{
		Model: m.spec.info.ID, Accelerators: m.accelerators(), ColdStart: m.coldStart(),
	}
	if m.ready {
		f.ReadySince = epoch.Add(m.readySince)
	}
	return f
}

func (p *history) keep(now time.Duration, m *modelState) bool {
	return p.tracker.Keep(epoch.Add(now), p.facts(m)).Keep
}

func (p *history) recheck(age time.Duration) time.Duration {
	return min(max(age/8, 15*time.Second), 10*time.Minute)
}

func (p *history) ahead(now time.Duration, m *modelState) bool {
	return p.tracker.Ahead(epoch.Add(now), p.facts(m)).Keep
}

func (p *history) worth(now time.Duration, m *modelState) float64 {
	return p.tracker.Worth(epoch.Add(now), m.spec.info.ID, m.coldStart())
}

// fixed releases after a timeout; zero never does. Evictions go by last use.
type fixed struct {
	timeout time.Duration
}

func (p *fixed) arrived(time.Duration, *modelState) {}

func (p *fixed) woke(*modelState, time.Duration, time.Duration) {}

func (p *fixed) keep(now time.Duration, m *modelState) bool {
	return p.timeout == 0 || now-m.idleSince < p.timeout
}

func (p *fixed) recheck(age time.Duration) time.Duration {
	if p.timeout == 0 {
		return never
	}
	return max(p.timeout-age, time.Second)
}

func (p *fixed) ahead(time.Duration, *modelState) bool { return false }

// worth cancels the size, by which placement divides, so that the least recently
// used model goes first.
func (p *fixed) worth(now time.Duration, m *modelState) float64 {
	return float64(m.spec.info.Bytes) / (now - m.idleSince + time.Second).Seconds()
}

// oracle knows the trace.
type oracle struct {
	weight    float64
	loadAhead bool
}

func (p *oracle) arrived(time.Duration, *modelState) {}

func (p *oracle) woke(*modelState, time.Duration, time.Duration) {}

func (p *oracle) keep(now time.Duration, m *modelState) bool {
	at, ok := m.nextArrival(now)
	if !ok {
		return false
	}
	if p.loadAhead {
		// Loading just in time costs next to no idle time, so that only gaps too
		// short to unload and load again are kept.
		return at-now < unloadTime+2*m.coldStart()+2*aheadEvery
	}
	return p.weight*exchange*m.waitCost(at) > (1-p.weight)*m.accelerators()*(at-now).Seconds()
}

func (p *oracle) recheck(time.Duration) time.Duration { return never }

func (p *oracle) ahead(now time.Duration, m *modelState) bool {
	if !p.loadAhead {
		return false
	}
	at, ok := m.nextArrival(now)
	return ok && at-now <= m.coldStart()+aheadEvery
}

// worth evicts what is needed latest.
func (p *oracle) worth(now time.Duration, m *modelState) float64 {
	at, ok := m.nextArrival(now)
	if !ok {
		return 0
	}
	return float64(m.spec.info.Bytes) / (at - now + time.Second).Seconds()
}
