package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/jsonc"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/targets"
)

const (
	testModel  = "tide-summary"
	coldModel  = "reef-draft"
	testPrefix = "/entries/"
)

type fakeView struct{}

var (
	classChat  = &targets.Class{Name: "chat", MaxWait: jsonc.Duration(5 * time.Second), Repeatable: true}
	classEntry = &targets.Class{Name: "entry", MaxWait: jsonc.Duration(5 * time.Second)}
)

func (fakeView) Classify(q ClassQuery) *targets.Class {
	if strings.HasPrefix(q.Path, testPrefix) || q.Class == classEntry.Name {
		return classEntry
	}
	return classChat
}

func (fakeView) Class(name string) (*targets.Class, bool) {
	for _, class := range []*targets.Class{classChat, classEntry} {
		if class.Name == name {
			return class, true
		}
	}
	return nil, false
}

func (v fakeView) Model(id port.ModelID) (port.ModelInfo, bool) {
	for _, info := range v.Models() {
		if info.ID == id {
			return info, true
		}
	}
	return port.ModelInfo{}, false
}

func (fakeView) Models() []port.ModelInfo {
	return []port.ModelInfo{{ID: testModel, Service: "engines"}, {ID: coldModel, Service: "engines"}}
}

func (fakeView) Service(path string) (targets.Service, bool) {
	if strings.HasPrefix(path, testPrefix) {
		return targets.Service{Name: "entries", Kind: port.KindPlain, PathPrefix: testPrefix}, true
	}
	return targets.Service{}, false
}

// fakeRouter selects its first server that isn't excluded, up to the total
// capacity and only once the model is ready.
type fakeRouter struct {
	mu       sync.Mutex
	servers  []port.Server
	capacity int
	absent   map[port.ModelID]bool
	busy     int
	outcomes []OutcomeKind
	retries  int
	// maxRetries is the retry budget; zero for no limit.
	maxRetries int
}

type fakeAttempt struct {
	router *fakeRouter
	server port.Server
}

func (a *fakeAttempt) Server() port.Server { return a.server }

func (a *fakeAttempt) Done(_ time.Time, o Outcome) {
	a.router.mu.Lock()
	defer a.router.mu.Unlock()
	a.router.busy--
	a.router.outcomes = append(a.router.outcomes, o.Kind)
}

func (r *fakeRouter) Pick(_ time.Time, q PickQuery) (Attempt, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if q.Retry && r.maxRetries > 0 && r.retries >= r.maxRetries {
		return nil, ErrNoBudget
	}
	if r.absent[q.Model] {
		return nil, ErrNoReplica
	}
	if r.busy >= r.capacity {
		return nil, ErrNoCapacity
	}
	for _, s := range r.servers {
		if !contains(q.Exclude, s.ID) {
			r.busy++
			if q.Retry {
				r.retries++
			}
			return &fakeAttempt{router: r, server: s}, nil
		}
	}
	return nil, ErrNoReplica
}

func contains(ids []port.ServerID, id port.ServerID) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}

// change changes the router while requests are in progress.
func (r *fakeRouter) change(f func(r *fakeRouter)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r)
}

func (r *fakeRouter) setReady(model port.ModelID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.absent, model)
}

// fakeWaker returns the same reply to every wake request and records the
// requests.
type fakeWaker struct {
	mu      sync.Mutex
	reply   WakeReply
	err     error
	queries []WakeQuery
	ready   chan struct{}
}

func (w *fakeWaker) Wake(_ context.Context, q WakeQuery) (WakeReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queries = append(w.queries, q)
	return w.reply, w.err
}

func (w *fakeWaker) Ready(port.ModelID) <-chan struct{} { return w.ready }

func (w *fakeWaker) queryCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.queries)
}

// backendFunc adapts a function to a port.Backend.
type backendFunc func(ctx context.Context, s port.Server, r *http.Request) (*http.Response, error)

func (f backendFunc) Do(ctx context.Context, s port.Server, r *http.Request) (*http.Response, error) {
	return f(ctx, s, r)
}

// overHTTP returns a backend that sends requests to a handler over loopback.
func overHTTP(t testing.TB, handler http.HandlerFunc) port.Backend {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	transport := &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
	t.Cleanup(transport.CloseIdleConnections)
	return backendFunc(func(_ context.Context, _ port.Server, r *http.Request) (*http.Response, error) {
		r.URL.Host = strings.TrimPrefix(server.URL, "http://")
		return transport.RoundTrip(r)
	})
}

// bench is a gateway with fake dependencies, served on loopback.
type bench struct {
	t       testing.TB
	gateway *Gateway
	router  *fakeRouter
	waker   *fakeWaker
	server  *httptest.Server
	url     string
}

func newBench(t testing.TB, backend port.Backend, change ...func(*Deps)) *bench {
	router := &fakeRouter{
		servers:  []port.Server{{ID: "s1", Address: "192.0.2.1:80"}, {ID: "s2", Address: "192.0.2.2:80"}},
		capacity: 1000,
		absent:   map[port.ModelID]bool{coldModel: true},
	}
	waker := &fakeWaker{ready: make(chan struct{}), reply: WakeReply{Accepted: true, ReadyIn: time.Second}}
	deps := Deps{
		Snapshot: func() View { return fakeView{} },
		Router:   router,
		Waker:    waker,
		Backend:  backend,
		Clock:    port.SystemClock{},
	}
	for _, f := range change {
		f(&deps)
	}
	g := New(deps)
	server := httptest.NewUnstartedServer(nil)
	server.Config = g.Server()
	server.Start()
	t.Cleanup(func() {
		server.Close()
		g.stop()
		g.background.Wait()
		require.True(t, g.Endings().Balanced(), "%+v", g.Endings())
		require.Zero(t, g.Endings().InProgress)
		require.Zero(t, router.busy, "reserved capacity not released")
	})
	return &bench{t: t, gateway: g, router: router, waker: waker, server: server, url: server.URL}
}

type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

func (b *bench) send(method, path, body string, headers ...string) reply {
	b.t.Helper()
	request, err := http.NewRequest(method, b.url+path, strings.NewReader(body))
	require.NoError(b.t, err)
	for i := 0; i < len(headers); i += 2 {
		request.Header.Add(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(content), err: err}
}

func (b *bench) chat(body string, headers ...string) reply {
	b.t.Helper()
	return b.send("POST", "/v1/chat/completions", body, append(headers, "Content-Type", "application/json")...)
}
