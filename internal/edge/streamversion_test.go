package edge_test

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenhoist/cyclamenhoist/internal/edge"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/streamorigin"
	"github.com/cyclamenhoist/cyclamenhoist/platform/standin"
)

const (
	streamEvents  = 6
	streamTimeout = 5 * time.Second
)

// versionedServer streams events that name its software version.
type versionedServer struct {
	version string

	mu sync.Mutex
	// breaksAfter is the number of events after which new streams break off; 0 if they don't.
	breaksAfter int
}

func (s *versionedServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	breaksAfter := s.breaksAfter
	s.mu.Unlock()
	header := w.Header()
	header.Set(standin.HeaderID, r.Header.Get(standin.HeaderID))
	header.Set(standin.HeaderSignature, "signed")
	header.Set("Content-Type", "text/event-stream")
	if r.Header.Get("Last-Event-Id") != "" {
		breaksAfter = 0
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := after + 1; i <= streamEvents; i++ {
		time.Sleep(20 * time.Millisecond)
		if breaksAfter > 0 && i > breaksAfter {
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, s.version); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

func (s *versionedServer) breakAfter(events int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.breaksAfter = events
}

// versionFleet is a set of instances before engines of several software versions.
type versionFleet struct {
	*virtualFleet

	engines  map[string]*versionedServer
	manifest *fleet.Manifest
	views    []*edge.Views
}

// newVersionFleet starts engines of the given versions, which all hold the model "m".
func newVersionFleet(t *testing.T, instances int, versions ...string) *versionFleet {
	f := &versionFleet{
		virtualFleet: newVirtualFleet(t), engines: map[string]*versionedServer{},
		manifest: fleet.NewManifest(1, []fleet.Route{{
			Name: "stream", Host: host, PathPrefix: "/stream/", Kind: fleet.KindStream, CanResume: true,
			Shares: []fleet.Share{{Service: engine, Weight: 1}}, MaxAttempts: 2, Timeout: streamTimeout,
			TargetLatency: 500 * time.Millisecond, GapTarget: 600 * time.Millisecond,
		}}, []fleet.Service{{Name: engine, Engine: &fleet.Engine{Slots: 8, Models: map[string]fleet.Model{"m": {Name: "m"}}}}},
			fleet.CallerLimits{MaxBodyBytes: 1000}),
	}
	for n, version := range versions {
		f.addEngine(fmt.Sprint("e", n), version)
	}
	for n := range instances {
		f.addInstance(instanceName(n))
	}
	// The instances have known the servers for longer than a stream lasts.
	time.Sleep(streamorigin.TTL)
	return f
}

func (f *versionFleet) addEngine(id, version string) {
	f.engines[id] = &versionedServer{version: version}
	f.addServer(&fleet.Server{
		ID: fleet.ServerID(id), Service: engine, Zone: "zone-a", Version: version, Slots: 8, Models: []fleet.Resident{{Model: "m"}},
	}, f.engines[id])
}

func (f *versionFleet) addInstance(name string) *edge.Edge {
	views := f.newViews(f.manifest)
	f.views = append(f.views, views)
	f.instances = append(f.instances, f.newInstance(name, views, len(f.instances)+1))
	return f.instances[len(f.instances)-1]
}

// publish makes the current servers known to all instances.
func (f *versionFleet) publish() {
	for n, views := range f.views {
		views.SetServers(maps.Clone(f.servers))
		f.instances[n].AnnounceStreams()
	}
}

// stream sends a request for a stream.
func (f *versionFleet) stream(ctx context.Context, e *edge.Edge, id string, header map[string]string) *httptest.ResponseRecorder {
	all := map[string]string{standin.HeaderModel: "m"}
	for name, value := range header {
		all[name] = value
	}
	return f.send(ctx, e, id, "/stream/x", all)
}

var eventVersion = regexp.MustCompile(`data: (\S+)`)

// versionsIn returns the versions that wrote the events of an answer, and how many events
// these are.
func versionsIn(body string) (versions map[string]bool, events int) {
	versions = map[string]bool{}
	for _, match := range eventVersion.FindAllStringSubmatch(body, -1) {
		versions[match[1]] = true
		events++
	}
	return versions, events
}

// TestStreamGoesOnAtTheVersionThatBeganIt: a stream whose server broke off was resumed at a
// server of another software version, within one answer.
func TestStreamGoesOnAtTheVersionThatBeganIt(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newVersionFleet(t, 1, "v1", "v1.1", "v1", "v1.1")
		for _, e := range f.engines {
			e.breakAfter(2)
		}
		for i := range 40 {
			got := f.stream(t.Context(), f.instances[0], fmt.Sprint("id", i), nil)
			versions, events := versionsIn(got.Body.String())
			assert.Len(t, versions, 1, "events of stream %d", i)
			assert.Equal(t, streamEvents, events)
			time.Sleep(5 * time.Second) // the ejections of servers end
		}
	})
}

// TestClientTakesUpAStreamAtTheVersionThatBeganIt: a client that took a stream up again through
// another instance got its further events from another software version.
func TestClientTakesUpAStreamAtTheVersionThatBeganIt(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newVersionFleet(t, 4, "v1", "v1.1", "v1", "v1.1")
		wentOn := 0
		const streams = 40
		for i := range streams {
			versions, whole := f.takeUp(f.instances[i%2], f.instances[2+i%2], fmt.Sprint("id", i))
			assert.Len(t, versions, 1, "events of stream %d", i)
			if whole {
				wentOn++
			}
		}
		assert.Equal(t, streams, wentOn)
	})
}

