package membership

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

const (
	// maxPastIncarnations bounds the incarnations remembered for a server.
	maxPastIncarnations = 8
	// reviveReads is how many reads in a row, each with a higher sequence, make a
	// past incarnation the present one again. A late report is read once; only
	// a wrong belief about the order of two incarnations lasts.
	reviveReads = 3
)

// serverEntry is the table's state for one server.
type serverEntry struct {
	server     port.Server
	hash       uint64
	generation uint64
	report     port.Report
	reportAt   time.Time
	stateHash  uint64
	past       []string
	revival    revival

	listed bool
	// listedAt is when a live list last named the server.
	listedAt time.Time
	lastSign time.Time

	// toldLoad and toldAt are the load that the others were last told, and when.
	toldLoad int
	toldAt   time.Time

	// routable is what Changes last told of the server.
	routable bool
	// local and place order the entry among all changes, those that others
	// aren't told of too.
	local uint64
	place *list.Element

	mark
}

// revival counts the reads that speak for a past incarnation.
type revival struct {
	incarnation string
	sequence    uint64
	reads       int
}

// mark orders an entry among the table's changes.
type mark struct {
	// state is the table version of the last change of the entry's state, and
	// any that of its last change of any sort.
	state, any uint64
	// source is the peer that needn't be told of the last change.
	source  port.InstanceID
	element *list.Element
}

func (e *serverEntry) reported() bool { return e.generation > 0 }

func (e *serverEntry) load() int { return e.report.InFlight + e.report.Queued }

func (e *serverEntry) isPast(incarnation string) bool {
	for _, p := range e.past {
		if p == incarnation {
			return true
		}
	}
	return false
}

// adopt takes a report as the newest one known.
func (e *serverEntry) adopt(generation uint64, r port.Report, at time.Time) {
	if e.reported() && e.report.Incarnation != r.Incarnation {
		e.retire(e.report.Incarnation, r.Incarnation)
	}
	e.generation = generation
	e.report = r
	e.reportAt = at
	e.stateHash = hashState(&r)
	e.revival = revival{}
}

// retire remembers old as a past incarnation now that current has followed it.
func (e *serverEntry) retire(old, current string) {
	kept := make([]string, 0, maxPastIncarnations)
	kept = append(kept, old)
	for _, p := range e.past {
		if p != current && p != old && len(kept) < maxPastIncarnations {
			kept = append(kept, p)
		}
	}
	e.past = kept
}

// judgeRead decides on a report that this instance has read itself: the
// generation that it belongs to, and whether to take it.
func (e *serverEntry) judgeRead(r *port.Report) (generation uint64, take bool) {
	switch {
	case !e.reported():
		return 1, true
	case r.Incarnation == e.report.Incarnation:
		e.revival = revival{}
		return e.generation, r.Sequence > e.report.Sequence
	case !e.isPast(r.Incarnation):
		return e.generation + 1, true
	default:
		return e.generation + 1, e.revives(r)
	}
}

func (e *serverEntry) revives(r *port.Report) bool {
	if e.revival.incarnation != r.Incarnation {
		e.revival = revival{incarnation: r.Incarnation}
	}
	if r.Sequence <= e.revival.sequence {
		return false
	}
	e.revival.sequence = r.Sequence
	e.revival.reads++
	return e.revival.reads >= reviveReads
}

// newer orders reports that came through others: by generation, then by
// incarnation for want of anything better, then by sequence.
func (e *serverEntry) newer(generation uint64, incarnation string, sequence uint64) bool {
	if generation != e.generation {
		return generation > e.generation
	}
	if incarnation != e.report.Incarnation {
		return incarnation > e.report.Incarnation
	}
	return sequence > e.report.Sequence
}

// hashState hashes all of a report but its load, sequence and server.
func hashState(r *port.Report) uint64 {
	h := stateHasher{digest: xxhash.New()}
	h.text(r.Incarnation)
	h.number(uint64(r.Fence))
	h.number(uint64(r.MemoryBytes))
	h.number(uint64(r.OlderBytes))
	h.flag(r.Leaving)
	for i := range r.Replicas {
		rep := &r.Replicas[i]
		h.text(string(rep.Model))
		h.text(string(rep.State))
		h.text(rep.OrderID)
		h.number(uint64(rep.Bytes))
	}
	h.models(r.CachedOnDisk)
	h.models(r.CachedInMemory)
	return h.digest.Sum64()
}

// stateHasher feeds fields to a digest with their lengths, so that no two lists
// of fields run together.
type stateHasher struct {
	digest *xxhash.Digest
}

func (h stateHasher) text(s string) {
	h.number(uint64(len(s)))
	_, _ = h.digest.WriteString(s)
}

func (h stateHasher) number(v uint64) {
	var b [8]byte
	for i := range b {
		b[i] = byte(v >> (8 * i))
	}
	_, _ = h.digest.Write(b[:])
}

func (h stateHasher) flag(v bool) {
	if v {
		h.number(1)
		return
	}
	h.number(0)
}

func (h stateHasher) models(ids []port.ModelID) {
	h.number(uint64(len(ids)))
	for _, id := range ids {
		h.text(string(id))
	}
}
