package edge_test

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/internal/edge"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/platform/standin"
)

// headerServer names the server in the answers of a standingServer.
const headerServer = "X-Test-Server"

// serverArrival is a request that has reached a server.
type serverArrival struct {
	at time.Time
	// from is the instance whose connection it came on, and id that of the request.
	from, id string
}

// rejection is an answer with Retry-After.
type rejection struct {
	at, until time.Time
}

// standingServer answers requests, and says that it leaves or rejects requests for a time.
type standingServer struct {
	id   string
	work time.Duration

	mu sync.Mutex
	// leaving means that all answers say that the server leaves.
	leaving bool
	// leavingAnswer replaces the answers of a server that leaves; nil for its usual ones.
	leavingAnswer http.HandlerFunc
	arrivals      []serverArrival
	// leavingTold is when an answer to each instance first said that the server leaves.
	leavingTold map[string]time.Time
	// rejectFrom and rejectFor are from when and for how long requests of each instance are
	// rejected.
	rejectFrom time.Time
	rejectFor  time.Duration
	// rejectAfter is how long it takes the server to reject a request.
	rejectAfter time.Duration
	rejections  map[string]rejection
}

func (s *standingServer) setLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// leaveWith makes the server say that it leaves in answers of another form.
func (s *standingServer) leaveWith(answer http.HandlerFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving, s.leavingAnswer = true, answer
}

func (s *standingServer) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// noticeDelay is how long after the connection of a request was closed a server still answers it.
const noticeDelay = 100 * time.Millisecond

