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
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenhoist/cyclamenhoist/internal/edge"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
	"github.com/cyclamenhoist/cyclamenhoist/platform/standin"
)

const (
	// scriptedEvents is the number of events of a scripted stream, and scriptedGap the time before
	// each of them and before each part of another answer.
	scriptedEvents = 6
	scriptedGap    = 30 * time.Millisecond
	// scriptedSlots is the number of slots of each server.
	scriptedSlots = 8
	// connectTimeout is how long it takes to give up a connection to an unreachable server.
	connectTimeout = 300 * time.Millisecond
)

// script says how a server handles one request.
type script struct {
	// refuses is why the server refuses the request; empty if it runs it.
	refuses string
	// retryAfter is the Retry-After of a refusal, and leaving means that the answer says that the
	// server leaves.
	retryAfter time.Duration
	leaving    bool
	// before is the silence before the answer, and within the one after that number of its events
	// or parts, of which a silence after none follows the head.
	before, within time.Duration
	after          int
	// breaksOff means that the connection ends where the silence within the answer ends.
	breaksOff bool
	// fails means that the answer is a signed 500.
	fails bool
	// dark means that the server says nothing more where the silence within the answer begins.
	dark bool
}

// always returns the script for every request.
func always(s script) func(string, int) script { return func(string, int) script { return s } }

// step is a part of an answer and the pause before it.
type step struct {
	pause time.Duration
	write string
	// ends means that the connection ends, and dark that nothing follows.
	ends, dark bool
}

// steps returns the steps of an answer of the named server to a request for a stream after an event,
// or for another answer.
func (s script) steps(server string, stream bool, lastEvent int) (out []step) {
	var parts []string
	switch {
	case s.fails:
		parts = []string{server + " fails"}
	case stream:
		for id := lastEvent + 1; id <= scriptedEvents; id++ {
			parts = append(parts, fmt.Sprintf("id: %d\n: %s\ndata: event %d\n\n", id, server, id))
		}
	default:
		parts = []string{server + " begins, ", server + " ends"}
	}
	silent := min(s.after, max(len(parts)-1, 0))
	before := s.before
	if len(parts) == 0 || silent == 0 && s.within > 0 && !s.fails {
		out, before = append(out, step{pause: before}), 0 // the head comes alone
	}
	for n, part := range parts {
		pause := before + scriptedGap
		before = 0
		if n == silent {
			pause += s.within
			if s.breaksOff || s.dark {
				return append(out, step{pause: pause, ends: s.breaksOff, dark: s.dark})
			}
		}
		out = append(out, step{pause: pause, write: part})
	}
	return out
}

// run is a request that a server has begun to run.
type run struct {
	server    *scriptedServer
	lastEvent int
	stream    bool
	fails     bool
	began     time.Time
	// ends is when the answer ends by the script, and whole means that it isn't broken off then.
	ends  time.Time
	whole bool
	// firstEnds is when the first part is written by the script, and longestPause the longest one
	// between two parts.
	firstEnds    time.Time
	longestPause time.Duration
	// parts is when each part was written, and over when the run ended; the zero time if it didn't.
	parts []time.Time
	over  time.Time
}

// endsWhole reports whether the whole answer ends by the script, unless the run is canceled. An error
// can't follow events.
func (r *run) endsWhole() bool {
	for _, crashed := range r.server.crashes {
		if crashed.After(r.began) && !crashed.After(r.ends) {
			return false
		}
	}
	return r.whole && (!r.fails || r.lastEvent == 0)
}

// arrivalAt is a request that has reached a server.
type arrivalAt struct {
	at     time.Time
	server fleet.ServerID
}

// runRecord is what all servers have seen of each request.
type runRecord struct {
	mu       sync.Mutex
	runs     map[string][]*run
	arrivals map[string][]arrivalAt
}

// scriptedServer handles each request by a script.
type scriptedServer struct {
	*runRecord

	entry *fleet.Server
	// scriptOf returns the script of a request that the server gets for the nth time, from 0.
	scriptOf func(id string, n int) script
	server   *http.Server
	// crashes is when the server has crashed.
	crashes []time.Time
	// unreachable means that connections to it aren't answered.
	unreachable bool
	visits      map[string]int
}