// takeUp begins a stream at one instance, closes it after two events, and takes it up at
// another. It returns the versions that wrote the events, and whether all events came.
func (f *versionFleet) takeUp(first, second *edge.Edge, id string) (map[string]bool, bool) {
	ctx, closeConnection := context.WithCancel(f.Context())
	time.AfterFunc(55*time.Millisecond, closeConnection)
	begun := f.stream(ctx, first, id, nil).Body.String()
	_, events := versionsIn(begun)
	rest := f.stream(f.Context(), second, id+"-again", map[string]string{
		"Last-Event-Id": strconv.Itoa(events), standin.HeaderResumes: id,
	}).Body.String()
	versions, all := versionsIn(begun + rest)
	return versions, all == streamEvents && strings.Contains(rest, fmt.Sprintf("id: %d\n", streamEvents))
}

// removeVersion removes the servers of a version from the list.
func (f *versionFleet) removeVersion(version string) {
	listed := map[fleet.ServerID]*fleet.Server{}
	for id, server := range f.servers {
		if server.Version != version {
			listed[id] = server
		}
	}
	f.servers = listed
	f.publish()
}

// beginStream begins a stream at an instance and breaks it off after two events, and changes
// the fleet then. It returns the answer to the client that takes the stream up at an instance.
func (f *versionFleet) beginStream(first *edge.Edge, change func() *edge.Edge) (begun, rest *httptest.ResponseRecorder) {
	ctx, closeConnection := context.WithCancel(f.Context())
	var second *edge.Edge
	time.AfterFunc(55*time.Millisecond, func() {
		second = change()
		closeConnection()
	})
	begun = f.stream(ctx, first, "first", nil)
	_, events := versionsIn(begun.Body.String())
	assert.Equal(f, 2, events)
	rest = f.stream(f.Context(), second, "again", map[string]string{"Last-Event-Id": strconv.Itoa(events), standin.HeaderResumes: "first"})
	return begun, rest
}

