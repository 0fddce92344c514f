package standin

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/internal/adapter/httpcall"
	"github.com/cyclamenhoist/cyclamenhoist/internal/adapter/httpengine"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/pause"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// Retry interval and overall timeout of an engine that fetches weights from the
// store.
const (
	storeRetryInterval = 50 * time.Millisecond
	storeTimeout       = 30 * time.Second
)

// load starts loading a model. It refuses the order if the engine is leaving,
// already has a replica of the model, lacks the base model of an adapter, or lacks
// free memory. The caller must hold e.mu.
func (e *engine) load(model port.ModelID, p httpengine.Parameters) (*orderRun, result) {
	if e.leaving {
		return nil, result{http.StatusServiceUnavailable, "leaving"}
	}
	if _, ok := e.replicas[model]; ok {
		return nil, result{http.StatusConflict, "already loaded"}
	}
	if base, ok := e.replicas[p.Base]; p.Base != "" && (!ok || base.State != port.ReplicaReady) {
		return nil, result{http.StatusConflict, "base not loaded"}
	}
	required := e.ownBytes() + p.Bytes
	if required+e.olderBytes() > e.settings.MemoryBytes {
		e.counters.update(func(c *Counters) { c.Overcommits++ })
		return nil, result{http.StatusInsufficientStorage, "no memory"}
	}
	ctx, cancelLoad := context.WithCancel(e.lifetime)
	r := &replica{base: p.Base, cancelLoad: cancelLoad, idle: make(chan struct{})}
	r.Replica = port.Replica{Model: model, State: port.ReplicaLoading, Bytes: p.Bytes, OrderID: p.OrderID}
	e.replicas[model] = r
	e.counters.recordLoadStart(model, e.server.ID, required)
	e.recordReport()
	run := &orderRun{done: make(chan struct{})}
	go e.finishLoad(ctx, r, run, e.onDisk[model])
	return run, result{}
}

// ownBytes returns the memory in bytes of all replicas. The caller must hold e.mu.
func (e *engine) ownBytes() int64 {
	var sum int64
	for _, r := range e.replicas {
		sum += r.Bytes
	}
	return sum
}

// finishLoad waits for the weights and completes the load order: the replica
// becomes ready, or is removed if the load has failed.
func (e *engine) finishLoad(ctx context.Context, r *replica, run *orderRun, cached bool) {
	outcome := e.readWeights(ctx, r, cached)
	e.mu.Lock()
	defer e.mu.Unlock()
	defer close(run.done)
	run.result = outcome
	if e.replicas[r.Model] != r || r.State != port.ReplicaLoading {
		// The replica was unloaded, or the engine restarted, during the load.
		run.result = result{http.StatusConflict, "load was cancelled"}
		return
	}
	if outcome != resultOK {
		delete(e.replicas, r.Model)
		e.counters.recordReplicaEnd(r.Model)
		e.recordReport()
		return
	}
	r.State = port.ReplicaReady
	if e.settings.CacheCheckpoints {
		e.onDisk[r.Model] = true
	}
	e.recordReport()
}

// readWeights waits for the duration of a load, including its injected faults. No
// weights are read.
func (e *engine) readWeights(ctx context.Context, r *replica, cached bool) result {
	cancelled := result{http.StatusConflict, "load was cancelled"}
	if e.faults.consumeServer(e.server.ID, func(f *ServerFaults) *int { return &f.FailLoads }) {
		return result{http.StatusInternalServerError, "load failed"}
	}
	if cached {
		seconds := float64(r.Bytes) / float64(e.settings.DiskBytesPerSecond)
		if !pause.For(ctx, time.Duration(seconds*float64(time.Second))) {
			return cancelled
		}
	} else if outcome := e.fetchWeights(ctx, r.Model); outcome != resultOK {
		return outcome
	}
	if !pause.For(ctx, e.settings.LoadOverhead.D()+e.faults.server(e.server.ID).LoadDelay.D()) {
		return cancelled
	}
	if !e.faults.waitWhile(ctx, func() bool { return e.faults.server(e.server.ID).HangLoads }) {
		return cancelled
	}
	return resultOK
}

// fetchWeights requests the weights from the store, and retries failed requests
// until storeTimeout.
func (e *engine) fetchWeights(ctx context.Context, model port.ModelID) result {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	target := e.storeURL + "/v1/weights/" + url.PathEscape(string(model))
	for {
		var reply weightsReply
		err := httpcall.JSON(ctx, e.client, http.MethodGet, target, nil, &reply, maxWeightsReply)
		if err == nil {
			return resultOK
		}
		if !pause.For(ctx, storeRetryInterval) {
			return result{http.StatusBadGateway, "weights not read"}
		}
	}
}

const maxWeightsReply = 4 << 10

// unload starts unloading a model. The order succeeds at once if the model isn't
// loaded, and is refused while adapters of the model are loaded. The caller must
// hold e.mu.
func (e *engine) unload(model port.ModelID, _ httpengine.Parameters) (*orderRun, result) {
	run := &orderRun{done: make(chan struct{}), result: resultOK}
	r, ok := e.replicas[model]
	if !ok {
		close(run.done)
		return run, result{}
	}
	for _, other := range e.replicas {
		if other.base == model {
			return nil, result{http.StatusConflict, "adapters loaded"}
		}
	}
	r.cancelLoad()
	if r.State != port.ReplicaUnloading {
		r.State = port.ReplicaUnloading
		e.counters.recordReplicaEnd(model)
		if r.inFlight == 0 {
			close(r.idle)
		}
		e.recordReport()
	}
	go e.finishUnload(e.lifetime, r, run)
	return run, result{}
}

// finishUnload waits for the answers in progress, then removes the replica, which
// frees its memory.
func (e *engine) finishUnload(lifetime context.Context, r *replica, run *orderRun) {
	select {
	case <-r.idle:
	case <-lifetime.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.replicas[r.Model] == r {
		delete(e.replicas, r.Model)
		e.recordReport()
	}
	close(run.done)
}

// beginAnswer counts a new answer of the model's replica; ok is false if no replica
// is ready. The caller must call end when the answer has ended.
func (e *engine) beginAnswer(model port.ModelID) (lifetime context.Context, end func(), ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, found := e.replicas[model]
	if !found || r.State != port.ReplicaReady {
		return nil, nil, false
	}
	r.inFlight++
	return e.lifetime, func() { e.endAnswer(r) }, true
}

func (e *engine) endAnswer(r *replica) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.inFlight--
	if r.inFlight == 0 && r.State == port.ReplicaUnloading {
		close(r.idle)
	}
}
