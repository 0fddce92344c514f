package placer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenhoist/cyclamenhoist/internal/edge"
	"github.com/cyclamenhoist/cyclamenhoist/internal/placer/placerpb"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
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
			got, known := i.Origin(t.Context(), edge.OriginQuestion{Stream: "announced"})
			return known && got == origin
		})
	}
	all[0].end()
	for _, i := range all[1:] {
		// What an instance has looked up is forgotten.
		_, kept := i.origins.memory.Get("kept")
		assert.False(t, kept)
		got, known := i.Origin(t.Context(), edge.OriginQuestion{Stream: "announced"})
		assert.True(t, known)
		assert.Equal(t, origin, got)
		_, known = i.Origin(t.Context(), edge.OriginQuestion{Stream: "unknown"})
		assert.False(t, known)
	}
}

// An instance says that a service has had a single version only if it has known the servers for as
// long as a stream can last, and it isn't asked by builds that don't name the service.
func TestOnlyInstancesThatHaveRunLongSayThatThereIsOneVersion(t *testing.T) {
	c := newCluster(t, []string{"a"}, standin.ServerConfig{ID: "s0"})
	i := c.start("i0")
	i.views.SetServers(map[fleet.ServerID]*fleet.Server{"s0": {ID: "s0", Service: summaries, Version: "v1"}})
	ask := func(q *placerpb.OriginQuery) string {
		reply, err := (&service{placer: i.Placer}).FindOrigin(t.Context(), q)
		assert.NoError(t, err)
		return reply.SoleVersion
	}
	assert.Empty(t, ask(&placerpb.OriginQuery{Stream: "s", Service: summaries, WithinMs: uint32(time.Hour.Milliseconds())}))
	assert.Empty(t, ask(&placerpb.OriginQuery{Stream: "s"}))
	i.views.SetServers(map[fleet.ServerID]*fleet.Server{"s1": {ID: "s1", Service: "other", Version: "v1"}})
	assert.Equal(t, "v1", ask(&placerpb.OriginQuery{Stream: "s", Service: "other"}))
}
