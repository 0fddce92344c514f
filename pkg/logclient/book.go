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

// stage is how far a pending append has come.
type stage uint8

const (
	// queued: to be sent, for the first time or again.
	queued stage = iota
	// sending: a call of the service is under way.
	sending
	// awaited: the service gave it an offset; the tail has to get there.
	awaited
	// doubtful: a call ended with its outcome unknown.
	doubtful
	// settled: the caller has its result.
	settled
)

// item is one pending append.
type item struct {
	payload []byte
	hash    uint64
	stage   stage
	// mayBeOnLog is set once a call that carried it ended unknown or succeeded.
	mayBeOnLog bool
	// expected is the offset that the service gave it, in stage awaited.
	expected port.Offset
	// In stage doubtful it is sent again after retryAt, if a read that began
	// after the read numbered doubtRead reached the log's end without it.
	doubtRead uint64
	retryAt   time.Time
	backoff   *backoff.ExponentialBackOff

	done   chan struct{}
	result Result
	err    error
}

// book keeps the pending appends. The lock is held for short steps only and is
// not on the path of a request.
type book struct {
	config Config
	mu     sync.Mutex
	byHash map[uint64][]*item
	queue  []*item
	count  int
	bytes  int
	closed bool
	// wake is signalled when the queue gets an item.
	wake chan struct{}
	// reads numbers the tail's reads; interrupt ends the one under way.
	reads     uint64
	interrupt func()
}

func newBook(config Config) *book {
	return &book{
		config: config, byHash: make(map[uint64][]*item),
		wake: make(chan struct{}, 1),
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (b *book) add(payload []byte) (*item, error) {
	i := &item{payload: payload, hash: xxhash.Sum64(payload), done: make(chan struct{})}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return nil, fmt.Errorf("%w: %w", ErrNotAppended, ErrClosed)
	}
	// A payload larger than the whole bound is taken if nothing else is pending.
	if b.count >= b.config.QueueRecords || b.count > 0 && b.bytes+len(payload) > b.config.QueueBytes {
		return nil, fmt.Errorf("%w: %w", ErrNotAppended, ErrFull)
	}
	b.count++
	b.bytes += len(payload)
	b.byHash[i.hash] = append(b.byHash[i.hash], i)
	b.queue = append(b.queue, i)
	signal(b.wake)
	return i, nil
}

// pending returns how many appends are pending.
func (b *book) pending() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.count
}

// hasQueued reports whether the queue holds anything, given up or not.
func (b *book) hasQueued() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.queue) > 0
}

// take returns the next batch to send.
func (b *book) take() []*item {
	b.mu.Lock()
	defer b.mu.Unlock()
	var batch []*item
	size := 0
	for len(b.queue) > 0 && len(batch) < b.config.BatchRecords {
		next := b.queue[0]
		if len(batch) > 0 && size+len(next.payload) > b.config.BatchBytes {
			break
		}
		b.queue[0] = nil
		b.queue = b.queue[1:]
		if next.stage != queued {
			continue
		}
		next.stage = sending
		size += len(next.payload)
		batch = append(batch, next)
	}
	return batch
}

// sent notes that the service gave the batch the offsets from first on.
func (b *book) sent(batch []*item, first port.Offset) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for n, i := range batch {
		i.mayBeOnLog = true
		if i.stage == sending {
			i.stage = awaited
			i.expected = first + port.Offset(n)
		}
	}
}

// refused puts a batch that had no effect at the end of the queue.
func (b *book) refused(batch []*item) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, i := range batch {
		if i.stage == sending {
			b.enqueue(i)
		}
	}
}

// enqueue sends an item again; b.mu is held.
func (b *book) enqueue(i *item) {
	i.stage = queued
	b.queue = append(b.queue, i)
	signal(b.wake)
}

// unknown notes that the outcome of a batch is unknown.
func (b *book) unknown(batch []*item, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, i := range batch {
		i.mayBeOnLog = true
		if i.stage == sending {
			b.turnDoubtful(i, now)
		}
	}
}

// turnDoubtful begins the wait before an item is sent again; b.mu is held.
func (b *book) turnDoubtful(i *item, now time.Time) {
	if i.backoff == nil {
		i.backoff = b.config.newBackoff()
	}
	i.stage = doubtful
	i.doubtRead = b.reads
	i.retryAt = now.Add(i.backoff.NextBackOff())
	if b.interrupt != nil {
		b.interrupt()
	}
}

