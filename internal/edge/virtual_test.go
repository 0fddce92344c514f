package edge_test

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/cyclamenhoist/cyclamenhoist/internal/edge"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/crashcause"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/limit"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/streamorigin"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
	"github.com/cyclamenhoist/cyclamenhoist/platform/standin"
)

// virtualFleet runs instances and servers in one process, connected in memory, so that a
// test in a synctest bubble plays seconds of load in virtual time.
type virtualFleet struct {
	*testing.T

	servers   map[fleet.ServerID]*fleet.Server
	listeners *memoryListeners
	permits   *permits
	quotas    *quotas
	origins   *origins
	crashes   *crashes
	standings *standings
	instances []*edge.Edge
	// logger is that of the instances, and retryExtra the number of retries that they share.
	logger     *log.Logger
	retryExtra float64
}

// inVirtualTime runs a test in a synctest bubble.
func inVirtualTime(t *testing.T, test func(*testing.T)) {
	// The first meter starts a goroutine with a ticker, which must not be part of the bubble.
	metrics.NewMeter().Stop()
	synctest.Test(t, test)
}

func newVirtualFleet(t *testing.T) *virtualFleet {
	// The handlers of closed servers, and the checks of crashed ones, end before the bubble does.
	t.Cleanup(func() { time.Sleep(time.Minute) })
	return &virtualFleet{T: t, servers: map[fleet.ServerID]*fleet.Server{}, permits: newPermits(), quotas: newQuotas(), origins: newOrigins(), crashes: newCrashes(t), standings: newStandings(), listeners: &memoryListeners{byAddress: map[string]*memoryListener{}}, logger: &log.Logger{Level: log.PanicLevel}, retryExtra: 200}
}

// addServer starts a server and lists it.
func (f *virtualFleet) addServer(server *fleet.Server, handler http.Handler) {
	server.Address = fmt.Sprintf("10.0.0.%d:80", len(f.servers)+1)
	f.servers[server.ID] = server
	listener := f.listeners.listen(server.Address)
	httpServer := &http.Server{Handler: handler}
	go func() { _ = httpServer.Serve(listener) }()
	f.Cleanup(func() { _ = httpServer.Close() })
}

// dial connects to a server of the fleet.
func (f *virtualFleet) dial(ctx context.Context, _, address string) (net.Conn, error) {
	return f.listeners.dial(ctx, address)
}

// newViews returns the views of an instance that knows the manifest and the servers.
func (f *virtualFleet) newViews(manifest *fleet.Manifest) *edge.Views {
	views := edge.NewViews()
	require.True(f, views.SetManifest(manifest))
	views.SetServers(maps.Clone(f.servers))
	return views
}

// newInstance starts an instance.
func (f *virtualFleet) newInstance(name string, views *edge.Views, instances int) *edge.Edge {
	return f.newInstanceWith(name, views, instances, platform.NewServersWithDial(f.dial))
}

// newInstanceWith starts an instance that connects to servers in its own way.
func (f *virtualFleet) newInstanceWith(name string, views *edge.Views, instances int, servers *platform.Servers) *edge.Edge {
	views.SetInstances(instances)
	f.origins.add(name, views)
	return edge.New(edge.Config{Name: name, Zone: "zone-a", RetryRatio: 0.2, RetryExtra: f.retryExtra, RetryWindow: 10 * time.Second, Instances: instances, Clock: f.quotas.clock},
		views, servers, noDemand{},
		edge.Peers{Permits: f.permits.of(name), Quotas: f.quotas.of(name), Origins: f.origins.of(name), Crashes: f.crashes.of(name), Standings: f.standings.of(name)}, f.logger, metrics.NewRegistry(),
		noop.NewTracerProvider().Tracer(""))
}

// send sends a request to an instance and returns the answer when it is complete.
func (f *virtualFleet) send(ctx context.Context, e *edge.Edge, id, path string, header map[string]string) *httptest.ResponseRecorder {
	return f.sendBody(ctx, e, id, path, "a body", header)
}

// sendBody sends a request with the given body.
func (f *virtualFleet) sendBody(ctx context.Context, e *edge.Edge, id, path, body string, header map[string]string) (w *httptest.ResponseRecorder) {
	req := httptest.NewRequestWithContext(ctx, http.MethodPost, path, strings.NewReader(body))
	req.Host = host
	req.Header.Set(standin.HeaderID, id)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	w = httptest.NewRecorder()
	defer func() {
		// An answer that ends early aborts the handler.
		if broken := recover(); broken != nil {
			require.Equal(f, http.ErrAbortHandler, broken)
		}
	}()
	e.ServeHTTP(w, req)
	return w
}

