package placement

import (
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// Progress knows the loads that run, from any tier, so that callers who come
// meanwhile are told when theirs is ready. The zero value is ready to use.
type Progress struct {
	loads map[replicaKey]progress
}

type replicaKey struct {
	server port.ServerID
	model  port.ModelID
}

type progress struct {
	started time.Time
	took    time.Duration
}

// left estimates what is left of something that has been expected to take a
// while. If it is overdue, it is expected to take half as long again as it
// already has.
func (p progress) left(now time.Time) time.Duration {
	elapsed := now.Sub(p.started)
	if elapsed < p.took {
		return p.took - elapsed
	}
	return elapsed / 2
}

// Start takes in that the load of a model was ordered, with the time that it is
// expected to take.
func (p *Progress) Start(now time.Time, server port.ServerID, model port.ModelID, took time.Duration) {
	if p.loads == nil {
		p.loads = map[replicaKey]progress{}
	}
	p.loads[replicaKey{server, model}] = progress{started: now, took: took}
}

// End takes in that the load has ended, in whatever way.
func (p *Progress) End(server port.ServerID, model port.ModelID) {
	delete(p.loads, replicaKey{server, model})
}

// Left estimates how long the load still takes.
func (p *Progress) Left(now time.Time, server port.ServerID, model port.ModelID) (time.Duration, bool) {
	if p == nil {
		return 0, false
	}
	load, ok := p.loads[replicaKey{server, model}]
	if !ok {
		return 0, false
	}
	return load.left(now), true
}
