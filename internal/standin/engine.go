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

// engine is one model engine. A restart discards its state, except for the
// checkpoints cached on disk.
type engine struct {
	server   port.Server
	settings EngineSettings
	faults   *faultSet
	counters *counterSet
	storeURL string
	client   *http.Client

	mu       sync.Mutex
	restarts int
	// lifetime is cancelled when the incarnation ends.
	lifetime context.Context
	cancel   context.CancelFunc
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
	// cancelLoad cancels the load if it is still running.
	cancelLoad context.CancelFunc
	// inFlight counts answers in progress. idle is closed when an unloading
	// replica has none.
	inFlight int
	idle     chan struct{}
}

// orderRun is an order that is in progress or completed. result is valid once
// done is closed.
type orderRun struct {
	done   chan struct{}
	result result
}

// result is the answer to an order: the HTTP status and an error code.
type result struct {
	status int
	code   string
}

var resultOK = result{status: http.StatusOK}

func newEngine(server port.Server, s EngineSettings, faults *faultSet, counters *counterSet, storeURL string, client *http.Client) *engine {
	e := &engine{
		server: server, settings: s, faults: faults, counters: counters, storeURL: storeURL, client: client,
		onDisk: make(map[port.ModelID]bool),
	}
	e.startIncarnation()
	return e
}

// startIncarnation resets the state for a new incarnation. The caller must hold
// e.mu unless e isn't shared yet.
func (e *engine) startIncarnation() {
	e.lifetime, e.cancel = context.WithCancel(context.Background())
	e.sequence = 0
	e.fence = 0
	e.replicas = make(map[port.ModelID]*replica)
	e.orders = make(map[string]*orderRun)
	e.slots = newSlots(e.settings.Slots, e.settings.QueueLimit)
	e.prefixes = newPrefixCache(e.settings.PrefixCache)
	e.recordReport()
}

// restart ends the current incarnation with all its loads and answers and starts
// a new one.
func (e *engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancel()
	for model, r := range e.replicas {
		if r.State != port.ReplicaUnloading {
			e.counters.recordReplicaEnd(model)
		}
	}
	e.restarts++
	e.startIncarnation()
}

func (e *engine) markLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
	e.recordReport()
}

func (e *engine) incarnation() string {
	return string(e.server.ID) + "#" + strconv.Itoa(e.restarts)
}

func (e *engine) handler() http.Handler {
	r := chi.NewRouter()
	r.Use(injectFaults(e.faults.callFaultsOf(e.server.ID)))
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

// orderStarter starts an order, which continues if its caller disconnects. If the
// order is refused, the run is nil and the result gives the reason.
type orderStarter func(model port.ModelID, p httpengine.Parameters) (*orderRun, result)

func (e *engine) serveOrder(w http.ResponseWriter, r *http.Request, start orderStarter) {
	var request httpengine.OrderRequest
	if !readJSON(w, r, &request) {
		return
	}
	model := port.ModelID(pathParam(r, "model"))
	if request.Parameters.OrderID == "" || model == "" {
		writeError(w, http.StatusBadRequest, "malformed")
		return
	}
	lifetime, run, refused := e.startOrder(model, request.Parameters, start)
	if run == nil {
		writeError(w, refused.status, refused.code)
		return
	}
	select {
	case <-run.done:
	case <-r.Context().Done():
		return
	case <-lifetime.Done():
		resetConnection(w)
		return
	}
	if run.result.status != http.StatusOK {
		writeError(w, run.result.status, run.result.code)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// startOrder starts the order, or returns the existing run if the order ID has
// been received before.
func (e *engine) startOrder(model port.ModelID, p httpengine.Parameters, start orderStarter) (context.Context, *orderRun, result) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p.Incarnation != "" && p.Incarnation != e.incarnation() {
		return e.lifetime, nil, result{http.StatusConflict, "incarnation"}
	}
	if run, ok := e.orders[p.OrderID]; ok {
		return e.lifetime, run, result{}
	}
	if !e.checkFence(p.Fence) {
		return e.lifetime, nil, result{http.StatusConflict, httpcall.CodeFenced}
	}
	run, refused := start(model, p)
	if run != nil {
		e.orders[p.OrderID] = run
	}
	return e.lifetime, run, refused
}

func (e *engine) checksFencing() bool {
	return e.settings.ChecksFencing && !e.faults.server(e.server.ID).IgnoreFencing
}

// checkFence reports whether an order with the fencing token is accepted, and
// records the token if it is the highest so far. The caller must hold e.mu.
func (e *engine) checkFence(fence port.Epoch) bool {
	old := fence < e.fence
	if old && e.checksFencing() {
		e.counters.update(func(c *Counters) { c.Fenced++ })
		return false
	}
	if old {
		e.counters.update(func(c *Counters) { c.StaleOrdersAccepted++ })
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
	passed := e.checkFence(request.Fence)
	e.recordReport()
	e.mu.Unlock()
	if !passed {
		writeError(w, http.StatusConflict, httpcall.CodeFenced)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// pastReport is a report with the time at which it was recorded.
type pastReport struct {
	at     time.Time
	report port.Report
}

// maxHistory is the maximum number of past reports retained per engine.
const maxHistory = 512

// recordReport adds the current report to the history. The caller must hold e.mu.
func (e *engine) recordReport() {
	e.history = append(e.history, pastReport{at: time.Now(), report: e.currentReport()})
	if len(e.history) > maxHistory {
		e.history = append([]pastReport(nil), e.history[len(e.history)-maxHistory:]...)
	}
}

func (e *engine) reportLag() time.Duration {
	return max(e.settings.ReportLag, e.faults.server(e.server.ID).ReportLag).D()
}

// report returns the report that the engine publishes, which is older than the
// current one by the report lag.
func (e *engine) report() port.Report {
	lag := e.reportLag()
	e.mu.Lock()
	defer e.mu.Unlock()
	if lag == 0 {
		return e.currentReport()
	}
	asOf := time.Now().Add(-lag)
	published := e.history[0].report
	for _, past := range e.history {
		if past.at.After(asOf) {
			break
		}
		published = past.report
	}
	return published
}

// currentReport returns a report of the current state. The caller must hold e.mu.
func (e *engine) currentReport() port.Report {
	e.sequence++
	running, waiting := e.slots.counts()
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

// olderBytes returns the accelerator memory in bytes that the older system uses.
func (e *engine) olderBytes() int64 {
	if older := e.faults.server(e.server.ID).OlderBytes; older != 0 {
		return older
	}
	return e.settings.OlderBytes
}

// shutdown ends the current incarnation without starting a new one.
func (e *engine) shutdown() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancel()
}
