package queue

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// The reasons why a request is refused or removed from its queue.
var (
	// ErrFull means that the queue is at its limits and the request is the least likely
	// to meet its deadline.
	ErrFull = errors.New("queue full")
	// ErrLate means that at the current rate the request will not be started before its
	// deadline.
	ErrLate = errors.New("won't be started in time")
	// ErrUnattainable means that the model will not be ready before the request's
	// deadline. It is returned as an *UnattainableError.
	ErrUnattainable = errors.New("deadline can't be met")
)

// UnattainableError is an ErrUnattainable with the estimate that it is based on.
type UnattainableError struct {
	ReadyAt time.Time
}

// Error implements error.
func (e *UnattainableError) Error() string { return ErrUnattainable.Error() }

// Unwrap returns ErrUnattainable.
func (e *UnattainableError) Unwrap() error { return ErrUnattainable }

// Key identifies one queue of a Set.
type Key struct {
	Service string
	// Model is empty for plain services.
	Model port.ModelID
}

// Limits holds the limits of a Set.
type Limits struct {
	// Requests and Bytes are the maximum number of requests and their maximum memory in
	// bytes over all queues.
	Requests, Bytes int64
	// PerKey is the maximum number of requests in one queue, so that one model cannot use
	// the whole capacity.
	PerKey int
	// Now is the clock. If it is set, requests that will miss their deadline at the
	// current rate are refused as soon as that is predictable.
	Now func() time.Time
}

// Set holds the queues of an instance, one per key. It is safe for concurrent use.
type Set struct {
	limits             Limits
	queues             sync.Map // Key to *keyQueue
	requests, bytes    atomic.Int64
	entered, served    atomic.Int64
	withdrawn, refused atomic.Int64
}

// keyQueue is one queue with its lock. A retired one has been removed from the Set.
type keyQueue struct {
	mu      sync.Mutex
	queue   *Queue
	readyAt time.Time
	watched bool
	retired bool
}

// NewSet returns an empty Set.
func NewSet(limits Limits) *Set {
	return &Set{limits: limits}
}

// Stats counts the admitted requests by their result. Entered is the sum of the other
// fields.
type Stats struct {
	Entered, Served, Withdrawn, Refused, Waiting int64
}

// Stats returns the counters. They are consistent only while no other call is in
// progress.
func (s *Set) Stats() Stats {
	return Stats{
		Entered:   s.entered.Load(),
		Served:    s.served.Load(),
		Withdrawn: s.withdrawn.Load(),
		Refused:   s.refused.Load(),
		Waiting:   s.requests.Load(),
	}
}

// lock returns the queue of a key with its lock held. If there is none, it creates one
// if create is set and returns nil otherwise.
func (s *Set) lock(key Key, create bool) *keyQueue {
	for {
		value, ok := s.queues.Load(key)
		if !ok && !create {
			return nil
		}
		if !ok {
			value, _ = s.queues.LoadOrStore(key, &keyQueue{queue: New()})
		}
		l := value.(*keyQueue)
		l.mu.Lock()
		if !l.retired {
			return l
		}
		l.mu.Unlock()
	}
}

// Enter adds a request to the queue of a key. If first is true, the caller must watch the
// key until Unwatch returns true. It returns ErrFull, ErrLate or ErrUnattainable if the
// request is refused.
func (s *Set) Enter(key Key, r Request) (t *Ticket, first bool, err error) {
	l := s.lock(key, true)
	defer l.mu.Unlock()
	if !l.readyAt.IsZero() && r.Deadline.Before(l.readyAt) {
		return nil, false, &UnattainableError{ReadyAt: l.readyAt}
	}
	t = l.queue.Push(r)
	t.signal = make(chan struct{}, 1)
	s.add(t)
	if s.shedLate(l, t) {
		s.retire(key, l)
		return nil, false, ErrLate
	}
	if !s.enforceLimits(l, t) {
		s.retire(key, l)
		return nil, false, ErrFull
	}
	s.entered.Add(1)
	first = !l.watched
	l.watched = true
	return t, first, nil
}

// shedLate removes the request of the newcomer's flow that is least likely to be started
// in time, if at the current rate it will not be. The waiting caller is notified
// immediately instead of at its deadline. shedLate returns true if the removed request is
// the newcomer.
func (s *Set) shedLate(l *keyQueue, newcomer *Ticket) bool {
	if s.limits.Now == nil {
		return false
	}
	now := s.limits.Now()
	late := l.queue.Late(now, newcomer)
	if late == nil || l.readyAt.After(now) {
		return false
	}
	l.queue.Remove(late)
	s.subtract(late)
	if late == newcomer {
		return true
	}
	s.refuse(late, ErrLate)
	return false
}

// enforceLimits removes requests of the queue until it is within the limits. It returns
// false if the newcomer is one of them.
func (s *Set) enforceLimits(l *keyQueue, newcomer *Ticket) bool {
	for s.overLimit(l) {
		worst := l.queue.Worst(l.readyAt)
		l.queue.Remove(worst)
		s.subtract(worst)
		if worst == newcomer {
			return false
		}
		s.refuse(worst, ErrFull)
	}
	return true
}

