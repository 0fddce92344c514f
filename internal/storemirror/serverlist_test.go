package storemirror

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

// TestPendingRemovalTakesEffectWithoutARead: a server whose removal was read
// right after an outage is removed after MissingGrace, even if nothing is read
// at that time.
func TestPendingRemovalTakesEffectWithoutARead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var servers atomic.Int64
		list := newServerList(func(s map[fleet.ServerID]*fleet.Server, _ Change) { servers.Store(int64(len(s))) }, time.Second)
		entry := fleet.Entry{ID: "s", Offset: 1, Server: &fleet.Server{ID: "s", Sequence: 1}}
		list.apply(platform.ServerListBatch{Entries: []fleet.Entry{entry}, Complete: true})
		time.Sleep(9 * time.Second)
		list.apply(platform.ServerListBatch{Entries: []fleet.Entry{{ID: "s", Offset: 2, Removed: true}}, Recovered: true})
		assert.Equal(t, int64(1), servers.Load(), "it may come back")
		time.Sleep(fleet.MissingGrace)
		synctest.Wait()
		assert.Zero(t, servers.Load())
	})
}

// The log says who learned of a removal at which position, and for how long it is deferred.
func TestDeferralIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var changes []Change
		var deferrals []Deferral
		list := newServerList(func(_ map[fleet.ServerID]*fleet.Server, c Change) { changes = append(changes, c) }, time.Second)
		list.deferred = func(d Deferral) { deferrals = append(deferrals, d) }
		entry := fleet.Entry{ID: "s", Offset: 1, Server: &fleet.Server{ID: "s", Sequence: 1}}
		list.apply(platform.ServerListBatch{Entries: []fleet.Entry{entry}, Complete: true, Next: 2, Era: 3, CurrentAt: time.Now()})
		assert.Equal(t, []Change{{Source: SourceStore, Era: 3, ListEnd: 2}}, changes)
		time.Sleep(9 * time.Second)
		told := Change{Source: SourceInstance, Teller: "other", ListEnd: 3, Age: time.Second}
		list.applyTold([]fleet.Entry{{ID: "s", Offset: 2, Removed: true}}, false, 8*time.Second, told)
		assert.Equal(t, []Deferral{{Change: told, Servers: []fleet.ServerID{"s"}, Outage: 8 * time.Second, For: fleet.MissingGrace}}, deferrals)
		time.Sleep(fleet.MissingGrace)
		synctest.Wait()
		told.Source, told.Age = SourceExpiry, time.Second+fleet.MissingGrace
		assert.Equal(t, told, changes[len(changes)-1])
	})
}
