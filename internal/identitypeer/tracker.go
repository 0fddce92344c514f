package identitypeer

import (
	"sync"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/identity"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// Tracker is an identity.History for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	clock   port.Clock
	history *identity.History
}

// NewTracker returns a tracker; see identity.NewHistory.
func NewTracker(clock port.Clock, times identity.Times, complete bool) *Tracker {
	return &Tracker{clock: clock, history: identity.NewHistory(clock.Now(), times, complete)}
}

// Observe is History.Observe at the present time.
func (t *Tracker) Observe(version port.Offset, members []identity.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.history.Observe(t.clock.Now(), version, members)
}

// Version is History.Version.
func (t *Tracker) Version() port.Offset {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.history.Version()
}

// Complete is History.Complete.
func (t *Tracker) Complete() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.history.Complete(t.clock.Now())
}

// HandOver is History.HandOver.
func (t *Tracker) HandOver(id port.InstanceID, base port.Offset) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.history.HandOver(id, base)
}

// Confirm is History.Confirm.
func (t *Tracker) Confirm(asked time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.history.Confirm(asked)
}

// Lists is History.Lists.
func (t *Tracker) Lists(now time.Time) identity.Lists {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.history.Lists(now)
}

// Export is History.Export at the present time.
func (t *Tracker) Export() (identity.Past, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.history.Export(t.clock.Now())
}

// Import is History.Import at the present time, after the ages were stated: a
// list may be dropped late, but not early.
func (t *Tracker) Import(p identity.Past) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.history.Import(t.clock.Now(), p)
}
