package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/platform/standin"
)

const (
	crashMachines = 3
	crashServers  = 4
	// contact is contactMs: for how long a machine must have been calm to count as in touch.
	contact = 3 * time.Second
	// crashAfter is how long a server runs the request before it crashes, and backAfter when it is back.
	crashAfter = 40 * time.Millisecond
	backAfter  = 2500 * time.Millisecond
	// expiresAfter is when the entry of a server that has crashed is removed: three liveness reports of 1.2 s.
	expiresAfter = 3600 * time.Millisecond
	// badInterval is the interval at which the request comes that crashes servers.
	badInterval = 5 * time.Second
	// kills is how often the processes of all machines are killed, killEvery the time from one to the next.
	kills      = 2
	killEvery  = 24 * time.Second
	firstPhase = 28 * time.Second
	// lateRetriesAllowed are those that the rule allows.
	lateRetriesAllowed = 3
	badPath            = "/s/bad"
)

// crashServer is a plain server that crashes when it runs the bad request.
type crashServer struct {
	group   *crashGroup
	address string

	mu     sync.Mutex
	id     string
	starts int
	server *http.Server
}

// crashGroup are the servers, and what they have seen of the bad request.
type crashGroup struct {
	record *record
	store  *standin.Store

	mu sync.Mutex
	// crashes are the times of the crashes, and arrivals those at which the bad request reached a server.
	crashes, arrivals []time.Time
}

func (g *crashGroup) start(n int) error {
	address, err := freeAddress()
	if err != nil {
		return err
	}
	s := &crashServer{group: g, address: address, id: fmt.Sprint("web-", n)}
	return s.listen()
}

// listen starts a new incarnation of the server and registers it.
func (s *crashServer) listen() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.starts++
	id := fmt.Sprintf("%s-%d", s.id, s.starts)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(id, w, r) })}
	go func() { _ = s.server.Serve(resetListener{l}) }()
	entry, err := json.Marshal(map[string]any{
		"service": "web", "address": s.address, "zone": "zone-a", "version": "v1", "slotCount": 6, "state": "ready",
		"coldRemainingMs": 0, "sequence": 1, "born": time.Now().UnixMilli(), "models": []any{},
	})
	if err != nil {
		return err
	}
	s.group.store.PutServer(id, entry)
	return nil
}

// resetListener makes connections that are reset when they are closed with the server.
type resetListener struct{ net.Listener }

func (l resetListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	return c, err
}

func (s *crashServer) serve(id string, w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(standin.HeaderID, r.Header.Get(standin.HeaderID))
	w.Header().Set(standin.HeaderInstance, id)
	if expected := r.Header.Get(standin.HeaderExpect); expected != "" && expected != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == badPath {
		s.group.mu.Lock()
		s.group.arrivals = append(s.group.arrivals, time.Now())
		s.group.record.line("%s: runs the bad request %s, and crashes", id, r.Header.Get(standin.HeaderID))
		s.group.mu.Unlock()
		time.Sleep(crashAfter)
		s.crash(id)
		panic(http.ErrAbortHandler)
	}
	time.Sleep(30 * time.Millisecond)
	w.Header().Set(standin.HeaderSignature, "signed-by-"+id)
	_, _ = fmt.Fprint(w, "done")
}

// crash ends the incarnation: its connections are reset, and nothing listens until it is back.
func (s *crashServer) crash(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.server.Close()
	s.group.mu.Lock()
	s.group.crashes = append(s.group.crashes, time.Now())
	s.group.mu.Unlock()
	time.AfterFunc(expiresAfter, func() { s.group.store.PutServer(id, nil) })
	time.AfterFunc(backAfter, func() {
		if err := s.listen(); err != nil {
			s.group.record.say("%s isn't back: %v", id, err)
		}
	})
}

