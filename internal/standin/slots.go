package standin

import (
	"context"
	"sync"

	"github.com/go-faster/errors"
)

var errQueueFull = errors.New("queue full")

// slots limits the number of concurrent answers. Waiting requests are admitted by
// priority, and in order of arrival within a priority.
type slots struct {
	mu         sync.Mutex
	available  int
	running    int
	queueLimit int
	waiting    []*waiter
}

type waiter struct {
	priority int
	admitted chan struct{}
}

func newSlots(n, queueLimit int) *slots { return &slots{available: n, queueLimit: queueLimit} }

// counts returns the number of running answers and of waiting requests.
func (s *slots) counts() (running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, len(s.waiting)
}

// acquire waits for a free slot. It returns errQueueFull if too many requests wait
// already, or the error of ctx if that ends first.
func (s *slots) acquire(ctx context.Context, priority int) error {
	s.mu.Lock()
	if s.available > 0 {
		s.available--
		s.running++
		s.mu.Unlock()
		return nil
	}
	if len(s.waiting) >= s.queueLimit {
		s.mu.Unlock()
		return errQueueFull
	}
	w := &waiter{priority: priority, admitted: make(chan struct{})}
	s.waiting = append(s.waiting, w)
	s.mu.Unlock()
	select {
	case <-w.admitted:
		return nil
	case <-ctx.Done():
		s.cancelWait(w)
		return ctx.Err()
	}
}

// cancelWait removes a waiter from the queue, or releases its slot if it has been
// admitted in the meantime.
func (s *slots) cancelWait(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.waiting {
		if other == w {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
	s.passOn()
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.passOn()
}

// passOn assigns a released slot to the next waiter, or marks it as available. The
// caller must hold s.mu.
func (s *slots) passOn() {
	if len(s.waiting) == 0 {
		s.available++
		s.running--
		return
	}
	next := 0
	for i, w := range s.waiting {
		if w.priority > s.waiting[next].priority {
			next = i
		}
	}
	w := s.waiting[next]
	s.waiting = append(s.waiting[:next], s.waiting[next+1:]...)
	close(w.admitted)
}