// permits is the holder, which gives out permits to all instances.
type permits struct {
	mu     sync.Mutex
	limits map[string]*limit.Shared
	// silent are the instances that don't reach the holder.
	silent map[string]bool
}

func newPermits() *permits {
	return &permits{limits: map[string]*limit.Shared{}, silent: map[string]bool{}}
}

// restart replaces the holder by one that knows nothing.
func (p *permits) restart() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.limits)
}

// cutOff cuts instances off from the holder, or reconnects them.
func (p *permits) cutOff(cut bool, instances ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, name := range instances {
		p.silent[name] = cut
	}
}

// of returns the holder as one instance reaches it.
func (p *permits) of(instance string) edge.Permits { return permitsOf{p, instance} }

type permitsOf struct {
	*permits

	instance string
}

func (p permitsOf) Reserve(ctx context.Context, r edge.PermitRequest) (limit.Grant, error) {
	time.Sleep(2 * time.Millisecond)
	p.mu.Lock()
	silent := p.silent[p.instance]
	p.mu.Unlock()
	if silent {
		<-ctx.Done()
		return limit.Grant{}, ctx.Err()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	key := fmt.Sprint(r.Server, r.StartedAt)
	if p.limits[key] == nil {
		p.limits[key] = limit.NewShared(time.Now())
	}
	return p.limits[key].Reserve(p.instance, r.Ask, time.Now()), nil
}

// origins is what the instances know of streams. Announced streams are kept by instances that
// outlive the others.
type origins struct {
	mu        sync.Mutex
	announced *streamorigin.Memory
	// lost are the instances that don't reach the others.
	lost map[string]bool
	// views are those of the instances that run, by name.
	views map[string]*edge.Views
}

func newOrigins() *origins {
	return &origins{announced: streamorigin.NewMemory(), lost: map[string]bool{}, views: map[string]*edge.Views{}}
}

// restart ends all instances.
func (o *origins) restart() {
	o.mu.Lock()
	defer o.mu.Unlock()
	clear(o.views)
}

func (o *origins) add(instance string, views *edge.Views) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.views[instance] = views
}

// of returns the origins as one instance knows them.
func (o *origins) of(instance string) edge.Origins {
	return originsOf{o, instance, streamorigin.NewMemory()}
}

// cutOff cuts an instance off from the others, or reconnects it.
func (o *origins) cutOff(cut bool, instance string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lost[instance] = cut
}

// forget loses what was announced.
func (o *origins) forget() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.announced = streamorigin.NewMemory()
}

type originsOf struct {
	*origins

	instance string
	own      *streamorigin.Memory
}

func (o originsOf) Began(stream string, origin streamorigin.Origin, announce bool) {
	o.own.Put(stream, origin, time.Now())
	o.mu.Lock()
	defer o.mu.Unlock()
	if announce && !o.lost[o.instance] {
		o.announced.Put(stream, origin, time.Now())
	}
}

