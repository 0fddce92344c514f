package queue

import "time"

// turnWeight is the part by which the newest turn moves the mean, as a divisor.
const turnWeight = 16

// pace is the mean time between two turns while requests wait.
type pace struct {
	interval time.Duration
	last     time.Time
	busy     bool
}

// turn takes a turn at the time now into the mean. The first one after an idle
// time says nothing of the rate.
func (p *pace) turn(now time.Time, waiting int) {
	if p.busy {
		since := now.Sub(p.last)
		if p.interval == 0 {
			p.interval = since
		}
		p.interval += (since - p.interval) / turnWeight
	}
	p.last = now
	p.busy = waiting > 0
}

// Turn notes that a request was started at the time now. It follows Serve.
func (q *Queue) Turn(now time.Time) { q.pace.turn(now, q.len) }

// Late returns the request of the ticket's flow that is least likely to be
// started in time, if at the present pace it won't be; else nil.
func (q *Queue) Late(now time.Time, t *Ticket) *Ticket {
	if t.flow == nil || q.pace.interval == 0 {
		return nil
	}
	each := time.Duration(float64(q.pace.interval) / q.share(t.flow))
	whole := time.Duration(q.len) * q.pace.interval
	var worst *Ticket
	var least time.Duration
	for position, other := range t.flow.tickets {
		wait := min(time.Duration(position)*each, whole)
		if spare := other.Deadline.Sub(now) - wait; worst == nil || spare < least {
			worst, least = other, spare
		}
	}
	if least >= 0 {
		return nil
	}
	return worst
}

// share is the part of all turns that a flow is sure of.
func (q *Queue) share(f *flow) float64 {
	sum := 0.0
	for _, other := range q.order {
		sum += other.weight
	}
	return f.weight / sum
}
