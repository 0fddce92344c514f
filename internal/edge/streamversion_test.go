package edge_test

import (
	"context"
	"fmt"
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
	"github.com/cyclamenhoist/cyclamenhoist/platform/standin"
)

const (
	headerResumes = "Resumes"
	streamEvents  = 6
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

	engines   map[string]*versionedServer
	manifest  *fleet.Manifest
	instances []*edge.Edge
	views     []*edge.Views
}

// newVersionFleet starts engines of the given versions, which all hold the model "m".
func newVersionFleet(t *testing.T, instances int, versions ...string) *versionFleet {
	f := &versionFleet{
		virtualFleet: newVirtualFleet(t), engines: map[string]*versionedServer{},
		manifest: fleet.NewManifest(1, []fleet.Route{{
			Name: "stream", Host: host, PathPrefix: "/stream/", Kind: fleet.KindStream, CanResume: true,
			Shares: []fleet.Share{{Service: engine, Weight: 1}}, MaxAttempts: 2, Timeout: 5 * time.Second,
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
	for _, views := range f.views {
		views.SetServers(f.servers)
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
		"Last-Event-Id": strconv.Itoa(events), headerResumes: id,
	}).Body.String()
	versions, all := versionsIn(begun + rest)
	return versions, all == streamEvents && strings.Contains(rest, fmt.Sprintf("id: %d\n", streamEvents))
}
