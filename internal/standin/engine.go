package standin

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/cyclamenhoist/cyclamenhoist/internal/adapter/httpcall"
	"github.com/cyclamenhoist/cyclamenhoist/internal/adapter/httpengine"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// engine is one model engine. Whatever it knows, it forgets on a restart, but
// for checkpoints cached on its disk.
type engine struct {
	server   port.Server
	settings EngineSettings
	faults   *faultSet
	tally    *tally
	storeURL string
	client   *http.Client

	mu       sync.Mutex
	restarts int
	// life ends with the incarnation.
	life     context.Context
	end      context.CancelFunc
	sequence uint64
	fence    port.Epoch
	replicas map[port.ModelID]*replica
	orders   map[string]*orderRun
	onDisk   map[port.ModelID]bool
	slots    *slots
	prefixes *prefixCache
	leaving  bool
	history  []pastReport
}

// replica is one model on the engine.
type replica struct {
	port.Replica
	base port.ModelID
	// stop cancels the load.
	stop context.CancelFunc
	// answering counts answers in progress; idle is closed when an unloading
	// replica has none left.
	answering int
	idle      chan struct{}
}

// orderRun is one order in progress or done.
type orderRun struct {
	done   chan struct{}
	result result
}

// result is the answer to an order.
type result struct {
	status int
	code   string
}

var resultOK = result{status: http.StatusOK}

func newEngine(server port.Server, s EngineSettings, faults *faultSet, t *tally, storeURL string, client *http.Client) *engine {
	e := &engine{
		server: server, settings: s, faults: faults, tally: t, storeURL: storeURL, client: client,
		onDisk: make(map[port.ModelID]bool),
	}
	e.begin()
	return e
}

// begin starts an incarnation; e.mu is held or e is not shared yet.
func (e *engine) begin() {
	e.life, e.end = context.WithCancel(context.Background())
	e.sequence = 0
	e.fence = 0
	e.replicas = make(map[port.ModelID]*replica)
	e.orders = make(map[string]*orderRun)
	e.slots = newSlots(e.settings.Slots, e.settings.QueueLimit)
	e.prefixes = newPrefixCache(e.settings.PrefixCache)
	e.record()
}

// restart ends the incarnation with all its loads and answers.
func (e *engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.end()
	for model, r := range e.replicas {
		if r.State != port.ReplicaUnloading {
			e.tally.replicaEnded(model)
		}
	}
	e.restarts++
	e.begin()
}

func (e *engine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
	e.record()
}

func (e *engine) incarnation() string {
	return string(e.server.ID) + "#" + strconv.Itoa(e.restarts)
}

func (e *engine) handler() http.Handler {
	r := chi.NewRouter()
	r.Use(inject(e.faults.ofServer(e.server.ID)))
	r.Post("/v2/repository/models/{model}/load", func(w http.ResponseWriter, r *http.Request) {
		e.serveOrder(w, r, e.load)
	})
	r.Post("/v2/repository/models/{model}/unload", func(w http.ResponseWriter, r *http.Request) {
		e.serveOrder(w, r, e.unload)
	})
	r.Post("/v2/fence", e.serveFence)
	r.Get("/v2/report", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, e.report())
	})
	r.Post("/v1/chat/completions", e.serveChat)
	r.Post("/v1/completions", e.serveText)
	return r
}

// begun starts an order; it runs on when its caller goes away.
type begun func(model port.ModelID, p httpengine.Parameters) (*orderRun, result)

