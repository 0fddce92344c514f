package identity

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/pause"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

const (
	// askTimeout bounds one question to one owner.
	askTimeout = 300 * time.Millisecond
	// firstPoll and maxPoll bound how often a run elsewhere is asked about.
	firstPoll = 10 * time.Millisecond
	maxPoll   = 500 * time.Millisecond
)

// Peers reaches the stores of other instances. An error means that the call may
// or may not have had its effect.
type Peers interface {
	Claim(ctx context.Context, m Member, a Ask) (Answer, error)
	Finish(ctx context.Context, m Member, key Key, attempt string, r Result) error
	// HandOver returns how many of the identities, from the first on, were taken.
	HandOver(ctx context.Context, m Member, kept []Kept) (int, error)
}

// Claimer claims identities for one instance.
type Claimer struct {
	Self  port.InstanceID
	Store *Store
	Peers Peers
	Clock port.Clock
	// Lists returns the present Lists of the instance's History.
	Lists func(now time.Time) Lists
	// MaxRun is Times.MaxRun.
	MaxRun time.Duration
}

// Claim is the outcome of a Request.
type Claim struct {
	claimer *Claimer
	key     Key
	attempt string
	answer  Answer
	holders []Member
}

// Verdict says whether the request may run.
func (c *Claim) Verdict() Verdict { return c.answer.Verdict }

// Result is the answer of the earlier run, with the verdict Finished.
func (c *Claim) Result() Result { return c.answer.Result }

// Finish tells the owners how the run ended. Owners that it doesn't reach count
// the run as one of unknown end.
func (c *Claim) Finish(ctx context.Context, r Result) {
	c.claimer.tell(ctx, c.holders, c.key, c.attempt, r)
}

// Claim asks the owners of the request's identity for the right to run, and
// waits up to Wait while another attempt runs.
func (c *Claimer) Claim(ctx context.Context, r Request) *Claim {
	giveUp := c.Clock.Now().Add(r.Wait)
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = firstPoll
	delays.MaxInterval = maxPoll
	for {
		claim := c.round(ctx, r)
		wait := min(delays.NextBackOff(), giveUp.Sub(c.Clock.Now()))
		if claim.Verdict() != Running || wait <= 0 || !pause.For(ctx, wait) {
			return claim
		}
	}
}

func (c *Claimer) round(ctx context.Context, r Request) *Claim {
	lists := c.Lists(c.Clock.Now())
	claim := &Claim{claimer: c, key: r.Key, attempt: uuid.NewString()}
	ask := Ask{
		Key:         r.Key,
		Fingerprint: r.Fingerprint,
		Attempt:     claim.attempt,
		RunFor:      min(r.RunFor, c.MaxRun),
	}
	round := NewRound(r.Key, lists)
	for owner, ok := round.Next(); ok; owner, ok = round.Next() {
		round.Answer(owner, c.ask(ctx, owner, ask))
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

func (c *Claimer) ask(ctx context.Context, owner Member, a Ask) Answer {
	if owner.ID == c.Self {
		return c.Store.Claim(a)
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer, err := c.Peers.Claim(ctx, owner, a)
	if err != nil {
		return Answer{Verdict: Unavailable}
	}
	return answer
}

// tell reports the end of a run to all holders at once.
func (c *Claimer) tell(ctx context.Context, holders []Member, key Key, attempt string, r Result) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, holder := range holders {
		if holder.ID == c.Self {
			c.Store.Finish(key, attempt, r)
			continue
		}
		wg.Go(func() {
			// An owner that isn't reached stays on the safe side: it takes the
			// run for one of unknown end.
			_ = c.Peers.Finish(ctx, holder, key, attempt, r)
		})
	}
	wg.Wait()
}