// sighting is a record that the tail has read and folded.
type sighting struct {
	record  port.Record
	verdict fold.Verdict
}

// find returns the pending item with the payload; b.mu is held.
func (b *book) find(payload []byte) *item {
	for _, i := range b.byHash[xxhash.Sum64(payload)] {
		if bytes.Equal(i.payload, payload) {
			return i
		}
	}
	return nil
}

// awaits reports whether the payload belongs to a pending append.
func (b *book) awaits(payload []byte) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.count > 0 && b.find(payload) != nil
}

// sighted settles the items that the tail has read. Of several copies of one
// record the first one read decides.
func (b *book) sighted(seen []sighting) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range seen {
		if i := b.find(s.record.Payload); i != nil {
			b.settle(i, Result{Offset: s.record.Offset, Verdict: s.verdict}, nil)
		}
	}
}

// settle gives an item its result; b.mu is held.
func (b *book) settle(i *item, result Result, err error) {
	i.stage = settled
	i.result, i.err = result, err
	b.count--
	b.bytes -= len(i.payload)
	same := b.byHash[i.hash]
	for n, other := range same {
		if other == i {
			same = append(same[:n], same[n+1:]...)
			break
		}
	}
	if len(same) == 0 {
		delete(b.byHash, i.hash)
	} else {
		b.byHash[i.hash] = same
	}
	close(i.done)
}

// passed notes that the tail has folded through an offset: an item that was
// promised one before it and isn't there is doubtful.
func (b *book) passed(through port.Offset, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.each(func(i *item) {
		if i.stage == awaited && i.expected <= through {
			b.turnDoubtful(i, now)
		}
	})
}

// beginRead numbers the read that the tail is about to make, and returns how long
// it may wait at the log's end: until the first doubtful item may be sent again,
// at most limit. interrupt is called when an item turns doubtful meanwhile.
func (b *book) beginRead(interrupt func(), now time.Time, limit time.Duration) (number uint64, wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reads++
	b.interrupt = interrupt
	wait = limit
	b.each(func(i *item) {
		if i.stage == doubtful {
			wait = min(wait, max(0, i.retryAt.Sub(now)))
		}
	})
	return b.reads, wait
}

func (b *book) endRead() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.interrupt = nil
}

// reachedEnd sends the doubtful items again that the read with the number, which
// went to the log's end, didn't find. It returns how many.
func (b *book) reachedEnd(number uint64, now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	again := 0
	b.each(func(i *item) {
		if i.stage == doubtful && number > i.doubtRead && !now.Before(i.retryAt) {
			b.enqueue(i)
			again++
		}
	})
	return again
}

// each calls do for every pending item; b.mu is held.
func (b *book) each(do func(*item)) {
	for _, same := range b.byHash {
		for _, i := range same {
			do(i)
		}
	}
}

// jumped notes that the tail went on from a state that it didn't fold itself:
// whether records sent before are among those passed over can't be told.
func (b *book) jumped() {
	b.mu.Lock()
	defer b.mu.Unlock()
	var lost []*item
	b.each(func(i *item) {
		if i.mayBeOnLog || i.stage == sending {
			lost = append(lost, i)
		}
	})
	for _, i := range lost {
		b.settle(i, Result{}, fmt.Errorf("%w: log was not read without a gap: %w", ErrUnsettled, port.ErrUnknownOutcome))
	}
}

// abandon ends an item whose caller has gone, unless it was settled meanwhile.
func (b *book) abandon(i *item, cause error) (Result, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if i.stage != settled {
		b.settle(i, Result{}, i.endedBy(cause))
	}
	return i.result, i.err
}

// endedBy returns the error of an item that is given up.
func (i *item) endedBy(cause error) error {
	if i.mayBeOnLog || i.stage == sending {
		return fmt.Errorf("%w: %w: %w", ErrUnsettled, port.ErrUnknownOutcome, cause)
	}
	return fmt.Errorf("%w: %w: %w", ErrNotAppended, port.ErrNotSent, cause)
}

// close fails everything pending and to come.
func (b *book) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	var left []*item
	b.each(func(i *item) { left = append(left, i) })
	for _, i := range left {
		b.settle(i, Result{}, i.endedBy(ErrClosed))
	}
	b.queue = nil
}
