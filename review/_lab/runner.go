package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	// contact is the bound contactMs.
	contact = 3 * time.Second
	// heartbeat is the interval at which a runner writes its entry, and expiry how long the store waits for
	// a silent runner.
	heartbeat = 1200 * time.Millisecond
	expiry    = 3 * heartbeat
	// backAfter is how long a runner that has crashed is away.
	backAfter = 2500 * time.Millisecond
)

// runnerConfig describes a runner.
type runnerConfig struct {
	id, service, zone string
	slots             int
	// models are loaded at the start. room is how many fit; 0 for a plain service.
	models []string
	room   int
	// load is how long the load of a model from the runner's disk takes.
	load time.Duration
	// events and pause are the number of events of a stream and the time before each.
	events int
	pause  time.Duration
	// first is the time before the first event, in place of pause.
	first time.Duration
	// header is in all answers.
	header http.Header
	// work is how long a request to a plain service takes.
	work time.Duration
	// admit decides in place of slots whether a request runs.
	admit func(w http.ResponseWriter) bool
	// respond replaces the answer to a request that runs.
	respond func(w http.ResponseWriter, r *http.Request, run *run)
}

// orderCall is an order as it reached a runner.
type orderCall struct {
	at                                              time.Time
	runner, from, holder, operation, model, adapter string
	fence                                           int64
	status                                          int
}

// run is a request that a runner has begun to work on.
type run struct {
	at                time.Time
	runner, id, model string
	path, body        string
}

// runner is a stand-in for a backend server. It doesn't check epoch numbers.
type runner struct {
	cfg  runnerConfig
	rec  *recorder
	addr string

	server *http.Server

	mu       sync.Mutex
	models   map[string]bool
	running  map[string]int
	busy     bool
	sequence int
	entrySeq int
	orders   []orderCall
	runs     []run
	inWork   int
	arrivals []arrival
	// cut means that the runner has lost its path to the store.
	cut bool
	// overloaded counts orders beyond the memory.
	overloaded int
}

func newRunner(rec *recorder, cfg runnerConfig) *runner {
	r := &runner{cfg: cfg, rec: rec, models: map[string]bool{}, running: map[string]int{}}
	for _, m := range cfg.models {
		r.models[m] = true
	}
	listener := listenLoopback()
	r.addr = listener.Addr().String()
	r.server = &http.Server{Handler: http.HandlerFunc(r.handle)}
	go func() { _ = r.server.Serve(listener) }()
	return r
}

// crash ends the runner: nothing listens any more, and all channels end.
func (r *runner) crash() {
	r.rec.printf("%s crashes", r.cfg.id)
	_ = r.server.Close()
}

