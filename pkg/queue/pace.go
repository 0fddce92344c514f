package queue

import "time"

// intervalDivisor is the divisor for a new sample in the moving average of the interval.
const intervalDivisor = 16

// rateEstimator tracks the mean interval between dispatches while requests wait.
type rateEstimator struct {
	interval   time.Duration
	last       time.Time
	backlogged bool
}

// recordDispatch records a dispatch at the time now, after which waiting requests remain.
// The first interval after an idle period is ignored because it does not reflect the
// service rate.
func (e *rateEstimator) recordDispatch(now time.Time, waiting int) {
	if e.backlogged {
		elapsed := now.Sub(e.last)
		if e.interval == 0 {
			e.interval = elapsed
		}
		e.interval += (elapsed - e.interval) / intervalDivisor
	}
	e.last = now
	e.backlogged = waiting > 0
}

// RecordDispatch records that a request was started at the time now. It must be called
// after Serve.
func (q *Queue) RecordDispatch(now time.Time) { q.rate.recordDispatch(now, q.len) }

// Late returns the request in the ticket's flow that will miss its deadline by the
// largest margin at the current rate, or nil if none of them will miss it.
func (q *Queue) Late(now time.Time, t *Ticket) *Ticket {
	if t.flow == nil || q.rate.interval == 0 {
		return nil
	}
	flowInterval := time.Duration(float64(q.rate.interval) / q.share(t.flow))
	maxWait := time.Duration(q.len) * q.rate.interval
	var worst *Ticket
	var minSlack time.Duration
	for position, other := range t.flow.tickets {
		wait := min(time.Duration(position)*flowInterval, maxWait)
		if slack := other.Deadline.Sub(now) - wait; worst == nil || slack < minSlack {
			worst, minSlack = other, slack
		}
	}
	if minSlack >= 0 {
		return nil
	}
	return worst
}

// share returns the share of the dispatches that a flow is guaranteed.
func (q *Queue) share(f *flow) float64 {
	sum := 0.0
	for _, other := range q.order {
		sum += other.weight
	}
	return f.weight / sum
}
