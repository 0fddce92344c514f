package placer

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenhoist/cyclamenhoist/internal/edge"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/streamorigin"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
	"github.com/cyclamenhoist/cyclamenhoist/platform/standin"
)

// recordedStreams returns the number of streams on the store.
func (c *cluster) recordedStreams() int {
	snapshot, err := c.reader.Newest(c.Context(), platform.TopicOrigins)
	if err != nil {
		return 0
	}
	streams := map[string]bool{}
	for _, record := range snapshot.Records {
		entries, err := streamorigin.DecodeSegment(record.Value)
		assert.NoError(c, err)
		for _, e := range entries {
			streams[e.Stream] = true
		}
	}
	return len(streams)
}

// Where streams began was lost with the instances, so that streams which clients took up again while two
// versions served were refused until their time was over (review/8).
func TestOriginsOutliveAllInstances(t *testing.T) {
	const streams = 30
	for name, lose := range map[string]func(c *cluster, instances []*instance){
		"all lose power": func(*cluster, []*instance) {},
		"the store drops its history": func(c *cluster, _ []*instance) {
			c.store.TruncateHistory(platform.TopicOrigins)
		},
		"the store comes back from a copy without them": func(c *cluster, instances []*instance) {
			c.store.GoBack(platform.TopicOrigins, 0, "2")
			for _, i := range instances {
				i.mirror.ListRead(platform.ServerListBatch{Era: 2, Complete: true, AtEnd: true})
			}
			c.eventually("the streams are recorded again", func() bool { return c.recordedStreams() == streams })
		},
		"the store refuses for a while": func(c *cluster, instances []*instance) {
			refused := func() (n int64) {
				for _, i := range instances {
					n += i.originLog.failedWrites.Count()
				}
				return n
			}
			// The holder knows of the stream before the store refuses; it may have written it, too.
			for _, i := range instances {
				i.originLog.journal.Add([]streamorigin.Entry{{Stream: "late", Origin: streamorigin.Origin{Service: summaries, Version: "v1"}}}, time.Now())
			}
			c.store.SetFaults(standin.StoreFaults{Refuse: http.StatusServiceUnavailable})
			c.eventually("a write is refused, or was done before", func() bool { return refused() > 0 || c.recordedStreams() > streams })
			c.store.SetFaults(standin.StoreFaults{})
			c.eventually("the last stream is recorded", func() bool { return c.recordedStreams() == streams+1 })
		},
		"first the holder alone": func(c *cluster, instances []*instance) {
			for n, i := range instances {
				if i.elector.placing() {
					other := instances[(n+1)%len(instances)]
					i.end()
					other.Began("late", streamorigin.Origin{Service: summaries, Version: "v1"}, true)
					break
				}
			}
			c.eventually("the next holder has recorded the last stream", func() bool { return c.recordedStreams() == streams+1 })
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, []string{"a"}, standin.ServerConfig{ID: "s0"})
			c.version = "v1"
			c.store.SetEra("1")
			first := []*instance{c.start("i0"), c.start("i1"), c.start("i2")}
			for _, i := range first {
				i.withVersion("v2")
			}
			version := func(n int) string { return []string{"v1", "v2"}[n%2] }
			for n := range streams {
				first[n%len(first)].Began(fmt.Sprint("stream", n), streamorigin.Origin{Service: summaries, Version: version(n)}, true)
			}
			c.eventually("the streams are recorded", func() bool { return c.recordedStreams() == streams })
			lose(c, first)
			for _, i := range first {
				i.end()
			}
			c.version = "v2"
			for loss := range 3 {
				later := []*instance{c.start(fmt.Sprint("i", 3+2*loss)), c.start(fmt.Sprint("i", 4+2*loss))}
				for n := range streams {
					origin, known := later[n%2].Origin(t.Context(), edge.OriginQuestion{Stream: fmt.Sprint("stream", n), Service: summaries})
					assert.True(t, known, "after loss %d", loss+1)
					assert.Equal(t, version(n), origin.Version)
				}
				for _, i := range later {
					_, known := i.Origin(t.Context(), edge.OriginQuestion{Stream: "never began", Service: summaries})
					assert.False(t, known)
					assert.LessOrEqual(t, i.originLog.reads.Count(), int64(4), "questions share reads")
					i.end()
				}
			}
		})
	}
}

