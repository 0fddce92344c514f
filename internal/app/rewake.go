package app

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/cyclamenhoist/cyclamenhoist/internal/gateway"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// acceptedWake is a question that the zone's holder has accepted.
type acceptedWake struct {
	zone  port.Zone
	query gateway.WakeQuery
	until time.Time
}

const (
	// firstRewake and maxRewake bound the pauses between questions to a new
	// holder, which isn't ready at once.
	firstRewake = 20 * time.Millisecond
	maxRewake   = 250 * time.Millisecond
)

// remember keeps an accepted question, so that a new holder can be asked it.
func (w *waker) remember(zone port.Zone, q gateway.WakeQuery, accepted bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !accepted {
		delete(w.accepted, q.Model)
		return
	}
	w.accepted[q.Model] = acceptedWake{zone: zone, query: q, until: time.Now().Add(q.Patience)}
}

// followHolders asks each new holder at once for what its predecessor had
// accepted: a new term knows of no callers that wait.
func (w *waker) followHolders(ctx context.Context) error {
	holders := map[port.Zone]port.InstanceID{}
	for {
		state, changed := w.log.Watch()
		if state != nil {
			for _, zone := range state.Zones() {
				v := state.Zone(zone)
				if v.Holder == "" || v.Released || holders[zone] == v.Holder {
					continue
				}
				holders[zone] = v.Holder
				w.askAgain(ctx, zone)
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

func (w *waker) askAgain(ctx context.Context, zone port.Zone) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for model, a := range w.accepted {
		left := time.Until(a.until)
		if left <= 0 {
			delete(w.accepted, model)
			continue
		}
		if a.zone == zone {
			go w.askUntilAnswered(ctx, a, left)
		}
	}
}

// askUntilAnswered asks until the new holder answers. What it says reaches the
// callers when their own question is repeated.
func (w *waker) askUntilAnswered(ctx context.Context, a acceptedWake, left time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = firstRewake, maxRewake
	for {
		if _, err := w.ask(ctx, a.zone, a.query); err == nil {
			return
		}
		timer := time.NewTimer(delays.NextBackOff())
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}
