package logclient

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fold"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record/recordpb"
)

// join finds a state that the retained records continue: the empty one if
// nothing was forgotten, that of a snapshot on the log, a peer's, or, where the
// configuration allows it, a new base.
func (t *tail) join(ctx context.Context) error {
	scan, oldest, err := t.scan(ctx)
	if err != nil {
		return err
	}
	state, err := scan.Newest(oldest)
	if err == nil {
		t.adopt(state)
		return nil
	}
	if peer := t.fetchPeer(ctx); peer != nil && peer.Through()+1 >= oldest {
		t.metrics.peerStates.Inc(1)
		t.adopt(peer)
		return nil
	}
	return t.rebase(ctx, scan)
}

// scan reads the retained records until a state is found that joins on, or to
// the end.
func (t *tail) scan(ctx context.Context) (*fold.Scan, port.Offset, error) {
	scan := fold.NewScan(t.config.Validate)
	oldest, from := port.Offset(1), port.Offset(1)
	for {
		page, err := t.read(ctx, from, 0)
		if (err == nil || errors.Is(err, port.ErrTruncated)) && page.Oldest > from {
			// Records were forgotten before they were looked at: start again.
			scan, oldest, from = fold.NewScan(t.config.Validate), page.Oldest, page.Oldest
			continue
		}
		if err != nil {
			return nil, 0, err
		}
		for _, r := range page.Records {
			scan.Observe(r)
			from = r.Offset + 1
		}
		if _, err := scan.Newest(oldest); err == nil || len(page.Records) == 0 || from >= page.End {
			return scan, oldest, nil
		}
	}
}

// adopt goes on from a state that was not folded here, unless it is older than
// the present one. It reports whether it did.
func (t *tail) adopt(state *fold.State) bool {
	if t.work != nil && t.work.Through() >= state.Through() {
		return false
	}
	again := t.work != nil
	t.work = state
	t.config.Hooks.joined(state)
	t.snapshots.Store(&snapshotMark{offset: state.Through(), at: time.Now(), assumed: true})
	t.metrics.joins.Inc(1)
	if again {
		t.publishWork()
		t.book.jumped()
	}
	t.health.join()
	return true
}

// peerQuestion asks peers for their state beside the tail, which goes on trying
// to read the log. At most one question is under way.
type peerQuestion struct {
	group sync.WaitGroup
	// busy holds a token while a question is under way.
	busy   chan struct{}
	answer chan answerOfPeers
	asked  time.Time
}

func newPeerQuestion() *peerQuestion {
	return &peerQuestion{busy: make(chan struct{}, 1), answer: make(chan answerOfPeers, 1)}
}

func (q *peerQuestion) wait() { q.group.Wait() }

// askPeers takes over a peer's state that is ahead, while the log can't be read,
// and asks for a newer one from time to time.
func (t *tail) askPeers(ctx context.Context) {
	if t.health.view.Load().condition == ConditionUp {
		return // a single failure
	}
	q := t.peers
	select {
	case told := <-q.answer:
		t.take(told)
	default:
	}
	now := time.Now()
	if !q.asked.IsZero() && now.Sub(q.asked) < t.config.PeerRefresh {
		return
	}
	select {
	case q.busy <- struct{}{}:
	default:
		return
	}
	q.asked = now
	from := port.Offset(0)
	if t.work != nil {
		from = t.work.Through() + 1
	}
	q.group.Go(func() {
		defer func() { <-q.busy }()
		if told := t.ask(ctx, from); !told.empty() {
			select {
			case q.answer <- told:
			default: // the last answer wasn't taken; the next question brings this one
			}
		}
	})
}

// ask asks peers for the records from an offset on, or, where none has them, for
// a whole state, which is much larger.
func (t *tail) ask(ctx context.Context, from port.Offset) answerOfPeers {
	if from > 0 && t.config.FetchRecords != nil {
		call, cancel := context.WithTimeout(ctx, t.config.ReadTimeout)
		defer cancel()
		records, err := t.config.FetchRecords(call, from)
		if err == nil {
			return answerOfPeers{records: records}
		}
	}
	return answerOfPeers{state: t.fetchPeer(ctx)}
}

// fetchPeer returns a peer's state, or nil if no peer has one.
func (t *tail) fetchPeer(ctx context.Context) *fold.State {
	if t.config.FetchState == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, t.config.ReadTimeout)
	defer cancel()
	encoded, err := t.config.FetchState(ctx)
	if err != nil {
		return nil
	}
	state, err := fold.Decode(encoded, t.config.Validate)
	if err != nil {
		t.metrics.badPeerStates.Inc(1)
		return nil
	}
	if state.Through() == 0 {
		return nil // the peer has read nothing either
	}
	return state
}

// rebase goes on from the first snapshot in the log, and appends one if there is
// none, so that all instances find the same. Which of several comes first in the
// log is the base for all, so an append with its outcome unknown does no harm.
func (t *tail) rebase(ctx context.Context, scan *fold.Scan) error {
	if t.config.Rebase == nil || !t.config.Rebase(ctx, t.work) {
		return errGap
	}
	state, err := scan.Rebase(t.work)
	if err == nil {
		t.metrics.rebases.Inc(1)
		t.adopt(state)
		return nil
	}
	base := t.work
	if base == nil {
		base = fold.New(t.config.Validate)
	}
	if err := t.appendBase(ctx, base); err != nil {
		return errors.Wrap(err, "append base")
	}
	return errGap
}

func (t *tail) appendBase(ctx context.Context, base *fold.State) error {
	payload, err := record.Marshal(snapshotRecord(base))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, t.config.AppendTimeout)
	defer cancel()
	_, err = t.log.Append(ctx, [][]byte{payload})
	return err
}

func snapshotRecord(s *fold.State) *recordpb.Record {
	return record.New("", "", &recordpb.Snapshot{Through: int64(s.Through()), State: s.Encode()})
}
