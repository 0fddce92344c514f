package observer

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/internal/peer/peerpb"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// Uses counts the requests for each model at this instance. Counting acquires
// no lock that requests for different models share.
type Uses struct{ models sync.Map }

type useCounter struct {
	arrived, inProgress atomic.Int32
	// service is the mean service time of a request at its server, in
	// nanoseconds.
	service atomic.Int64
}

func (u *Uses) counter(model port.ModelID) *useCounter {
	if c, ok := u.models.Load(model); ok {
		return c.(*useCounter)
	}
	c, _ := u.models.LoadOrStore(model, &useCounter{})
	return c.(*useCounter)
}

// Begin counts a request as in flight, and also as an arrival if it is the
// first attempt. The caller must call end with the service time once the
// request has ended.
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

// serviceSmoothingDivisor is the inverse of the weight of one sample in the
// mean.
const serviceSmoothingDivisor = 8

// observe adds a sample to the mean. Of two concurrent samples one can be lost,
// which changes the mean by an eighth of a sample.
func (c *useCounter) observe(took time.Duration) {
	if took <= 0 {
		return
	}
	mean := c.service.Load()
	if mean == 0 {
		c.service.Store(int64(took))
		return
	}
	c.service.Store(mean + (int64(took)-mean)/serviceSmoothingDivisor)
}

// Collect returns the usage to report to the holder and resets the count of
// arrivals. A concurrent arrival is counted either in this result or in the
// next.
func (u *Uses) Collect() []*peerpb.ModelUse {
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

// Restore adds back the arrivals of a report that couldn't be delivered.
func (u *Uses) Restore(uses []*peerpb.ModelUse) {
	for _, use := range uses {
		u.counter(port.ModelID(use.Model)).arrived.Add(use.Arrived)
	}
}
