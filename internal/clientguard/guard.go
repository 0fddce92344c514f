// Package clientguard protects the listeners of an instance against clients that send much, slowly or
// never read.
//
// A Guard wraps a listener and configures the http.Server on it. Its connections reserve what their
// requests use in a bytebudget.Budget, and are cut off when they exceed a limit or a timeout that
// depends on their progress. docs/design/untrusted-clients.md has the limits and their reasons.
package clientguard

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/bytebudget"
)

const (
	// ConnectionBytes is what an open connection is estimated to use: two buffers of 4 KB, the stacks
	// of its goroutines, and a head of ordinary size.
	ConnectionBytes = 16 << 10
	// DefaultHeaderBytes limits a head if Limits doesn't.
	DefaultHeaderBytes = 64 << 10
	// headerSlack is how far a head may exceed its limit, as in net/http.
	headerSlack = 4 << 10
	// DefaultHeaderTimeout and minIdleTimeout apply if Limits states less.
	DefaultHeaderTimeout = 5 * time.Second
	minIdleTimeout       = 60 * time.Second
	// freeFields is the number of fields of a head that ConnectionBytes covers, and fieldBytes what
	// each further one uses: entries of the map of the request and of its copy, and its parts of the
	// two heads.
	freeFields = 32
	fieldBytes = 512
	// discardTimeout is the time for a body that the handler doesn't read.
	discardTimeout = 500 * time.Millisecond
	// bodyGrace is the time for a body beyond a second for each bytebudget.MinPace, and the longest
	// pause in it. It is the platform's timeout for a head.
	bodyGrace = 3 * time.Second
	// lastChance is how long a client whose time is up can still deliver what has arrived. An
	// instance that was suspended finds all times expired when it resumes.
	lastChance = 250 * time.Millisecond
	// unreadTimeout is how long a response can wait for the client to read on. A reader of 3 KB/s
	// reopens the window of a loopback connection, 64 KB, within it.
	unreadTimeout = 20 * time.Second
	// writeBytes is the size of the parts in which a response is written, each of which is progress.
	writeBytes = 64 << 10
	// maxPipelined is the number of requests in a row that may arrive before the response to the one
	// before. pipelinedAtOnce of them are handled in pipelinedTime, or more slowly, whatever the number
	// of connections: 1,600 per second, a tenth of a core. Connections whose next request has already
	// arrived never wait for the network, and with hundreds of them the scheduler of a single core
	// hardly asks for the connections that do.
	maxPipelined = 64
	// ordinaryInRow is the number of requests in a row up to which a client isn't taken to pipeline. One that
	// has its whole answer can send the next request before the handler of the last one has ended.
	ordinaryInRow   = 8
	pipelinedAtOnce = 8
	pipelinedTime   = 5 * time.Millisecond
	// pipelineWait is the longest time that such a request waits for its turn.
	pipelineWait = time.Second
	// acceptRetryDelay is the delay after an error of the listener, for example if no descriptor is
	// left.
	acceptRetryDelay = 20 * time.Millisecond
	// acceptPause is the time until a new connection beyond the limit looks for a place again.
	acceptPause = 5 * time.Millisecond
	// RetryAfter is when a client that was refused for lack of memory should come back.
	RetryAfter = time.Second
)

// Limits are the limits on a client's requests; a zero value has a default.
type Limits struct {
	MaxHeaderBytes int64
	// MaxFields is the number of fields of a head; 0 for as many as the budget has memory for.
	MaxFields                  int
	HeaderTimeout, IdleTimeout time.Duration
}

// Config configures a Guard.
type Config struct {
	// Listener names the listener in metrics and logs.
	Listener string
	// MaxConnections limits the open connections.
	MaxConnections int
	// Raw is for a protocol other than HTTP: only the number of connections, and the time until the
	// first bytes, are limited.
	Raw    bool
	Budget *bytebudget.Budget
	// Limits returns the limits in force; nil for the defaults.
	Limits func() Limits
	// Refuse answers a request that isn't handled, with status 503 and Retry-After, and closes the
	// connection; nil for a plain answer.
	Refuse   func(w http.ResponseWriter, r *http.Request)
	Log      *log.Logger
	Registry metrics.Registry
}

