package observer

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/internal/peer/peerpb"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// Uses counts the requests for each model at this instance. Counting takes no
// lock that other models share.
type Uses struct{ models sync.Map }

type useCounter struct {
	arrived, inProgress atomic.Int32
	// service is the mean time of a request on its server, in nanoseconds.
	service atomic.Int64
}

func (u *Uses) counter(model port.ModelID) *useCounter {
	if c, ok := u.models.Load(model); ok {
		return c.(*useCounter)
	}
	c, _ := u.models.LoadOrStore(model, &useCounter{})
	return c.(*useCounter)
}

// Begin counts a request as in progress, and as an arrival if it is the first
// attempt, until the returned function is called with the time that it took on
// its server.
func (u *Uses) Begin(model port.ModelID, first bool) (end func(took time.Duration)) {
	c := u.counter(model)
	if first {
		c.arrived.Add(1)
	}
	c.inProgress.Add(1)
	return func(took time.Duration) {
		c.inProgress.Add(-1)
		c.observe(took)
	}
}

// serviceSmoothing is the part by which one request moves the mean.
const serviceSmoothing = 8

// observe moves the mean. Of two at the same moment one may be lost, which
// changes the mean by an eighth of one sample.
func (c *useCounter) observe(took time.Duration) {
	if took <= 0 {
		return
	}
	mean := c.service.Load()
	if mean == 0 {
		c.service.Store(int64(took))
		return
	}
	c.service.Store(mean + (int64(took)-mean)/serviceSmoothing)
}

// Take returns what to tell the holder, and starts counting arrivals anew. An
// arrival that is counted meanwhile is in this answer or in the next.
func (u *Uses) Take() []*peerpb.ModelUse {
	var uses []*peerpb.ModelUse
	u.models.Range(func(model, value any) bool {
		c := value.(*useCounter)
		arrived, inProgress := c.arrived.Swap(0), c.inProgress.Load()
		if arrived == 0 && inProgress == 0 {
			return true
		}
		uses = append(uses, &peerpb.ModelUse{
			Model: string(model.(port.ModelID)), Arrived: arrived, InProgress: inProgress,
			ServiceMs: time.Duration(c.service.Load()).Milliseconds(),
		})
		return true
	})
	return uses
}

// Restore gives arrivals back that couldn't be told.
func (u *Uses) Restore(uses []*peerpb.ModelUse) {
	for _, use := range uses {
		u.counter(port.ModelID(use.Model)).arrived.Add(use.Arrived)
	}
}