func (o originsOf) Origin(_ context.Context, q edge.OriginQuestion) (streamorigin.Origin, bool) {
	if origin, known := o.own.Get(q.Stream); known {
		return origin, true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lost[o.instance] {
		return streamorigin.Origin{}, false
	}
	if origin, known := o.announced.Get(q.Stream); known {
		return origin, true
	}
	for name, views := range o.views {
		if version, known := views.Load().SoleVersion(q.Service, time.Now()); known && name != o.instance && !o.lost[name] {
			return streamorigin.Origin{Service: q.Service, Version: version}, true
		}
	}
	return streamorigin.Origin{}, false
}

// crashes exchanges what the instances know of crashes.
type crashes struct {
	*testing.T

	mu  sync.Mutex
	all map[string]*crashcause.Watcher
	// lost are the instances that don't reach the others.
	lost map[string]bool
}

func newCrashes(t *testing.T) *crashes {
	return &crashes{T: t, all: map[string]*crashcause.Watcher{}, lost: map[string]bool{}}
}

// of returns what one instance knows. It learns what the others know already.
func (c *crashes) of(instance string) edge.Crashes {
	own := crashcause.NewWatcher(crashTransport{c, instance})
	for _, other := range c.others(instance) {
		own.Merge(other.Evidence())
	}
	c.mu.Lock()
	c.all[instance] = own
	c.mu.Unlock()
	go own.Run(c.Context())
	return own
}

// cutOff cuts an instance off from the others.
func (c *crashes) cutOff(instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost[instance] = true
}

// others returns the instances that one reaches.
func (c *crashes) others(instance string) []*crashcause.Watcher {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*crashcause.Watcher
	for name, other := range c.all {
		if name != instance && !c.lost[name] && !c.lost[instance] {
			out = append(out, other)
		}
	}
	return out
}

type crashTransport struct {
	*crashes

	instance string
}

func (t crashTransport) Tell(e crashcause.Evidence) {
	for _, other := range t.others(t.instance) {
		time.AfterFunc(evidenceDelay, func() { other.Merge(e) })
	}
}

func (t crashTransport) Ask(_ context.Context, questions []crashcause.Question) (replies []crashcause.Reply) {
	time.Sleep(evidenceDelay)
	for _, other := range t.others(t.instance) {
		replies = append(replies, other.Reply(questions)...)
	}
	return replies
}

// standings exchanges what servers have said about further requests.
type standings struct {
	mu   sync.Mutex
	told map[string]func(edge.Standing)
	// lost are the instances that don't reach the others.
	lost map[string]bool
}

func newStandings() *standings {
	return &standings{told: map[string]func(edge.Standing){}, lost: map[string]bool{}}
}

// of returns the exchange as one instance uses it.
func (s *standings) of(instance string) edge.Standings { return standingsOf{s, instance} }

// cutOff cuts an instance off from the others.
func (s *standings) cutOff(instance string) { s.setLost(instance, true) }

// setLost cuts an instance off from the others, or reconnects it.
func (s *standings) setLost(instance string, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost[instance] = lost
}

type standingsOf struct {
	*standings

	instance string
}

func (s standingsOf) OnTold(told func(edge.Standing)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told[s.instance] = told
}

func (s standingsOf) TellAll(said edge.Standing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, told := range s.told {
		if name != s.instance && !s.lost[name] && !s.lost[s.instance] {
			time.AfterFunc(evidenceDelay, func() { told(said) })
		}
	}
}

func (s standingsOf) Tell(address string, said edge.Standing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if told := s.told[address]; told != nil && !s.lost[address] && !s.lost[s.instance] {
		time.AfterFunc(evidenceDelay, func() { told(said) })
	}
}

// evidenceDelay is the time until other instances know what one tells them.
const evidenceDelay = 5 * time.Millisecond

// memoryListeners connects clients to listeners in memory.
type memoryListeners struct {
	mu        sync.Mutex
	byAddress map[string]*memoryListener
}

type memoryListener struct {
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (m *memoryListeners) listen(address string) *memoryListener {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := &memoryListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	m.byAddress[address] = l
	return l
}

func (m *memoryListeners) dial(ctx context.Context, address string) (net.Conn, error) {
	return m.dialFrom(ctx, "", address)
}

// dialFrom connects to a listener, which sees source as the address of the client.
func (m *memoryListeners) dialFrom(ctx context.Context, source, address string) (net.Conn, error) {
	m.mu.Lock()
	l := m.byAddress[address]
	m.mu.Unlock()
	if l == nil {
		return nil, syscall.ECONNREFUSED
	}
	client, server := net.Pipe()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-l.closed:
		return nil, syscall.ECONNREFUSED
	case l.conns <- addressedConn{server, memoryAddress(source)}:
		return addressedConn{client, l.Addr()}, nil
	}
}

// addressedConn is a connection with the address of the other end, by which connections are
// pooled.
type addressedConn struct {
	net.Conn

	remote net.Addr
}

func (c addressedConn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline succeeds, as on a socket, after the other end has closed the connection; what it has sent
// before can still be read.
func (c addressedConn) SetDeadline(t time.Time) error {
	if err := c.Conn.SetDeadline(t); !errors.Is(err, io.ErrClosedPipe) {
		return err
	}
	return nil
}

// CloseWrite does nothing: the other end doesn't notice it.
func (c addressedConn) CloseWrite() error { return nil }

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *memoryListener) Addr() net.Addr { return memoryAddress(l.address) }

type memoryAddress string

func (memoryAddress) Network() string  { return "memory" }
func (a memoryAddress) String() string { return string(a) }