// Guard protects one listener.
type Guard struct {
	cfg       Config
	causes    *causeLog
	pipelined chan struct{}

	mu    sync.Mutex
	conns map[*Conn]struct{}
	// reserved are the bytes of the open connections.
	reserved bytebudget.Reservation
}

// New returns a Guard.
func New(cfg Config) *Guard {
	if cfg.Limits == nil {
		cfg.Limits = func() Limits { return Limits{} }
	}
	if cfg.Refuse == nil {
		cfg.Refuse = refuse
	}
	g := &Guard{
		cfg: cfg, causes: newCauseLog(cfg.Listener, cfg.Log, cfg.Registry),
		pipelined: make(chan struct{}, pipelinedAtOnce), conns: map[*Conn]struct{}{},
	}
	cfg.Budget.Begin(&g.reserved, bytebudget.Connections, nil, clock())
	metrics.NewRegisteredFunctionalGauge("clients_"+cfg.Listener+"_connections", cfg.Registry, func() int64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return int64(len(g.conns))
	})
	return g
}

// RegisterBudget adds gauges of the bytes of each purpose, and of those that dropped reservations
// still use, to the registry.
func RegisterBudget(b *bytebudget.Budget, registry metrics.Registry) {
	for _, p := range bytebudget.Purposes() {
		metrics.NewRegisteredFunctionalGauge("clients_bytes_"+p.String(), registry, func() int64 { return b.Used(p) })
	}
	metrics.NewRegisteredFunctionalGauge("clients_bytes_dropped", registry, b.Dropping)
}

// Reserve reserves bytes that are never dropped, and reports whether there are any.
func Reserve(b *bytebudget.Budget, p bytebudget.Purpose, n int64) (release func(), ok bool) {
	r := &bytebudget.Reservation{}
	b.Begin(r, p, nil, clock())
	if r.Grow(n, clock()) != nil {
		r.End()
		return nil, false
	}
	return r.End, true
}

// started is the zero of the clock.
var started = time.Now()

// clock returns the time that has passed since the process started.
func clock() time.Duration { return time.Since(started) }

func (g *Guard) limits() Limits {
	l := g.cfg.Limits()
	if l.MaxHeaderBytes <= 0 {
		l.MaxHeaderBytes = DefaultHeaderBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = DefaultHeaderTimeout
	}
	l.IdleTimeout = max(l.IdleTimeout, minIdleTimeout)
	return l
}

// Configure sets up a server for a listener of this guard. The guard applies the limits in force to
// heads and timeouts; those of the server are a second line.
func (g *Guard) Configure(s *http.Server) {
	s.Handler = g.handler(s.Handler)
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		guarded, ok := c.(*Conn)
		if !ok {
			return
		}
		switch state {
		case http.StateActive:
			guarded.beginHandler()
		case http.StateIdle:
			guarded.beginIdle()
		}
	}
	if s.ReadHeaderTimeout == 0 {
		s.ReadHeaderTimeout = DefaultHeaderTimeout
	}
	if s.IdleTimeout == 0 {
		s.IdleTimeout = minIdleTimeout
	}
}

type connKey struct{}

// Client returns the connection of a request; nil if no Guard protects it.
func Client(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	return c
}

// handler limits pipelined requests, and releases what a request has reserved when it ends.
func (g *Guard) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := Client(r)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		defer c.endHandler()
		if c.pipelinedInRow > 0 {
			if !g.admitPipelined(c, r) {
				g.causes.add(causePipelined, r.RemoteAddr)
				// A blocked write mustn't keep a large head in memory.
				clear(r.Header)
				g.cfg.Refuse(w, r)
				return
			}
		}
		next.ServeHTTP(w, r)
	})
}

// admitPipelined waits until a pipelined request may be handled, and reports whether it may.
func (g *Guard) admitPipelined(c *Conn, r *http.Request) bool {
	fields := 0
	for _, values := range r.Header {
		fields += len(values)
	}
	if c.pipelinedInRow > maxPipelined || !c.reserveFields(fields) {
		return false
	}
	if c.pipelinedInRow <= ordinaryInRow {
		return true
	}
	select {
	case g.pipelined <- struct{}{}:
		g.returnPlace()
		return true
	default:
	}
	timer := time.NewTimer(pipelineWait)
	defer timer.Stop()
	select {
	case g.pipelined <- struct{}{}:
		g.returnPlace()
		return true
	case <-timer.C:
	case <-r.Context().Done():
	}
	return false
}

