package standin

import (
	"sync"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// Counters is what the stand-ins have counted since they were started.
type Counters struct {
	// Loads counts the loads that engines have begun. LoadedNow is the number of
	// replicas that are loading or ready, and MaxReplicas its highest value so
	// far. All are by model.
	Loads       map[port.ModelID]int `json:"loads"`
	LoadedNow   map[port.ModelID]int `json:"loaded_now"`
	MaxReplicas map[port.ModelID]int `json:"max_replicas"`
	// Overcommits counts load orders that exceeded the free memory of an
	// accelerator.
	Overcommits int `json:"overcommits"`
	// MaxOwnBytes is the highest memory use of replicas in bytes, by server.
	MaxOwnBytes map[port.ServerID]int64 `json:"max_own_bytes"`
	// Fenced counts orders and fence requests that were rejected because of an
	// outdated fencing token. StaleOrdersAccepted counts orders with an outdated
	// token that engines accepted because they don't check it.
	Fenced              int `json:"fenced"`
	StaleOrdersAccepted int `json:"old_obeyed"`
	// PlainRuns counts requests executed by plain services, by Idempotency-Key.
	// PlainTotal includes the requests without a key.
	PlainRuns  map[string]int `json:"plain_runs"`
	PlainTotal int            `json:"plain_total"`
	// Generations counts the answers that engines have begun, by server.
	// Cancelled counts those that were aborted before their end.
	Generations map[port.ServerID]int `json:"generations"`
	Cancelled   int                   `json:"cancelled"`
	// PrefixHits and PrefixMisses count lookups of prompt prefixes in the prefix
	// caches of the engines.
	PrefixHits   int `json:"prefix_hits"`
	PrefixMisses int `json:"prefix_misses"`
	// StoreStarts counts transfers from the weight store. StoreMaxAtOnce is the
	// highest number of concurrent transfers.
	StoreStarts    int `json:"store_starts"`
	StoreMaxAtOnce int `json:"store_max_at_once"`
	// LogAppends counts appends that took effect. LogRefused counts appends
	// rejected by the rate limit. LogEnd is the offset of the next record.
	LogAppends int         `json:"log_appends"`
	LogRefused int         `json:"log_refused"`
	LogEnd     port.Offset `json:"log_end"`
}

// counterSet holds the counters of engines and plain services. It is safe for
// concurrent use.
type counterSet struct {
	mu     sync.Mutex
	counts Counters
}

func newCounterSet() *counterSet {
	return &counterSet{counts: Counters{
		Loads: map[port.ModelID]int{}, LoadedNow: map[port.ModelID]int{}, MaxReplicas: map[port.ModelID]int{},
		MaxOwnBytes: map[port.ServerID]int64{}, PlainRuns: map[string]int{}, Generations: map[port.ServerID]int{},
	}}
}

func (s *counterSet) update(change func(*Counters)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.counts)
}

func (s *counterSet) recordLoadStart(model port.ModelID, server port.ServerID, ownBytes int64) {
	s.update(func(c *Counters) {
		c.Loads[model]++
		c.LoadedNow[model]++
		c.MaxReplicas[model] = max(c.MaxReplicas[model], c.LoadedNow[model])
		c.MaxOwnBytes[server] = max(c.MaxOwnBytes[server], ownBytes)
	})
}

func (s *counterSet) recordReplicaEnd(model port.ModelID) {
	s.update(func(c *Counters) { c.LoadedNow[model]-- })
}

// recordPlainRun counts an execution and returns how many there have been with
// the same key, or in total if the key is empty.
func (s *counterSet) recordPlainRun(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.PlainTotal++
	if key == "" {
		return s.counts.PlainTotal
	}
	s.counts.PlainRuns[key]++
	return s.counts.PlainRuns[key]
}

func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	c := make(map[K]V, len(m))
	for k, v := range m {
		c[k] = v
	}
	return c
}

func (s *counterSet) snapshot() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	c.Loads = cloneMap(c.Loads)
	c.LoadedNow = cloneMap(c.LoadedNow)
	c.MaxReplicas = cloneMap(c.MaxReplicas)
	c.MaxOwnBytes = cloneMap(c.MaxOwnBytes)
	c.PlainRuns = cloneMap(c.PlainRuns)
	c.Generations = cloneMap(c.Generations)
	return c
}
