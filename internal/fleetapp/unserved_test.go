package fleetapp

import (
	"bytes"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"

	"github.com/cyclamenhoist/cyclamenhoist/internal/edge"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
)

// Nothing told an operator that a service got no requests for half a minute while its servers were listed.
func TestServiceWithoutServersIsReported(t *testing.T) {
	var out bytes.Buffer
	u := newUnservedServices(&log.Logger{Writer: &log.IOWriter{Writer: &out}}, metrics.NewRegistry())
	views := edge.NewViews()
	now := time.Now()
	review := func() string {
		out.Reset()
		now = now.Add(time.Second)
		u.review(views.Load(), now)
		return out.String()
	}
	assert.Empty(t, review(), "no manifest is known")
	views.SetManifest(fleet.NewManifest(1, nil, []fleet.Service{{Name: "plain"}}, fleet.CallerLimits{}))
	assert.Contains(t, review(), "service_unserved")
	assert.Empty(t, review(), "it is said once")
	assert.Equal(t, int64(1), u.gauge.Value())
	views.SetServers(map[fleet.ServerID]*fleet.Server{"s": {ID: "s", Service: "plain", Address: "127.0.0.1:1", Slots: 1}})
	assert.Contains(t, review(), `"for":2000`)
	assert.Zero(t, u.gauge.Value())
	views.SetServers(nil)
	assert.Contains(t, review(), `"servers":1`)
	views.SetManifest(fleet.NewManifest(2, nil, nil, fleet.CallerLimits{}))
	review()
	assert.Zero(t, u.gauge.Value(), "the service is no longer in the manifest")
}
