package placer

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/leaderlease"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
	"github.com/cyclamenhoist/cyclamenhoist/platform/standin"
)

// The store came back from an older copy, in which the topic of the lease ended earlier. No instance could
// renew or claim the lease any more: each appended at the former end, and ignored records before that.
func TestLeaseIsRenewedAfterTheStoreWentBack(t *testing.T) {
	c := newCluster(t, []string{"a"}, standin.ServerConfig{ID: "s0", OnDisk: []string{"a"}})
	c.store.SetEra("1")
	i := c.start("i0")
	c.eventually("i0 has renewed the lease", func() bool { return c.store.Appends() > 4 })
	epoch, _ := i.elector.canOrder()
	c.store.GoBack(platform.TopicLease, 1, "2")
	before := c.store.Appends()
	c.eventually("it renews it again", func() bool { return c.store.Appends() > before+2 && i.elector.renewalAge() < time.Second })
	c.eventually("it holds a later epoch", func() bool { now, allowed := i.elector.canOrder(); return allowed && now > epoch })
}

// The topic of the lease has as many records in the new history as the holder knows of the former one, so that its
// append is accepted there by chance. It went on with the epoch of the former history.
func TestAppendAcceptedInAnotherHistory(t *testing.T) {
	c := newCluster(t, []string{"a"}, standin.ServerConfig{ID: "s0", OnDisk: []string{"a"}})
	c.store.SetEra("1")
	i := c.start("i0")
	c.eventually("i0 has renewed the lease", func() bool { return c.store.Appends() > 4 })
	epoch, _ := i.elector.canOrder()
	before := c.store.Appends()
	c.store.SetEra("2")
	c.eventually("it holds a later epoch", func() bool { now, allowed := i.elector.canOrder(); return allowed && now > epoch })
	page, err := platform.NewStore(c.store.Address()).Read(t.Context(), platform.TopicLease, int64(before), 0)
	require.NoError(t, err)
	former := 0
	for _, record := range page.Records {
		var r leaderlease.Record
		require.NoError(t, json.Unmarshal(record.Value, &r))
		if r.Era == 1 {
			former++
		}
	}
	assert.LessOrEqual(t, former, 2, "records for the former history: one when that ended, and one that shows it")
}
