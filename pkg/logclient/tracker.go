package logclient

import (
	"bytes"
	"fmt"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fold"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// stage is the progress of a pending append.
type stage uint8

const (
	// queued: waiting to be sent, for the first time or as a retry.
	queued stage = iota
	// sending: a call to the log service is in flight.
	sending
	// acknowledged: the service returned an offset that the tail has not
	// reached yet.
	acknowledged
	// outcomeUnknown: a call ended and it is unknown whether it had an effect.
	outcomeUnknown
	// settled: the result is available to the caller.
	settled
)

// pendingAppend is an append whose caller has no result yet.
type pendingAppend struct {
	payload []byte
	hash    uint64
	stage   stage
	// mayBeOnLog is set once a call with this record succeeded or ended with an
	// unknown outcome.
	mayBeOnLog bool
	// expectedOffset is the offset that the service returned, in stage
	// acknowledged.
	expectedOffset port.Offset
	// In stage outcomeUnknown the record is sent again after retryAt, provided
	// that a read numbered higher than unknownSinceRead reached the end of the
	// log without finding it.
	unknownSinceRead uint64
	retryAt          time.Time
	backoff          *backoff.ExponentialBackOff

	done   chan struct{}
	result Result
	err    error
}

// tracker tracks the pending appends. It is not on the path of a client
// request, and its lock is held only briefly.
type tracker struct {
	config Config
	mu     sync.Mutex
	byHash map[uint64][]*pendingAppend
	queue  []*pendingAppend
	count  int
	bytes  int
	closed bool
	// queueReady is signaled when a record is added to the queue.
	queueReady chan struct{}
	// readCount numbers the reads of the tail; interruptRead cancels the one in
	// flight, if any.
	readCount     uint64
	interruptRead func()
}

func newTracker(config Config) *tracker {
	return &tracker{
		config: config, byHash: make(map[uint64][]*pendingAppend),
		queueReady: make(chan struct{}, 1),
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (t *tracker) add(payload []byte) (*pendingAppend, error) {
	i := &pendingAppend{payload: payload, hash: xxhash.Sum64(payload), done: make(chan struct{})}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil, fmt.Errorf("%w: %w", ErrNotAppended, ErrClosed)
	}
	// A payload larger than QueueBytes is accepted if nothing else is pending.
	if t.count >= t.config.QueueRecords || t.count > 0 && t.bytes+len(payload) > t.config.QueueBytes {
		return nil, fmt.Errorf("%w: %w", ErrNotAppended, ErrFull)
	}
	t.count++
	t.bytes += len(payload)
	t.byHash[i.hash] = append(t.byHash[i.hash], i)
	t.queue = append(t.queue, i)
	signal(t.queueReady)
	return i, nil
}

// pending returns the number of pending appends.
func (t *tracker) pending() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.count
}

// hasQueued reports whether the queue has any entry, including abandoned ones.
func (t *tracker) hasQueued() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.queue) > 0
}

// nextBatch removes the next batch from the queue and marks its records as
// being sent.
func (t *tracker) nextBatch() []*pendingAppend {
	t.mu.Lock()
	defer t.mu.Unlock()
	var batch []*pendingAppend
	size := 0
	for len(t.queue) > 0 && len(batch) < t.config.BatchRecords {
		next := t.queue[0]
		if len(batch) > 0 && size+len(next.payload) > t.config.BatchBytes {
			break
		}
		t.queue[0] = nil
		t.queue = t.queue[1:]
		if next.stage != queued {
			continue
		}
		next.stage = sending
		size += len(next.payload)
		batch = append(batch, next)
	}
	return batch
}

// markAcknowledged records that the service assigned consecutive offsets,
// starting at first, to the batch.
func (t *tracker) markAcknowledged(batch []*pendingAppend, first port.Offset) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for n, i := range batch {
		i.mayBeOnLog = true
		if i.stage == sending {
			i.stage = acknowledged
			i.expectedOffset = first + port.Offset(n)
		}
	}
}

// requeueBatch puts a batch whose call had no effect at the end of the queue.
func (t *tracker) requeueBatch(batch []*pendingAppend) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, i := range batch {
		if i.stage == sending {
			t.requeue(i)
		}
	}
}

// requeue puts a record back into the queue to be sent again. The caller holds
// t.mu.
func (t *tracker) requeue(i *pendingAppend) {
	i.stage = queued
	t.queue = append(t.queue, i)
	signal(t.queueReady)
}

// markUnknown records that a call carrying the batch ended with an unknown
// outcome.
func (t *tracker) markUnknown(batch []*pendingAppend, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, i := range batch {
		i.mayBeOnLog = true
		if i.stage == sending {
			t.setOutcomeUnknown(i, now)
		}
	}
}

// setOutcomeUnknown starts the backoff before a record is sent again, and
// interrupts the read in flight. The caller holds t.mu.
func (t *tracker) setOutcomeUnknown(i *pendingAppend, now time.Time) {
	if i.backoff == nil {
		i.backoff = t.config.newBackoff()
	}
	i.stage = outcomeUnknown
	i.unknownSinceRead = t.readCount
	i.retryAt = now.Add(i.backoff.NextBackOff())
	if t.interruptRead != nil {
		t.interruptRead()
	}
}

