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

// join finds a state that the retained records continue: the empty state if the
// log still has its first record, the state of a snapshot on the log, a peer's
// state, or a new base if Config.Rebase allows one.
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
	if peer := t.fetchPeerState(ctx); peer != nil && peer.Through()+1 >= oldest {
		t.metrics.peerStates.Inc(1)
		t.adopt(peer)
		return nil
	}
	return t.rebase(ctx, scan)
}

// scan reads the retained records from the oldest one until it finds a state
// that they continue, or until the end of the log.
func (t *tail) scan(ctx context.Context) (*fold.Scan, port.Offset, error) {
	scan := fold.NewScan(t.config.Validate)
	oldest, from := port.Offset(1), port.Offset(1)
	for {
		page, err := t.read(ctx, from, 0)
		if (err == nil || errors.Is(err, port.ErrTruncated)) && page.Oldest > from {
			// Records were trimmed before they were read; restart at the oldest one.
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

// adopt replaces the tail's state with one that was not folded here, unless it
// is no newer than the present one, and reports whether it did.
func (t *tail) adopt(state *fold.State) bool {
	if t.current != nil && t.current.Through() >= state.Through() {
		return false
	}
	replaced := t.current != nil
	t.current = state
	t.config.Hooks.stateImported(state)
	t.lastSnapshot.Store(&snapshotMark{offset: state.Through(), at: time.Now(), ageUnknown: true})
	t.metrics.joins.Inc(1)
	if replaced {
		t.publishState()
		t.tracker.failAfterGap()
	}
	t.health.markJoined()
	return true
}

// peerFetcher fetches updates from peers in the background, while the tail keeps
// trying to read the log. At most one fetch is in flight.
type peerFetcher struct {
	group sync.WaitGroup
	// inFlight is a semaphore of one, held while a fetch is in flight.
	inFlight  chan struct{}
	updates   chan peerUpdate
	lastFetch time.Time
}

func newPeerFetcher() *peerFetcher {
	return &peerFetcher{inFlight: make(chan struct{}, 1), updates: make(chan peerUpdate, 1)}
}

func (f *peerFetcher) wait() { f.group.Wait() }

// pollPeers applies the update of the last fetch, if there is one, and starts
// another fetch if PeerInterval has elapsed.
func (t *tail) pollPeers(ctx context.Context) {
	if t.health.state.Load().condition == ConditionUp {
		return // a single failed read is not an outage
	}
	fetcher := t.peerFetch
	select {
	case update := <-fetcher.updates:
		t.applyPeerUpdate(update)
	default:
	}
	now := time.Now()
	if !fetcher.lastFetch.IsZero() && now.Sub(fetcher.lastFetch) < t.config.PeerInterval {
		return
	}
	select {
	case fetcher.inFlight <- struct{}{}:
	default:
		return
	}
	fetcher.lastFetch = now
	from := port.Offset(0)
	if t.current != nil {
		from = t.current.Through() + 1
	}
	fetcher.group.Go(func() {
		defer func() { <-fetcher.inFlight }()
		if update := t.fetchPeerUpdate(ctx, from); !update.empty() {
			select {
			case fetcher.updates <- update:
			default: // the previous update is still unread; the next fetch returns this one too
			}
		}
	})
}

// fetchPeerUpdate fetches records from peers, starting at an offset. If that
// fails, it fetches a whole state, which is much larger.
func (t *tail) fetchPeerUpdate(ctx context.Context, from port.Offset) peerUpdate {
	if from > 0 && t.config.FetchRecords != nil {
		call, cancel := context.WithTimeout(ctx, t.config.ReadTimeout)
		defer cancel()
		records, err := t.config.FetchRecords(call, from)
		if err == nil {
			return peerUpdate{records: records}
		}
	}
	return peerUpdate{state: t.fetchPeerState(ctx)}
}

// fetchPeerState returns a peer's state, or nil if no peer has one.
func (t *tail) fetchPeerState(ctx context.Context) *fold.State {
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
		return nil // the peer has not read the log either
	}
	return state
}

// rebase continues from the first snapshot on the log, and appends one if there
// is none. All instances use the first snapshot in log order, so appending
// several, or one whose outcome is unknown, is harmless.
func (t *tail) rebase(ctx context.Context, scan *fold.Scan) error {
	if t.config.Rebase == nil || !t.config.Rebase(ctx, t.current) {
		return errGap
	}
	state, err := scan.Rebase(t.current)
	if err == nil {
		t.metrics.rebases.Inc(1)
		t.adopt(state)
		return nil
	}
	base := t.current
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
