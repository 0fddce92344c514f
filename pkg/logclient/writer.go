package logclient

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/pause"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// write sends batches of pending appends until ctx ends.
func (c *Client) write(ctx context.Context) error {
	limiter := rate.NewLimiter(rate.Limit(c.config.AppendsPerSecond), c.config.AppendBurst)
	retry := c.config.newBackoff()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.book.wake:
		}
		if err := c.drain(ctx, limiter, retry); err != nil {
			return err
		}
	}
}

// backoffer yields the pauses between tries.
type backoffer interface {
	NextBackOff() time.Duration
	Reset()
}

// drain sends until the queue is empty.
func (c *Client) drain(ctx context.Context, limiter *rate.Limiter, retry backoffer) error {
	for c.book.hasQueued() {
		if !c.health.joined() {
			// What is sent now could not be read back.
			if !pause.For(ctx, c.config.FirstRetry) {
				return ctx.Err()
			}
			continue
		}
		// The turn comes first, so that what is queued meanwhile joins the batch.
		if err := limiter.Wait(ctx); err != nil {
			return err
		}
		batch := c.book.take()
		if len(batch) == 0 {
			continue // their callers have gone meanwhile
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

// send appends one batch and reports whether that succeeded.
func (c *Client) send(ctx context.Context, batch []*item) bool {
	payloads := make([][]byte, len(batch))
	for n, i := range batch {
		payloads[n] = i.payload
	}
	callCtx, cancel := context.WithTimeout(ctx, c.config.AppendTimeout)
	defer cancel()
	started := time.Now()
	first, err := c.log.Append(callCtx, payloads)
	now := time.Now()
	c.metrics.appended(now.Sub(started), len(batch))
	c.health.appended(now, now.Sub(started), err)
	switch {
	case err == nil:
		c.book.sent(batch, first)
	case port.HadNoEffect(err):
		c.metrics.refused.Inc(1)
		c.book.refused(batch)
	default:
		c.metrics.unknown.Inc(1)
		c.book.unknown(batch, now)
	}
	return err == nil
}
