package edge_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.opentelemetry.io/otel/trace"

	"github.com/cyclamenhoist/cyclamenhoist/internal/edge"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/streamorigin"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
	"github.com/cyclamenhoist/cyclamenhoist/platform/standin"
)

type noDemand struct{}

func (noDemand) Arrived(edge.Want)     {}
func (noDemand) Wait(edge.Want) func() { return func() {} }

func (noDemand) Run(string, fleet.ServerID) func() { return func() {} }

// harness is an Edge with simulated backend servers.
type harness struct {
	*testing.T

	views   *edge.Views
	edge    *edge.Edge
	front   *httptest.Server
	servers map[fleet.ServerID]*fleet.Server
	spans   *tracetest.SpanRecorder
	tracer  trace.Tracer
	origins *origins
}

const (
	plain  = "records"
	engine = "summaries"
	host   = "shop.example"
)

var routes = []fleet.Route{
	{Name: "read", PathPrefix: "/read/", Kind: fleet.KindSafe, Shares: []fleet.Share{{Service: plain, Weight: 1}}, MaxAttempts: 2},
	{Name: "write", PathPrefix: "/write/", Kind: fleet.KindUnsafe, Shares: []fleet.Share{{Service: plain, Weight: 1}}, MaxAttempts: 1},
	{Name: "stream", PathPrefix: "/stream/", Kind: fleet.KindStream, CanResume: true, Shares: []fleet.Share{{Service: engine, Weight: 1}}, MaxAttempts: 2},
	{Name: "once", PathPrefix: "/once/", Kind: fleet.KindStream, Shares: []fleet.Share{{Service: engine, Weight: 1}}, MaxAttempts: 1},
}

func newHarness(t *testing.T) *harness {
	w := &harness{T: t, views: edge.NewViews(), servers: map[fleet.ServerID]*fleet.Server{}, spans: tracetest.NewSpanRecorder(), origins: newOrigins()}
	w.tracer = sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(w.spans)).Tracer("")
	w.edge = edge.New(edge.Config{Zone: "zone-a", RetryRatio: 0.2, RetryExtra: 20, RetryWindow: 10 * time.Second, Instances: 1},
		w.views, platform.NewServers(), noDemand{},
		edge.Peers{Permits: newPermits().of("i0"), Quotas: newQuotas().of("i0"), Origins: w.origins.of("i0"), Crashes: newCrashes(t).of("i0"), Standings: newStandings().of("i0")}, &log.Logger{Level: log.PanicLevel}, metrics.NewRegistry(), w.tracer)
	w.front = httptest.NewServer(w.edge)
	t.Cleanup(w.front.Close)
	return w
}

func (w *harness) publish() {
	list := make([]fleet.Route, len(routes))
	copy(list, routes)
	for i := range list {
		list[i].Host, list[i].Timeout, list[i].TargetLatency = host, 20*time.Second, 10*time.Second
		list[i].GapTarget = 10 * time.Second
	}
	services := []fleet.Service{{Name: plain}, {Name: engine, Engine: &fleet.Engine{
		Slots: 8, WeightsMB: 100, Models: map[string]fleet.Model{"m": {Name: "m", WeightsMB: 10}},
	}}}
	require.True(w, w.views.SetManifest(fleet.NewManifest(7, list, services, fleet.CallerLimits{MaxBodyBytes: 1000})))
	w.views.SetServers(w.servers)
}

// add starts a server and adds it to the server list.
func (w *harness) add(cfg standin.ServerConfig) *standin.Server {
	if cfg.Service == engine {
		cfg.Models, cfg.ModelCapacity, cfg.Events = []string{"m"}, 3, 6
	}
	s := standin.NewServer(cfg)
	w.Cleanup(s.Close)
	w.list(cfg, s.Address())
	return s
}

