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

// Result is the result of a settled append.
type Result struct {
	// Offset is the offset of the record on the log.
	Offset port.Offset
	// Verdict is the decision of the fold about the record.
	Verdict fold.Verdict
}

// Client is one instance's client of the log. The other methods make progress
// only while Run is running. They are safe for concurrent use.
type Client struct {
	log            port.Log
	config         Config
	tracker        *tracker
	health         *health
	metrics        *clientMetrics
	publishedState atomic.Pointer[publishedState]
	// lastSnapshot is the newest snapshot record that the tail has read.
	lastSnapshot atomic.Pointer[snapshotMark]
	recordCache  recordCache
	running      atomic.Bool
}

// publishedState is one version of the state. changed is closed when a newer
// version is published.
type publishedState struct {
	state   *fold.State
	changed chan struct{}
}

// New returns a client of the log. It makes no calls before Run is started.
func New(log port.Log, config Config) *Client {
	config = config.withDefaults()
	c := &Client{log: log, config: config}
	c.metrics = newClientMetrics(config.Metrics)
	c.health = newHealth(config, time.Now())
	c.tracker = newTracker(config)
	c.publishedState.Store(&publishedState{changed: make(chan struct{})})
	c.metrics.registerGauges(config.Metrics, c)
	return c
}

// Run reads and writes the log until ctx ends, and returns the error of ctx. It
// can be called once. Appends that are pending when it returns fail with
// ErrClosed.
func (c *Client) Run(ctx context.Context) error {
	if !c.running.CompareAndSwap(false, true) {
		return errors.New("log client is running already")
	}
	defer c.tracker.close()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return newTail(c).run(ctx) })
	group.Go(func() error { return c.runWriter(ctx) })
	group.Go(func() error { return c.runSnapshots(ctx) })
	if err := group.Wait(); err != nil {
		return errors.Wrap(err, "log client")
	}
	return nil
}

// State returns the newest published state. It is nil until the log has been
// read to its end once, or until a peer's state was adopted during an outage.
// The state is shared between callers, which must neither modify nor clone it.
func (c *Client) State() *fold.State { return c.publishedState.Load().state }

// Changed returns a channel that is closed when a state is published that is
// newer than any state returned by State before this call.
func (c *Client) Changed() <-chan struct{} { return c.publishedState.Load().changed }

// Watch returns the newest state and a channel that is closed when a newer one
// is published.
func (c *Client) Watch() (*fold.State, <-chan struct{}) {
	v := c.publishedState.Load()
	return v.state, v.changed
}

// Append adds the record to the log and returns once it has been read back. The
// id of the record must be unique. Append does not retain the record. It
// returns ErrFull, ErrNotAppended or ErrUnsettled, or an error of
// record.Marshal wrapped in ErrNotAppended.
func (c *Client) Append(ctx context.Context, r *recordpb.Record) (Result, error) {
	payload, err := record.Marshal(r)
	if err != nil {
		return Result{}, fmt.Errorf("%w: %w", ErrNotAppended, err)
	}
	i, err := c.tracker.add(payload)
	if err != nil {
		return Result{}, err
	}
	select {
	case <-i.done:
		return i.result, i.err
	case <-ctx.Done():
		return c.tracker.abandon(i, context.Cause(ctx))
	}
}

// newBackoff returns an exponential backoff from InitialBackoff to MaxBackoff.
// Its jitter keeps the instances from retrying at the same moment after an
// outage.
func (c *Config) newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = c.InitialBackoff
	b.MaxInterval = c.MaxBackoff
	b.Multiplier = 2
	b.Reset()
	return b
}
