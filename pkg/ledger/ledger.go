package ledger

import (
	"cmp"
	"iter"
	"slices"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record/recordpb"
)

// missingThreshold is the number of consecutive direct reads without a loaded
// replica after which the replica counts as missing. The first such read may
// have been made before the load.
const missingThreshold = 3

// Ledger accounts for the memory of all backend servers of a zone. It isn't safe
// for concurrent use.
type Ledger struct {
	share   float64
	servers map[port.ServerID]*server
	// intents maps the id of each open intent to its server.
	intents map[string]*server
}

type server struct {
	id          port.ServerID
	known       bool // a report has been received
	direct      bool // the incarnation was read from the server itself
	incarnation string
	sequence    uint64
	memory      int64
	older       int64
	allocations []Allocation // sorted by model
	strays      []Stray
}

// New returns an empty ledger. The fraction memoryShare of each server's memory
// is available to us.
func New(memoryShare float64) *Ledger {
	return &Ledger{share: memoryShare, servers: map[port.ServerID]*server{}, intents: map[string]*server{}}
}

// SetShare changes the fraction of each server's memory that is available to us.
func (l *Ledger) SetShare(memoryShare float64) { l.share = memoryShare }

func (l *Ledger) serverFor(id port.ServerID) *server {
	s := l.servers[id]
	if s == nil {
		s = &server{id: id}
		l.servers[id] = s
	}
	return s
}

func (s *server) find(model port.ModelID) (int, bool) {
	return slices.BinarySearchFunc(s.allocations, model, func(a Allocation, m port.ModelID) int { return cmp.Compare(a.Model, m) })
}

// Open adds an intent that the log has accepted. An intent that is already open,
// a load for a model that already has one, and an unload without a load change
// nothing.
func (l *Ledger) Open(in Intent) {
	if l.intents[in.ID] != nil {
		return
	}
	s := l.serverFor(in.Server)
	at, found := s.find(in.Model)
	switch {
	case in.Kind == port.OrderLoad && !found:
		s.allocations = slices.Insert(s.allocations, at, Allocation{
			Model: in.Model, Intent: in.ID, Bytes: in.Bytes, declared: in.Bytes, incarnation: in.Incarnation,
		})
	case in.Kind == port.OrderUnload && found && s.allocations[at].Unload == "":
		s.allocations[at].Unload = in.ID
	default:
		return
	}
	l.intents[in.ID] = s
	s.dropMatchedStrays()
}

// dropMatchedStrays removes the strays that a new allocation explains.
func (s *server) dropMatchedStrays() {
	s.strays = slices.DeleteFunc(s.strays, func(stray Stray) bool {
		at, found := s.find(stray.Model)
		return found && s.allocations[at].matches(stray.OrderID)
	})
}

// matches reports whether a replica that was loaded by the order belongs to the
// allocation. An empty order id matches every allocation.
func (a *Allocation) matches(orderID string) bool { return orderID == "" || orderID == a.Intent }

// Close applies an outcome that the log has accepted.
func (l *Ledger) Close(intentID string, result recordpb.Outcome_Result) {
	s := l.intents[intentID]
	if s == nil {
		return
	}
	at := slices.IndexFunc(s.allocations, func(a Allocation) bool { return a.Intent == intentID || a.Unload == intentID })
	allocation := &s.allocations[at]
	loaded := result == recordpb.Outcome_RESULT_LOADED
	switch {
	case allocation.Intent == intentID && loaded:
		allocation.Loaded, allocation.missedReads = true, 0
	case allocation.Intent == intentID:
		l.removeAllocation(s, at)
	case loaded || !allocation.Loaded:
		// The unload was cancelled, or the load may still be in flight.
		allocation.Unload = ""
		delete(l.intents, intentID)
	default:
		l.removeAllocation(s, at)
	}
}

func (l *Ledger) removeAllocation(s *server, at int) {
	delete(l.intents, s.allocations[at].Intent)
	delete(l.intents, s.allocations[at].Unload)
	s.allocations = slices.Delete(s.allocations, at, at+1)
}

