package edge

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/slotturns"
)

// slotQueue holds the requests of one service that wait for a slot.
type slotQueue struct {
	// waiting is the number of requests in the queue, for a look without the lock.
	waiting atomic.Int64

	mu    sync.Mutex
	turns *slotturns.Turns
	waits map[*slotturns.Ticket]*slotWait
	// lookedAt is when slots were last given out, and of which view.
	lookedAt time.Time
	looked   *View
}

// slotWait is a request in a slotQueue. Its queue's lock guards it.
type slotWait struct {
	request *request
	ticket  *slotturns.Ticket
	// given receives the server that has a slot for the request.
	given chan *backend
}

func newSlotQueue() *slotQueue {
	return &slotQueue{turns: slotturns.New(), waits: map[*slotturns.Ticket]*slotWait{}}
}

// slots returns the queue of a service.
func (e *Edge) slots(service string) *slotQueue {
	if s, known := e.slotQueues.Load(service); known {
		return s.(*slotQueue)
	}
	s, _ := e.slotQueues.LoadOrStore(service, newSlotQueue())
	return s.(*slotQueue)
}

// WaitingForSlot returns how many requests wait for a slot of the service.
func (e *Edge) WaitingForSlot(service string) int64 { return e.slots(service).waiting.Load() }

// release ends a request's place at a server.
func (e *Edge) release(service string, b *backend) {
	b.stats.own.Add(-1)
	e.giveOutSlots(service)
}

// giveOutSlots gives slots that may have been freed to those that wait.
func (e *Edge) giveOutSlots(service string) {
	if s, known := e.slotQueues.Load(service); known {
		s.(*slotQueue).giveOut(e.views.Load(), true)
	}
}

// join puts a request into the queue. Until it leaves, the queue alone uses it.
func (s *slotQueue) join(q *request) *slotWait {
	s.mu.Lock()
	defer s.mu.Unlock()
	ticket := s.turns.Join(time.Now(), slotturns.Request{
		Route: q.route.Name, Model: q.model, Priority: q.route.Priority, Lasting: !q.route.Idempotent(),
		Due: q.arrived.Add(q.route.TargetLatency), Limit: q.deadline,
	})
	w := &slotWait{request: q, ticket: ticket, given: make(chan *backend, 1)}
	s.waits[ticket] = w
	s.waiting.Add(1)
	return w
}

// leave takes a request out, and returns the server that it was given before, if any.
func (s *slotQueue) leave(w *slotWait) *backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case b := <-w.given:
		return b
	default:
	}
	s.turns.Leave(w.ticket)
	s.forget(w)
	return nil
}

func (s *slotQueue) forget(w *slotWait) {
	delete(s.waits, w.ticket)
	s.waiting.Add(-1)
}

// giveOut gives free slots to those whose turn it is. Without a newer view, or a slot
// that was freed here, it does so only now and then: what others have freed shows
// with a delay.
func (s *slotQueue) giveOut(view *View, freed bool) {
	if s.waiting.Load() == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !freed && view == s.looked && now.Sub(s.lookedAt) < fullRecheck {
		return
	}
	s.lookedAt, s.looked = now, view
	s.turns.GiveOut(now, func(ticket *slotturns.Ticket) (given, full bool) {
		w := s.waits[ticket]
		b, _ := w.request.choose(view)
		if b == nil {
			// One that has tried some of the servers says nothing of the others.
			return false, len(w.request.tried) == 0
		}
		b.stats.own.Add(1)
		s.forget(w)
		w.given <- b
		return true, false
	})
}
