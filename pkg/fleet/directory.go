package fleet

import (
	"time"
)

// ServerID names a backend server. A server that starts again may keep its ID;
// Born tells its lives apart.
type ServerID string

// Resident is a model that a server holds, with its loaded adapters.
type Resident struct {
	Model    string
	Adapters []string
}

// Server is what a backend server last said of itself.
type Server struct {
	ID      ServerID
	Service string
	Address string
	Zone    string
	// Born is the server's start in Unix milliseconds, 0 if it didn't say.
	Born int64
	// Sequence orders what one life of a server says of itself.
	Sequence int64
	Slots    int
	Draining bool
	// Remaining is how long a draining server still runs; 0 if not known.
	Remaining time.Duration
	Models    []Resident
	// InMemory and OnDisk name the models whose weights the server has copies of.
	InMemory, OnDisk []string
}

// Holds reports whether the server holds a model and, unless the adapter is
// empty, that adapter of it.
func (s *Server) Holds(model, adapter string) bool {
	for _, resident := range s.Models {
		if resident.Model != model {
			continue
		}
		if adapter == "" {
			return true
		}
		for _, a := range resident.Adapters {
			if a == adapter {
				return true
			}
		}
	}
	return false
}

// Entry is one record of the server list.
type Entry struct {
	ID     ServerID
	Offset int64
	// Server is nil if the record removed the entry, or if it can't be read.
	Server *Server
	// Removed tells a removal from an entry that can't be read.
	Removed bool
}

// MissingGrace is how long after the list is back a server whose entry lapsed
// meanwhile may take to register again. The platform states it.
const MissingGrace = 2 * time.Second

// lapseOutage is the shortest outage in which entries may lapse: a server's
// heartbeat of about a second is missed then.
const lapseOutage = 1500 * time.Millisecond

type listed struct {
	offset int64
	server *Server // nil: names no server to use
	// last is what the server said last, also after its entry was removed: an
	// older report that is written once more doesn't bring it back.
	last *Server
	// goneAt is when a removal takes effect; zero if none is pending.
	goneAt time.Time
}

// Directory folds the records of the server list. It isn't safe for concurrent
// use.
type Directory struct {
	entries map[ServerID]*listed
	// trustedFrom is the earliest time at which removals are believed.
	trustedFrom time.Time
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{entries: map[ServerID]*listed{}}
}

// Regained notes that the list can be read again after an outage: entries that
// lapsed meanwhile may still come back. In a short outage none has lapsed, and
// removals hold.
func (d *Directory) Regained(now time.Time, outage time.Duration) {
	if outage >= lapseOutage {
		d.trustedFrom = now.Add(MissingGrace)
	}
}

// Apply takes one record in and reports whether the usable servers changed.
func (d *Directory) Apply(now time.Time, e Entry) bool {
	held, known := d.entries[e.ID]
	if known && e.Offset < held.offset {
		return false
	}
	switch {
	case e.Removed:
		if !known {
			return false
		}
		held.offset = e.Offset
		return d.remove(now, held)
	case e.Server == nil:
		if !known {
			return false
		}
		held.offset = e.Offset
		changed := held.server != nil
		held.server = nil
		return changed
	case !known:
		d.entries[e.ID] = &listed{offset: e.Offset, server: e.Server, last: e.Server}
		return true
	}
	held.offset = e.Offset
	if olderThan(e.Server, held.last) || held.server == nil && !olderThan(held.last, e.Server) {
		return false
	}
	held.server, held.last, held.goneAt = e.Server, e.Server, time.Time{}
	return true
}

func (d *Directory) remove(now time.Time, held *listed) bool {
	if held.server == nil {
		return false
	}
	if now.Before(d.trustedFrom) && !held.server.Draining {
		held.goneAt = d.trustedFrom
		return false
	}
	held.server, held.goneAt = nil, time.Time{}
	return true
}

// olderThan orders what is said under one ID: by life, then by sequence.
func olderThan(a, b *Server) bool {
	if a.Born != b.Born {
		return a.Born < b.Born
	}
	return a.Sequence < b.Sequence
}

// Replace takes in a whole listing, as read after history was lost: servers that
// aren't in it have been removed.
func (d *Directory) Replace(now time.Time, entries []Entry) bool {
	present := map[ServerID]bool{}
	changed := false
	for _, e := range entries {
		present[e.ID] = true
		changed = d.Apply(now, e) || changed
	}
	for id, held := range d.entries {
		if !present[id] {
			changed = d.remove(now, held) || changed
		}
	}
	return changed
}

// Expire carries out removals that are due and reports whether there were any.
func (d *Directory) Expire(now time.Time) bool {
	changed := false
	for _, held := range d.entries {
		if !held.goneAt.IsZero() && !now.Before(held.goneAt) {
			held.server, held.goneAt = nil, time.Time{}
			changed = true
		}
	}
	return changed
}

// NextExpiry returns when the next removal is due, the zero time if none is pending.
func (d *Directory) NextExpiry() time.Time {
	var next time.Time
	for _, held := range d.entries {
		if !held.goneAt.IsZero() && (next.IsZero() || held.goneAt.Before(next)) {
			next = held.goneAt
		}
	}
	return next
}

// Servers returns the usable servers by ID, draining ones included.
func (d *Directory) Servers() map[ServerID]*Server {
	out := make(map[ServerID]*Server, len(d.entries))
	for id, held := range d.entries {
		if held.server != nil {
			out[id] = held.server
		}
	}
	return out
}
