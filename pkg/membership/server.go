package membership

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

const (
	// maxPastIncarnations bounds the past incarnations stored for a server.
	maxPastIncarnations = 8
	// reinstateReads is how many consecutive reads, each with a higher sequence,
	// make a past incarnation the current one again. A delayed report is read only
	// once, so repeated reads show that the stored order of the two incarnations
	// is wrong.
	reinstateReads = 3
)

// serverEntry is the table's state for one server.
type serverEntry struct {
	server           port.Server
	hash             uint64
	generation       uint64
	report           port.Report
	reportAt         time.Time
	stateHash        uint64
	pastIncarnations []string
	reinstatement    reinstatement

	listed bool
	// listedAt is when the server was last in a live list.
	listedAt    time.Time
	lastContact time.Time

	// publishedLoad is the load in requests that was last included in deltas,
	// and publishedAt the time of that change.
	publishedLoad int
	publishedAt   time.Time

	// routable is the result of the last check by checkRoutable.
	routable bool
	// changeNumber and changeElement are the position of the entry in the change
	// log, which also contains changes that aren't sent to other instances.
	changeNumber  uint64
	changeElement *list.Element

	changeMark
}

// reinstatement counts the consecutive reads of a past incarnation.
type reinstatement struct {
	incarnation string
	sequence    uint64
	reads       int
}

// changeMark is the position of an entry among the changes to send to other
// instances.
type changeMark struct {
	// stateVersion is the table version of the last change of the entry's state,
	// and anyVersion that of its last change of any kind, including loads and
	// heartbeats.
	stateVersion, anyVersion uint64
	// source is the peer that the last change was received from. The change isn't
	// sent back to it.
	source  port.InstanceID
	element *list.Element
}

func (e *serverEntry) reported() bool { return e.generation > 0 }

func (e *serverEntry) load() int { return e.report.InFlight + e.report.Queued }

func (e *serverEntry) isPast(incarnation string) bool {
	for _, p := range e.pastIncarnations {
		if p == incarnation {
			return true
		}
	}
	return false
}

// setReport stores a report as the newest one.
func (e *serverEntry) setReport(generation uint64, r port.Report, at time.Time) {
	if e.reported() && e.report.Incarnation != r.Incarnation {
		e.retire(e.report.Incarnation, r.Incarnation)
	}
	e.generation = generation
	e.report = r
	e.reportAt = at
	e.stateHash = hashState(&r)
	e.reinstatement = reinstatement{}
}

// retire adds old to the past incarnations and removes current from them.
func (e *serverEntry) retire(old, current string) {
	past := make([]string, 0, maxPastIncarnations)
	past = append(past, old)
	for _, p := range e.pastIncarnations {
		if p != current && p != old && len(past) < maxPastIncarnations {
			past = append(past, p)
		}
	}
	e.pastIncarnations = past
}

// evaluateReport returns the generation of a report that this instance has read
// itself, and whether to accept the report.
func (e *serverEntry) evaluateReport(r *port.Report) (generation uint64, accept bool) {
	switch {
	case !e.reported():
		return 1, true
	case r.Incarnation == e.report.Incarnation:
		e.reinstatement = reinstatement{}
		return e.generation, r.Sequence > e.report.Sequence
	case !e.isPast(r.Incarnation):
		return e.generation + 1, true
	default:
		return e.generation + 1, e.reinstates(r)
	}
}

func (e *serverEntry) reinstates(r *port.Report) bool {
	if e.reinstatement.incarnation != r.Incarnation {
		e.reinstatement = reinstatement{incarnation: r.Incarnation}
	}
	if r.Sequence <= e.reinstatement.sequence {
		return false
	}
	e.reinstatement.sequence = r.Sequence
	e.reinstatement.reads++
	return e.reinstatement.reads >= reinstateReads
}

// isNewer reports whether a report received through another instance is newer than
// the stored one. Reports are ordered by generation, incarnation and sequence. The
// order of incarnations is arbitrary but the same at all instances.
func (e *serverEntry) isNewer(generation uint64, incarnation string, sequence uint64) bool {
	if generation != e.generation {
		return generation > e.generation
	}
	if incarnation != e.report.Incarnation {
		return incarnation > e.report.Incarnation
	}
	return sequence > e.report.Sequence
}

// hashState hashes all fields of a report except its load, sequence, server and
// cache events.
func hashState(r *port.Report) uint64 {
	h := stateHasher{digest: xxhash.New()}
	h.writeString(r.Incarnation)
	h.writeUint64(uint64(r.Fence))
	h.writeUint64(uint64(r.MemoryBytes))
	h.writeUint64(uint64(r.OlderBytes))
	h.writeBool(r.Leaving)
	for i := range r.Replicas {
		rep := &r.Replicas[i]
		h.writeString(string(rep.Model))
		h.writeString(string(rep.State))
		h.writeString(rep.OrderID)
		h.writeUint64(uint64(rep.Bytes))
	}
	h.writeModels(r.CachedOnDisk)
	h.writeModels(r.CachedInMemory)
	return h.digest.Sum64()
}

// stateHasher writes fields with their lengths to a digest, so that different lists
// of fields never produce the same input.
type stateHasher struct {
	digest *xxhash.Digest
}

func (h stateHasher) writeString(s string) {
	h.writeUint64(uint64(len(s)))
	_, _ = h.digest.WriteString(s)
}

func (h stateHasher) writeUint64(v uint64) {
	var b [8]byte
	for i := range b {
		b[i] = byte(v >> (8 * i))
	}
	_, _ = h.digest.Write(b[:])
}

func (h stateHasher) writeBool(v bool) {
	if v {
		h.writeUint64(1)
		return
	}
	h.writeUint64(0)
}

func (h stateHasher) writeModels(ids []port.ModelID) {
	h.writeUint64(uint64(len(ids)))
	for _, id := range ids {
		h.writeString(string(id))
	}
}
