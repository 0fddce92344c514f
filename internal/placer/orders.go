package placer

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/modelplan"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/pause"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

// sendOrder sends an order and applies its result to the server's state. The error is
// platform.ErrOrderBusy also if the server wants nothing from this instance for a time.
func (h *holder) sendOrder(ctx context.Context, t *trackedServer, a modelplan.Action, order platform.Order) error {
	if h.views.RestLeft(order.Server, time.Now()) > 0 {
		return platform.ErrOrderBusy
	}
	ctx, end, allowed := h.elector.beginOrder(ctx, order.Epoch)
	if !allowed {
		return platform.ErrOrderFenced
	}
	h.orders.Inc(1)
	if a.FromStore {
		// Counted before the order is sent, because a load may have started even if the
		// response is lost.
		h.mu.Lock()
		h.storeLimiter.record(time.Now())
		h.mu.Unlock()
	}
	done, err := h.control.SendOrder(ctx, order)
	end()
	h.mu.Lock()
	defer h.mu.Unlock()
	if err == nil {
		t.applyOrder(a, done, time.Now())
		if a.Kind == modelplan.LoadModel {
			time.AfterFunc(a.Duration, func() { signal(h.wake) })
		}
	}
	if errors.Is(err, platform.ErrOrderFenced) {
		h.elector.superseded(order.Epoch)
	}
	if !errors.Is(err, platform.ErrOrderBusy) {
		h.log.Info().Str("server", string(order.Server.ID)).Str("order", a.Kind.String()).Str("model", a.Model).
			Str("adapter", a.Adapter).Str("for", a.EvictedFor).Bool("from_store", a.FromStore).Dur("takes", a.Duration).
			Int64("expect", order.Expect).Int64("epoch", order.Epoch).Dur("renewed_ago", h.elector.renewalAge()).Err(err).Msg("order_given")
	}
	return err
}

// confirmLoad sends the order of a load again when the load should have ended. The server
// responds immediately whether it holds the model, while its reports lag.
func (h *holder) confirmLoad(ctx context.Context, t *trackedServer) {
	t.callInFlight = true
	order := platform.Order{Server: t.server, Model: t.loading, Expect: t.sequence, Holder: h.name, Epoch: h.epoch}
	go func() {
		done, err := false, platform.ErrOrderFenced
		ctx, end, sent := h.elector.beginOrder(ctx, order.Epoch)
		if sent {
			h.orders.Inc(1)
			done, err = h.control.SendOrder(ctx, order)
			end()
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		t.callInFlight = false
		now := time.Now()
		switch {
		case err == nil && done:
			h.log.Info().Str("server", string(order.Server.ID)).Str("model", order.Model).
				Int64("sequence", order.Expect).Int64("epoch", order.Epoch).Msg("load_ended")
			t.markLoaded(now)
			h.publish(t)
		case errors.Is(err, platform.ErrOrderBusy):
			t.expectedLoadEnd = now.Add(confirmInterval)
			time.AfterFunc(confirmInterval, func() { signal(h.wake) })
		default:
			// The model isn't loaded, or the result is unknown; the next report shows it. The
			// repeated order may have started another load from the weight store.
			t.uncertain = true
			if sent {
				h.storeLimiter.record(now)
			}
			h.log.Info().Str("server", string(order.Server.ID)).Str("model", order.Model).Bool("sent", sent).Err(err).Msg("load_unconfirmed")
			if sent && errors.Is(err, platform.ErrOrderFenced) {
				h.elector.superseded(order.Epoch)
			}
		}
	}()
}

// loadAfterUnload starts a load once the preceding unload, which waits for running requests,
// has ended.
func (h *holder) loadAfterUnload(ctx context.Context, t *trackedServer, model string) error {
	delay := unloadPollInitial
	for deadline := time.Now().Add(unloadTimeout); time.Now().Before(deadline); {
		h.mu.Lock()
		action, order, ok := h.loadOrder(t, model)
		h.mu.Unlock()
		if !ok {
			return nil
		}
		err := h.sendOrder(ctx, t, action, order)
		if !errors.Is(err, platform.ErrOrderBusy) {
			return err
		}
		pause.For(ctx, delay)
		delay = min(delay*3/2, unloadPollMax)
	}
	return platform.ErrOrderBusy
}

func (h *holder) loadOrder(t *trackedServer, model string) (modelplan.Action, platform.Order, bool) {
	service := h.views.Load().Manifest.Services[t.server.Service]
	if service.Engine == nil {
		return modelplan.Action{}, platform.Order{}, false
	}
	m, known := service.Engine.Models[model]
	if !known {
		return modelplan.Action{}, platform.Order{}, false
	}
	action := modelplan.Action{Server: string(t.server.ID), Kind: modelplan.LoadModel, Model: model}
	switch {
	case t.inMemory[model]:
		action.Duration = m.HostLoad
	case t.onDisk[model]:
		action.Duration = m.DiskLoad
	default:
		action.Duration, action.FromStore = m.StoreLoad, true
	}
	if state := t.planServer(service.Engine, h.tracker, nil); state.FreeMB(planModels(service.Engine)) < 0 {
		return modelplan.Action{}, platform.Order{}, false // another model has to be unloaded first
	}
	order := platform.Order{Server: t.server, Model: model, Expect: t.sequence, Holder: h.name, Epoch: h.epoch}
	return action, order, true
}
