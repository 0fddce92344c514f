package standin

import (
	"context"
	"sync"

	"github.com/go-faster/errors"
)

var errQueueFull = errors.New("queue full")

// slots bounds the answers in progress; those that wait go by priority, the
// earlier first among equals.
type slots struct {
	mu      sync.Mutex
	free    int
	running int
	limit   int
	waiting []*waiter
}

type waiter struct {
	priority int
	admitted chan struct{}
}

func newSlots(n, queueLimit int) *slots { return &slots{free: n, limit: queueLimit} }

// load returns how many answers run and wait.
func (s *slots) load() (running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, len(s.waiting)
}

func (s *slots) acquire(ctx context.Context, priority int) error {
	s.mu.Lock()
	if s.free > 0 {
		s.free--
		s.running++
		s.mu.Unlock()
		return nil
	}
	if len(s.waiting) >= s.limit {
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
		s.abandon(w)
		return ctx.Err()
	}
}

// abandon takes a waiter out, or passes on the slot that it got meanwhile.
func (s *slots) abandon(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.waiting {
		if other == w {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
	s.pass()
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pass()
}

// pass gives a slot to the next waiter; s.mu is held.
func (s *slots) pass() {
	if len(s.waiting) == 0 {
		s.free++
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
