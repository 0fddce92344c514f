package placer

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/leaderlease"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/pause"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

// proposal is a record to append, and the view of the lease that it was decided from: the holder, and for how
// long nothing was known of it.
type proposal struct {
	leaderlease.Proposal

	holder string
	silent time.Duration
}

// describe adds the proposal and the store's answer to a log entry.
func (p *proposal) describe(entry *log.Entry, answer platform.Appended, took time.Duration) *log.Entry {
	return entry.Bool("renewal", p.Renewal).Bool("released", p.Record.Released).Str("successor", p.Record.Successor).Int64("epoch", p.Record.Epoch).
		Str("decided_holder", p.holder).Dur("decided_silent", p.silent).Int64("at", p.At).
		Dur("took", took).Int64("end", answer.End).Int64("era", answer.Era)
}

// next returns the record that is due, or nil and when to ask again. The record must be appended at once: any
// wait comes before it is decided, so that the decision, the record and the condition of its append are of the
// same view of the lease.
func (e *elector) next(random float64) (*proposal, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.read {
		return nil, time.Second
	}
	if !e.state.IsHolder() {
		e.handover = ""
	}
	if e.handover != "" {
		p, wait := e.proposeRelease(e.handover)
		if p != nil {
			e.log.Info().Str("successor", e.handover).Float64("capacity", e.capacity).Msg("tenure_handed_over")
			e.handover = ""
		}
		return p, wait
	}
	e.state.KeepLease()
	delay := leaderlease.ClaimDelay(e.self.Holder, e.capacity, e.successors, random)
	if wait := e.state.NextAppend(delay) - e.now(); wait > 0 {
		return nil, wait
	}
	if !e.reaches() || !e.state.IsHolder() && !e.known() {
		return nil, 0
	}
	if wait := e.limited(); wait > 0 {
		return nil, wait
	}
	return e.decide(e.state.Propose(delay, e.now())), 0
}

// proposeRelease returns the release of the lease, or nil and when to ask again. The caller must hold the lock.
func (e *elector) proposeRelease(successor string) (*proposal, time.Duration) {
	// A holder that waits for the limit goes on sending orders.
	if wait := e.limited(); wait > 0 {
		return nil, wait
	}
	return e.decide(e.state.ProposeRelease(successor)), platform.OrderTimeout
}

// limited returns for how long the limit of appends admits none.
func (e *elector) limited() time.Duration {
	missing := 1 - e.limiter.Tokens()
	return time.Duration(missing / float64(e.limiter.Limit()) * float64(time.Second))
}

// decide returns the proposal if it is due and the limit of appends admits it. The caller must hold the lock.
func (e *elector) decide(p leaderlease.Proposal, due bool) *proposal {
	if !due || !e.limiter.Allow() {
		return nil
	}
	r, _, _ := e.state.Holder()
	return &proposal{Proposal: p, holder: r.Holder, silent: e.state.Silent(e.now())}
}

// release releases the lease. During an outage of the store no other instance can take over, so this instance
// continues to place models between its attempts. If servers don't reject superseded epochs, it ceases to when the
// answer to a release gets lost.
func (e *elector) release(ctx context.Context) {
	for e.isHolder() && ctx.Err() == nil {
		e.mu.Lock()
		p, wait := e.proposeRelease("")
		e.mu.Unlock()
		if p == nil {
			pause.Until(ctx, e.changed, max(wait, minElectionWait))
			continue
		}
		if err := e.append(ctx, p); err != nil {
			pause.For(ctx, appendRetryInterval)
		}
	}
}