// returnPlace gives back the place of a pipelined request. What it paces is the start of requests, which
// may run for seconds.
func (g *Guard) returnPlace() { time.AfterFunc(pipelinedTime, func() { <-g.pipelined }) }

func refuse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Retry-After", "1")
	w.Header().Set("Connection", "close")
	http.Error(w, "too many requests of this client", http.StatusServiceUnavailable)
}

// Listen returns a listener that accepts the connections of l within the limits. Errors that pass,
// such as a lack of descriptors, don't end it.
func (g *Guard) Listen(l net.Listener) net.Listener { return &listener{Listener: l, guard: g} }

type listener struct {
	net.Listener

	guard *Guard
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		var passing interface{ Temporary() bool }
		switch {
		case err == nil:
			if c := l.open(conn); c != nil {
				return c, nil
			}
		case errors.As(err, &passing) && passing.Temporary():
			time.Sleep(acceptRetryDelay)
		default:
			return nil, err
		}
	}
}

// open registers a connection; nil if it is refused. If it can take the place of another one soon, it waits
// for that: otherwise a flood of connections would close those whose requests this goroutine doesn't let be
// read.
func (l *listener) open(conn net.Conn) *Conn {
	for {
		c, later := l.guard.open(conn)
		if c != nil {
			return c
		}
		if !later {
			l.guard.refuse(conn)
			return nil
		}
		time.Sleep(acceptPause)
	}
}

// open registers a connection. Beyond the limit another one is closed for it. If there is none, it returns
// nil, and whether there may be one later.
func (g *Guard) open(conn net.Conn) (opened *Conn, later bool) {
	now := clock()
	c := &Conn{Conn: conn, guard: g, progress: bytebudget.NewProgress(now)}
	g.mu.Lock()
	var replaced *Conn
	if len(g.conns) >= g.cfg.MaxConnections || g.reserved.Grow(ConnectionBytes, now) != nil {
		var rank int
		replaced, rank = g.replaceable(now)
		if rank <= rankYoungHead {
			g.mu.Unlock()
			return nil, rank == rankYoungHead
		}
		defer g.causes.add(replaceCause(rank), replaced.RemoteAddr().String())
		// The new connection takes over the bytes.
		delete(g.conns, replaced)
	}
	g.conns[c] = struct{}{}
	g.mu.Unlock()
	if replaced != nil {
		_ = replaced.closeNow()
	}
	deadline := time.Now().Add(g.limits().HeaderTimeout)
	if g.cfg.Raw {
		c.until = deadline
	}
	_ = conn.SetReadDeadline(deadline)
	return c, false
}

// refuse answers on a connection that isn't served.
func (g *Guard) refuse(conn net.Conn) {
	g.causes.add(causeConnections, conn.RemoteAddr().String())
	// The buffer of a new socket takes the answer, so the write doesn't block.
	_ = conn.SetWriteDeadline(time.Now().Add(lastChance))
	_, _ = conn.Write([]byte(rawUnavailable))
	_ = conn.Close()
}

// replaceable returns the connection to close for a new one and its rank: one that is about to be closed;
// else the longest idle one; else the one with the slowest progress among those that don't keep a pace; else
// one with pipelined requests, or the oldest whose head hasn't arrived.
func (g *Guard) replaceable(now time.Duration) (best *Conn, rank int) {
	most := 0.0
	for c := range g.conns {
		if r, score := c.replaceRank(now); r > rank || r == rank && r > rankNone && score > most {
			best, rank, most = c, r, score
		}
	}
	return best, rank
}

func replaceCause(rank int) cause {
	switch rank {
	case rankIdle, rankDone:
		return causeIdle
	case rankPipelined:
		return causePipelined
	default:
		return causeSlow
	}
}

// close unregisters a connection.
func (g *Guard) close(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, open := g.conns[c]; open {
		delete(g.conns, c)
		g.reserved.Shrink(ConnectionBytes)
	}
}

const (
	rawUnavailable = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	rawTooLarge    = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)
