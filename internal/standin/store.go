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

// storeService is the weight store. It sends no weights: a transfer's answer
// comes when the weights would have been read.
type storeService struct {
	settings StoreSettings
	faults   *faultSet
	limiter  *rate.Limiter
	catalog  []port.ModelInfo
	sizes    map[port.ModelID]int64

	mu        sync.Mutex
	active    int
	maxActive int
	starts    int
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
	r.Use(inject(faultsOf{
		set:  s.faults,
		look: func() CallFaults { return s.faults.current().Store.CallFaults },
		take: func(c func(*CallFaults) *int) bool {
			return s.faults.take(func(f *Faults) *int { return c(&f.Store.CallFaults) })
		},
	}))
	r.Get("/v1/catalog", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.catalog)
	})
	r.Get("/v1/weights/{model}", s.serveWeights)
	return r
}

// weightsReply ends a transfer.
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

// transfer waits until size bytes would have been read.
func (s *storeService) transfer(ctx context.Context, size int64) bool {
	s.begin()
	defer s.end()
	last := time.Now()
	for left := float64(size); left > 0; {
		wait := time.Duration(left / s.speed() * float64(time.Second))
		if !pause.For(ctx, min(max(wait, time.Microsecond), pollInterval)) {
			return false
		}
		now := time.Now()
		left -= s.speed() * now.Sub(last).Seconds()
		last = now
	}
	return true
}

// speed returns the bytes per second of each transfer now; it is above zero
// also when stalled, only too slow to matter.
func (s *storeService) speed() float64 {
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
	if s.active > s.settings.AtOnce {
		speed *= float64(s.settings.AtOnce) / float64(s.active)
	}
	return speed
}

func (s *storeService) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active++
	s.starts++
	s.maxActive = max(s.maxActive, s.active)
}

func (s *storeService) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
}

func (s *storeService) count(c *Counters) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.StoreStarts = s.starts
	c.StoreMaxAtOnce = s.maxActive
}
