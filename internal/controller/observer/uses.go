package observer

import (
	"sync"
	"sync/atomic"

	"github.com/cyclamenhoist/cyclamenhoist/internal/peer/peerpb"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// Uses counts the requests for each model at this instance. Counting takes no
// lock that other models share.
type Uses struct{ models sync.Map }

type useCounter struct {
	arrived, inProgress atomic.Int32
	class               atomic.Pointer[string]
}

func (u *Uses) counter(model port.ModelID) *useCounter {
	if c, ok := u.models.Load(model); ok {
		return c.(*useCounter)
	}
	c, _ := u.models.LoadOrStore(model, &useCounter{})
	return c.(*useCounter)
}

// Arrive counts an arrival, whether or not the model is loaded.
func (u *Uses) Arrive(model port.ModelID, class string) {
	c := u.counter(model)
	c.arrived.Add(1)
	if old := c.class.Load(); old == nil || *old != class {
		c.class.Store(&class)
	}
}

// Begin counts a request as in progress until the returned function is called.
func (u *Uses) Begin(model port.ModelID) (end func()) {
	c := u.counter(model)
	c.inProgress.Add(1)
	return func() { c.inProgress.Add(-1) }
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
		use := &peerpb.ModelUse{Model: string(model.(port.ModelID)), Arrived: arrived, InProgress: inProgress}
		if class := c.class.Load(); class != nil {
			use.Class = *class
		}
		uses = append(uses, use)
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
