package logclient

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/pause"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// runWriter sends batches of pending appends until ctx ends.
func (c *Client) runWriter(ctx context.Context) error {
	limiter := rate.NewLimiter(rate.Limit(c.config.AppendsPerSecond), c.config.AppendBurst)
	retry := c.config.newBackoff()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.tracker.queueReady:
		}
		if err := c.sendQueued(ctx, limiter, retry); err != nil {
			return err
		}
	}
}

// backoffer returns the delays between retries.
type backoffer interface {
	NextBackOff() time.Duration
	Reset()
}

// sendQueued sends batches until the queue is empty.
func (c *Client) sendQueued(ctx context.Context, limiter *rate.Limiter, retry backoffer) error {
	for c.tracker.hasQueued() {
		if !c.health.canSettle() {
			// A record that is sent now could not be read back.
			if !pause.For(ctx, c.config.InitialBackoff) {
				return ctx.Err()
			}
			continue
		}
		// Wait for the rate limit before forming the batch, so that records queued
		// in the meantime are part of it.
		if err := limiter.Wait(ctx); err != nil {
			return err
		}
		batch := c.tracker.nextBatch()
		if len(batch) == 0 {
			continue // their callers have given up in the meantime
		}
		if c.send(ctx, batch) {
			retry.Reset()
			continue
		}
		if !pause.For(ctx, retry.NextBackOff()) {
			return ctx.Err()
		}
	}
	return ctx.Err()
}

// send appends one batch and reports whether the call succeeded.
func (c *Client) send(ctx context.Context, batch []*pendingAppend) bool {
	payloads := make([][]byte, len(batch))
	for n, i := range batch {
		payloads[n] = i.payload
	}
	callCtx, cancel := context.WithTimeout(ctx, c.config.AppendTimeout)
	defer cancel()
	started := time.Now()
	first, err := c.log.Append(callCtx, payloads)
	now := time.Now()
	c.metrics.recordAppend(now.Sub(started), len(batch))
	c.health.recordAppend(now, now.Sub(started), err)
	switch {
	case err == nil:
		c.tracker.markAcknowledged(batch, first)
	case port.HadNoEffect(err):
		c.metrics.refused.Inc(1)
		c.tracker.requeueBatch(batch)
	default:
		c.metrics.unknown.Inc(1)
		c.tracker.markUnknown(batch, now)
	}
	return err == nil
}
