package logclient

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fold"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record/recordpb"
)

// Result is what became of an appended record.
type Result struct {
	// Offset is where the record was read back.
	Offset port.Offset
	// Verdict is what the fold made of it there.
	Verdict fold.Verdict
}

// Client is one instance's connection to the log. Run must be running for the
// other methods to get anywhere; they may be called by many goroutines.
type Client struct {
	log     port.Log
	config  Config
	book    *book
	health  *health
	metrics *clientMetrics
	view    atomic.Pointer[view]
	// snapshots is where the tail last saw a snapshot record.
	snapshots atomic.Pointer[snapshotMark]
	relay     relay
	running   atomic.Bool
}

// view is one published state; changed is closed when a newer one is.
type view struct {
	state   *fold.State
	changed chan struct{}
}

// New returns a client of the log. Nothing happens before Run.
func New(log port.Log, config Config) *Client {
	config = config.withDefaults()
	c := &Client{log: log, config: config}
	c.metrics = newClientMetrics(config.Metrics)
	c.health = newHealth(config, time.Now())
	c.book = newBook(config)
	c.view.Store(&view{changed: make(chan struct{})})
	c.metrics.registerGauges(config.Metrics, c)
	return c
}

// Run reads and writes the log until ctx ends, and returns ctx's error. It may
// be called once. Appends pending at the end fail with ErrClosed.
func (c *Client) Run(ctx context.Context) error {
	if !c.running.CompareAndSwap(false, true) {
		return errors.New("log client is running already")
	}
	defer c.book.close()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return newTail(c).run(ctx) })
	group.Go(func() error { return c.write(ctx) })
	group.Go(func() error { return c.keepSnapshots(ctx) })
	if err := group.Wait(); err != nil {
		return errors.Wrap(err, "log client")
	}
	return nil
}

// State returns the newest published state, which is nil until the log was read
// to its end once, or a peer's state was taken in an outage. It is shared: it
// must be neither changed nor cloned.
func (c *Client) State() *fold.State { return c.view.Load().state }

// Changed returns a channel that is closed when a newer state is published than
// the one that State returned before the call, or returns later.
func (c *Client) Changed() <-chan struct{} { return c.view.Load().changed }

// Watch returns the newest state and the channel that is closed when there is a
// newer one.
func (c *Client) Watch() (*fold.State, <-chan struct{}) {
	v := c.view.Load()
	return v.state, v.changed
}

// Append adds the record to the log and returns once it was read back. The
// record's id must be unique; Append doesn't keep the record. Besides the errors
// of record.Marshal it returns ErrFull, ErrNotAppended and ErrUnsettled.
func (c *Client) Append(ctx context.Context, r *recordpb.Record) (Result, error) {
	payload, err := record.Marshal(r)
	if err != nil {
		return Result{}, fmt.Errorf("%w: %w", ErrNotAppended, err)
	}
	i, err := c.book.add(payload)
	if err != nil {
		return Result{}, err
	}
	select {
	case <-i.done:
		return i.result, i.err
	case <-ctx.Done():
		return c.book.abandon(i, context.Cause(ctx))
	}
}

// newBackoff returns pauses that grow from FirstRetry to RetryLimit with jitter, so
// that instances don't all return at the same moment after an outage.
func (c *Config) newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = c.FirstRetry
	b.MaxInterval = c.RetryLimit
	b.Multiplier = 2
	b.Reset()
	return b
}
