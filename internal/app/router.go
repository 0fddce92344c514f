package app

import (
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/internal/controller/configuration"
	"github.com/cyclamenhoist/cyclamenhoist/internal/controller/observer"
	"github.com/cyclamenhoist/cyclamenhoist/internal/gateway"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/retry"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/routing"
)

// router selects servers for the gateway within the retry budgets of services.
type router struct {
	routing       *routing.Router
	config        *configuration.Controller
	uses          *observer.Uses
	onModelAbsent func(port.Server)
	start         time.Time
	// budgets holds a *retry.Budget for each service.
	budgets sync.Map
}

// budget returns the retry budget of a service, with the retry ratio of the targets
// in force.
func (r *router) budget(service string) *retry.Budget {
	ratio := retry.DefaultRatio
	if t := r.config.Targets(); t != nil {
		if s, known := t.Service(service); known {
			ratio = s.RetryRatio
		}
	}
	loaded, known := r.budgets.Load(service)
	if !known {
		loaded, _ = r.budgets.LoadOrStore(service, retry.NewBudget(retry.BudgetConfig{Ratio: ratio}))
	}
	b := loaded.(*retry.Budget)
	if b.Config().Ratio != ratio {
		// Concurrent callers that see the change all set the same ratio.
		b.Configure(retry.BudgetConfig{Ratio: ratio})
	}
	return b
}

// Pick implements gateway.Router.
func (r *router) Pick(now time.Time, q gateway.PickQuery) (gateway.Attempt, error) {
	budget := r.budget(q.Service)
	if q.Retry && !budget.Withdraw(now.Sub(r.start)) {
		return nil, gateway.ErrNoBudget
	}
	a := &attempt{onModelAbsent: r.onModelAbsent, endUse: func(time.Duration) {}, refund: func() {}}
	if q.Retry {
		a.refund = budget.Refund
	}
	choice, err := r.routing.Pick(now, routing.Query{
		Service: q.Service, Model: q.Model, PrefixHash: q.PrefixHash, Exclude: q.Exclude,
	})
	if err != nil {
		a.refund()
		return nil, pickError(err)
	}
	a.choice = choice
	if !q.Retry {
		budget.RecordFirstAttempt(now.Sub(r.start))
	}
	if q.Model != "" {
		a.endUse = r.uses.Begin(q.Model, !q.Retry)
	}
	return a, nil
}

func pickError(err error) error {
	var full *routing.CapacityError
	if errors.As(err, &full) {
		return &gateway.CapacityError{RetryAfter: full.RetryAfter}
	}
	return errors.Join(gateway.ErrNoReplica, err)
}

type attempt struct {
	choice routing.Choice
	// onModelAbsent is called with a server that no longer had the model.
	onModelAbsent func(port.Server)
	endUse        func(took time.Duration)
	// refund gives the retry back to the budget, if the attempt is one.
	refund func()
}

// Server implements gateway.Attempt.
func (a *attempt) Server() port.Server { return a.choice.Server }

// HedgeAfter implements gateway.Attempt. It returns the delay after which to send a
// hedged second attempt, and whether to send one.
func (a *attempt) HedgeAfter(remaining time.Duration) (time.Duration, bool) {
	return retry.HedgeConfig{}.Delay(true, true, a.choice.Stats.Tail(), remaining)
}

// Done implements gateway.Attempt.
func (a *attempt) Done(now time.Time, o gateway.Outcome) {
	a.endUse(o.Total)
	if o.Kind == gateway.OutcomeNotSent || o.Kind == gateway.OutcomeUnused {
		a.refund()
	}
	if o.Kind == gateway.OutcomeAbsent {
		a.onModelAbsent(a.choice.Server)
	}
	a.choice.Done(now, routing.Result{Outcome: routingOutcome(o), FirstByte: o.FirstByte, Total: o.Total})
}

// unreachableThreshold is the duration from which an attempt that couldn't connect
// counts as unreachable. A refused connection fails sooner and counts as failed.
const unreachableThreshold = 500 * time.Millisecond

func routingOutcome(o gateway.Outcome) routing.Outcome {
	switch o.Kind {
	case gateway.OutcomeNotSent:
		if o.Total >= unreachableThreshold {
			return routing.OutcomeUnreachable
		}
		return routing.OutcomeFailed
	case gateway.OutcomeAnswered:
		return routing.OutcomeServed
	case gateway.OutcomeRefused:
		return routing.OutcomeOverloaded
	case gateway.OutcomeCanceled, gateway.OutcomeAbsent, gateway.OutcomeUnused:
		return routing.OutcomeCanceled
	default:
		return routing.OutcomeFailed
	}
}