// overLimit reports whether a queue must shed requests. Two queues that exceed a common
// limit at the same time may both shed, so that more requests than necessary are refused
// but the limit holds.
func (s *Set) overLimit(l *keyQueue) bool {
	return l.queue.Len() > s.limits.PerKey ||
		s.requests.Load() > s.limits.Requests ||
		s.bytes.Load() > s.limits.Bytes
}

func (s *Set) add(t *Ticket) {
	s.requests.Add(1)
	s.bytes.Add(t.Bytes)
}

func (s *Set) subtract(t *Ticket) {
	s.requests.Add(-1)
	s.bytes.Add(-t.Bytes)
}

// refuse notifies the waiting caller of a ticket that was removed from its queue.
func (s *Set) refuse(t *Ticket, reason error) {
	s.refused.Add(1)
	t.refusal = reason
	select {
	case t.signal <- struct{}{}:
	default:
		// A signal is pending; its receiver will read the refusal.
	}
}

// retire removes a queue from the set if it is empty and not watched.
func (s *Set) retire(key Key, l *keyQueue) {
	if l.queue.Len() == 0 && !l.watched {
		l.retired = true
		s.queues.Delete(key)
	}
}

// Signal returns a channel that is readable when the request may be next in its queue or
// has been refused.
func (t *Ticket) Signal() <-chan struct{} { return t.signal }

// Refused returns why the request was removed from its queue, or nil. It acquires the
// lock of the queue, because the refusal may be written concurrently.
func (s *Set) Refused(key Key, t *Ticket) error {
	l := s.lock(key, false)
	if l == nil {
		// The queue was retired, so the ticket is no longer written.
		return t.refusal
	}
	defer l.mu.Unlock()
	return t.refusal
}

// Serve removes a request that is being started from its queue and signals the next one.
// It returns false if the request was already refused.
func (s *Set) Serve(key Key, t *Ticket) bool {
	return s.remove(key, t, s.serve, &s.served)
}

func (s *Set) serve(q *Queue, t *Ticket) bool {
	if !q.Serve(t) {
		return false
	}
	if s.limits.Now != nil {
		q.RecordDispatch(s.limits.Now())
	}
	return true
}

// Withdraw removes a request whose caller has disconnected or whose deadline has passed. It
// returns false if the request was already refused.
func (s *Set) Withdraw(key Key, t *Ticket) bool {
	return s.remove(key, t, (*Queue).Remove, &s.withdrawn)
}

func (s *Set) remove(key Key, t *Ticket, removeFrom func(*Queue, *Ticket) bool, counter *atomic.Int64) bool {
	l := s.lock(key, false)
	if l == nil {
		return false
	}
	defer l.mu.Unlock()
	if !removeFrom(l.queue, t) {
		return false
	}
	s.subtract(t)
	counter.Add(1)
	l.signalNext()
	s.retire(key, l)
	return true
}

func (l *keyQueue) signalNext() {
	t := l.queue.Next()
	if t == nil {
		return
	}
	select {
	case t.signal <- struct{}{}:
	default:
		// A signal is pending already.
	}
}

// SignalNext signals the request that is next in the queue of a key.
func (s *Set) SignalNext(key Key) {
	if s.requests.Load() == 0 {
		return
	}
	l := s.lock(key, false)
	if l == nil {
		return
	}
	defer l.mu.Unlock()
	l.signalNext()
}

// Waiting returns the number of requests that wait at a key, and the latest of their
// deadlines.
func (s *Set) Waiting(key Key) (int, time.Time) {
	if s.requests.Load() == 0 {
		return 0, time.Time{}
	}
	l := s.lock(key, false)
	if l == nil {
		return 0, time.Time{}
	}
	defer l.mu.Unlock()
	return l.queue.Len(), l.queue.LatestDeadline()
}

// SetReadyAt stores the estimated time at which the key can be served. It refuses every
// waiting request with an earlier deadline with ErrUnattainable, and Enter refuses such
// requests from then on. The zero time clears the estimate.
func (s *Set) SetReadyAt(key Key, readyAt time.Time) {
	l := s.lock(key, false)
	if l == nil {
		return
	}
	defer l.mu.Unlock()
	l.readyAt = readyAt
	for _, t := range l.queue.RemoveExpired(readyAt) {
		s.subtract(t)
		s.refuse(t, &UnattainableError{ReadyAt: readyAt})
	}
	s.retire(key, l)
}

// ReadyAt returns the estimate stored by SetReadyAt, or the zero time if there is none.
func (s *Set) ReadyAt(key Key) time.Time {
	l := s.lock(key, false)
	if l == nil {
		return time.Time{}
	}
	defer l.mu.Unlock()
	return l.readyAt
}

// RefuseAll refuses every request that waits at a key, with the given reason.
func (s *Set) RefuseAll(key Key, reason error) {
	l := s.lock(key, false)
	if l == nil {
		return
	}
	defer l.mu.Unlock()
	for _, t := range l.queue.Drain() {
		s.subtract(t)
		s.refuse(t, reason)
	}
	s.retire(key, l)
}

// Unwatch ends the watch that Enter requested and returns true. If requests still wait,
// it returns false and the caller must continue to watch the key.
func (s *Set) Unwatch(key Key) bool {
	l := s.lock(key, false)
	if l == nil {
		return true
	}
	defer l.mu.Unlock()
	if l.queue.Len() > 0 {
		return false
	}
	l.watched = false
	s.retire(key, l)
	return true
}
