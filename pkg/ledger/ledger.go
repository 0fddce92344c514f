package ledger

import (
	"cmp"
	"iter"
	"slices"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record/recordpb"
)

// absentReads is how many direct reads in a row must lack a loaded replica
// before it counts as missing. The first may describe a moment before the load.
const absentReads = 3

// Ledger is the account of all backend servers of a zone. It isn't safe for
// concurrent use.
type Ledger struct {
	share   float64
	servers map[port.ServerID]*server
	// intents leads from an open intent to its server.
	intents map[string]*server
}

type server struct {
	id          port.ServerID
	known       bool // a report has arrived
	direct      bool // the incarnation was read directly
	incarnation string
	sequence    uint64
	memory      int64
	older       int64
	holds       []Hold // in the order of models
	strays      []Stray
}

// New returns an empty ledger in which memoryShare of each server is ours.
func New(memoryShare float64) *Ledger {
	return &Ledger{share: memoryShare, servers: map[port.ServerID]*server{}, intents: map[string]*server{}}
}

// SetShare changes the part of each server's memory that is ours.
func (l *Ledger) SetShare(memoryShare float64) { l.share = memoryShare }

func (l *Ledger) server(id port.ServerID) *server {
	s := l.servers[id]
	if s == nil {
		s = &server{id: id}
		l.servers[id] = s
	}
	return s
}

func (s *server) find(model port.ModelID) (int, bool) {
	return slices.BinarySearchFunc(s.holds, model, func(h Hold, m port.ModelID) int { return cmp.Compare(h.Model, m) })
}

// Open takes in an intent that the log has accepted. An intent that is already
// open, a load beside an open one, and an unload without a load change nothing.
func (l *Ledger) Open(in Intent) {
	if l.intents[in.ID] != nil {
		return
	}
	s := l.server(in.Server)
	at, found := s.find(in.Model)
	switch {
	case in.Kind == port.OrderLoad && !found:
		s.holds = slices.Insert(s.holds, at, Hold{
			Model: in.Model, Intent: in.ID, Bytes: in.Bytes, declared: in.Bytes, incarnation: in.Incarnation,
		})
	case in.Kind == port.OrderUnload && found && s.holds[at].Unload == "":
		s.holds[at].Unload = in.ID
	default:
		return
	}
	l.intents[in.ID] = s
	s.dropExplained()
}

// dropExplained takes the strays away that a new hold explains.
func (s *server) dropExplained() {
	s.strays = slices.DeleteFunc(s.strays, func(stray Stray) bool {
		at, found := s.find(stray.Model)
		return found && s.holds[at].explains(stray.OrderID)
	})
}

// explains reports whether a replica that came about by the order is the hold's.
func (h *Hold) explains(orderID string) bool { return orderID == "" || orderID == h.Intent }

// Close takes in an outcome that the log has accepted.
func (l *Ledger) Close(intentID string, result recordpb.Outcome_Result) {
	s := l.intents[intentID]
	if s == nil {
		return
	}
	at := slices.IndexFunc(s.holds, func(h Hold) bool { return h.Intent == intentID || h.Unload == intentID })
	hold := &s.holds[at]
	loaded := result == recordpb.Outcome_RESULT_LOADED
	switch {
	case hold.Intent == intentID && loaded:
		hold.Loaded, hold.absent = true, 0
	case hold.Intent == intentID:
		l.release(s, at)
	case loaded || !hold.Loaded:
		// The unload is taken back, or the load may still be on its way.
		hold.Unload = ""
		delete(l.intents, intentID)
	default:
		l.release(s, at)
	}
}

func (l *Ledger) release(s *server, at int) {
	delete(l.intents, s.holds[at].Intent)
	delete(l.intents, s.holds[at].Unload)
	s.holds = slices.Delete(s.holds, at, at+1)
}

// Restore replaces all holds by those of a fold of the log. Reports are kept,
// and what they said of the intents that stay open.
func (l *Ledger) Restore(states []*recordpb.IntentState) {
	reported := make(map[string]Hold, len(l.intents))
	for _, s := range l.servers {
		for _, hold := range s.holds {
			reported[hold.Intent] = hold
		}
		s.holds = nil
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
		for i := range s.holds {
			if before, known := reported[s.holds[i].Intent]; known {
				s.holds[i].Bytes, s.holds[i].absent = before.Bytes, before.absent
			}
		}
	}
}

// Forget drops a server that is gone. It is kept while intents on it are open.
func (l *Ledger) Forget(id port.ServerID) bool {
	s := l.servers[id]
	if s == nil || len(s.holds) > 0 {
		return s == nil
	}
	delete(l.servers, id)
	return true
}

// Usage returns the account of a server; all zero before its first report.
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
	for i := range s.holds {
		hold := &s.holds[i]
		u.Used += hold.Bytes
		switch {
		case !hold.Loaded:
			u.Reserved += hold.Bytes
		case hold.Unload != "":
			u.Unloading += hold.Bytes
		}
	}
	for _, stray := range s.strays {
		u.Stray += stray.Bytes
	}
	u.Used += u.Stray
	return u
}

// Free is what may still be loaded on a server, in bytes; negative while we use
// more than we may.
func (l *Ledger) Free(id port.ServerID) int64 { return l.Usage(id).Free() }

// CanLoad reports why a load of the model can't be decided now; nil if it can.
func (l *Ledger) CanLoad(id port.ServerID, model port.ModelID, bytes int64) error {
	s := l.servers[id]
	if s == nil || !s.known {
		return ErrUnknownServer
	}
	if _, found := s.find(model); found {
		return ErrOccupied
	}
	if l.usage(s).Free() < bytes {
		return ErrNoRoom
	}
	return nil
}

// Hold returns the decided replica of the model on the server.
func (l *Ledger) Hold(id port.ServerID, model port.ModelID) (Hold, bool) {
	s := l.servers[id]
	if s == nil {
		return Hold{}, false
	}
	if at, found := s.find(model); found {
		return s.holds[at], true
	}
	return Hold{}, false
}

// Holds yields the decided replicas of a server in the order of models. The
// ledger must not be changed meanwhile.
func (l *Ledger) Holds(id port.ServerID) iter.Seq[Hold] {
	return func(yield func(Hold) bool) {
		s := l.servers[id]
		if s == nil {
			return
		}
		for _, hold := range s.holds {
			if !yield(hold) {
				return
			}
		}
	}
}

// Servers returns the servers that have reported or have a decided replica, in
// order.
func (l *Ledger) Servers() []port.ServerID {
	ids := make([]port.ServerID, 0, len(l.servers))
	for id := range l.servers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Replicas counts the decided replicas of a model over all servers, those being
// unloaded included.
func (l *Ledger) Replicas(model port.ModelID) int {
	n := 0
	for _, s := range l.servers {
		if _, found := s.find(model); found {
			n++
		}
	}
	return n
}
