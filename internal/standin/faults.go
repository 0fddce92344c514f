package standin

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/jsonc"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// Faults is the set of faults in force. Fields that count calls say how many
// coming calls are affected; -1 means all.
type Faults struct {
	Log     LogFaults                      `json:"log"`
	Store   StoreFaults                    `json:"store"`
	Live    LiveFaults                     `json:"live"`
	Servers map[port.ServerID]ServerFaults `json:"servers"`
}

// CallFaults are the faults that any HTTP call can meet.
type CallFaults struct {
	// Down answers 503 to every call.
	Down bool `json:"down"`
	// Hang accepts calls and answers none of them.
	Hang bool `json:"hang"`
	// Delay is added before a call has its effect.
	Delay jsonc.Duration `json:"delay"`
	// ResetBefore resets the connection before the call has any effect.
	ResetBefore int `json:"reset_before"`
	// LoseAnswers resets the connection after the call's full effect.
	LoseAnswers int `json:"lose_answers"`
	// Malformed answers 200 with a body that isn't JSON, without effect.
	Malformed int `json:"malformed"`
	// Huge answers 200 with a body without end, without effect.
	Huge int `json:"huge"`
	// Status answers with this status, without effect, if it isn't 0.
	Status int `json:"status"`
}

// LogFaults are the faults of the log service.
type LogFaults struct {
	CallFaults `json:"calls"`
	// LateAppends cut the connection at once; the append takes effect after
	// LateBy.
	LateAppends int            `json:"late_appends"`
	LateBy      jsonc.Duration `json:"late_by"`
	// DropRecords leaves so many records out of the next read that has some,
	// so that the reader sees a gap.
	DropRecords int `json:"drop_records"`
	// DuplicateRecords repeats the first record of so many reads.
	DuplicateRecords int `json:"duplicate_records"`
	// ReorderRecords swaps the first two records of so many reads.
	ReorderRecords int `json:"reorder_records"`
}

// LiveFaults are the faults of the live list.
type LiveFaults struct {
	CallFaults `json:"calls"`
}

// StoreFaults are the faults of the weight store.
type StoreFaults struct {
	CallFaults `json:"calls"`
	// SpeedFactor scales the bandwidth; 0 means 1.
	SpeedFactor float64 `json:"speed_factor"`
	// Stalled stops every transfer where it is.
	Stalled bool `json:"stalled"`
}

// ServerFaults are the faults of one backend server.
type ServerFaults struct {
	CallFaults `json:"calls"`
	// LoadDelay is added to each load.
	LoadDelay jsonc.Duration `json:"load_delay"`
	// HangLoads stops loads before their end for as long as it is set.
	HangLoads bool `json:"hang_loads"`
	// FailLoads makes so many loads fail with 500 and no memory taken.
	FailLoads int `json:"fail_loads"`
	// IgnoreFencing makes an engine obey orders with an old fencing number.
	IgnoreFencing bool `json:"ignore_fencing"`
	// ReportLag makes reports lag by this much, if it is above the settings'.
	ReportLag jsonc.Duration `json:"report_lag"`
	// OlderBytes is what the older system uses instead of the settings' amount,
	// if it isn't 0.
	OlderBytes int64 `json:"older_bytes"`
	// TokenDelay is added before each token.
	TokenDelay jsonc.Duration `json:"token_delay"`
	// DuplicateAt, ReorderAt, DropAt and CutAt name a position from 1 at which
	// streams repeat a chunk, swap it with the next, leave it out, or end with
	// the connection closed cleanly and no end marker. 0 means nowhere.
	DuplicateAt int `json:"duplicate_at"`
	ReorderAt   int `json:"reorder_at"`
	DropAt      int `json:"drop_at"`
	CutAt       int `json:"cut_at"`
	// ResetAt resets the connection before the chunk at this position.
	ResetAt int `json:"reset_at"`
	// StallAt stops the stream before the chunk at this position for as long as
	// it is set.
	StallAt int `json:"stall_at"`
}

// faultSet holds the faults in force. Readers take no lock; changes replace the
// whole set.
type faultSet struct {
	mu      sync.Mutex
	now     atomic.Pointer[Faults]
	changed atomic.Pointer[chan struct{}]
}

func newFaultSet() *faultSet {
	f := &faultSet{}
	f.now.Store(&Faults{})
	changed := make(chan struct{})
	f.changed.Store(&changed)
	return f
}

// update applies change to the faults and wakes those who wait for a change.
func (f *faultSet) update(change func(*Faults)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := f.now.Load().clone()
	change(next)
	f.now.Store(next)
	woken, changed := f.changed.Load(), make(chan struct{})
	f.changed.Store(&changed)
	close(*woken)
}

// clone returns a copy that shares nothing.
func (f *Faults) clone() *Faults {
	c := *f
	c.Servers = make(map[port.ServerID]ServerFaults, len(f.Servers))
	maps.Copy(c.Servers, f.Servers)
	return &c
}

// current returns the faults, which must not be changed.
func (f *faultSet) current() *Faults { return f.now.Load() }

func (f *faultSet) server(id port.ServerID) ServerFaults { return f.current().Servers[id] }

// waitWhile waits as long as a fault is in force, and reports whether it was
// lifted before ctx ended.
func (f *faultSet) waitWhile(ctx context.Context, inForce func() bool) bool {
	for {
		// Fetched before the look, so that no change is missed in between.
		changed := *f.changed.Load()
		if !inForce() {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

// take uses up one of the calls that a counted fault affects.
func (f *faultSet) take(counter func(*Faults) *int) bool {
	if *counter(f.current()) == 0 {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	next := f.now.Load().clone()
	n := counter(next)
	if *n == 0 {
		return false
	}
	if *n > 0 {
		*n--
		f.now.Store(next)
	}
	return true
}

// takeServer is take for a counter of one server.
func (f *faultSet) takeServer(id port.ServerID, counter func(*ServerFaults) *int) bool {
	server := f.server(id)
	if *counter(&server) == 0 {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	next := f.now.Load().clone()
	server = next.Servers[id]
	n := counter(&server)
	if *n == 0 {
		return false
	}
	if *n > 0 {
		*n--
		next.Servers[id] = server
		f.now.Store(next)
	}
	return true
}

// pollInterval is how often transfers and stalls look at the faults again.
const pollInterval = 2 * time.Millisecond

// ofServer returns where a middleware finds the faults of a server.
func (f *faultSet) ofServer(id port.ServerID) faultsOf {
	return faultsOf{
		set:  f,
		look: func() CallFaults { return f.server(id).CallFaults },
		take: func(c func(*CallFaults) *int) bool {
			return f.takeServer(id, func(s *ServerFaults) *int { return c(&s.CallFaults) })
		},
	}
}