func (s *scriptedServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The end of the connection is noticed once the body has been read.
	_, _ = io.Copy(io.Discard, r.Body)
	id, now := r.Header.Get(standin.HeaderID), time.Now()
	header := w.Header()
	header.Set(standin.HeaderID, id)
	s.mu.Lock()
	s.arrivals[id] = append(s.arrivals[id], arrivalAt{now, s.entry.ID})
	plan := s.scriptOf(id, s.visits[id])
	s.visits[id]++
	s.mu.Unlock()
	if plan.leaving {
		header.Set(standin.HeaderLeaving, "1")
	}
	if plan.refuses != "" {
		header.Set(standin.HeaderNotExecuted, plan.refuses)
		if plan.retryAfter > 0 {
			header.Set("Retry-After", fmt.Sprintf("%.3f", plan.retryAfter.Seconds()))
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	lastEvent, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	this := &run{server: s, began: now, ends: now, lastEvent: lastEvent, fails: plan.fails, whole: !plan.breaksOff && !plan.dark, stream: s.entry.Service == engine}
	steps := plan.steps(string(s.entry.ID), this.stream, lastEvent)
	for _, part := range steps {
		this.ends = this.ends.Add(part.pause)
		if this.firstEnds.IsZero() && part.write != "" {
			this.firstEnds = this.ends
		} else if !this.firstEnds.IsZero() {
			this.longestPause = max(this.longestPause, part.pause)
		}
	}
	s.mu.Lock()
	s.runs[id] = append(s.runs[id], this)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		this.over = time.Now()
	}()
	header.Set(standin.HeaderSignature, "signed")
	if this.stream && !plan.fails {
		header.Set("Content-Type", "text/event-stream")
	}
	this.play(r.Context(), w, steps)
}

// play writes the answer, until its connection ends.
func (r *run) play(ctx context.Context, w http.ResponseWriter, steps []step) {
	for _, part := range steps {
		if part.pause > 0 && !passes(ctx, part.pause) {
			return
		}
		if part.ends {
			panic(http.ErrAbortHandler)
		}
		if part.dark {
			<-ctx.Done()
			return
		}
		if r.fails {
			w.WriteHeader(http.StatusInternalServerError)
		}
		if _, err := io.WriteString(w, part.write); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		if part.write != "" {
			r.server.mu.Lock()
			r.parts = append(r.parts, time.Now())
			r.server.mu.Unlock()
		}
	}
}

// passes waits for a time, and reports false if the context ends before.
func passes(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// scriptedFleet is a virtualFleet of scripted servers.
type scriptedFleet struct {
	*virtualFleet
	*runRecord

	scripted map[fleet.ServerID]*scriptedServer
	lines    *logLines
}

func newScriptedFleet(t *testing.T) *scriptedFleet {
	f := &scriptedFleet{
		virtualFleet: newVirtualFleet(t), scripted: map[fleet.ServerID]*scriptedServer{},
		runRecord: &runRecord{runs: map[string][]*run{}, arrivals: map[string][]arrivalAt{}},
	}
	f.lines, f.logger = newLogLines()
	return f
}

// addScripted starts a server and lists it.
func (f *scriptedFleet) addScripted(id, service, version string, scriptOf func(id string, n int) script) *scriptedServer {
	s := &scriptedServer{runRecord: f.runRecord, scriptOf: scriptOf, visits: map[string]int{}, entry: &fleet.Server{
		ID: fleet.ServerID(id), Service: service, Zone: "zone-a", Version: version, Slots: scriptedSlots, Models: []fleet.Resident{{Model: "m"}},
		Address: fmt.Sprintf("10.0.0.%d:80", len(f.scripted)+1),
	}}
	f.scripted[s.entry.ID], f.servers[s.entry.ID] = s, s.entry
	f.listen(s)
	f.Cleanup(func() { _ = s.server.Close() })
	return s
}

func (f *scriptedFleet) listen(s *scriptedServer) {
	listener, server := f.listeners.listen(s.entry.Address), &http.Server{Handler: s}
	s.server = server
	go func() { _ = server.Serve(listener) }()
}

// crash ends a server: its connections break, and its address refuses others.
func (f *scriptedFleet) crash(s *scriptedServer) {
	f.mu.Lock()
	s.crashes = append(s.crashes, time.Now())
	f.mu.Unlock()
	_ = s.server.Close()
}

func (f *scriptedFleet) setUnreachable(s *scriptedServer, unreachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.unreachable = unreachable
}

// dial connects to a server, unless it is unreachable.
func (f *scriptedFleet) dial(ctx context.Context, network, address string) (net.Conn, error) {
	f.mu.Lock()
	unreachable := false
	for _, s := range f.scripted {
		unreachable = unreachable || s.entry.Address == address && s.unreachable
	}
	f.mu.Unlock()
	if !unreachable {
		conn, err := f.virtualFleet.dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return wholeConn{conn}, nil
	}
	if !passes(ctx, connectTimeout) {
		return nil, ctx.Err()
	}
	return nil, syscall.ETIMEDOUT
}

// wholeConn is a connection that can't be closed for writing alone: the server notices at once when a
// request is given up, as it does on a socket.
type wholeConn struct{ net.Conn }

// addInstance starts an instance.
func (f *scriptedFleet) addInstance(name string, views *edge.Views, instances int) *edge.Edge {
	return f.newInstanceWith(name, views, instances, platform.NewServersWithDial(f.dial))
}

// scriptedReply is what a client has got for a request.
type scriptedReply struct {
	id, path                 string
	arrived, deadline, ended time.Time
	// gone is when the client has left or got the end of the answer.
	gone            time.Time
	status          int
	body            string
	closed, hasLeft bool
}

// ask sends a request with a body of its own. The time limit is that of the routes, or a shorter one.
func (f *scriptedFleet) ask(ctx context.Context, e *edge.Edge, id, path string, limit time.Duration) (got scriptedReply) {
	got = scriptedReply{id: id, path: path, arrived: time.Now(), deadline: time.Now().Add(limit)}
	req := httptest.NewRequestWithContext(ctx, http.MethodPost, path, strings.NewReader("body of "+id))
	req.Host = host
	req.Header.Set(standin.HeaderID, id)
	req.Header.Set(standin.HeaderModel, "m")
	req.Header.Set(standin.HeaderDeadline, strconv.FormatInt(limit.Milliseconds(), 10))
	w := httptest.NewRecorder()
	defer func() {
		if broken := recover(); broken != nil {
			require.Equal(f, http.ErrAbortHandler, broken)
			got.closed = true
		}
		got.ended, got.status, got.body, got.hasLeft = time.Now(), w.Code, w.Body.String(), ctx.Err() != nil
	}()
	e.ServeHTTP(w, req)
	return got
}

// isWhole reports whether the client has a whole answer of a server.
func (r *scriptedReply) isWhole() bool {
	server, part, _ := strings.Cut(r.body, " ")
	switch {
	case r.closed:
		return false
	case r.status == http.StatusInternalServerError:
		return part == "fails"
	case r.status != http.StatusOK:
		return false
	case r.isStream():
		return len(r.eventServers()) == scriptedEvents
	}
	return r.body == server+" begins, "+server+" ends"
}

func (r *scriptedReply) isStream() bool { return r.path == "/stream/x" || r.path == "/once/x" }

// inOrder reports whether the events of a stream have no gap and no repeat.
func (r *scriptedReply) inOrder() bool { return !r.isStream() || r.eventServers() != nil }

// eventServers returns the servers of the events of a stream, in order; nil if the events have a gap
// or a repeat.
func (r *scriptedReply) eventServers() []string {
	out := []string{}
	if r.status != http.StatusOK {
		return out
	}
	for n, event := range strings.Split(strings.TrimSuffix(r.body, "\n\n"), "\n\n") {
		var id, data int
		var server string
		if _, err := fmt.Sscanf(event, "id: %d\n: %s\ndata: event %d", &id, &server, &data); event == "" && err != nil {
			continue
		}
		if id != n+1 || data != id {
			return nil
		}
		out = append(out, server)
	}
	return out
}
