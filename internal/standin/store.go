package standin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"golang.org/x/time/rate"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/pause"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// storeService is the weight store. It sends no weights; it only delays the answer
// to a transfer by the time that reading the weights would take.
type storeService struct {
	settings StoreSettings
	faults   *faultSet
	limiter  *rate.Limiter
	catalog  []port.ModelInfo
	sizes    map[port.ModelID]int64

	mu                 sync.Mutex
	activeTransfers    int
	maxActiveTransfers int
	starts             int
}

func newStoreService(s Settings, faults *faultSet) *storeService {
	store := &storeService{
		settings: s.Store, faults: faults, sizes: make(map[port.ModelID]int64, len(s.Models)),
		limiter: rate.NewLimiter(rate.Limit(s.Store.LoadsPerSecond), s.Store.AtOnce),
	}
	for _, m := range s.Models {
		store.sizes[m.ID] = m.Bytes
		store.catalog = append(store.catalog, port.ModelInfo{ID: m.ID, Base: m.Base, Bytes: m.Bytes, Service: s.EngineService})
	}
	return store
}

func (s *storeService) handler() http.Handler {
	r := chi.NewRouter()
	r.Use(injectFaults(faultSource{
		set:     s.faults,
		current: func() CallFaults { return s.faults.current().Store.CallFaults },
		consume: func(c func(*CallFaults) *int) bool {
			return s.faults.consume(func(f *Faults) *int { return c(&f.Store.CallFaults) })
		},
	}))
	r.Get("/v1/catalog", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.catalog)
	})
	r.Get("/v1/weights/{model}", s.serveWeights)
	return r
}

// weightsReply is the answer at the end of a transfer.
type weightsReply struct {
	Model port.ModelID `json:"model"`
	Bytes int64        `json:"bytes"`
}

func (s *storeService) serveWeights(w http.ResponseWriter, r *http.Request) {
	model := port.ModelID(pathParam(r, "model"))
	size, ok := s.sizes[model]
	if !ok {
		writeError(w, http.StatusNotFound, "no such model")
		return
	}
	if err := s.limiter.Wait(r.Context()); err != nil {
		writeError(w, http.StatusServiceUnavailable, "gave up waiting")
		return
	}
	if !s.transfer(r.Context(), size) {
		return
	}
	writeJSON(w, http.StatusOK, weightsReply{Model: model, Bytes: size})
}

// transfer waits for the time that reading size bytes takes, and reports whether
// that time passed before ctx was done.
func (s *storeService) transfer(ctx context.Context, size int64) bool {
	s.beginTransfer()
	defer s.endTransfer()
	last := time.Now()
	for remaining := float64(size); remaining > 0; {
		wait := time.Duration(remaining / s.transferRate() * float64(time.Second))
		if !pause.For(ctx, min(max(wait, time.Microsecond), pollInterval)) {
			return false
		}
		now := time.Now()
		remaining -= s.transferRate() * now.Sub(last).Seconds()
		last = now
	}
	return true
}

// transferRate returns the current rate of each transfer in bytes per second. While
// the store is stalled the rate is 1, because callers divide by it.
func (s *storeService) transferRate() float64 {
	faults := s.faults.current().Store
	speed := float64(s.settings.BytesPerSecond)
	if faults.SpeedFactor > 0 {
		speed *= faults.SpeedFactor
	}
	if faults.Stalled {
		return 1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.activeTransfers > s.settings.AtOnce {
		speed *= float64(s.settings.AtOnce) / float64(s.activeTransfers)
	}
	return speed
}

func (s *storeService) beginTransfer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeTransfers++
	s.starts++
	s.maxActiveTransfers = max(s.maxActiveTransfers, s.activeTransfers)
}

func (s *storeService) endTransfer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeTransfers--
}

func (s *storeService) addCounters(c *Counters) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.StoreStarts = s.starts
	c.StoreMaxAtOnce = s.maxActiveTransfers
}
