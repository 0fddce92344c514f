package storemirror

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

// newReplayedList returns a list that works in the virtual time of a replay.
func newReplayedList(r *replay, publish func(map[fleet.ServerID]*fleet.Server, Change)) *serverList {
	list := newServerList(publish, time.Second, fleet.MissingGrace)
	list.now = func() time.Duration { return r.now }
	list.after = func(d time.Duration, do func()) { r.timers = append(r.timers, timer{r.now + d, do}) }
	return list
}

// TestPendingRemovalTakesEffectWithoutARead: a server whose removal was read
// right after an outage is removed after MissingGrace, even if nothing is read
// at that time.
func TestPendingRemovalTakesEffectWithoutARead(t *testing.T) {
	r := newReplay(0)
	servers := 0
	list := newReplayedList(r, func(s map[fleet.ServerID]*fleet.Server, _ Change) { servers = len(s) })
	entry := fleet.Entry{ID: "s", At: fleet.Position{Offset: 1}, Server: &fleet.Server{ID: "s", Sequence: 1}}
	list.apply(platform.ServerListBatch{Entries: []fleet.Entry{entry}, Complete: true}, gap{})
	r.sleep(9 * time.Second)
	list.readFailed(r.now)
	list.apply(platform.ServerListBatch{Entries: []fleet.Entry{{ID: "s", At: fleet.Position{Offset: 2}, Removed: true}}}, gap{from: r.now - 9*time.Second, to: r.now})
	assert.Equal(t, 1, servers, "it may come back")
	r.sleep(fleet.MissingGrace)
	assert.Zero(t, servers)
}

// The log says who learned of a removal at which position, and for how long it is deferred.
func TestDeferralIsReported(t *testing.T) {
	r := newReplay(0)
	var changes []Change
	var deferrals []Deferral
	list := newReplayedList(r, func(_ map[fleet.ServerID]*fleet.Server, c Change) { changes = append(changes, c) })
	list.deferred = func(d Deferral) { deferrals = append(deferrals, d) }
	entry := fleet.Entry{ID: "s", At: fleet.Position{Offset: 1}, Server: &fleet.Server{ID: "s", Sequence: 1}}
	list.apply(platform.ServerListBatch{Entries: []fleet.Entry{entry}, Complete: true, Next: 2, Era: 3, CurrentSince: r.now}, gap{})
	assert.Equal(t, []Change{{Source: SourceStore, ListEnd: fleet.Position{Era: 3, Offset: 2}}}, changes)
	r.sleep(9 * time.Second)
	list.readFailed(r.now)
	told := Change{Source: SourceInstance, Teller: "other", ListEnd: fleet.Position{Offset: 3}, Age: time.Second}
	list.applyTold([]fleet.Entry{{ID: "s", At: fleet.Position{Offset: 2}, Removed: true}}, false, gap{from: r.now - 9*time.Second, to: r.now}, told)
	assert.Equal(t, []Deferral{{Change: told, Servers: []fleet.ServerID{"s"}, Outage: 8 * time.Second, For: fleet.MissingGrace}}, deferrals)
	r.sleep(fleet.MissingGrace)
	told.Source, told.Age = SourceExpiry, time.Second+fleet.MissingGrace
	assert.Equal(t, told, changes[len(changes)-1])
}

// Nothing shows that the store was away if no read failed since the list was last known.
func TestNoDeferralWithoutAFailedRead(t *testing.T) {
	r := newReplay(0)
	servers := 0
	list := newReplayedList(r, func(s map[fleet.ServerID]*fleet.Server, _ Change) { servers = len(s) })
	list.withdrawWithin = 20 * time.Second
	entry := fleet.Entry{ID: "s", At: fleet.Position{Offset: 1}, Server: &fleet.Server{ID: "s", Sequence: 1}}
	list.apply(platform.ServerListBatch{Entries: []fleet.Entry{entry}, Complete: true}, gap{})
	list.readFailed(r.now)
	r.sleep(9 * time.Second)
	list.applyTold([]fleet.Entry{{ID: "s", At: fleet.Position{Offset: 2}, Removed: true}}, false, gap{from: r.now - 8*time.Second, to: r.now}, Change{})
	assert.Zero(t, servers)
}
