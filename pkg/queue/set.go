package queue

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// The reasons for which a request doesn't wait, or no longer.
var (
	// ErrFull: the queue is at its bounds and the request is the one least
	// likely to meet its deadline.
	ErrFull = errors.New("queue full")
	// ErrLate: at the present pace the request won't be started in time.
	ErrLate = errors.New("won't be started in time")
	// ErrUnattainable: the model won't be ready before the request's deadline.
	// It comes as an *UnattainableError.
	ErrUnattainable = errors.New("deadline can't be met")
)

// UnattainableError is ErrUnattainable with the estimate behind it.
type UnattainableError struct {
	ReadyAt time.Time
}

// Error implements error.
func (e *UnattainableError) Error() string { return ErrUnattainable.Error() }

// Unwrap returns ErrUnattainable.
func (e *UnattainableError) Unwrap() error { return ErrUnattainable }

// Key names one queue of a Set.
type Key struct {
	Service string
	// Model is empty for plain services.
	Model port.ModelID
}

// Limits bounds a Set.
type Limits struct {
	// Requests and Bytes bound all queues together.
	Requests, Bytes int64
	// PerKey bounds the requests of one queue, so that one model can't take
	// every place.
	PerKey int
	// Now, if set, lets the set shed requests that won't be started in time at
	// the present pace, as soon as that shows.
	Now func() time.Time
}

// Set is the queues of an instance, one per key.
type Set struct {
	limits          Limits
	lanes           sync.Map // Key to *lane
	requests, bytes atomic.Int64
	entered, served atomic.Int64
	left, refused   atomic.Int64
}

// lane is one queue with its lock. A dead lane has been taken out of the Set.
type lane struct {
	mu      sync.Mutex
	queue   *Queue
	readyAt time.Time
	watched bool
	dead    bool
}

// NewSet returns an empty set.
func NewSet(limits Limits) *Set {
	return &Set{limits: limits}
}

// Stats counts what became of the requests that have entered. Entered is the
// sum of the others.
type Stats struct {
	Entered, Served, Left, Refused, Waiting int64
}

// Stats returns the counters. It is exact while nothing changes.
func (s *Set) Stats() Stats {
	return Stats{
		Entered: s.entered.Load(),
		Served:  s.served.Load(),
		Left:    s.left.Load(),
		Refused: s.refused.Load(),
		Waiting: s.requests.Load(),
	}
}

// locked returns the lane of a key with its lock held, or nil if there is none
// and none is to be made.
func (s *Set) locked(key Key, create bool) *lane {
	for {
		value, ok := s.lanes.Load(key)
		if !ok && !create {
			return nil
		}
		if !ok {
			value, _ = s.lanes.LoadOrStore(key, &lane{queue: New()})
		}
		l := value.(*lane)
		l.mu.Lock()
		if !l.dead {
			return l
		}
		l.mu.Unlock()
	}
}

// Enter adds a request to the queue of a key. With first, the caller has to
// watch the key: see Unwatch.
func (s *Set) Enter(key Key, r Request) (t *Ticket, first bool, err error) {
	l := s.locked(key, true)
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
	if !s.makeRoom(l, t) {
		s.retire(key, l)
		return nil, false, ErrFull
	}
	s.entered.Add(1)
	first = !l.watched
	l.watched = true
	return t, first, nil
}