func (w *harness) list(cfg standin.ServerConfig, address string) {
	w.servers[fleet.ServerID(cfg.ID)] = &fleet.Server{
		ID: fleet.ServerID(cfg.ID), Service: cfg.Service, Address: address, Zone: "zone-a", Slots: 8,
		Models: []fleet.Resident{{Model: "m"}},
	}
}

func (w *harness) request(ctx context.Context, method, target string, header map[string]string) *http.Request {
	req, err := http.NewRequestWithContext(ctx, method, w.front.URL+target, strings.NewReader("a body"))
	require.NoError(w, err)
	req.Host = host
	req.Header.Set(standin.HeaderID, "id-1")
	req.Header.Set(standin.HeaderDeadline, "15000")
	req.Header.Set(standin.HeaderModel, "m")
	for name, value := range header {
		req.Header.Set(name, value)
	}
	return req
}

type reply struct {
	status int
	header http.Header
	body   string
	// broken means that the connection was closed before the body was complete.
	broken bool
}

func (w *harness) do(method, target string, header map[string]string) reply {
	resp, err := http.DefaultTransport.RoundTrip(w.request(w.Context(), method, target, header))
	if err != nil {
		return reply{broken: true}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(body), broken: err != nil}
}

func events(from, to int) string {
	var out strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&out, "id: %d\ndata: event %d\n\n", i, i)
	}
	return out.String()
}

func TestPassesRequestsUnchanged(t *testing.T) {
	w := newHarness(t)
	s := w.add(standin.ServerConfig{ID: "s1", Service: plain})
	w.publish()
	got := w.do(http.MethodPost, "/read/a%2Fb//c?q=1&q=2", map[string]string{
		"X-Own": "kept", "Connection": "X-Hop", "X-Hop": "dropped",
		standin.HeaderHold: "h", standin.HeaderPin: "9", standin.HeaderFrom: "k", standin.HeaderBackup: "b",
		standin.HeaderExpect: "forged",
	})
	assert.Equal(t, http.StatusOK, got.status)
	assert.Equal(t, "s1 POST a body", got.body)
	assert.Equal(t, "signed-by-s1", got.header.Get(standin.HeaderSignature))
	require.Len(t, s.Runs(), 1)
	run := s.Runs()[0]
	assert.Equal(t, "/read/a%2Fb//c?q=1&q=2", run.Path)
	assert.Equal(t, "kept", run.Header.Get("X-Own"))
	assert.Equal(t, "s1", run.Header.Get(standin.HeaderExpect))
	for _, name := range []string{"X-Hop", standin.HeaderHold, standin.HeaderPin, standin.HeaderFrom, standin.HeaderBackup} {
		assert.Empty(t, run.Header.Get(name), name)
	}
	remaining, err := strconv.Atoi(run.Header.Get(standin.HeaderDeadline))
	require.NoError(t, err)
	assert.LessOrEqual(t, remaining, 15000)
}

