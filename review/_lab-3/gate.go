package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/platform/standin"
)

// gates stand before the store, one for each machine, since all machines of a case have the same address. A
// gate answers 503, as the store does while it is down or turns a machine away.
type gates struct {
	store  *standin.Store
	record *record
	// lease is how long the holder that has written last is taken to hold the lease.
	lease time.Duration
	// turnAway is for how long the machine is turned away that held the lease when another one claims it; 0 for never.
	turnAway time.Duration

	mu      sync.Mutex
	down    bool
	away    map[string]time.Time
	holder  string
	renewed time.Time
	servers []*httptest.Server
	// overlaps counts the claims while the lease of another machine ran.
	overlaps int
}

// open opens the gate of a machine, and returns its address.
func (g *gates) open(machine string) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { g.serve(machine, w, r) }))
	g.servers = append(g.servers, server)
	return strings.TrimPrefix(server.URL, "http://")
}

func (g *gates) close() {
	for _, server := range g.servers {
		server.CloseClientConnections()
		server.Close()
	}
}

func (g *gates) setDown(down bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.down = down
	g.record.line("store: down=%v", down)
}

func (g *gates) refuses(machine string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.down || time.Now().Before(g.away[machine])
}

func (g *gates) serve(machine string, w http.ResponseWriter, r *http.Request) {
	if g.refuses(machine) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.URL.Path != "/-/log-append" || r.URL.Query().Get("topic") != "keyed.tenure" {
		// A long poll that has begun before ends with the store.
		g.store.Config.Handler.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	answer := httptest.NewRecorder()
	g.store.Config.Handler.ServeHTTP(answer, r)
	if answer.Code == http.StatusOK {
		g.written(machine, body)
	}
	for name, values := range answer.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

// written records who has claimed, renewed or released the lease.
func (g *gates) written(machine string, framed []byte) {
	var lease struct {
		Released bool  `json:"released"`
		Epoch    int64 `json:"epoch"`
	}
	if at := bytes.IndexByte(framed, '{'); at < 0 || json.Unmarshal(framed[at:], &lease) != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if machine != g.holder || lease.Released {
		g.record.line("store: lease written by %s, epoch %d, released %v; before by %q %v ago", machine, lease.Epoch, lease.Released, g.holder, now.Sub(g.renewed).Round(time.Millisecond))
	}
	if g.holder != "" && g.holder != machine && now.Sub(g.renewed) < g.lease && !lease.Released {
		g.overlaps++
		if g.turnAway > 0 {
			g.away[g.holder] = now.Add(g.turnAway)
			g.record.line("store: turns %s away for %v", g.holder, g.turnAway)
		}
	}
	g.holder, g.renewed = machine, now
	if lease.Released {
		g.holder = ""
	}
}
