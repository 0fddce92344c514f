package edge

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/slotqueue"
)

// slotQueue holds the requests of one service that wait for a free slot.
type slotQueue struct {
	// waiting is the number of queued requests. It can be read without the lock.
	waiting atomic.Int64

	mu    sync.Mutex
	order *slotqueue.Queue
	waits map[*slotqueue.Ticket]*slotWait
	// dispatchedAt is when slots were last dispatched, and dispatchedView the view that
	// was used.
	dispatchedAt   time.Time
	dispatchedView *View
}

// slotWait is a request in a slotQueue, guarded by the lock of the queue.
type slotWait struct {
	request *request
	ticket  *slotqueue.Ticket
	// granted receives the server on which a slot is reserved for the request.
	granted chan *backend
}

func newSlotQueue() *slotQueue {
	return &slotQueue{order: slotqueue.New(), waits: map[*slotqueue.Ticket]*slotWait{}}
}

// slots returns the slot queue of a service.
func (e *Edge) slots(service string) *slotQueue {
	if s, known := e.slotQueues.Load(service); known {
		return s.(*slotQueue)
	}
	s, _ := e.slotQueues.LoadOrStore(service, newSlotQueue())
	return s.(*slotQueue)
}

// WaitingForSlot returns how many requests wait for a slot of the service.
func (e *Edge) WaitingForSlot(service string) int64 { return e.slots(service).waiting.Load() }

// release frees the slot that a request holds on a server.
func (e *Edge) release(service string, b *backend) {
	b.stats.inFlight.Add(-1)
	e.dispatchSlots(service)
}

// dispatchSlots assigns slots that may have been freed to queued requests.
func (e *Edge) dispatchSlots(service string) {
	if s, known := e.slotQueues.Load(service); known {
		s.(*slotQueue).dispatch(e.views.Load(), true)
	}
}

// join adds a request to the queue. Until the request is withdrawn or granted a slot,
// only the queue accesses it.
func (s *slotQueue) join(q *request) *slotWait {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	ticket := s.order.Enqueue(now, slotqueue.Request{
		Route: q.route.Name, Model: q.model, Priority: q.priority, NonRepeatable: !q.route.Idempotent(),
		Objective: q.arrived.Add(q.route.TargetLatency), Deadline: q.deadline,
		Spent: q.spentBefore(), Work: q.expected.Work(q.slots),
	})
	q.expectedWait = s.order.Expect(now, ticket)
	w := &slotWait{request: q, ticket: ticket, granted: make(chan *backend, 1)}
	s.waits[ticket] = w
	s.waiting.Add(1)
	return w
}

// spentBefore returns how long the client has tried before: its deadline is that much shorter than
// the timeout of the route. It is bounded, since a client can also state a short deadline at once.
func (q *request) spentBefore() time.Duration {
	if q.head.Deadline <= 0 || q.route.Timeout <= 0 {
		return 0
	}
	return min(max(q.route.Timeout-q.head.Deadline, 0), q.route.TargetLatency)
}

// withdraw removes a request from the queue. If the request was already granted a slot,
// withdraw returns the server of that slot, which the caller must use or release.
func (s *slotQueue) withdraw(w *slotWait) *backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case b := <-w.granted:
		return b
	default:
	}
	s.order.Remove(time.Now(), w.ticket)
	s.remove(w)
	return nil
}

func (s *slotQueue) remove(w *slotWait) {
	delete(s.waits, w.ticket)
	s.waiting.Add(-1)
}

// dispatch assigns free slots to the requests that are next in the queue. Unless the view
// is newer or a slot was freed by this instance, it does so at most once every
// slotRecheckInterval: slots freed by other instances become known with a delay anyway.
func (s *slotQueue) dispatch(view *View, freed bool) {
	if s.waiting.Load() == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !freed && view == s.dispatchedView && now.Sub(s.dispatchedAt) < slotRecheckInterval {
		return
	}
	s.dispatchedAt, s.dispatchedView = now, view
	s.order.Dispatch(now, func(ticket *slotqueue.Ticket) (granted, full bool) {
		w := s.waits[ticket]
		b, _ := w.request.choose(view, w.request.tried)
		if b == nil {
			// A request that skips servers it has tried does not show that these servers
			// are full.
			return false, len(w.request.tried) == 0
		}
		b.stats.inFlight.Add(1)
		s.remove(w)
		w.granted <- b
		return true, false
	})
}
