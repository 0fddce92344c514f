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

// How an engine reads weights while the store refuses.
const (
	storeRetryInterval = 50 * time.Millisecond
	storePatience      = 30 * time.Second
)

// load begins a load; e.mu is held.
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
	own := e.ownBytes() + p.Bytes
	if own+e.olderBytes() > e.settings.MemoryBytes {
		e.tally.update(func(c *Counters) { c.Overcommits++ })
		return nil, result{http.StatusInsufficientStorage, "no memory"}
	}
	ctx, stop := context.WithCancel(e.life)
	r := &replica{base: p.Base, stop: stop, idle: make(chan struct{})}
	r.Replica = port.Replica{Model: model, State: port.ReplicaLoading, Bytes: p.Bytes, OrderID: p.OrderID}
	e.replicas[model] = r
	e.tally.loadBegan(model, e.server.ID, own)
	e.record()
	run := &orderRun{done: make(chan struct{})}
	go e.finishLoad(ctx, r, run, e.onDisk[model])
	return run, result{}
}

// ownBytes returns the memory of all replicas; e.mu is held.
func (e *engine) ownBytes() int64 {
	var sum int64
	for _, r := range e.replicas {
		sum += r.Bytes
	}
	return sum
}

func (e *engine) finishLoad(ctx context.Context, r *replica, run *orderRun, cached bool) {
	outcome := e.readWeights(ctx, r, cached)
	e.mu.Lock()
	defer e.mu.Unlock()
	defer close(run.done)
	run.result = outcome
	if e.replicas[r.Model] != r || r.State != port.ReplicaLoading {
		// Unloaded or forgotten in a restart meanwhile.
		run.result = result{http.StatusConflict, "load was cancelled"}
		return
	}
	if outcome != resultOK {
		delete(e.replicas, r.Model)
		e.tally.replicaEnded(r.Model)
		e.record()
		return
	}
	r.State = port.ReplicaReady
	if e.settings.CacheCheckpoints {
		e.onDisk[r.Model] = true
	}
	e.record()
}

// readWeights takes as long as the load does.
func (e *engine) readWeights(ctx context.Context, r *replica, cached bool) result {
	cancelled := result{http.StatusConflict, "load was cancelled"}
	if e.faults.takeServer(e.server.ID, func(f *ServerFaults) *int { return &f.FailLoads }) {
		return result{http.StatusInternalServerError, "load failed"}
	}
	if cached {
		seconds := float64(r.Bytes) / float64(e.settings.DiskBytesPerSecond)
		if !pause.For(ctx, time.Duration(seconds*float64(time.Second))) {
			return cancelled
		}
	} else if outcome := e.fetch(ctx, r.Model); outcome != resultOK {
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

// fetch reads the weights from the store, again and again while it refuses.
func (e *engine) fetch(ctx context.Context, model port.ModelID) result {
	ctx, cancel := context.WithTimeout(ctx, storePatience)
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

// unload begins an unload; e.mu is held. A model that isn't there is unloaded
// already.
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
	r.stop()
	if r.State != port.ReplicaUnloading {
		r.State = port.ReplicaUnloading
		e.tally.replicaEnded(model)
		if r.answering == 0 {
			close(r.idle)
		}
		e.record()
	}
	go e.finishUnload(e.life, r, run)
	return run, result{}
}

// finishUnload frees the memory once the last answer has ended.
func (e *engine) finishUnload(life context.Context, r *replica, run *orderRun) {
	select {
	case <-r.idle:
	case <-life.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.replicas[r.Model] == r {
		delete(e.replicas, r.Model)
		e.record()
	}
	close(run.done)
}

// enter begins an answer of a replica, and reports whether it is ready.
func (e *engine) enter(model port.ModelID) (life context.Context, leave func(), ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, found := e.replicas[model]
	if !found || r.State != port.ReplicaReady {
		return nil, nil, false
	}
	r.answering++
	return e.life, func() { e.exit(r) }, true
}

func (e *engine) exit(r *replica) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.answering--
	if r.answering == 0 && r.State == port.ReplicaUnloading {
		close(r.idle)
	}
}