// shedLate sheds the request of the newcomer's flow that is least likely to be
// started in time, if at the present pace it won't be. Its waiter hears at once
// rather than when its time is over. It returns true if that is the newcomer.
func (s *Set) shedLate(l *lane, newcomer *Ticket) bool {
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

// makeRoom sheds requests of the lane until the bounds hold. It returns false
// if the newcomer is among them.
func (s *Set) makeRoom(l *lane, newcomer *Ticket) bool {
	for s.overfull(l) {
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

// overfull reports whether a lane must shed. Two lanes that pass a common bound
// at the same time may both shed, which errs on the safe side.
func (s *Set) overfull(l *lane) bool {
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

// refuse tells the waiter of a ticket that has left the queue.
func (s *Set) refuse(t *Ticket, reason error) {
	s.refused.Add(1)
	t.refusal = reason
	select {
	case t.signal <- struct{}{}:
	default:
		// A signal is pending; its receiver will find the refusal.
	}
}

// retire takes an empty lane that nobody watches out of the set.
func (s *Set) retire(key Key, l *lane) {
	if l.queue.Len() == 0 && !l.watched {
		l.dead = true
		s.lanes.Delete(key)
	}
}

// Signal is readable when it may be the request's turn, or it was refused.
func (t *Ticket) Signal() <-chan struct{} { return t.signal }

// Refused returns why the request was taken out of the queue, or nil. It holds
// the lane's lock, as the refusal may be written at the same time.
func (s *Set) Refused(key Key, t *Ticket) error {
	l := s.locked(key, false)
	if l == nil {
		// The lane was retired, so nobody writes the ticket any more.
		return t.refusal
	}
	defer l.mu.Unlock()
	return t.refusal
}

// Serve takes a request that is being started out of its queue and signals the
// next. It returns false if the request had been refused already.
func (s *Set) Serve(key Key, t *Ticket) bool {
	return s.take(key, t, s.serve, &s.served)
}

func (s *Set) serve(q *Queue, t *Ticket) bool {
	if !q.Serve(t) {
		return false
	}
	if s.limits.Now != nil {
		q.Turn(s.limits.Now())
	}
	return true
}

// Leave takes a request out whose caller has gone or whose time is over. It
// returns false if the request had been refused already.
func (s *Set) Leave(key Key, t *Ticket) bool {
	return s.take(key, t, (*Queue).Remove, &s.left)
}

func (s *Set) take(key Key, t *Ticket, out func(*Queue, *Ticket) bool, counter *atomic.Int64) bool {
	l := s.locked(key, false)
	if l == nil {
		return false
	}
	defer l.mu.Unlock()
	if !out(l.queue, t) {
		return false
	}
	s.subtract(t)
	counter.Add(1)
	l.signalNext()
	s.retire(key, l)
	return true
}

func (l *lane) signalNext() {
	t := l.queue.Next()
	if t == nil {
		return
	}
	select {
	case t.signal <- struct{}{}:
	default:
		// It has a signal that it hasn't read yet.
	}
}

// Kick signals the request whose turn it is.
func (s *Set) Kick(key Key) {
	if s.requests.Load() == 0 {
		return
	}
	l := s.locked(key, false)
	if l == nil {
		return
	}
	defer l.mu.Unlock()
	l.signalNext()
}

// Waiting returns the number of requests that wait at a key, and until when the
// most patient of them waits.
func (s *Set) Waiting(key Key) (int, time.Time) {
	if s.requests.Load() == 0 {
		return 0, time.Time{}
	}
	l := s.locked(key, false)
	if l == nil {
		return 0, time.Time{}
	}
	defer l.mu.Unlock()
	return l.queue.Len(), l.queue.LatestDeadline()
}

// SetReadyAt stores the estimate of when the key can be served, refuses with
// ErrUnattainable every waiting request that can't wait so long, and makes
// Enter refuse such requests at once. The zero time forgets the estimate.
func (s *Set) SetReadyAt(key Key, readyAt time.Time) {
	l := s.locked(key, false)
	if l == nil {
		return
	}
	defer l.mu.Unlock()
	l.readyAt = readyAt
	for _, t := range l.queue.Refuse(readyAt) {
		s.subtract(t)
		s.refuse(t, &UnattainableError{ReadyAt: readyAt})
	}
	s.retire(key, l)
}

// ReadyAt returns the estimate of SetReadyAt; zero without one.
func (s *Set) ReadyAt(key Key) time.Time {
	l := s.locked(key, false)
	if l == nil {
		return time.Time{}
	}
	defer l.mu.Unlock()
	return l.readyAt
}

// RefuseAll refuses every request that waits at a key.
func (s *Set) RefuseAll(key Key, reason error) {
	l := s.locked(key, false)
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

// Unwatch ends the watch that Enter asked for, unless requests wait still: then
// it returns false and the watch goes on.
func (s *Set) Unwatch(key Key) bool {
	l := s.locked(key, false)
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
