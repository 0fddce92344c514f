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

// Faults is the set of faults in force. Integer fields that count calls or records
// give the number of subsequent ones that are affected; -1 means all.
type Faults struct {
	Log     LogFaults                      `json:"log"`
	Store   StoreFaults                    `json:"store"`
	Live    LiveFaults                     `json:"live"`
	Servers map[port.ServerID]ServerFaults `json:"servers"`
}

// CallFaults are the faults that can be injected into any HTTP call.
type CallFaults struct {
	// Down makes every call fail with status 503.
	Down bool `json:"down"`
	// Hang leaves all calls unanswered while it is set.
	Hang bool `json:"hang"`
	// Delay is added before a call takes effect.
	Delay jsonc.Duration `json:"delay"`
	// ResetBefore resets the connection before the call takes effect.
	ResetBefore int `json:"reset_before"`
	// LoseAnswers resets the connection instead of sending the answer, after the
	// call has taken effect.
	LoseAnswers int `json:"lose_answers"`
	// Malformed answers with status 200 and a body that isn't JSON; the call
	// doesn't take effect.
	Malformed int `json:"malformed"`
	// Huge answers with status 200 and an endless body; the call doesn't take
	// effect.
	Huge int `json:"huge"`
	// Status, if it isn't 0, is the HTTP status of every answer; calls don't take
	// effect.
	Status int `json:"status"`
}

// LogFaults are the faults of the log service.
type LogFaults struct {
	CallFaults `json:"calls"`
	// LateAppends resets the connection of an append immediately; the append takes
	// effect after LateBy.
	LateAppends int            `json:"late_appends"`
	LateBy      jsonc.Duration `json:"late_by"`
	// DropRecords is the number of records omitted from the start of subsequent
	// reads, so that the reader detects a gap.
	DropRecords int `json:"drop_records"`
	// DuplicateRecords is the number of reads whose first record is duplicated.
	DuplicateRecords int `json:"duplicate_records"`
	// ReorderRecords is the number of reads whose first two records are swapped.
	ReorderRecords int `json:"reorder_records"`
}

// LiveFaults are the faults of the live list.
type LiveFaults struct {
	CallFaults `json:"calls"`
}

// StoreFaults are the faults of the weight store.
type StoreFaults struct {
	CallFaults `json:"calls"`
	// SpeedFactor is a factor applied to the bandwidth; 0 means 1.
	SpeedFactor float64 `json:"speed_factor"`
	// Stalled suspends all transfers while it is set.
	Stalled bool `json:"stalled"`
}

// ServerFaults are the faults of one backend server.
type ServerFaults struct {
	CallFaults `json:"calls"`
	// LoadDelay is added to the duration of each load.
	LoadDelay jsonc.Duration `json:"load_delay"`
	// HangLoads suspends loads before their end while it is set.
	HangLoads bool `json:"hang_loads"`
	// FailLoads is the number of loads that fail with status 500 and release their
	// memory.
	FailLoads int `json:"fail_loads"`
	// IgnoreFencing makes an engine accept orders with an outdated fencing token.
	IgnoreFencing bool `json:"ignore_fencing"`
	// ReportLag replaces the report lag of the settings if it is longer.
	ReportLag jsonc.Duration `json:"report_lag"`
	// OlderBytes, if it isn't 0, replaces the memory in bytes that the older
	// system uses according to the settings.
	OlderBytes int64 `json:"older_bytes"`
	// TokenDelay is added before each token.
	TokenDelay jsonc.Duration `json:"token_delay"`
	// DuplicateAt, ReorderAt, DropAt and CutAt are chunk positions in a stream,
	// counted from 0. At the position the stream duplicates the chunk, swaps it
	// with the next one, omits it, or ends cleanly without an end marker. 0
	// disables the fault, so the first chunk is never affected.
	DuplicateAt int `json:"duplicate_at"`
	ReorderAt   int `json:"reorder_at"`
	DropAt      int `json:"drop_at"`
	CutAt       int `json:"cut_at"`
	// ResetAt resets the connection before the chunk at this position.
	ResetAt int `json:"reset_at"`
	// StallAt suspends the stream before the chunk at this position while it is
	// set.
	StallAt int `json:"stall_at"`
}

// faultSet holds the faults in force. Reads are lock-free; each change replaces
// the whole set.
type faultSet struct {
	mu     sync.Mutex // serializes changes
	faults atomic.Pointer[Faults]
	// changed is closed and replaced at each update.
	changed atomic.Pointer[chan struct{}]
}

func newFaultSet() *faultSet {
	f := &faultSet{}
	f.faults.Store(&Faults{})
	changed := make(chan struct{})
	f.changed.Store(&changed)
	return f
}

// update applies change to a copy of the faults, puts the copy in force and wakes
// the goroutines that wait for a change.
func (f *faultSet) update(change func(*Faults)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := f.faults.Load().clone()
	change(next)
	f.faults.Store(next)
	previous, changed := f.changed.Load(), make(chan struct{})
	f.changed.Store(&changed)
	close(*previous)
}

// clone returns a deep copy.
func (f *Faults) clone() *Faults {
	c := *f
	c.Servers = make(map[port.ServerID]ServerFaults, len(f.Servers))
	maps.Copy(c.Servers, f.Servers)
	return &c
}

// current returns the faults in force. The caller must not modify them.
func (f *faultSet) current() *Faults { return f.faults.Load() }

func (f *faultSet) server(id port.ServerID) ServerFaults { return f.current().Servers[id] }

// waitWhile waits while inForce returns true, and reports whether the fault was
// removed before ctx was done.
func (f *faultSet) waitWhile(ctx context.Context, inForce func() bool) bool {
	for {
		// The channel is loaded before the check, so that a change between the two
		// isn't missed.
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

// consume decrements the counter of a fault and reports whether the call is
// affected. A negative counter affects all calls and isn't decremented.
func (f *faultSet) consume(counter func(*Faults) *int) bool {
	if *counter(f.current()) == 0 {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	next := f.faults.Load().clone()
	n := counter(next)
	if *n == 0 {
		return false
	}
	if *n > 0 {
		*n--
		f.faults.Store(next)
	}
	return true
}

// consumeServer is consume for a counter in the faults of one server.
func (f *faultSet) consumeServer(id port.ServerID, counter func(*ServerFaults) *int) bool {
	server := f.server(id)
	if *counter(&server) == 0 {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	next := f.faults.Load().clone()
	server = next.Servers[id]
	n := counter(&server)
	if *n == 0 {
		return false
	}
	if *n > 0 {
		*n--
		next.Servers[id] = server
		f.faults.Store(next)
	}
	return true
}

// pollInterval is the longest interval between two checks of the faults during a
// transfer.
const pollInterval = 2 * time.Millisecond

// callFaultsOf returns the source of a server's call faults for injectFaults.
func (f *faultSet) callFaultsOf(id port.ServerID) faultSource {
	return faultSource{
		set:     f,
		current: func() CallFaults { return f.server(id).CallFaults },
		consume: func(c func(*CallFaults) *int) bool {
			return f.consumeServer(id, func(s *ServerFaults) *int { return c(&s.CallFaults) })
		},
	}
}
