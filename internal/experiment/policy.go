package experiment

import (
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/keepalive"
)

// idleSecondsPerWaitSecond is the exchange rate of the weighted cost: at equal weights
// one second of waiting costs as much as this many seconds of one idle accelerator. The
// keep-alive policy has the same rate.
const idleSecondsPerWaitSecond = 60.0

// beyondTrace is a time after the end of every trace.
const beyondTrace = 10000 * time.Hour

// policy decides which models stay loaded and which are preloaded.
type policy interface {
	// recordArrival records the arrival of a request.
	recordArrival(now time.Duration, m *modelState)
	// recordColdStart records a cold start: the sum of its callers' waits, and the time
	// from the first caller until the model was ready.
	recordColdStart(m *modelState, waits, took time.Duration)
	// keepLoaded decides whether a loaded model without work stays loaded.
	keepLoaded(now time.Duration, m *modelState) bool
	// nextCheck returns the delay until keepLoaded is called again for a model that has
	// been idle for the given time.
	nextCheck(idle time.Duration) time.Duration
	// preload decides whether to load a model that no caller waits for.
	preload(now time.Duration, m *modelState) bool
	// worth returns the value of keeping a model loaded. Models of lower worth for their
	// size are evicted first.
	worth(now time.Duration, m *modelState) float64
}

// historyPolicy is the keep-alive policy of pkg/keepalive.
type historyPolicy struct {
	tracker *keepalive.Tracker
}

func newHistoryPolicy(weight float64) *historyPolicy {
	return &historyPolicy{tracker: keepalive.New(epoch, weight)}
}

func (p *historyPolicy) recordArrival(now time.Duration, m *modelState) {
	p.tracker.RecordArrival(epoch.Add(now), m.spec.info.ID)
}

func (p *historyPolicy) recordColdStart(m *modelState, waits, took time.Duration) {
	p.tracker.RecordColdStartWaits(m.spec.info.ID, waits, took)
}

func (p *historyPolicy) facts(m *modelState) keepalive.Facts {
	f := keepalive.Facts{
		Model: m.spec.info.ID, Accelerators: m.accelerators(), ColdStart: m.coldStart(),
	}
	if m.ready {
		f.ReadySince = epoch.Add(m.readySince)
	}
	return f
}

func (p *historyPolicy) keepLoaded(now time.Duration, m *modelState) bool {
	return p.tracker.Keep(epoch.Add(now), p.facts(m)).Keep
}

func (p *historyPolicy) nextCheck(idle time.Duration) time.Duration {
	return min(max(idle/8, 15*time.Second), 10*time.Minute)
}

func (p *historyPolicy) preload(now time.Duration, m *modelState) bool {
	return p.tracker.Preload(epoch.Add(now), p.facts(m)).Keep
}

func (p *historyPolicy) worth(now time.Duration, m *modelState) float64 {
	return p.tracker.Worth(epoch.Add(now), m.spec.info.ID, m.coldStart())
}

// timeoutPolicy unloads a model after a fixed idle time, never if the timeout is zero.
// It evicts the least recently used model first.
type timeoutPolicy struct {
	timeout time.Duration
}

func (p *timeoutPolicy) recordArrival(time.Duration, *modelState) {}

func (p *timeoutPolicy) recordColdStart(*modelState, time.Duration, time.Duration) {}

func (p *timeoutPolicy) keepLoaded(now time.Duration, m *modelState) bool {
	return p.timeout == 0 || now-m.idleSince < p.timeout
}

func (p *timeoutPolicy) nextCheck(idle time.Duration) time.Duration {
	if p.timeout == 0 {
		return beyondTrace
	}
	return max(p.timeout-idle, time.Second)
}

func (p *timeoutPolicy) preload(time.Duration, *modelState) bool { return false }

// worth is proportional to the size of the model, which cancels the division by size in
// pkg/placement, so that the least recently used model is evicted first.
func (p *timeoutPolicy) worth(now time.Duration, m *modelState) float64 {
	return float64(m.spec.info.Bytes) / (now - m.idleSince + time.Second).Seconds()
}

// oraclePolicy is a clairvoyant policy: it knows the future arrivals of the trace.
type oraclePolicy struct {
	weight   float64
	preloads bool
}

func (p *oraclePolicy) recordArrival(time.Duration, *modelState) {}

func (p *oraclePolicy) recordColdStart(*modelState, time.Duration, time.Duration) {}

func (p *oraclePolicy) keepLoaded(now time.Duration, m *modelState) bool {
	at, ok := m.nextArrival(now)
	if !ok {
		return false
	}
	if p.preloads {
		// Loading just in time costs almost no idle time, so the model stays loaded only
		// if the gap is too short to unload it and load it again.
		return at-now < unloadTime+2*m.coldStart()+2*preloadInterval
	}
	return p.weight*idleSecondsPerWaitSecond*m.waitCost(at) > (1-p.weight)*m.accelerators()*(at-now).Seconds()
}

func (p *oraclePolicy) nextCheck(time.Duration) time.Duration { return beyondTrace }

func (p *oraclePolicy) preload(now time.Duration, m *modelState) bool {
	if !p.preloads {
		return false
	}
	at, ok := m.nextArrival(now)
	return ok && at-now <= m.coldStart()+preloadInterval
}

// worth decreases with the time until the next arrival, so that the model needed last
// is evicted first.
func (p *oraclePolicy) worth(now time.Duration, m *modelState) float64 {
	at, ok := m.nextArrival(now)
	if !ok {
		return 0
	}
	return float64(m.spec.info.Bytes) / (at - now + time.Second).Seconds()
}
