package placement

import (
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// Progress tracks running loads from all tiers, to estimate when a model that is already
// loading will be ready. The zero value is ready to use.
type Progress struct {
	loads map[replicaKey]progress
}

type replicaKey struct {
	server port.ServerID
	model  port.ModelID
}

type progress struct {
	started  time.Time
	estimate time.Duration
}

// remaining estimates the remaining time of an operation. An overdue operation is expected to
// take half of its elapsed time in addition.
func (p progress) remaining(now time.Time) time.Duration {
	elapsed := now.Sub(p.started)
	if elapsed < p.estimate {
		return p.estimate - elapsed
	}
	return elapsed / 2
}

// Start records that the load of a model was ordered, with its expected duration.
func (p *Progress) Start(now time.Time, server port.ServerID, model port.ModelID, expected time.Duration) {
	if p.loads == nil {
		p.loads = map[replicaKey]progress{}
	}
	p.loads[replicaKey{server, model}] = progress{started: now, estimate: expected}
}

// End records that a load has ended, successfully or not.
func (p *Progress) End(server port.ServerID, model port.ModelID) {
	delete(p.loads, replicaKey{server, model})
}

// Remaining estimates the remaining duration of a load; false if it isn't running.
func (p *Progress) Remaining(now time.Time, server port.ServerID, model port.ModelID) (time.Duration, bool) {
	if p == nil {
		return 0, false
	}
	load, ok := p.loads[replicaKey{server, model}]
	if !ok {
		return 0, false
	}
	return load.remaining(now), true
}