// TestStreamIsTakenUpWhileVersionsChange: whatever instances know, a stream goes on at the
// version that began it, or the client is told at once that it doesn't.
func TestStreamIsTakenUpWhileVersionsChange(t *testing.T) {
	for name, c := range map[string]struct {
		versions []string
		// change changes the fleet while the stream runs, and returns the instance at which the
		// client takes it up.
		change func(f *versionFleet) *edge.Edge
		// goesOn means that the stream is completed; otherwise it is refused.
		goesOn bool
	}{
		"one version": {[]string{"v1", "v1"}, func(f *versionFleet) *edge.Edge {
			f.origins.forget()
			return f.instances[1]
		}, true},
		"a second version appears": {[]string{"v1", "v1"}, func(f *versionFleet) *edge.Edge {
			for n := range 8 {
				f.addEngine(fmt.Sprint("new", n), "v2")
			}
			f.publish()
			return f.instances[1]
		}, true},
		"the version goes away": {[]string{"v1"}, func(f *versionFleet) *edge.Edge {
			f.addEngine("new", "v2")
			f.publish()
			f.removeVersion("v1")
			return f.instances[1]
		}, false},
		"the version goes away and comes back": {[]string{"v1"}, func(f *versionFleet) *edge.Edge {
			f.addEngine("new", "v2")
			f.publish()
			f.removeVersion("v1")
			f.addEngine("back", "v1")
			f.publish()
			return f.instances[1]
		}, true},
		"an instance hasn't heard of the version": {[]string{"v2", "v1"}, func(f *versionFleet) *edge.Edge {
			views := edge.NewViews()
			views.SetManifest(f.manifest)
			views.SetServers(map[fleet.ServerID]*fleet.Server{"e1": f.servers["e1"]})
			return f.newInstance("behind", views, 3)
		}, false},
		"a new instance": {[]string{"v1", "v2", "v2", "v2", "v2", "v2"}, func(f *versionFleet) *edge.Edge {
			return f.addInstance("new")
		}, true},
		"those that knew are gone": {[]string{"v1", "v2"}, func(f *versionFleet) *edge.Edge {
			f.origins.forget()
			return f.addInstance("new")
		}, false},
		"all instances have restarted, and the version has just left": {[]string{"v1", "v2"}, func(f *versionFleet) *edge.Edge {
			f.origins.forget()
			f.origins.restart()
			f.removeVersion("v1")
			return f.addInstance("restarted")
		}, false},
		"all instances have restarted, and all servers have been replaced": {[]string{"v1"}, func(f *versionFleet) *edge.Edge {
			f.addEngine("new", "v2")
			f.removeVersion("v1")
			f.origins.forget()
			f.origins.restart()
			return f.addInstance("restarted")
		}, false},
		"an instance has restarted beside others, with one version": {[]string{"v1", "v1"}, func(f *versionFleet) *edge.Edge {
			return f.addInstance("restarted")
		}, true},
		"an instance has restarted beside others, and the version has just left": {[]string{"v1", "v2"}, func(f *versionFleet) *edge.Edge {
			f.origins.forget()
			f.removeVersion("v1")
			return f.addInstance("restarted")
		}, false},
		"an instance is cut off from the others": {[]string{"v1", "v2"}, func(f *versionFleet) *edge.Edge {
			f.origins.cutOff(true, instanceName(1))
			return f.instances[1]
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				f := newVersionFleet(t, 2, c.versions...)
				// The stream begins at the first engine.
				for id, server := range f.servers {
					if id != "e0" {
						server.Models = nil
					}
				}
				f.publish()
				restore := func() *edge.Edge {
					for _, server := range f.servers {
						server.Models = []fleet.Resident{{Model: "m"}}
					}
					f.publish()
					return c.change(f)
				}
				begun, rest := f.beginStream(f.instances[0], restore)
				versions, events := versionsIn(begun.Body.String() + rest.Body.String())
				assert.Len(t, versions, 1)
				if c.goesOn {
					assert.Equal(t, streamEvents, events)
					return
				}
				assert.Equal(t, http.StatusServiceUnavailable, rest.Code)
				assert.Equal(t, 2, events)
			})
		})
	}
}

// TestTakeUpOfAStreamOlderThanItsRouteAllows: instances that had been killed took the version that they had
// seen since for the only one after the route's timeout, and joined it to streams that began at another one
// (review/6). A stream can be older: it lasts over several attempts, and began under an earlier manifest.
func TestTakeUpOfAStreamOlderThanItsRouteAllows(t *testing.T) {
	for _, wait := range []time.Duration{0, streamTimeout, 2 * streamTimeout, streamorigin.TTL / 2} {
		t.Run(wait.String(), func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				f := newVersionFleet(t, 2, "v1")
				ctx, closeConnection := context.WithCancel(t.Context())
				time.AfterFunc(55*time.Millisecond, closeConnection)
				begun := f.stream(ctx, f.instances[0], "first", nil)
				f.addEngine("new", "v2")
				f.removeVersion("v1")
				f.origins.forget()
				f.origins.restart()
				f.addInstance("restarted")
				restarted := f.addInstance("also restarted")
				time.Sleep(wait)
				rest := f.stream(t.Context(), restarted, "again", map[string]string{"Last-Event-Id": "2", standin.HeaderResumes: "first"})
				versions, _ := versionsIn(begun.Body.String() + rest.Body.String())
				assert.Equal(t, map[string]bool{"v1": true}, versions)
				assert.Equal(t, http.StatusServiceUnavailable, rest.Code)
			})
		})
	}
}
