package routing

import "time"

// LoadScorer estimates the queueing time at a server: the mean time to the first
// byte, scaled by the load against the limit.
type LoadScorer struct {
	// ReportFresh is up to which age a report counts in full. Membership holds
	// back small changes of load, so that no news means little change.
	ReportFresh time.Duration
	// NewsDelay is how long a large change of load takes to become known.
	NewsDelay time.Duration
}

// The ages of the default scorer.
const (
	DefaultReportFresh = 30 * time.Second
	DefaultNewsDelay   = 2 * time.Second
)

// Cost is the expected queueing time in seconds.
func (s LoadScorer) Cost(now time.Duration, _ *Query, c *Candidate) float64 {
	latency := c.Stats.Latency()
	if latency == 0 {
		latency = defaultLatency
	}
	load := c.Stats.load(now, s)
	return latency.Seconds() * (load + 1) / float64(c.Stats.Limit())
}

// TwoChoices picks the cheaper of two random candidates. Instances that share a
// stale report then don't all go to the same server. A candidate that likely has
// the prefix cached is preferred while it costs no more than the prefix saves.
type TwoChoices struct{}

// randomTries bounds the draws for one random candidate; after that the list is
// searched from a random place.
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
	near, saves := p.Affinity()
	if near != nil && near != best && p.Keep(near) && p.Cost(near)-saves <= cost {
		return near
	}
	return best
}

// draw takes a random candidate that passes and isn't the one given.
func draw(p *Pool, not *Candidate) *Candidate {
	n := uint64(p.Len())
	if n == 0 {
		return nil
	}
	for range randomTries {
		c := p.At(int(p.Random() % n))
		if c != not && p.Keep(c) {
			return c
		}
	}
	start := p.Random() % n
	for i := range n {
		c := p.At(int((start + i) % n))
		if c != not && p.Keep(c) {
			return c
		}
	}
	return nil
}
