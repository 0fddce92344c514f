package routing

import "time"

// LoadScorer estimates the queueing time at a server: the mean time to the first byte,
// scaled by the ratio of load to limit.
type LoadScorer struct {
	// ReportFresh is the maximum age at which a report has full weight. Membership
	// suppresses small changes of load, so a missing update means little change.
	ReportFresh time.Duration
	// PropagationDelay is the time until a large change of load is reported.
	PropagationDelay time.Duration
}

// The defaults of the LoadScorer fields.
const (
	DefaultReportFresh      = 30 * time.Second
	DefaultPropagationDelay = 2 * time.Second
)

// Cost returns the expected queueing time in seconds.
func (s LoadScorer) Cost(now time.Duration, _ *Query, c *Candidate) float64 {
	latency := c.Stats.Latency()
	if latency == 0 {
		latency = defaultLatency
	}
	load := c.Stats.estimateLoad(now, s)
	return latency.Seconds() * (load + 1) / float64(c.Stats.Limit())
}

// TwoChoices selects the cheaper of two random candidates, so that instances that share a
// stale report do not all select the same server. A candidate that probably has the
// prefix cached is preferred as long as its additional cost does not exceed the saved
// time.
type TwoChoices struct{}

// randomTries is the maximum number of random draws for one candidate, after which the
// candidates are scanned from a random position.
const randomTries = 8

// Pick implements Picker.
func (TwoChoices) Pick(p *Pool) *Candidate {
	best := draw(p, nil)
	if best == nil {
		return nil
	}
	cost := p.Cost(best)
	if second := draw(p, best); second != nil {
		if c := p.Cost(second); c < cost {
			best, cost = second, c
		}
	}
	cached, saved := p.Affinity()
	if cached != nil && cached != best && p.Allowed(cached) && p.Cost(cached)-saved <= cost {
		return cached
	}
	return best
}

// draw returns a random allowed candidate other than exclude, or nil if there is none.
func draw(p *Pool, exclude *Candidate) *Candidate {
	n := uint64(p.Len())
	if n == 0 {
		return nil
	}
	for range randomTries {
		c := p.At(int(p.Random() % n))
		if c != exclude && p.Allowed(c) {
			return c
		}
	}
	start := p.Random() % n
	for i := range n {
		c := p.At(int((start + i) % n))
		if c != exclude && p.Allowed(c) {
			return c
		}
	}
	return nil
}
