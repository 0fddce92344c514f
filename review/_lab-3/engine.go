package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/platform/standin"
)

// orderGiven is an order that has arrived at an engine.
type orderGiven struct {
	at     time.Time
	holder string
	epoch  int64
	text   string
	status int
}

// engine is a stand-in of a model server that doesn't check epochs (requireFence is false).
type engine struct {
	*httptest.Server

	id       string
	capacity int
	loadTime time.Duration
	record   *record

	mu       sync.Mutex
	models   []string
	known    []string
	loading  bool
	sequence int64
	running  int
	orders   []orderGiven
}

func newEngine(id string, capacity int, loadTime time.Duration, models, known []string, r *record) *engine {
	e := &engine{id: id, capacity: capacity, loadTime: loadTime, models: models, known: known, record: r}
	e.Server = httptest.NewServer(http.HandlerFunc(e.serve))
	return e
}

// register writes the entry of the engine to the server list.
func (e *engine) register(store *standin.Store) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	entry, err := json.Marshal(map[string]any{
		"service": "engine", "address": strings.TrimPrefix(e.URL, "http://"), "zone": "zone-a", "version": "v1", "slotCount": 64,
		"state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": 1000, "models": e.residents(),
		"available": map[string]any{"inMemory": []string{}, "onDisk": e.known},
	})
	if err != nil {
		return err
	}
	store.PutServer(e.id, entry)
	return nil
}

func (e *engine) residents() []map[string]any {
	out := []map[string]any{}
	for _, m := range e.models {
		out = append(out, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	return out
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Header.Get(standin.HeaderExpect) != "" && r.Header.Get(standin.HeaderExpect) != e.id:
		w.Header().Set(standin.HeaderInstance, e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
	case r.URL.Path == "/-/report":
		e.serveReport(w)
	case r.URL.Path == "/-/order":
		e.serveOrder(w, r)
	default:
		e.serveRequest(w, r)
	}
}

func (e *engine) serveReport(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "colocated", "models": e.residents(), "busy": e.loading, "sequence": e.sequence, "queued": 0, "running": e.running,
		"kvUsed": 0, "kvTotal": 1, "handleCount": 0, "available": map[string]any{"inMemory": []string{}, "onDisk": e.known},
	})
}

func (e *engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation, Model, Holder string
		Expect                   *int64
		Fence                    int64
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	status := e.execute(o.Operation, o.Model, o.Expect)
	given := orderGiven{at: time.Now(), holder: o.Holder, epoch: o.Fence, text: o.Operation + " " + o.Model, status: status}
	e.orders = append(e.orders, given)
	e.record.line("%s: order %q of %s, epoch %d: %d", e.id, given.text, given.holder, given.epoch, status)
	w.WriteHeader(status)
}

// execute carries out an order. The lock is held.
func (e *engine) execute(operation, model string, expect *int64) int {
	if e.loading || expect != nil && *expect != e.sequence {
		return http.StatusConflict
	}
	held := slices.Contains(e.models, model)
	switch {
	case operation == "load" && held, operation == "unload" && !held:
		return http.StatusOK
	case operation == "unload":
		e.sequence++
		e.models = slices.DeleteFunc(e.models, func(m string) bool { return m == model })
		return http.StatusAccepted
	case operation != "load":
		return http.StatusBadRequest
	}
	e.sequence++
	e.loading = true
	time.AfterFunc(e.loadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.loading, e.models = false, append(e.models, model)
	})
	return http.StatusAccepted
}

func (e *engine) serveRequest(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	model, _, _ := strings.Cut(r.Header.Get(standin.HeaderModel), "/")
	e.mu.Lock()
	held := slices.Contains(e.models, model)
	e.mu.Unlock()
	w.Header().Set(standin.HeaderID, r.Header.Get(standin.HeaderID))
	if !held {
		w.Header().Set(standin.HeaderInstance, e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.record.line("%s: runs request %s for %s", e.id, r.Header.Get(standin.HeaderID), model)
	w.Header().Set(standin.HeaderSignature, "signed-by-"+e.id)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range streamEvents {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i+1, i+1)
	}
}

// givenOrders returns the orders that have arrived, in order.
func (e *engine) givenOrders() []orderGiven {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}
