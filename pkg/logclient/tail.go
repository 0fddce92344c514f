package logclient

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fold"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// tail reads and folds the log. One goroutine uses it.
type tail struct {
	*Client
	// work is the state being folded; nil before there is one.
	work  *fold.State
	retry backoffer
	peers *peerQuestion
}

func newTail(c *Client) *tail {
	return &tail{Client: c, retry: c.config.newBackoff(), peers: newPeerQuestion()}
}

func (t *tail) run(ctx context.Context) error {
	defer t.peers.wait()
	for ctx.Err() == nil {
		err := t.next(ctx)
		if err == nil {
			t.retry.Reset()
			continue
		}
		if ctx.Err() != nil {
			break
		}
		t.metrics.readFailures.Inc(1)
		t.health.readFailed(time.Now(), conditionOf(err), err)
		t.rest(ctx, t.retry.NextBackOff())
	}
	return ctx.Err()
}

// rest waits before the next read. Peers are asked meanwhile, and what they
// answer is taken over at once.
func (t *tail) rest(ctx context.Context, d time.Duration) {
	over := time.NewTimer(d)
	defer over.Stop()
	again := time.NewTicker(t.config.PeerRefresh)
	defer again.Stop()
	for {
		t.askPeers(ctx)
		select {
		case <-ctx.Done():
			return
		case <-over.C:
			return
		case told := <-t.peers.answer:
			t.take(told)
		case <-again.C:
		}
	}
}

// conditionOf tells what a failed read says about the log.
func conditionOf(err error) Condition {
	switch {
	case errors.Is(err, errGap), errors.Is(err, fold.ErrGap):
		return ConditionGap
	case errors.Is(err, fold.ErrRegressed):
		return ConditionRegressed
	}
	return ConditionDown
}

func (t *tail) next(ctx context.Context) error {
	if t.work == nil {
		return t.join(ctx)
	}
	err := t.step(ctx)
	if errors.Is(err, port.ErrTruncated) || errors.Is(err, fold.ErrGap) {
		return t.join(ctx)
	}
	return err
}

// step reads and folds one page after the folded offset.
func (t *tail) step(ctx context.Context) error {
	readCtx, interrupt := context.WithCancel(ctx)
	defer interrupt()
	limit := t.config.PollWait
	if t.State() == nil {
		limit = 0 // others wait for the first state
	}
	number, wait := t.book.beginRead(interrupt, time.Now(), limit)
	started := time.Now()
	page, err := t.read(readCtx, t.work.Through()+1, wait)
	t.book.endRead()
	if err != nil && readCtx.Err() != nil && ctx.Err() == nil {
		return nil // interrupted to read at once for a doubtful append
	}
	if err != nil {
		return err
	}
	if err := t.work.CheckBounds(page.Oldest, page.End); err != nil {
		return err
	}
	seen, err := t.foldPage(page)
	now := time.Now()
	if err == nil {
		t.health.readThrough(now, now.Sub(started)-wait, t.work.Through(), page)
	}
	// Last, so that who sees an append settled finds it in the state, and the log up.
	t.book.sighted(seen)
	t.book.passed(t.work.Through(), now)
	if err != nil {
		return err
	}
	if t.work.Through()+1 >= page.End {
		t.config.Hooks.caughtUp(started)
		t.metrics.repeated.Inc(int64(t.book.reachedEnd(number, now)))
	}
	return nil
}

func (t *tail) read(ctx context.Context, from port.Offset, wait time.Duration) (port.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+t.config.ReadTimeout)
	defer cancel()
	return t.log.Read(ctx, from, t.config.ReadRecords, wait)
}

// foldPage folds the page's records and publishes the state. It returns the
// awaited records among them, also with an error.
func (t *tail) foldPage(page port.Page) ([]sighting, error) {
	var seen []sighting
	gap := false
	before := t.work.Through()
	for _, r := range page.Records {
		verdict := t.work.Apply(r)
		if verdict.Reason == fold.ReasonGap {
			gap = true
			break
		}
		if verdict.Reason == fold.ReasonOld {
			continue
		}
		t.config.Hooks.folded(r, verdict, t.work)
		t.relay.add(r)
		if verdict.Kind == fold.KindSnapshot {
			t.snapshots.Store(&snapshotMark{offset: r.Offset, at: time.Now()})
		}
		if t.book.awaits(r.Payload) {
			seen = append(seen, sighting{record: r, verdict: verdict})
		}
	}
	t.metrics.records.Inc(int64(t.work.Through() - before))
	caughtUp := t.work.Through()+1 >= page.End
	if caughtUp || len(seen) > 0 || t.State() != nil {
		t.publishWork()
	}
	if gap {
		return seen, errors.Wrap(errHole, "fold page")
	}
	return seen, nil
}

// errHole says that a page left out a record between two others.
var errHole = errors.New("log left out a record")

// publishWork publishes a copy of the state, if it went on. Only the tail
// publishes, so that what is published never goes back.
func (t *tail) publishWork() {
	last := t.view.Load()
	if last.state != nil && last.state.Through() >= t.work.Through() {
		return
	}
	t.view.Store(&view{state: t.work.Clone(), changed: make(chan struct{})})
	close(last.changed)
}
