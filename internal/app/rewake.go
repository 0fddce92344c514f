package app

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/cyclamenhoist/cyclamenhoist/internal/gateway"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// acceptedWake is a wake request that the zone's lease holder has accepted. It isn't
// repeated after the deadline.
type acceptedWake struct {
	zone     port.Zone
	query    gateway.WakeQuery
	deadline time.Time
}

const (
	// minRewakeDelay and maxRewakeDelay bound the backoff between requests to a
	// new holder, which isn't ready immediately.
	minRewakeDelay = 20 * time.Millisecond
	maxRewakeDelay = 250 * time.Millisecond
)

// recordAccepted stores an accepted wake request, so that it can be repeated to a
// new holder, or removes a refused one.
func (w *waker) recordAccepted(zone port.Zone, q gateway.WakeQuery, accepted bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !accepted {
		delete(w.accepted, q.Model)
		return
	}
	w.accepted[q.Model] = acceptedWake{zone: zone, query: q, deadline: time.Now().Add(q.MaxWait)}
}

// watchHolders repeats the accepted wake requests to each new holder at once,
// because a new holder has no record of the callers that are waiting.
func (w *waker) watchHolders(ctx context.Context) error {
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
				w.repeatAcceptedWakes(ctx, zone)
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

func (w *waker) repeatAcceptedWakes(ctx context.Context, zone port.Zone) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for model, a := range w.accepted {
		remaining := time.Until(a.deadline)
		if remaining <= 0 {
			delete(w.accepted, model)
			continue
		}
		if a.zone == zone {
			go w.repeatWakeUntilAnswered(ctx, a, remaining)
		}
	}
}

// repeatWakeUntilAnswered sends the wake request with exponential backoff until the
// new holder answers. The answer is dropped: waiting callers get it when the
// gateway repeats their own wake request.
func (w *waker) repeatWakeUntilAnswered(ctx context.Context, a acceptedWake, remaining time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = minRewakeDelay, maxRewakeDelay
	for {
		if _, err := w.requestWake(ctx, a.zone, a.query); err == nil {
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
