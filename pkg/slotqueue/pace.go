package slotqueue

import "time"

const (
	// paceGain is the weight of a new interval in the mean interval between grants.
	paceGain = 1.0 / 8
	// minGrants is the number of grants, while requests waited, from which the mean interval is
	// used: a few can come together, when a long request ends or a server restarts.
	minGrants = 8
	// paceMemory is for how long the interval is kept while no request waits. A request that waits
	// leaves the queue and joins again many times a second.
	paceMemory = time.Second
	// stopIntervals is the number of mean intervals without a grant from which the rate of the past no
	// longer counts. Where grants come at random, one interval in 3,000 is as long.
	stopIntervals = 8
	// maxIdlePaces is the number of models from which those without waiting requests are removed.
	maxIdlePaces = 256
)

// pace is how often requests for one model get slots while others wait.
type pace struct {
	waiting int
	// interval is the mean time between two grants, and grants their number since requests have
	// waited without a pause.
	interval time.Duration
	grants   int
	// last is the last grant, or when the first request began to wait.
	last, emptySince time.Time
}

// paceOf returns the pace of a model, for which a request is about to wait.
func (q *Queue) paceOf(model string, now time.Time) *pace {
	p := q.models[model]
	if p == nil {
		if len(q.models) >= maxIdlePaces {
			q.removeIdlePaces(now)
		}
		p = &pace{last: now}
		q.models[model] = p
	} else if gap := now.Sub(p.emptySince); p.waiting == 0 && gap > paceMemory {
		*p = pace{last: now}
	} else if p.waiting == 0 {
		// Nothing could be granted while nobody waited.
		p.last = p.last.Add(gap)
	}
	return p
}

func (q *Queue) removeIdlePaces(now time.Time) {
	for model, p := range q.models {
		if p.waiting == 0 && now.Sub(p.emptySince) > paceMemory {
			delete(q.models, model)
		}
	}
}

func (p *pace) left(now time.Time) {
	p.waiting--
	if p.waiting == 0 {
		p.emptySince = now
	}
}

func (p *pace) granted(now time.Time) {
	p.grants++
	elapsed := now.Sub(p.last)
	if p.grants == 1 {
		p.interval = elapsed
	}
	p.interval += time.Duration(paceGain * float64(elapsed-p.interval))
	p.last = now
	p.left(now)
}

// Expect returns how long a waiting request is expected to wait for its slot, at the rate at which
// requests for its model have got slots; 0 if that isn't known.
func (q *Queue) Expect(now time.Time, ticket *Ticket) time.Duration {
	p := q.models[ticket.Model]
	if p == nil || p.grants < minGrants {
		return 0
	}
	ahead, share := q.queue.Position(ticket.queued)
	// The flow gets at least its share, and no more grants than there are requests precede it.
	slots := min(float64(ahead+1)/share, float64(p.waiting))
	interval := p.interval
	if open := now.Sub(p.last); open > stopIntervals*interval {
		interval = open
	}
	return time.Duration(slots * float64(interval))
}