// crashAgain lets a request come again and again that crashes each server that runs it, and the processes of
// all machines are killed. The rule is broken if the request reaches servers more than three times, sent by machines in touch
// later than contactMs after the third crash.
func crashAgain(c *caseRun) (broken bool, err error) {
	store := standin.NewStore()
	defer store.Close()
	value, err := json.Marshal(map[string]any{
		"version": 1,
		"routes": []standin.Route{{
			Name: "web", Host: host, PathPrefix: "/s/", Kind: "unsafe", TimeoutMs: 1500, TargetLatencyMs: 300, Service: "web", MaxAttempts: 1,
		}},
		"services": []any{map[string]any{"name": "web", "maxConnections": 110}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		return false, err
	}
	store.PutManifest(value)
	group := &crashGroup{record: c.record, store: store}
	for n := range crashServers {
		if err := group.start(n + 1); err != nil {
			return false, err
		}
	}
	var machines []*machine
	for i := range crashMachines {
		m, err := newMachine(c.dir, fmt.Sprint("front-", i+1), "zone-a", store.Listener.Addr().String(), c.record)
		if err != nil {
			return false, err
		}
		if err := m.start(); err != nil {
			return false, err
		}
		defer m.stop()
		machines = append(machines, m)
	}
	for _, m := range machines {
		if err := m.awaitReady(15 * time.Second); err != nil {
			return false, err
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients sync.WaitGroup
	var served, unserved atomic.Int64
	for _, m := range machines {
		clients.Go(func() { plainClient(ctx, c.record, m, &served, &unserved) })
	}
	var calmSince []time.Time // when all machines were back, in order
	calmSince = append(calmSince, time.Now())
	var killed []time.Time
	bad := func(until time.Time) {
		for n := 0; time.Now().Add(badInterval).Before(until); n++ {
			time.Sleep(badInterval)
			m := machines[n%len(machines)]
			id := randomID()
			status, err := plainRequest(&http.Client{Timeout: 2 * time.Second}, m.front, badPath, id)
			c.record.line("%s: bad request %s: status %d, %v", m.name, id, status, err)
		}
		time.Sleep(time.Until(until))
	}
	bad(time.Now().Add(firstPhase))
	for range kills {
		if c.trouble {
			killed = append(killed, time.Now())
			c.record.line("the processes of all machines are killed")
			for _, m := range machines {
				if err := m.signal(syscall.SIGKILL); err != nil {
					return false, err
				}
			}
			time.Sleep(restartDelay)
			for _, m := range machines {
				if err := m.awaitReady(15 * time.Second); err != nil {
					return false, err
				}
			}
			calmSince = append(calmSince, time.Now())
		}
		bad(time.Now().Add(killEvery))
	}
	cancel()
	clients.Wait()
	group.mu.Lock()
	defer group.mu.Unlock()
	if len(group.crashes) < 3 {
		return false, fmt.Errorf("only %d crashes", len(group.crashes))
	}
	late := 0
	for _, at := range group.arrivals {
		if at.Before(group.crashes[2].Add(contact)) {
			continue
		}
		inTouch := false
		for i, since := range calmSince {
			inTouch = inTouch || at.After(since.Add(contact)) && (i >= len(killed) || at.Before(killed[i]))
		}
		if inTouch {
			late++
		}
	}
	c.record.say("crashes %d; late retries of machines in touch %d, allowed %d; ordinary requests: %d served, %d not", len(group.crashes), late, lateRetriesAllowed, served.Load(), unserved.Load())
	return late > lateRetriesAllowed, nil
}

func plainRequest(client *http.Client, address, path, id string) (int, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader("x"))
	if err != nil {
		return 0, err
	}
	req.Host = host
	req.Header.Set(standin.HeaderID, id)
	req.Header.Set(standin.HeaderDeadline, "1500")
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	_ = resp.Body.Close()
	return resp.StatusCode, nil
}

func plainClient(ctx context.Context, r *record, m *machine, served, unserved *atomic.Int64) {
	client := &http.Client{Timeout: 2 * time.Second}
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%s-%06d", m.name, n)
		status, err := plainRequest(client, m.front, "/s/ordinary", id)
		if status == http.StatusOK {
			served.Add(1)
		} else {
			unserved.Add(1)
			r.line("%s: ordinary request %s: status %d, %v", m.name, id, status, err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(ordinaryInterval):
		}
	}
}
