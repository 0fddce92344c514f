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

// router lets the gateway pick servers, within the services' retry budgets.
type router struct {
	routing *routing.Router
	config  *configuration.Controller
	uses    *observer.Uses
	absent  func(port.Server)
	start   time.Time
	// budgets holds a *retry.Budget for each service.
	budgets sync.Map
}

// budget returns the budget of a service, with the ratio of the targets in force.
func (r *router) budget(service string) *retry.Budget {
	ratio := retry.DefaultRatio
	if t := r.config.Targets(); t != nil {
		if s, known := t.Service(service); known {
			ratio = s.RetryRatio
		}
	}
	held, known := r.budgets.Load(service)
	if !known {
		held, _ = r.budgets.LoadOrStore(service, retry.NewBudget(retry.BudgetConfig{Ratio: ratio}))
	}
	b := held.(*retry.Budget)
	if b.Config().Ratio != ratio {
		// Two that see the change at once set the same.
		b.Configure(retry.BudgetConfig{Ratio: ratio})
	}
	return b
}

// Pick implements gateway.Router.
func (r *router) Pick(now time.Time, q gateway.PickQuery) (gateway.Attempt, error) {
	budget := r.budget(q.Service)
	if q.Retry && !budget.Take(now.Sub(r.start)) {
		return nil, gateway.ErrNoBudget
	}
	choice, err := r.routing.Pick(now, routing.Query{
		Service: q.Service, Model: q.Model, PrefixHash: q.PrefixHash, Exclude: q.Exclude,
	})
	var full *routing.CapacityError
	switch {
	case err == nil:
	case errors.As(err, &full):
		return nil, &gateway.CapacityError{RetryAfter: full.RetryAfter}
	default:
		return nil, errors.Join(gateway.ErrNoReplica, err)
	}
	a := &attempt{choice: choice, absent: r.absent, end: func(time.Duration) {}}
	if !q.Retry {
		budget.First(now.Sub(r.start))
	}
	if q.Model != "" {
		a.end = r.uses.Begin(q.Model, !q.Retry)
	}
	return a, nil
}

type attempt struct {
	choice routing.Choice
	// absent is told of a server that had lost its model.
	absent func(port.Server)
	end    func(took time.Duration)
}

// Server implements gateway.Attempt.
func (a *attempt) Server() port.Server { return a.choice.Server }

// HedgeAfter tells the gateway when a second attempt beside this one helps.
func (a *attempt) HedgeAfter(remaining time.Duration) (time.Duration, bool) {
	return retry.HedgeConfig{}.Delay(true, true, a.choice.Stats.Tail(), remaining)
}

// Done implements gateway.Attempt.
func (a *attempt) Done(now time.Time, o gateway.Outcome) {
	a.end(o.Total)
	if o.Kind == gateway.OutcomeAbsent {
		a.absent(a.choice.Server)
	}
	a.choice.Done(now, routing.Result{Outcome: outcomeOf(o), FirstByte: o.FirstByte, Total: o.Total})
}

// connectTimedOut is how long an attempt that reached nobody must have taken to
// count as unanswered. A refused connection is answered at once.
const connectTimedOut = 500 * time.Millisecond

func outcomeOf(o gateway.Outcome) routing.Outcome {
	switch o.Kind {
	case gateway.OutcomeNotSent:
		if o.Total >= connectTimedOut {
			return routing.OutcomeUnreachable
		}
		return routing.OutcomeFailed
	case gateway.OutcomeAnswered:
		return routing.OutcomeServed
	case gateway.OutcomeRefused:
		return routing.OutcomeOverloaded
	case gateway.OutcomeCanceled, gateway.OutcomeAbsent:
		return routing.OutcomeCanceled
	default:
		return routing.OutcomeFailed
	}
}
