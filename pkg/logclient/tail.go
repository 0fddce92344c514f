package logclient

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fold"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// tail reads and folds the log. It is used by a single goroutine.
type tail struct {
	*Client
	// current is the result of folding the records read so far. It is nil until
	// join finds one.
	current   *fold.State
	backoff   backoffer
	peerFetch *peerFetcher
}

func newTail(c *Client) *tail {
	return &tail{Client: c, backoff: c.config.newBackoff(), peerFetch: newPeerFetcher()}
}

func (t *tail) run(ctx context.Context) error {
	defer t.peerFetch.wait()
	for ctx.Err() == nil {
		err := t.readNext(ctx)
		if err == nil {
			t.backoff.Reset()
			continue
		}
		if ctx.Err() != nil {
			break
		}
		t.metrics.readFailures.Inc(1)
		t.health.recordReadFailure(time.Now(), conditionOf(err), err)
		t.waitToRetry(ctx, t.backoff.NextBackOff())
	}
	return ctx.Err()
}

// waitToRetry waits before the next read. Meanwhile it polls peers and applies
// their updates as they arrive.
func (t *tail) waitToRetry(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	ticker := time.NewTicker(t.config.PeerInterval)
	defer ticker.Stop()
	for {
		t.pollPeers(ctx)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case update := <-t.peerFetch.updates:
			t.applyPeerUpdate(update)
		case <-ticker.C:
		}
	}
}

// conditionOf returns the condition of the log that a failed read implies.
func conditionOf(err error) Condition {
	switch {
	case errors.Is(err, errGap), errors.Is(err, fold.ErrGap):
		return ConditionGap
	case errors.Is(err, fold.ErrRegressed):
		return ConditionRegressed
	}
	return ConditionDown
}

// readNext joins the log if there is no state yet, or if the log no longer
// continues the state, and otherwise reads the next page.
func (t *tail) readNext(ctx context.Context) error {
	if t.current == nil {
		return t.join(ctx)
	}
	err := t.readPage(ctx)
	if errors.Is(err, port.ErrTruncated) || errors.Is(err, fold.ErrGap) {
		return t.join(ctx)
	}
	return err
}

// readPage reads and folds one page that begins after the folded offset.
func (t *tail) readPage(ctx context.Context) error {
	readCtx, interrupt := context.WithCancel(ctx)
	defer interrupt()
	limit := t.config.PollWait
	if t.State() == nil {
		limit = 0 // publish the first state without waiting for records
	}
	number, wait := t.tracker.beginRead(interrupt, time.Now(), limit)
	started := time.Now()
	page, err := t.read(readCtx, t.current.Through()+1, wait)
	t.tracker.endRead()
	if err != nil && readCtx.Err() != nil && ctx.Err() == nil {
		return nil // interrupted by an append of unknown outcome, which needs a read now
	}
	if err != nil {
		return err
	}
	if err := t.current.CheckBounds(page.Oldest, page.End); err != nil {
		return err
	}
	pending, err := t.foldPage(page)
	now := time.Now()
	if err == nil {
		t.health.recordRead(now, now.Sub(started)-wait, t.current.Through(), page)
	}
	// Settle appends last: their callers must find the record in the published
	// state and the condition of the log updated.
	t.tracker.settleFolded(pending)
	t.tracker.detectMissing(t.current.Through(), now)
	if err != nil {
		return err
	}
	if t.current.Through()+1 >= page.End {
		t.config.Hooks.caughtUp(started)
		t.metrics.repeated.Inc(int64(t.tracker.requeueNotFound(number, now)))
	}
	return nil
}

func (t *tail) read(ctx context.Context, from port.Offset, wait time.Duration) (port.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+t.config.ReadTimeout)
	defer cancel()
	return t.log.Read(ctx, from, t.config.ReadRecords, wait)
}

// foldPage folds the records of a page and publishes the state. It returns the
// records that belong to pending appends, even if it also returns an error.
func (t *tail) foldPage(page port.Page) ([]foldedRecord, error) {
	var pending []foldedRecord
	gap := false
	before := t.current.Through()
	for _, r := range page.Records {
		verdict := t.current.Apply(r)
		if verdict.Reason == fold.ReasonGap {
			gap = true
			break
		}
		if verdict.Reason == fold.ReasonOld {
			continue
		}
		t.config.Hooks.recordApplied(r, verdict, t.current)
		t.recordCache.add(r)
		if verdict.Kind == fold.KindSnapshot {
			t.lastSnapshot.Store(&snapshotMark{offset: r.Offset, at: time.Now()})
		}
		if t.tracker.hasPending(r.Payload) {
			pending = append(pending, foldedRecord{record: r, verdict: verdict})
		}
	}
	t.metrics.records.Inc(int64(t.current.Through() - before))
	caughtUp := t.current.Through()+1 >= page.End
	if caughtUp || len(pending) > 0 || t.State() != nil {
		t.publishState()
	}
	if gap {
		return pending, errors.Wrap(errMissingRecord, "fold page")
	}
	return pending, nil
}

// errMissingRecord means that a page skipped a record between two others.
var errMissingRecord = errors.New("page skips a record")

// publishState publishes a copy of the state if it advanced. Only the tail
// publishes, so the published state never goes back.
func (t *tail) publishState() {
	last := t.publishedState.Load()
	if last.state != nil && last.state.Through() >= t.current.Through() {
		return
	}
	t.publishedState.Store(&publishedState{state: t.current.Clone(), changed: make(chan struct{})})
	close(last.changed)
}