func TestEndings(t *testing.T) {
	for _, c := range []struct {
		name   string
		path   string
		faults standin.ServerFaults
		// status is the status that the client receives, runs the number of times the
		// first server executed the request; elsewhere means that the second server
		// answers.
		status    int
		runs      int
		elsewhere bool
	}{
		{"unsafe, answer lost: unknown, and not repeated", "/write/", standin.ServerFaults{LoseAnswers: true}, 502, 1, false},
		{"unsafe, refused: runs elsewhere", "/write/", standin.ServerFaults{RefuseRequests: true}, 200, 0, true},
		{"unsafe, server error: forwarded", "/write/", standin.ServerFaults{Fail: true}, 500, 1, false},
		{"unsafe, unsigned success: not forwarded", "/write/", standin.ServerFaults{Unsigned: true}, 502, 1, false},
		{"unsafe, another request's answer: not forwarded", "/write/", standin.ServerFaults{WrongRequestID: true}, 502, 1, false},
		{"unsafe, body truncated: not forwarded as complete", "/write/", standin.ServerFaults{CutBody: true}, 502, 1, false},
		{"safe, answer lost: repeated", "/read/", standin.ServerFaults{LoseAnswers: true}, 200, 1, true},
		{"safe, server error: repeated", "/read/", standin.ServerFaults{Fail: true}, 200, 1, true},
		{"safe, unsigned success: repeated", "/read/", standin.ServerFaults{Unsigned: true}, 200, 1, true},
		{"safe, another request's answer: repeated", "/read/", standin.ServerFaults{WrongRequestID: true}, 200, 1, true},
		{"safe, body truncated: repeated", "/read/", standin.ServerFaults{CutBody: true}, 200, 1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newHarness(t)
			faulty := w.add(standin.ServerConfig{ID: "faulty", Service: plain})
			faulty.SetFaults(c.faults)
			w.publish()
			// The second server is in another zone, so that the first is always
			// preferred.
			second := standin.NewServer(standin.ServerConfig{ID: "second", Service: plain, Zone: "zone-b"})
			defer second.Close()
			w.list(standin.ServerConfig{ID: "second", Service: plain}, second.Address())
			w.servers["second"].Zone = "zone-b"
			w.views.SetServers(w.servers)
			got := w.do(http.MethodPost, c.path, nil)
			assert.Equal(t, c.status, got.status)
			assert.Len(t, faulty.Runs(), c.runs)
			want := 0
			if c.elsewhere {
				want = 1
			}
			assert.Len(t, second.Runs(), want)
			if c.status == http.StatusBadGateway {
				assert.Empty(t, got.header.Get(standin.HeaderSignature))
			}
		})
	}
}

// A request has one span, with a child span for each attempt.
func TestSpans(t *testing.T) {
	w := newHarness(t)
	for _, id := range []string{"s1", "s2"} {
		w.add(standin.ServerConfig{ID: id, Service: plain}).SetFaults(standin.ServerFaults{Fail: true})
	}
	w.publish()
	assert.Equal(t, http.StatusInternalServerError, w.do(http.MethodPost, "/read/", nil).status)
	require.Eventually(t, func() bool { return len(w.spans.Ended()) == 3 }, time.Minute, time.Millisecond)
	spans := w.spans.Ended()
	assert.Equal(t, []string{"attempt", "attempt", "request"}, []string{spans[0].Name(), spans[1].Name(), spans[2].Name()})
	for _, attempt := range spans[:2] {
		assert.Equal(t, spans[2].SpanContext().SpanID(), attempt.Parent().SpanID())
	}
}

