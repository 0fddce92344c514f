package placer

import (
	"testing"
	"time"

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
