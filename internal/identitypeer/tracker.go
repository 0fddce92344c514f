package identitypeer

import (
	"sync"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/identity"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// Tracker is an identity.History that is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	clock   port.Clock
	history *identity.History
}

// NewTracker returns a tracker with an empty history, see identity.NewHistory.
func NewTracker(clock port.Clock, times identity.Times, complete bool) *Tracker {
	return &Tracker{clock: clock, history: identity.NewHistory(clock.Now(), times, complete)}
}

// Observe calls History.Observe with the current time.
func (t *Tracker) Observe(version port.Offset, members []identity.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.history.Observe(t.clock.Now(), version, members)
}

// Version returns the log offset of the newest list.
func (t *Tracker) Version() port.Offset {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.history.Version()
}

// Complete reports whether every list that still counts is known.
func (t *Tracker) Complete() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.history.Complete(t.clock.Now())
}

// HandOver records the hand-over of a member, see History.HandOver.
func (t *Tracker) HandOver(id port.InstanceID, base port.Offset) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.history.HandOver(id, base)
}

// Confirm records that a read sent at readStart reached the end of the log.
func (t *Tracker) Confirm(readStart time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.history.Confirm(readStart)
}

// Lists returns the lists in which a claim made now needs grants.
func (t *Tracker) Lists(now time.Time) identity.Lists {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.history.Lists(now)
}

// Export calls History.Export with the current time.
func (t *Tracker) Export() (identity.FormerLists, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.history.Export(t.clock.Now())
}

// Import calls History.Import with the current time. The ages in p were computed
// earlier, so a list can be dropped late but never early.
func (t *Tracker) Import(p identity.FormerLists) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.history.Import(t.clock.Now(), p)
}