// Calls to the store are priced: streams of a service that has had one version cost none.
func TestOriginsOfOneVersionAreNotRecorded(t *testing.T) {
	c := newCluster(t, []string{"a"}, standin.ServerConfig{ID: "s0"})
	i := c.start("i0")
	c.eventually("it holds the lease", i.elector.placing)
	for n := range 10 {
		i.Began(fmt.Sprint("stream", n), streamorigin.Origin{Service: summaries}, false)
	}
	i.Began("announced", streamorigin.Origin{Service: summaries}, true)
	c.eventually("what is announced is recorded", func() bool { return c.recordedStreams() > 0 })
	assert.Equal(t, 1, c.recordedStreams())
	assert.Equal(t, int64(1), i.originLog.writes.Count())
}

// Streams are reported once to each holder, those of the last seconds to a new one again. A stream that goes on
// while a report is on its way is announced again.
func TestStreamsAreReportedToANewHolderAgain(t *testing.T) {
	var u unreportedOrigins
	now := time.Unix(1_800_000_000, 0)
	origin := streamorigin.Origin{Service: "s", Version: "v1"}
	names := func(newHolder bool) (out []string) {
		streams, _ := u.next(newHolder)
		for _, s := range streams {
			out = append(out, s.Stream)
		}
		return out
	}
	u.add("a", origin, now)
	_, begun := u.next(false)
	u.add("b", origin, now.Add(time.Second))
	u.add("a", origin, now.Add(time.Second))
	u.markReported(begun)
	assert.Equal(t, []string{"b", "a"}, names(false))
	assert.Equal(t, []string{"a", "b", "a"}, names(true))
	_, begun = u.next(true)
	u.markReported(begun)
	assert.Empty(t, names(false))
	u.add("c", origin, now.Add(originResendTime+500*time.Millisecond))
	assert.Equal(t, []string{"b", "a", "c"}, names(true), "the first is too old")
	for n := range 2 * maxUnreportedOrigins {
		u.add(fmt.Sprint(n), origin, now.Add(originResendTime))
	}
	assert.Len(t, names(false), maxUnreportedOrigins)

	_, begun = u.next(false)
	u.markReported(begun)
	u.add(strings.Repeat("x", streamorigin.MaxStreamBytes+1), origin, now)
	assert.Empty(t, names(false), "clients choose the names")
}

// A former holder's late write replaced a segment of the next holder: the origins of its streams were lost.
func TestOriginsOfALaterHolderAreKept(t *testing.T) {
	c := newCluster(t, []string{"a"}, standin.ServerConfig{ID: "s0"})
	i := c.start("i0")
	c.eventually("it holds the lease", i.elector.placing)
	began := func(stream string) {
		i.originLog.journal.Add([]streamorigin.Entry{{Stream: stream, Origin: streamorigin.Origin{Service: summaries, Version: "v1"}}}, time.Now())
	}
	began("first")
	c.eventually("the first stream is recorded", func() bool { return c.recordedStreams() == 1 })
	segment, err := streamorigin.Segment{Entries: []streamorigin.Entry{{Stream: "of a later holder", Origin: streamorigin.Origin{Service: summaries}}}}.Encode()
	require.NoError(t, err)
	_, err = c.reader.Append(t.Context(), platform.TopicOrigins, "1", segment)
	require.NoError(t, err)
	began("second")
	c.eventually("the second stream is recorded", func() bool {
		i.originLog.mu.Lock()
		defer i.originLog.mu.Unlock()
		_, due := i.originLog.journal.Next()
		return !due
	})
	assert.Equal(t, 3, c.recordedStreams())
}