// residents returns what the runner holds. The caller holds the lock.
func (r *runner) residents() []map[string]any {
	names := []string{}
	for m := range r.models {
		names = append(names, m)
	}
	sort.Strings(names)
	out := []map[string]any{}
	for _, m := range names {
		out = append(out, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	return out
}

func (r *runner) available() map[string]any {
	return map[string]any{"inMemory": []string{}, "onDisk": allModels}
}

// arrival is a request that reached a runner.
type arrival struct {
	at time.Time
	id string
}

// setCut cuts the runner's path to the store, or heals it.
func (r *runner) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
}

// register writes the entry of the runner, as it does every heartbeat.
func (r *runner) register(s *store) {
	r.mu.Lock()
	if r.cut {
		r.mu.Unlock()
		return
	}
	r.entrySeq++
	entry := map[string]any{
		"service": r.cfg.service, "address": r.addr, "zone": r.cfg.zone, "version": "v1", "slotCount": r.cfg.slots,
		"state": "ready", "coldRemainingMs": 0, "sequence": r.entrySeq,
	}
	if r.cfg.room > 0 {
		entry["stage"], entry["models"], entry["available"] = "colocated", r.residents(), r.available()
	}
	r.mu.Unlock()
	s.put("keyed.servers", r.cfg.id, entry)
}

func (r *runner) handle(w http.ResponseWriter, req *http.Request) {
	if expect := req.Header.Get("Cyclamenhoist-Expect-Instance"); expect != "" && expect != r.cfg.id {
		w.Header().Set("Cyclamenhoist-Instance-Id", r.cfg.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch req.URL.Path {
	case "/-/report":
		r.mu.Lock()
		defer r.mu.Unlock()
		writeJSON(w, http.StatusOK, map[string]any{
			"stage": "colocated", "models": r.residents(), "busy": r.busy, "sequence": r.sequence, "queued": 0,
			"running": r.inWork, "kvUsed": 0, "kvTotal": 232000, "handleCount": 0, "available": r.available(),
		})
	case "/-/order":
		r.handleOrder(w, req)
	case "/healthz":
		w.Header().Set("Cyclamenhoist-Instance-Id", r.cfg.id)
	default:
		r.handleRequest(w, req)
	}
}

func (r *runner) handleOrder(w http.ResponseWriter, req *http.Request) {
	var o struct {
		Operation, Model, Adapter, Holder string
		Fence                             *int64
		Expect                            *int
	}
	err := json.NewDecoder(req.Body).Decode(&o)
	if err != nil || o.Holder == "" || o.Fence == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	status := r.carryOut(o.Operation, o.Model, o.Expect)
	call := orderCall{
		at: time.Now(), runner: r.cfg.id, from: req.RemoteAddr, holder: o.Holder, operation: o.Operation, model: o.Model,
		adapter: o.Adapter, fence: *o.Fence, status: status,
	}
	r.orders = append(r.orders, call)
	r.rec.printf("order at %s: %s %s, holder %s, epoch %d: %d", r.cfg.id, o.Operation, o.Model, o.Holder, *o.Fence, status)
	w.WriteHeader(status)
}

// carryOut returns the status of an order. The caller holds the lock.
func (r *runner) carryOut(operation, model string, expect *int) int {
	switch {
	case r.busy || expect != nil && *expect != r.sequence:
		return http.StatusConflict
	case operation == "load" && r.models[model], operation == "unload" && !r.models[model]:
		return http.StatusOK
	case operation == "load":
		if len(r.models) >= r.cfg.room {
			r.overloaded++
			r.rec.printf("LIMIT: %s is ordered to load %s beyond its memory", r.cfg.id, model)
		}
		r.sequence++
		r.busy = true
		time.AfterFunc(r.cfg.load, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.models[model], r.busy = true, false
		})
		return http.StatusAccepted
	case operation == "unload":
		r.sequence++
		r.busy = true
		go r.unload(model)
		return http.StatusAccepted
	}
	return http.StatusBadRequest
}

// unload waits for the model's runs to finish.
func (r *runner) unload(model string) {
	for {
		r.mu.Lock()
		if r.running[model] == 0 {
			delete(r.models, model)
			r.busy = false
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
}

func (r *runner) handleRequest(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	id := req.Header.Get("Cyclamenhoist-Attempt-Id")
	model, _, _ := strings.Cut(req.Header.Get("Cyclamenhoist-Model"), "/")
	header := w.Header()
	for name, values := range r.cfg.header {
		header[name] = values
	}
	header.Set("Cyclamenhoist-Attempt-Id", id)
	header.Set("Cyclamenhoist-Instance-Id", r.cfg.id)
	r.mu.Lock()
	r.arrivals = append(r.arrivals, arrival{time.Now(), id})
	if r.cfg.room > 0 && !r.models[model] {
		r.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.cfg.admit == nil && r.inWork >= r.cfg.slots || r.cfg.admit != nil && !r.cfg.admit(w) {
		r.mu.Unlock()
		header.Set("Cyclamenhoist-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	this := run{at: time.Now(), runner: r.cfg.id, id: id, model: model, path: req.URL.RequestURI(), body: string(body)}
	r.runs = append(r.runs, this)
	r.inWork++
	r.running[model]++
	if r.cfg.admit == nil {
		header.Set("Cyclamenhoist-Runner-Load", fmt.Sprintf("%d,0,%d", r.inWork, r.cfg.slots))
	}
	r.mu.Unlock()
	r.rec.run(this)
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.inWork--
		r.running[model]--
	}()
	header.Set("Cyclamenhoist-Response-Signature", "mac."+r.cfg.id)
	header.Set("Cyclamenhoist-Weight-Versions", "1")
	switch {
	case r.cfg.respond != nil:
		r.cfg.respond(w, req, &this)
	case r.cfg.events > 0:
		r.stream(w, req)
	default:
		sleepOrGone(req, r.cfg.work)
		_, _ = fmt.Fprintf(w, "%s ran %s", r.cfg.id, id)
	}
}

func (r *runner) stream(w http.ResponseWriter, req *http.Request) {
	after := 0
	_, _ = fmt.Sscan(req.Header.Get("Last-Event-Id"), &after)
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	for i := after + 1; i <= r.cfg.events; i++ {
		wait := r.cfg.pause
		if i == after+1 && r.cfg.first > 0 {
			wait = r.cfg.first
		}
		if !sleepOrGone(req, wait) {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
		_ = flusher.Flush()
	}
}

// sleepOrGone sleeps, and reports false if the caller leaves.
func sleepOrGone(req *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-req.Context().Done():
		return false
	}
}
