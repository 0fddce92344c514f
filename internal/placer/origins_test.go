package placer

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenhoist/cyclamenhoist/internal/edge"
	"github.com/cyclamenhoist/cyclamenhoist/internal/placer/placerpb"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/streamorigin"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
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

// An instance says that a service has had a single version only if it knows all versions that the
// service has had, and it isn't asked by builds that don't name the service.
func TestOnlyInstancesThatKnowAllVersionsSayThatThereIsOne(t *testing.T) {
	c := newCluster(t, []string{"a"}, standin.ServerConfig{ID: "s0"})
	ask := func(i *instance, q *placerpb.OriginQuery) string {
		reply, err := (&service{placer: i.Placer}).FindOrigin(t.Context(), q)
		assert.NoError(t, err)
		return reply.SoleVersion
	}
	i := c.start("i0")
	i.views = edge.NewViews()
	i.Placer.views = i.views
	i.views.SetServers(map[fleet.ServerID]*fleet.Server{"s0": {ID: "s0", Service: summaries, Version: "v1"}})
	assert.Empty(t, ask(i, &placerpb.OriginQuery{Stream: "s", Service: summaries}))
	assert.Empty(t, ask(i, &placerpb.OriginQuery{Stream: "s", Service: summaries, WithinMs: 1}), "an earlier build knows no better")
	i.views.AddVersions(streamorigin.VersionRecord{Complete: true, Services: map[string][]string{"other": {"v0"}}})
	assert.Equal(t, "v1", ask(i, &placerpb.OriginQuery{Stream: "s", Service: summaries}))
	assert.Empty(t, ask(i, &placerpb.OriginQuery{Stream: "s"}))
	i.views.SetServers(map[fleet.ServerID]*fleet.Server{"s1": {ID: "s1", Service: "other", Version: "v1"}})
	assert.Empty(t, ask(i, &placerpb.OriginQuery{Stream: "s", Service: "other"}), "it has had v0 before")
}

// withVersion makes an instance see one server of the version.
func (i *instance) withVersion(version string) {
	i.views.SetServers(map[fleet.ServerID]*fleet.Server{"s0": {ID: "s0", Service: summaries, Version: version}})
}

func (i *instance) soleVersion() string {
	version, _ := i.views.Load().SoleVersion(summaries, time.Now())
	return version
}

// The versions that a service has had were lost with the instances: those that started after the servers of
// one version had left took the other one for the only one (review/6).
func TestVersionsOutliveAllInstances(t *testing.T) {
	for name, lose := range map[string]func(c *cluster){
		"": func(*cluster) {},
		"the store's history is dropped": func(c *cluster) {
			c.store.TruncateHistory(platform.TopicVersions)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, []string{"a"}, standin.ServerConfig{ID: "s0"})
			c.version = "v1"
			first := []*instance{c.start("i0"), c.start("i1")}
			for _, i := range first {
				c.eventually("the first instances know that there is one version", func() bool { return i.soleVersion() == "v1" })
			}
			for _, i := range first {
				i.withVersion("v2")
			}
			c.eventually("both versions are recorded", func() bool { return len(c.recordedVersions().Services[summaries]) == 2 })
			for _, i := range first {
				i.end()
			}
			lose(c)
			c.version = "v2"
			second := []*instance{c.start("i2"), c.start("i3")}
			for _, i := range second {
				c.eventually("all versions are known", func() bool { return i.views.Load().KnowsVersions(time.Now()) })
				assert.Empty(t, i.soleVersion())
			}
			c.eventually("one holds the lease", func() bool { return second[0].elector.placing() || second[1].elector.placing() })
			assert.Equal(t, []string{"v1", "v2"}, c.recordedVersions().Services[summaries], "the next holder keeps the versions before its time")
		})
	}
}

// recordedVersions returns the versions on the store.
func (c *cluster) recordedVersions() streamorigin.VersionRecord {
	snapshot, err := c.reader.Newest(c.Context(), platform.TopicVersions)
	assert.NoError(c, err)
	for _, record := range snapshot.Records {
		found, err := streamorigin.DecodeVersionRecord(record.Value)
		assert.NoError(c, err)
		return found
	}
	return streamorigin.VersionRecord{}
}

// The versions are written again after the store has come back from a copy without them.
func TestVersionsAreWrittenAgainAfterADrill(t *testing.T) {
	c := newCluster(t, []string{"a"}, standin.ServerConfig{ID: "s0"})
	c.version = "v1"
	c.store.SetEra("1")
	i := c.start("i0")
	c.eventually("the version is recorded", func() bool { return len(c.recordedVersions().Services[summaries]) == 1 })
	c.store.GoBack(platform.TopicVersions, 0, "2")
	i.mirror.ListRead(platform.ServerListBatch{Era: 2, Complete: true, AtEnd: true})
	c.eventually("it is recorded again", func() bool { return len(c.recordedVersions().Services[summaries]) == 1 })
}

// While a build that keeps no record has run before, nobody knows which versions there were.
func TestVersionsBeforeTheFirstRecordAreUnknown(t *testing.T) {
	c := newCluster(t, []string{"a"}, standin.ServerConfig{ID: "s0"})
	c.store.Put(platform.TopicLease, leaseKey, []byte(`{"holder":"former","incarnation":"f","address":"127.0.0.1:1"}`))
	c.version = "v1"
	i, other := c.start("i0"), c.start("i1")
	c.eventually("the version is recorded", func() bool { return len(c.recordedVersions().Services[summaries]) == 1 })
	assert.False(t, c.recordedVersions().Complete)
	assert.Empty(t, i.soleVersion())
	assert.Empty(t, other.soleVersion())
}

// A former holder's late write replaced the record of the next holder, which had added a version.
func TestVersionsOfALaterHolderAreKept(t *testing.T) {
	c := newCluster(t, []string{"a"}, standin.ServerConfig{ID: "s0"})
	c.version = "v1"
	i := c.start("i0")
	recorded := func() []string {
		snapshot, err := c.reader.Newest(t.Context(), platform.TopicVersions)
		if err != nil || len(snapshot.Records) == 0 {
			return nil
		}
		record, err := streamorigin.DecodeVersionRecord(snapshot.Records[0].Value)
		assert.NoError(t, err)
		return record.Services[summaries]
	}
	c.eventually("the version is recorded", func() bool { return slices.Equal(recorded(), []string{"v1"}) })
	later, err := streamorigin.VersionRecord{Complete: true, Services: map[string][]string{summaries: {"v1", "v9"}}}.Encode()
	require.NoError(t, err)
	_, err = c.reader.Append(t.Context(), platform.TopicVersions, versionsKey, later)
	require.NoError(t, err)
	i.withVersion("v2")
	c.eventually("what both know is recorded", func() bool { return slices.Equal(recorded(), []string{"v1", "v2", "v9"}) })
}