func TestUnreachableServerLosesNoRequests(t *testing.T) {
	w := newHarness(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	gone := l.Addr().String()
	require.NoError(t, l.Close())
	w.list(standin.ServerConfig{ID: "gone", Service: plain}, gone)
	s := w.add(standin.ServerConfig{ID: "s1", Service: plain})
	w.publish()
	for i := range 4 {
		assert.Equal(t, http.StatusOK, w.do(http.MethodPost, "/write/", nil).status, "request %d", i)
	}
	assert.Len(t, s.Runs(), 4)
}

func TestRefusalsSayNotRun(t *testing.T) {
	t.Run("no manifest", func(t *testing.T) {
		assert.Equal(t, http.StatusServiceUnavailable, newHarness(t).do(http.MethodGet, "/read/", nil).status)
	})
	t.Run("no route", func(t *testing.T) {
		w := newHarness(t)
		w.publish()
		assert.Equal(t, http.StatusNotFound, w.do(http.MethodGet, "/nowhere/", nil).status)
	})
	t.Run("no server", func(t *testing.T) {
		w := newHarness(t)
		w.publish()
		got := w.do(http.MethodPost, "/write/", nil)
		assert.Equal(t, http.StatusServiceUnavailable, got.status)
		after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		assert.Positive(t, after)
	})
	t.Run("unknown model", func(t *testing.T) {
		w := newHarness(t)
		w.add(standin.ServerConfig{ID: "s1", Service: engine})
		w.publish()
		assert.Equal(t, http.StatusServiceUnavailable, w.do(http.MethodPost, "/once/", map[string]string{standin.HeaderModel: "no"}).status)
	})
	t.Run("body too large", func(t *testing.T) {
		w := newHarness(t)
		w.publish()
		req := w.request(t.Context(), http.MethodPost, "/write/", nil)
		req.Body, req.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 2000))), 2000
		resp, err := http.DefaultTransport.RoundTrip(req)
		require.NoError(t, err)
		defer resp.Body.Close()
		assert.Equal(t, http.StatusRequestEntityTooLarge, resp.StatusCode)
	})
	t.Run("stopping", func(t *testing.T) {
		w := newHarness(t)
		s := w.add(standin.ServerConfig{ID: "s1", Service: engine})
		w.servers["s1"].Models = nil
		w.publish()
		w.edge.Drain(time.Now().Add(time.Hour), time.Now(), time.Now())
		got := w.do(http.MethodPost, "/once/", nil)
		assert.Equal(t, http.StatusServiceUnavailable, got.status)
		assert.Empty(t, s.Runs())
	})
	t.Run("about to stop", func(t *testing.T) {
		w := newHarness(t)
		s := w.add(standin.ServerConfig{ID: "s1", Service: plain})
		w.publish()
		w.edge.Drain(time.Now().Add(time.Hour), time.Now().Add(time.Hour), time.Now().Add(time.Hour))
		assert.Equal(t, http.StatusOK, w.do(http.MethodPost, "/write/", nil).status, "still accepted at first")
		w.edge.Drain(time.Now(), time.Now().Add(time.Hour), time.Now().Add(time.Hour))
		got := w.do(http.MethodPost, "/write/", nil)
		assert.Equal(t, http.StatusServiceUnavailable, got.status)
		assert.NotEmpty(t, got.header.Get("Retry-After"))
		assert.Len(t, s.Runs(), 1)
	})
}

func TestStreams(t *testing.T) {
	t.Run("whole", func(t *testing.T) {
		w := newHarness(t)
		w.add(standin.ServerConfig{ID: "s1", Service: engine})
		w.publish()
		assert.Equal(t, events(1, 6), w.do(http.MethodPost, "/once/", nil).body)
	})
	t.Run("resumed elsewhere, without the incomplete event", func(t *testing.T) {
		w := newHarness(t)
		servers := []*standin.Server{
			w.add(standin.ServerConfig{ID: "s1", Service: engine}), w.add(standin.ServerConfig{ID: "s2", Service: engine}),
		}
		w.publish()
		for _, s := range servers {
			s.SetFaults(standin.ServerFaults{CutAfter: 3})
		}
		got := w.do(http.MethodPost, "/stream/", nil)
		// Each server sends events up to event 3 and breaks off; the second sends nothing
		// new.
		assert.True(t, got.broken)
		assert.Equal(t, events(1, 3), got.body)
		assert.Len(t, append(servers[0].Runs(), servers[1].Runs()...), 2)
	})
	t.Run("one server breaks off", func(t *testing.T) {
		w := newHarness(t)
		first := w.add(standin.ServerConfig{ID: "s1", Service: engine})
		first.SetFaults(standin.ServerFaults{CutAfter: 2})
		w.add(standin.ServerConfig{ID: "s2", Service: engine})
		w.publish()
		for range 6 {
			got := w.do(http.MethodPost, "/stream/", nil)
			assert.False(t, got.broken)
			assert.Equal(t, events(1, 6), got.body)
		}
	})
	t.Run("non-resumable stream never looks complete", func(t *testing.T) {
		w := newHarness(t)
		s := w.add(standin.ServerConfig{ID: "s1", Service: engine})
		s.SetFaults(standin.ServerFaults{CutAfter: 2})
		w.publish()
		got := w.do(http.MethodPost, "/once/", nil)
		assert.True(t, got.broken)
		assert.Equal(t, events(1, 2), got.body)
		assert.Len(t, s.Runs(), 1)
	})
	t.Run("resumed by the client", func(t *testing.T) {
		w := newHarness(t)
		s := w.add(standin.ServerConfig{ID: "s1", Service: engine})
		w.publish()
		w.origins.announced.Put("first", streamorigin.Origin{Service: engine}, time.Now())
		takenUp := map[string]string{"Last-Event-Id": "4", standin.HeaderResumes: "first"}
		assert.Equal(t, events(5, 6), w.do(http.MethodPost, "/stream/", takenUp).body)
		assert.Equal(t, "4", s.Runs()[0].After)
	})
	// The instance has just started, and servers of another version may just have left.
	t.Run("of unknown origin isn't resumed", func(t *testing.T) {
		w := newHarness(t)
		s := w.add(standin.ServerConfig{ID: "s1", Service: engine})
		w.publish()
		assert.Equal(t, http.StatusServiceUnavailable, w.do(http.MethodPost, "/stream/", map[string]string{"Last-Event-Id": "4"}).status)
		assert.Empty(t, s.Runs())
	})
}

