package placer

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/streamorigin"
	"github.com/cyclamenhoist/cyclamenhoist/platform/standin"
)

// Other instances know where a stream began, also after the instance that served it is gone.
func TestOriginsOutliveTheirInstance(t *testing.T) {
	c := newCluster(t, []string{"a"}, standin.ServerConfig{ID: "s0"})
	var all []*instance
	for _, name := range []string{"i0", "i1", "i2", "i3"} {
		all = append(all, c.start(name))
	}
	knowsAll := func(i *instance) bool {
		peers := i.peerAddresses.Load()
		return peers != nil && len(*peers) == len(all)
	}
	for _, i := range all {
		c.eventually("the instances know each other", func() bool { return knowsAll(i) })
	}
	origin := streamorigin.Origin{Service: summaries, Version: "v2"}
	all[0].Began("announced", origin, true)
	all[0].Began("kept", origin, false)
	for _, i := range all {
		c.eventually("the origin is known", func() bool {
			got, known := i.Origin(t.Context(), "announced")
			return known && got == origin
		})
	}
	all[0].end()
	for _, i := range all[1:] {
		// What an instance has looked up is forgotten.
		_, kept := i.origins.memory.Get("kept")
		assert.False(t, kept)
		got, known := i.Origin(t.Context(), "announced")
		assert.True(t, known)
		assert.Equal(t, origin, got)
		_, known = i.Origin(t.Context(), "unknown")
		assert.False(t, known)
	}
}