// reject returns the rest of the time for which requests of an instance are rejected, once the
// server has found that it rejects one.
func (s *standingServer) reject(r *http.Request) time.Duration {
	s.mu.Lock()
	rejects, after := !s.rejectFrom.IsZero() && !time.Now().Before(s.rejectFrom), s.rejectAfter
	s.mu.Unlock()
	if !rejects {
		return 0
	}
	if after > 0 {
		takeTimeToReject(r, after)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	told, known := s.rejections[r.RemoteAddr]
	if !known {
		told = rejection{now, now.Add(s.rejectFor)}
		s.rejections[r.RemoteAddr] = told
	}
	return told.until.Sub(now)
}

// takeTimeToReject waits until the server has found that it rejects a request. It ends the request
// if its connection has been closed long before.
func takeTimeToReject(r *http.Request, after time.Duration) {
	end := time.NewTimer(after)
	defer end.Stop()
	select {
	case <-end.C:
		return
	case <-r.Context().Done():
	}
	select {
	case <-end.C:
	case <-time.After(noticeDelay):
		panic(http.ErrAbortHandler)
	}
}

func (s *standingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	// The end of the connection is noticed once the body has been read.
	_, _ = io.Copy(io.Discard, r.Body)
	s.mu.Lock()
	misdirected := r.Header.Get(standin.HeaderExpect) != s.id
	if !misdirected {
		s.arrivals = append(s.arrivals, serverArrival{now, r.RemoteAddr, r.Header.Get(standin.HeaderID)})
	}
	header := w.Header()
	header.Set(headerServer, s.id)
	header.Set(standin.HeaderID, r.Header.Get(standin.HeaderID))
	if s.leaving {
		header.Set(standin.HeaderLeaving, "1")
		if _, told := s.leavingTold[r.RemoteAddr]; !told {
			s.leavingTold[r.RemoteAddr] = now
		}
	}
	answer := s.leavingAnswer
	s.mu.Unlock()
	switch {
	case misdirected:
		header.Set(standin.HeaderInstance, s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case answer != nil:
		answer(w, r)
		return
	}
	if rest := s.reject(r); rest > 0 {
		header.Set(standin.HeaderNotExecuted, "1")
		header.Set("Retry-After", fmt.Sprintf("%.3f", rest.Seconds()))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	header.Set(standin.HeaderSignature, "signed")
	time.Sleep(s.work)
	if r.Header.Get(standin.HeaderModel) == "" {
		_, _ = fmt.Fprint(w, "answer")
		return
	}
	header.Set("Content-Type", "text/event-stream")
	_, _ = fmt.Fprint(w, events(1, 6))
}

func (s *standingServer) received() []serverArrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.arrivals)
}

// standingFleet is a set of instances, which can lose their paths, before servers that say
// whether they want requests.
type standingFleet struct {
	*virtualFleet

	paths    *paths
	views    []*edge.Views
	standing map[string]*standingServer
	service  string
	// unsafe makes all requests those of a route whose requests may run once.
	unsafe bool
	// patience is after which time the client of a request leaves; 0 for never, or if it is nil.
	patience func(id string) time.Duration

	mu sync.Mutex
	// sentAt is when clients sent each request, and passedOn when each instance first passed on
	// an answer of a server that said that it leaves.
	sentAt   map[string]time.Time
	passedOn map[string]time.Time
}

func newStandingFleet(t *testing.T, service string, instances, servers int) *standingFleet {
	f := &standingFleet{
		virtualFleet: newVirtualFleet(t), standing: map[string]*standingServer{}, service: service,
		sentAt: map[string]time.Time{}, passedOn: map[string]time.Time{},
	}
	f.paths = newPaths(f.virtualFleet)
	manifest := testManifest()
	for n := range servers {
		f.addStanding(fmt.Sprint("s", n))
	}
	for n := range instances {
		views := f.newViews(manifest)
		f.views = append(f.views, views)
		f.paths.addInstance(n, instances, views)
	}
	f.paths.connectRelays()
	return f
}

func (f *standingFleet) addStanding(id string) *standingServer {
	s := &standingServer{id: id, work: 20 * time.Millisecond, leavingTold: map[string]time.Time{}, rejections: map[string]rejection{}}
	f.standing[id] = s
	f.addServer(&fleet.Server{ID: fleet.ServerID(id), Service: f.service, Zone: "zone-a", Slots: 16, Models: []fleet.Resident{{Model: "m"}}}, s)
	return s
}

// restart replaces an instance by one that has just started.
func (f *standingFleet) restart(n int) {
	instances := len(f.instances)
	f.paths.end(instanceName(n))
	f.views[n] = f.newViews(testManifest())
	f.paths.addInstance(n, instances, f.views[n])
	f.instances[n], f.instances = f.instances[instances], f.instances[:instances]
	f.paths.connectRelays()
}

// publish makes the current servers known to all instances.
func (f *standingFleet) publish() {
	for _, views := range f.views {
		views.SetServers(f.listing())
	}
}

// listing returns the current server list.
func (f *standingFleet) listing() map[fleet.ServerID]*fleet.Server { return maps.Clone(f.servers) }

// sentNow records that a client sends a request now.
func (f *standingFleet) sentNow(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sentAt[id] = time.Now()
}

// request sends a request to an instance.
func (f *standingFleet) request(n int, id string) *httptest.ResponseRecorder {
	return f.requestTo(f.instances[n], n, id)
}

// requestTo sends a request to an instance, which is the one with the number.
func (f *standingFleet) requestTo(instance *edge.Edge, n int, id string) *httptest.ResponseRecorder {
	f.sentNow(id)
	source := f.paths.source(instanceName(n))
	path, header := "/read/x", map[string]string{standin.HeaderDeadline: "3000"}
	if f.service == engine {
		path, header[standin.HeaderModel] = "/stream/x", "m"
	}
	if f.unsafe {
		path = "/write/x"
	}
	ctx := f.Context()
	if f.patience != nil && f.patience(id) > 0 {
		var leave context.CancelFunc
		ctx, leave = context.WithTimeout(ctx, f.patience(id))
		defer leave()
	}
	got := f.send(ctx, instance, id, path, header)
	if got.Header().Get(standin.HeaderLeaving) != "" {
		f.mu.Lock()
		defer f.mu.Unlock()
		key := source + got.Header().Get(headerServer)
		if _, passed := f.passedOn[key]; !passed {
			f.passedOn[key] = time.Now()
		}
	}
	return got
}

// play sends requests to the instances for a time, and returns the number of answers by status.
func (f *standingFleet) play(duration time.Duration, perSecond float64, seed uint64) map[int]int {
	random := rand.New(rand.NewPCG(seed, 1))
	var group sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for end := time.Now().Add(duration); time.Now().Before(end); {
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		n, id := random.IntN(len(f.instances)), fmt.Sprint("id", random.Uint64())
		group.Go(func() {
			code := f.request(n, id).Code
			mu.Lock()
			defer mu.Unlock()
			statuses[code]++
		})
	}
	group.Wait()
	return statuses
}

// burst sends concurrent requests to an instance, so that all servers get some.
func (f *standingFleet) burst(n int, name string) {
	var group sync.WaitGroup
	for i := range 8 * len(f.standing) {
		group.Go(func() { f.request(n, fmt.Sprint(name, i)) })
	}
	group.Wait()
}

// busiest returns the server that has got the most requests.
func (f *standingFleet) busiest() *standingServer {
	return slices.MaxFunc(slices.Collect(maps.Values(f.standing)), func(a, b *standingServer) int {
		return len(a.received()) - len(b.received())
	})
}

// leavingBound is the time after which no request is to reach a server from an instance that has
// passed on that the server leaves.
const leavingBound = 2 * time.Second

// late returns how many requests have reached the server too late from an instance that had passed
// on that it leaves, to its clients or to another instance.
func (f *standingFleet) late(s *standingServer) int { return len(f.lateRequests(s)) }

// lateRequest is a request that has reached a server too late.
type lateRequest struct {
	serverArrival

	server       string
	told, sentAt time.Time
}

func (r lateRequest) String() string {
	return fmt.Sprintf("%s at %s from %s: told %v before, sent %v before", r.id, r.server, r.from, r.at.Sub(r.told), r.at.Sub(r.sentAt))
}

func (f *standingFleet) lateRequests(s *standingServer) (late []lateRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.arrivals {
		sent := f.sentAt[a.id]
		for _, passed := range []time.Time{f.passedOn[a.from+s.id], s.leavingTold[a.from]} {
			if !passed.IsZero() && sent.Sub(passed) > leavingBound {
				late = append(late, lateRequest{a, s.id, passed, sent})
				break
			}
		}
	}
	return late
}