func TestStaleModelListing(t *testing.T) {
	w := newHarness(t)
	stale := w.add(standin.ServerConfig{ID: "stale", Service: engine})
	holding := w.add(standin.ServerConfig{ID: "holds", Service: engine})
	w.publish()
	_ = stale
	for id := range w.servers {
		// Both servers are listed with the model, but only one still holds it.
		w.servers[id].Models = []fleet.Resident{{Model: "other"}, {Model: "m"}}
	}
	w.views.SetServers(w.servers)
	got := w.do(http.MethodPost, "/once/", nil)
	assert.Equal(t, http.StatusOK, got.status)
	assert.Len(t, append(holding.Runs(), stale.Runs()...), 1)
}

func TestCancelsRequestOfDisconnectedClient(t *testing.T) {
	w := newHarness(t)
	s := w.add(standin.ServerConfig{ID: "s1", Service: plain})
	s.SetFaults(standin.ServerFaults{NeverRespond: true})
	w.publish()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		resp, err := http.DefaultTransport.RoundTrip(w.request(ctx, http.MethodPost, "/write/", nil))
		if err == nil {
			resp.Body.Close()
		}
		ended <- err
	}()
	require.Eventually(t, func() bool { return len(s.Runs()) == 1 }, time.Minute, time.Millisecond)
	cancel()
	require.Error(t, <-ended)
	require.Eventually(t, func() bool { return s.Canceled() == 1 }, time.Minute, time.Millisecond)
}

func TestTimeLimitEndsTruthfully(t *testing.T) {
	w := newHarness(t)
	s := w.add(standin.ServerConfig{ID: "s1", Service: plain})
	s.SetFaults(standin.ServerFaults{NeverRespond: true})
	w.publish()
	got := w.do(http.MethodPost, "/write/", map[string]string{standin.HeaderDeadline: "200"})
	assert.Equal(t, http.StatusGatewayTimeout, got.status)
	assert.Len(t, s.Runs(), 1)
}

func TestResidencyOfEarlierIncarnationIsIgnored(t *testing.T) {
	w := newHarness(t)
	s := w.add(standin.ServerConfig{ID: "s1", Service: engine})
	w.servers["s1"].StartedAt, w.servers["s1"].Models = 2, nil
	w.publish()
	w.views.SetResidency(map[fleet.ServerID]edge.Residency{"s1": {StartedAt: 1, Sequence: 9, Models: []fleet.Resident{{Model: "m"}}}})
	got := w.do(http.MethodPost, "/once/", map[string]string{standin.HeaderDeadline: "150"})
	assert.Equal(t, http.StatusServiceUnavailable, got.status)
	assert.Empty(t, s.Runs())
	w.views.SetResidency(map[fleet.ServerID]edge.Residency{"s1": {StartedAt: 2, Sequence: 1, Models: []fleet.Resident{{Model: "m"}}}})
	assert.Equal(t, http.StatusOK, w.do(http.MethodPost, "/once/", nil).status)
}
