package standin

import (
	"sync"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// Counters is what the stand-ins have seen since the start.
type Counters struct {
	// Loads counts the loads that engines began, LoadedNow the replicas loading
	// or ready now, and MaxReplicas the most of these at one time, by model.
	Loads       map[port.ModelID]int `json:"loads"`
	LoadedNow   map[port.ModelID]int `json:"loaded_now"`
	MaxReplicas map[port.ModelID]int `json:"max_replicas"`
	// Overcommits counts load orders that an accelerator had no room for.
	Overcommits int `json:"overcommits"`
	// MaxOwnBytes is the most memory that loaded replicas took, by server.
	MaxOwnBytes map[port.ServerID]int64 `json:"max_own_bytes"`
	// Fenced counts orders refused for an old fencing number, and OldObeyed
	// those obeyed by an engine that ignores them.
	Fenced    int `json:"fenced"`
	OldObeyed int `json:"old_obeyed"`
	// PlainRuns counts runs of plain calls by Idempotency-Key, and PlainTotal
	// all of them, with a key or without.
	PlainRuns  map[string]int `json:"plain_runs"`
	PlainTotal int            `json:"plain_total"`
	// Generations counts answers that engines began, by server, and Cancelled
	// those whose caller went away before the end.
	Generations map[port.ServerID]int `json:"generations"`
	Cancelled   int                   `json:"cancelled"`
	// PrefixHits and PrefixMisses count requests whose prefix was cached, and
	// those whose prefix wasn't.
	PrefixHits   int `json:"prefix_hits"`
	PrefixMisses int `json:"prefix_misses"`
	// StoreStarts counts transfers from the weight store, and StoreMaxAtOnce
	// the most at one time.
	StoreStarts    int `json:"store_starts"`
	StoreMaxAtOnce int `json:"store_max_at_once"`
	// LogAppends counts appends that took effect, LogRefused those beyond the
	// service's rate, and LogEnd is the offset of the next record.
	LogAppends int         `json:"log_appends"`
	LogRefused int         `json:"log_refused"`
	LogEnd     port.Offset `json:"log_end"`
}

// tally guards the counters of engines and plain services.
type tally struct {
	mu  sync.Mutex
	now Counters
}

func newTally() *tally {
	return &tally{now: Counters{
		Loads: map[port.ModelID]int{}, LoadedNow: map[port.ModelID]int{}, MaxReplicas: map[port.ModelID]int{},
		MaxOwnBytes: map[port.ServerID]int64{}, PlainRuns: map[string]int{}, Generations: map[port.ServerID]int{},
	}}
}

func (t *tally) update(change func(*Counters)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(&t.now)
}

func (t *tally) loadBegan(model port.ModelID, server port.ServerID, ownBytes int64) {
	t.update(func(c *Counters) {
		c.Loads[model]++
		c.LoadedNow[model]++
		c.MaxReplicas[model] = max(c.MaxReplicas[model], c.LoadedNow[model])
		c.MaxOwnBytes[server] = max(c.MaxOwnBytes[server], ownBytes)
	})
}

func (t *tally) replicaEnded(model port.ModelID) {
	t.update(func(c *Counters) { c.LoadedNow[model]-- })
}

// plainRun counts a run and returns its number under the key.
func (t *tally) plainRun(key string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.now.PlainTotal++
	if key == "" {
		return t.now.PlainTotal
	}
	t.now.PlainRuns[key]++
	return t.now.PlainRuns[key]
}

func copied[K comparable, V any](m map[K]V) map[K]V {
	c := make(map[K]V, len(m))
	for k, v := range m {
		c[k] = v
	}
	return c
}

func (t *tally) snapshot() Counters {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.now
	c.Loads = copied(c.Loads)
	c.LoadedNow = copied(c.LoadedNow)
	c.MaxReplicas = copied(c.MaxReplicas)
	c.MaxOwnBytes = copied(c.MaxOwnBytes)
	c.PlainRuns = copied(c.PlainRuns)
	c.Generations = copied(c.Generations)
	return c
}