// foldedRecord is a record that the tail has read and folded.
type foldedRecord struct {
	record  port.Record
	verdict fold.Verdict
}

// find returns the pending append with the payload, or nil. The caller holds
// t.mu.
func (t *tracker) find(payload []byte) *pendingAppend {
	for _, i := range t.byHash[xxhash.Sum64(payload)] {
		if bytes.Equal(i.payload, payload) {
			return i
		}
	}
	return nil
}

// hasPending reports whether the payload belongs to a pending append.
func (t *tracker) hasPending(payload []byte) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.count > 0 && t.find(payload) != nil
}

// settleFolded settles the appends whose records the tail has folded. If the
// log contains several copies of a record, the first one determines the result.
func (t *tracker) settleFolded(records []foldedRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range records {
		if i := t.find(s.record.Payload); i != nil {
			t.settle(i, Result{Offset: s.record.Offset, Verdict: s.verdict}, nil)
		}
	}
}

// settle sets the result of an append and removes it from the tracker. The
// caller holds t.mu.
func (t *tracker) settle(i *pendingAppend, result Result, err error) {
	i.stage = settled
	i.result, i.err = result, err
	t.count--
	t.bytes -= len(i.payload)
	same := t.byHash[i.hash]
	for n, other := range same {
		if other == i {
			same = append(same[:n], same[n+1:]...)
			break
		}
	}
	if len(same) == 0 {
		delete(t.byHash, i.hash)
	} else {
		t.byHash[i.hash] = same
	}
	close(i.done)
}

// detectMissing is called after the tail has folded all records up to and
// including an offset. An append that was acknowledged at or before that offset
// but was not found has an unknown outcome.
func (t *tracker) detectMissing(through port.Offset, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forEach(func(i *pendingAppend) {
		if i.stage == acknowledged && i.expectedOffset <= through {
			t.setOutcomeUnknown(i, now)
		}
	})
}

// beginRead assigns a number to the next read of the tail. It returns that
// number and how long the read can wait at the end of the log: until the first
// record of unknown outcome can be sent again, but at most limit. interruptRead is
// called if the outcome of another append becomes unknown during the read.
func (t *tracker) beginRead(interruptRead func(), now time.Time, limit time.Duration) (number uint64, wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.readCount++
	t.interruptRead = interruptRead
	wait = limit
	t.forEach(func(i *pendingAppend) {
		if i.stage == outcomeUnknown {
			wait = min(wait, max(0, i.retryAt.Sub(now)))
		}
	})
	return t.readCount, wait
}

func (t *tracker) endRead() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.interruptRead = nil
}

// requeueNotFound is called after the read with the given number reached the
// end of the log. It requeues the records that this read proves to be missing
// and whose backoff has elapsed, and returns their number.
func (t *tracker) requeueNotFound(number uint64, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	requeued := 0
	t.forEach(func(i *pendingAppend) {
		if i.stage == outcomeUnknown && number > i.unknownSinceRead && !now.Before(i.retryAt) {
			t.requeue(i)
			requeued++
		}
	})
	return requeued
}

// forEach calls do for every pending append. The caller holds t.mu.
func (t *tracker) forEach(do func(*pendingAppend)) {
	for _, same := range t.byHash {
		for _, i := range same {
			do(i)
		}
	}
}

// failAfterGap is called when the tail continues from a state that it did not
// fold itself. Records that were sent before can be among those that were
// skipped, so their appends fail with ErrUnsettled.
func (t *tracker) failAfterGap() {
	t.mu.Lock()
	defer t.mu.Unlock()
	var lost []*pendingAppend
	t.forEach(func(i *pendingAppend) {
		if i.mayBeOnLog || i.stage == sending {
			lost = append(lost, i)
		}
	})
	for _, i := range lost {
		t.settle(i, Result{}, fmt.Errorf("%w: the log was read with a gap: %w", ErrUnsettled, port.ErrUnknownOutcome))
	}
}

// abandon removes an append whose caller stopped waiting, unless it has been
// settled in the meantime, and returns its result.
func (t *tracker) abandon(i *pendingAppend, cause error) (Result, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i.stage != settled {
		t.settle(i, Result{}, i.abandonError(cause))
	}
	return i.result, i.err
}

// abandonError returns the error of an append that ends without being settled.
func (i *pendingAppend) abandonError(cause error) error {
	if i.mayBeOnLog || i.stage == sending {
		return fmt.Errorf("%w: %w: %w", ErrUnsettled, port.ErrUnknownOutcome, cause)
	}
	return fmt.Errorf("%w: %w: %w", ErrNotAppended, port.ErrNotSent, cause)
}

// close fails all pending appends and rejects new ones.
func (t *tracker) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	var remaining []*pendingAppend
	t.forEach(func(i *pendingAppend) { remaining = append(remaining, i) })
	for _, i := range remaining {
		t.settle(i, Result{}, i.abandonError(ErrClosed))
	}
	t.queue = nil
}