// Restore replaces all allocations by those of a state folded from the log.
// Reports are retained, and so are the reported sizes and missed reads of the
// intents that stay open.
func (l *Ledger) Restore(states []*recordpb.IntentState) {
	reported := make(map[string]Allocation, len(l.intents))
	for _, s := range l.servers {
		for _, allocation := range s.allocations {
			reported[allocation.Intent] = allocation
		}
		s.allocations = nil
	}
	clear(l.intents)
	for _, kind := range []recordpb.Intent_Kind{recordpb.Intent_KIND_LOAD, recordpb.Intent_KIND_UNLOAD} {
		for _, state := range states {
			if state.GetIntent().GetKind() != kind {
				continue
			}
			l.Open(IntentOf(state.GetIntent()))
			if state.GetLoaded() {
				l.Close(state.GetIntent().GetId(), recordpb.Outcome_RESULT_LOADED)
			}
		}
	}
	for _, s := range l.servers {
		for i := range s.allocations {
			if before, known := reported[s.allocations[i].Intent]; known {
				s.allocations[i].Bytes, s.allocations[i].missedReads = before.Bytes, before.missedReads
			}
		}
	}
}

// Forget removes a server that no longer exists, and reports whether it is
// removed. A server with open intents is retained.
func (l *Ledger) Forget(id port.ServerID) bool {
	s := l.servers[id]
	if s == nil || len(s.allocations) > 0 {
		return s == nil
	}
	delete(l.servers, id)
	return true
}

// Usage returns the memory usage of a server; the sizes of the server and the
// limit are zero before its first report.
func (l *Ledger) Usage(id port.ServerID) Usage {
	s := l.servers[id]
	if s == nil {
		return Usage{}
	}
	return l.usage(s)
}

func (l *Ledger) usage(s *server) Usage {
	u := Usage{Memory: s.memory, Older: s.older}
	u.Limit = max(0, min(int64(l.share*float64(s.memory)), s.memory-s.older))
	for i := range s.allocations {
		allocation := &s.allocations[i]
		u.Used += allocation.Bytes
		switch {
		case !allocation.Loaded:
			u.Reserved += allocation.Bytes
		case allocation.Unload != "":
			u.Unloading += allocation.Bytes
		}
	}
	for _, stray := range s.strays {
		u.Stray += stray.Bytes
	}
	u.Used += u.Stray
	return u
}

// Free returns the memory that can still be loaded on a server, in bytes. It is
// negative while usage exceeds the limit.
func (l *Ledger) Free(id port.ServerID) int64 { return l.Usage(id).Free() }

// CanLoad returns ErrUnknownServer, ErrOccupied or ErrNoFreeMemory if a load of
// the model with the given size in bytes can't be decided now; nil if it can.
func (l *Ledger) CanLoad(id port.ServerID, model port.ModelID, bytes int64) error {
	s := l.servers[id]
	if s == nil || !s.known {
		return ErrUnknownServer
	}
	if _, found := s.find(model); found {
		return ErrOccupied
	}
	if l.usage(s).Free() < bytes {
		return ErrNoFreeMemory
	}
	return nil
}

// Allocation returns the decided replica of the model on the server.
func (l *Ledger) Allocation(id port.ServerID, model port.ModelID) (Allocation, bool) {
	s := l.servers[id]
	if s == nil {
		return Allocation{}, false
	}
	if at, found := s.find(model); found {
		return s.allocations[at], true
	}
	return Allocation{}, false
}

// Allocations yields the decided replicas of a server, sorted by model. The
// ledger must not be modified during the iteration.
func (l *Ledger) Allocations(id port.ServerID) iter.Seq[Allocation] {
	return func(yield func(Allocation) bool) {
		s := l.servers[id]
		if s == nil {
			return
		}
		for _, allocation := range s.allocations {
			if !yield(allocation) {
				return
			}
		}
	}
}

// Servers returns the servers that have sent a report or have a decided replica,
// in sorted order.
func (l *Ledger) Servers() []port.ServerID {
	ids := make([]port.ServerID, 0, len(l.servers))
	for id := range l.servers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Replicas returns the number of decided replicas of a model on all servers,
// including those being unloaded.
func (l *Ledger) Replicas(model port.ModelID) int {
	n := 0
	for _, s := range l.servers {
		if _, found := s.find(model); found {
			n++
		}
	}
	return n
}
