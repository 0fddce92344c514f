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
		list := newServerList(func(s map[fleet.ServerID]*fleet.Server, _ Source) { servers.Store(int64(len(s))) }, time.Second)
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