func (e *engine) serveOrder(w http.ResponseWriter, r *http.Request, begin begun) {
	var request httpengine.OrderRequest
	if !readJSON(w, r, &request) {
		return
	}
	model := port.ModelID(pathParam(r, "model"))
	if request.Parameters.OrderID == "" || model == "" {
		writeError(w, http.StatusBadRequest, "malformed")
		return
	}
	life, run, refused := e.accept(model, request.Parameters, begin)
	if run == nil {
		writeError(w, refused.status, refused.code)
		return
	}
	select {
	case <-run.done:
	case <-r.Context().Done():
		return
	case <-life.Done():
		reset(w)
		return
	}
	if run.result.status != http.StatusOK {
		writeError(w, run.result.status, run.result.code)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// accept starts the order, or finds the run that an earlier copy of it started.
func (e *engine) accept(model port.ModelID, p httpengine.Parameters, begin begun) (context.Context, *orderRun, result) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p.Incarnation != "" && p.Incarnation != e.incarnation() {
		return e.life, nil, result{http.StatusConflict, "incarnation"}
	}
	if run, ok := e.orders[p.OrderID]; ok {
		return e.life, run, result{}
	}
	if !e.passFence(p.Fence) {
		return e.life, nil, result{http.StatusConflict, httpcall.CodeFenced}
	}
	run, refused := begin(model, p)
	if run != nil {
		e.orders[p.OrderID] = run
	}
	return e.life, run, refused
}

func (e *engine) checksFencing() bool {
	return e.settings.ChecksFencing && !e.faults.server(e.server.ID).IgnoreFencing
}

// passFence checks an order's fencing number; e.mu is held.
func (e *engine) passFence(fence port.Epoch) bool {
	old := fence < e.fence
	if old && e.checksFencing() {
		e.tally.update(func(c *Counters) { c.Fenced++ })
		return false
	}
	if old {
		e.tally.update(func(c *Counters) { c.OldObeyed++ })
	}
	e.fence = max(e.fence, fence)
	return true
}

func (e *engine) serveFence(w http.ResponseWriter, r *http.Request) {
	var request httpengine.FenceRequest
	if !readJSON(w, r, &request) {
		return
	}
	if !e.checksFencing() {
		writeError(w, http.StatusNotImplemented, "fencing not checked")
		return
	}
	e.mu.Lock()
	passed := e.passFence(request.Fence)
	e.record()
	e.mu.Unlock()
	if !passed {
		writeError(w, http.StatusConflict, httpcall.CodeFenced)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// pastReport is a report as it was at a moment.
type pastReport struct {
	at     time.Time
	report port.Report
}

// maxHistory bounds the past reports kept.
const maxHistory = 512

// record keeps the report of this moment; e.mu is held.
func (e *engine) record() {
	e.history = append(e.history, pastReport{at: time.Now(), report: e.fresh()})
	if len(e.history) > maxHistory {
		e.history = append([]pastReport(nil), e.history[len(e.history)-maxHistory:]...)
	}
}

func (e *engine) reportLag() time.Duration {
	return max(e.settings.ReportLag, e.faults.server(e.server.ID).ReportLag).D()
}

// report returns the report that a reader gets now.
func (e *engine) report() port.Report {
	lag := e.reportLag()
	e.mu.Lock()
	defer e.mu.Unlock()
	if lag == 0 {
		return e.fresh()
	}
	at := time.Now().Add(-lag)
	found := e.history[0].report
	for _, past := range e.history {
		if past.at.After(at) {
			break
		}
		found = past.report
	}
	return found
}

// fresh returns the report of this moment; e.mu is held.
func (e *engine) fresh() port.Report {
	e.sequence++
	running, waiting := e.slots.load()
	r := port.Report{
		Server: e.server.ID, Incarnation: e.incarnation(), Sequence: e.sequence,
		MemoryBytes: e.settings.MemoryBytes, OlderBytes: e.olderBytes(),
		Replicas: []port.Replica{}, InFlight: running, Queued: waiting, Leaving: e.leaving,
		CacheEvents: e.prefixes.report(),
	}
	if e.checksFencing() {
		r.Fence = e.fence
	}
	for _, replica := range e.replicas {
		r.Replicas = append(r.Replicas, replica.Replica)
	}
	for model := range e.onDisk {
		r.CachedOnDisk = append(r.CachedOnDisk, model)
	}
	return r
}

func (e *engine) olderBytes() int64 {
	if older := e.faults.server(e.server.ID).OlderBytes; older != 0 {
		return older
	}
	return e.settings.OlderBytes
}

// shutdown ends the incarnation for good.
func (e *engine) shutdown() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.end()
}
