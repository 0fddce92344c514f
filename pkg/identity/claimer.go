package identity

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/pause"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

const (
	// requestTimeout bounds one claim request to one owner, and the reports of
	// one result to all owners.
	requestTimeout = 300 * time.Millisecond
	// minPollInterval and maxPollInterval bound the interval between claims
	// while another attempt runs.
	minPollInterval = 10 * time.Millisecond
	maxPollInterval = 500 * time.Millisecond
	// maxPendingReports bounds the results that are repeated at the same time
	// to owners that haven't received them, and with it the memory of their bodies.
	maxPendingReports = 256
)

// Peers calls the stores of other instances. An error means that it isn't known
// whether the call took effect.
type Peers interface {
	Claim(ctx context.Context, m Member, r ClaimRequest) (Answer, error)
	Finish(ctx context.Context, m Member, key Key, attempt string, r Result) error
	// HandOver returns how many of the identities were accepted. These are the
	// first ones of the list.
	HandOver(ctx context.Context, m Member, retained []RetainedIdentity) (int, error)
}

// Claimer claims identities for one instance.
type Claimer struct {
	Self  port.InstanceID
	Store *Store
	Peers Peers
	Clock port.Clock
	// Lists returns the current Lists of the instance's History.
	Lists func(now time.Time) Lists
	// MaxRun bounds ClaimRequest.RunFor. It equals Times.MaxRun.
	MaxRun time.Duration

	pendingReports atomic.Int64
}

// Claim is the outcome of a Request.
type Claim struct {
	claimer *Claimer
	key     Key
	attempt string
	answer  Answer
	holders []Member
	// runUntil is the deadline of the run at its owners.
	runUntil time.Time
}

// Verdict reports whether the request is allowed to run.
func (c *Claim) Verdict() Verdict { return c.answer.Verdict }

// Result returns the answer of the earlier run. It is set only if the verdict is
// Finished.
func (c *Claim) Result() Result { return c.answer.Result }

// Finish reports the result of the run to the owners. An owner that has granted
// the identity but doesn't receive the report answers Running to other attempts
// until the run's deadline, and Unknown from then until the identity expires.
// The report is therefore repeated in the background until that deadline.
func (c *Claim) Finish(ctx context.Context, r Result) {
	missed := c.report(ctx, c.holders, r)
	if len(missed) == 0 {
		return
	}
	if c.claimer.pendingReports.Add(1) > maxPendingReports {
		c.claimer.pendingReports.Add(-1)
		return
	}
	go func() {
		defer c.claimer.pendingReports.Add(-1)
		c.repeatReport(context.WithoutCancel(ctx), missed, r)
	}()
}

// Claim requests the identity of the request from its owners. While another
// attempt runs, it retries for up to r.Wait.
func (c *Claimer) Claim(ctx context.Context, r Request) *Claim {
	deadline := c.Clock.Now().Add(r.Wait)
	intervals := backoff.NewExponentialBackOff()
	intervals.InitialInterval = minPollInterval
	intervals.MaxInterval = maxPollInterval
	for {
		claim := c.tryClaim(ctx, r)
		interval := min(intervals.NextBackOff(), deadline.Sub(c.Clock.Now()))
		if claim.Verdict() != Running || interval <= 0 || !pause.For(ctx, interval) {
			return claim
		}
	}
}

func (c *Claimer) tryClaim(ctx context.Context, r Request) *Claim {
	lists := c.Lists(c.Clock.Now())
	claim := &Claim{claimer: c, key: r.Key, attempt: uuid.NewString()}
	request := ClaimRequest{
		Key:         r.Key,
		Fingerprint: r.Fingerprint,
		Attempt:     claim.attempt,
		RunFor:      min(r.RunFor, c.MaxRun),
	}
	claim.runUntil = c.Clock.Now().Add(request.RunFor)
	round := NewRound(r.Key, lists)
	for owner, ok := round.Next(); ok; owner, ok = round.Next() {
		round.Answer(owner, c.requestClaim(ctx, owner, request))
	}
	claim.answer = round.Verdict()
	claim.holders = round.Holders()
	if claim.answer.Verdict == Run && !c.Clock.Now().Before(lists.Until) {
		claim.answer = Answer{Verdict: Unavailable}
	}
	if claim.answer.Verdict != Run && len(claim.holders) > 0 {
		claim.Finish(context.WithoutCancel(ctx), Result{NotRun: true})
	}
	return claim
}

func (c *Claimer) requestClaim(ctx context.Context, owner Member, r ClaimRequest) Answer {
	if owner.ID == c.Self {
		return c.Store.Claim(r)
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	answer, err := c.Peers.Claim(ctx, owner, r)
	if err != nil {
		return Answer{Verdict: Unavailable}
	}
	return answer
}

// report sends the result of the run to the owners in parallel, and returns
// those that may not have received it.
func (c *Claim) report(ctx context.Context, owners []Member, r Result) []Member {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var mu sync.Mutex
	var missed []Member
	var wg sync.WaitGroup
	for _, owner := range owners {
		if owner.ID == c.claimer.Self {
			c.claimer.Store.Finish(c.key, c.attempt, r)
			continue
		}
		wg.Go(func() {
			if c.claimer.Peers.Finish(ctx, owner, c.key, c.attempt, r) != nil {
				mu.Lock()
				defer mu.Unlock()
				missed = append(missed, owner)
			}
		})
	}
	wg.Wait()
	return missed
}

// repeatReport sends the result to the owners that haven't received it, until
// all have or the run's deadline has passed. An owner ignores a report that it
// has received before.
func (c *Claim) repeatReport(ctx context.Context, missed []Member, r Result) {
	intervals := backoff.NewExponentialBackOff()
	intervals.InitialInterval = minPollInterval
	intervals.MaxInterval = maxPollInterval
	for len(missed) > 0 && c.claimer.Clock.Now().Before(c.runUntil) {
		pause.For(ctx, intervals.NextBackOff())
		missed = c.report(ctx, missed, r)
	}
}
