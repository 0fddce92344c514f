package fleet

import (
	"time"
)

// ServerID identifies a backend server. A server can keep its ID across restarts; StartedAt
// distinguishes its incarnations.
type ServerID string

// Resident is a model that a server holds, with its loaded adapters.
type Resident struct {
	Model    string
	Adapters []string
}

// Server is the last reported state of a backend server.
type Server struct {
	ID      ServerID
	Service string
	Address string
	Zone    string
	// Version is the version of the server's software. Servers of several versions can serve
	// side by side, but what they write doesn't fit together.
	Version string
	// StartedAt is the server's start time in Unix milliseconds; 0 if not reported.
	StartedAt int64
	// Sequence orders the reports of one incarnation of the server.
	Sequence int64
	Slots    int
	Draining bool
	// Remaining is how long a draining server continues to run; 0 if unknown.
	Remaining time.Duration
	Models    []Resident
	// InMemory and OnDisk list the models of which the server has a copy of the weights in
	// host memory and on disk.
	InMemory, OnDisk []string
}

// Holds reports whether the server holds the model and, if adapter isn't empty, that adapter
// of it.
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

// Position is a place in the server list. Positions are ordered by the era of the store's history, which
// rises when the store comes back from an older copy and gives out offsets again, and by the offset in it.
type Position struct {
	// Era is 0 if the store states none.
	Era, Offset int64
}

// Before reports whether p comes before q.
func (p Position) Before(q Position) bool {
	return p.Era < q.Era || p.Era == q.Era && p.Offset < q.Offset
}

// Entry is one record of the server list.
type Entry struct {
	ID ServerID
	At Position
	// Server is nil if the record is a removal, or if it can't be decoded.
	Server *Server
	// Removed distinguishes a removal from a record that can't be decoded.
	Removed bool
	// LastReport is the last report of a server that is told to be removed.
	LastReport LastReport
	// Restored means that whoever tells of the server has found that it was removed, and was running
	// afterwards.
	Restored bool
	// restoredAt is the position of the report that restored the server last.
	restoredAt Position
	// doubted means that the server is listed again, by a report that may be older than the removal.
	doubted bool
}

// LastReport identifies the newest report of a server that is known.
type LastReport struct {
	StartedAt, Sequence int64
	// Exact tells builds that can't check a server to use it after its next report. This build doesn't read it.
	Exact bool
}

// Listing is a complete server list.
type Listing struct {
	// Entries are those of all usable servers.
	Entries []Entry
	// End is the position after the last record that is included.
	End Position
}

// MissingGrace is how long after an outage of the server list a server whose entry expired
// during the outage can take to register again. The platform specifies this value.
const MissingGrace = 2 * time.Second

// minExpiryOutage is the shortest outage in which entries can expire: a server misses at least
// one heartbeat, which it sends about every second.
const minExpiryOutage = 1500 * time.Millisecond

type directoryEntry struct {
	at     Position
	server *Server // nil if the entry lists no usable server
	// lastReport is the newest report whose place in the list is known to be before a removal or to be listed. It
	// is retained after the entry is removed, so that an older report that is written again doesn't restore the
	// server.
	lastReport *Server
	// restored and restoredAt are as in Entry.
	restored   bool
	restoredAt Position
	// removed means that the list has removed the server since its last report that was used, at removedAt.
	// doubt is a report that may be older than the removal.
	removed   bool
	removedAt Position
	doubt     Doubt
	// removeAt is when a deferred removal takes effect; 0 if none is pending.
	removeAt time.Duration
}

// Directory builds the current set of servers from the records of the server list. Times are
// readings of a clock that includes suspensions. It isn't safe for concurrent use.
type Directory struct {
	entries map[ServerID]*directoryEntry
	// removalsTrustedFrom is the time until which removals are deferred.
	removalsTrustedFrom time.Duration
	// deferred are the servers whose removal was deferred since the last call of TakeDeferred.
	deferred []ServerID
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{entries: map[ServerID]*directoryEntry{}}
}

// ListRecovered records that the list is readable again after an outage. Removals are deferred
// for MissingGrace, but not beyond latest, because servers whose entries expired during the outage
// may register again. After an outage too short for entries to expire, removals apply immediately.
func (d *Directory) ListRecovered(now, latest, outage time.Duration) {
	if outage >= minExpiryOutage {
		d.deferRemovals(now, latest)
	}
}

// HistoryChanged records that the store has come back from an older copy. Removals are deferred as
// after an outage, because servers that registered after the copy register again.
func (d *Directory) HistoryChanged(now, latest time.Duration) { d.deferRemovals(now, latest) }

func (d *Directory) deferRemovals(now, latest time.Duration) {
	d.removalsTrustedFrom = max(d.removalsTrustedFrom, min(now+MissingGrace, latest))
}

// Apply applies one record and reports whether the set of usable servers changed.
func (d *Directory) Apply(now time.Duration, e Entry) bool {
	current, known := d.entries[e.ID]
	if known && e.At.Before(current.at) {
		return false
	}
	switch {
	case e.Removed:
		if !known {
			return false
		}
		current.at = e.At
		current.learnLast(e.LastReport)
		return d.remove(now, e.ID, current)
	case e.Server == nil:
		if !known {
			return false
		}
		current.at, current.doubt = e.At, Doubt{}
		changed := current.server != nil
		current.server = nil
		return changed
	case !known:
		d.entries[e.ID] = &directoryEntry{at: e.At, server: e.Server, lastReport: e.Server}
		return true
	case current.removed && (e.At.Era > current.at.Era || e.Server.StartedAt == current.lastReport.StartedAt):
		current.at = e.At
		return d.relist(now, e, current)
	}
	current.at = e.At
	if current.server != nil && olderThan(e.Server, current.server) {
		return false
	}
	if olderThan(e.Server, current.lastReport) || current.isGone() && !olderThan(current.lastReport, e.Server) {
		return false
	}
	current.use(e.Server)
	return true
}

// use makes the server of a report usable.
func (c *directoryEntry) use(s *Server) {
	if c.isGone() {
		c.restored, c.restoredAt = true, c.at
	}
	c.server, c.lastReport, c.removeAt, c.removed, c.doubt = s, s, 0, false, Doubt{}
}

// relist applies a report of a server that was removed, and reports whether the set of usable servers changed. The
// report can be older than the removal: the store's copy lacks that, or the report was written late. Its
// sequence doesn't tell, and the server needn't write another one if it is running: reports in which only the
// sequence changes leave no record.
func (d *Directory) relist(now time.Duration, e Entry, current *directoryEntry) bool {
	switch {
	case e.Server.StartedAt < current.lastReport.StartedAt:
		return false // the server has started again since
	case e.Restored, e.Server.Draining: // a draining server gets no new requests
		current.use(e.Server)
		return true
	}
	current.doubtReport(e.Server, now)
	return false
}

// doubtReport records a report that may be older than the removal. A newer one doesn't begin the doubt anew: who checks the
// server finds out about both.
func (c *directoryEntry) doubtReport(s *Server, now time.Duration) {
	switch {
	case c.doubt.Server == nil || c.doubt.Server.StartedAt != s.StartedAt:
		c.doubt = Doubt{Server: s, Since: now, Renewed: now}
	case olderThan(c.doubt.Server, s):
		c.doubt.Server, c.doubt.Renewed = s, now
	}
}

// isGone reports whether the list has removed the server, also if that is deferred.
func (c *directoryEntry) isGone() bool { return c.server == nil || c.removeAt != 0 }

// learnLast applies what another instance knows of a removed server's last report.
func (c *directoryEntry) learnLast(last LastReport) {
	if report := (&Server{StartedAt: last.StartedAt, Sequence: last.Sequence}); olderThan(c.lastReport, report) {
		c.lastReport = report
	}
}

// ForgetPositions lets entries of any position count, because the store's history has been replaced by
// one of a lower era. Reports are still ordered among themselves.
func (d *Directory) ForgetPositions() {
	for _, current := range d.entries {
		current.at = Position{}
	}
}

// ApplyReport applies a report whose place in the list isn't known, and reports whether the set of
// usable servers changed. It counts only if it is newer than that of a server that is listed.
func (d *Directory) ApplyReport(s *Server) bool {
	current, known := d.entries[s.ID]
	if !known || current.server == nil || !olderThan(current.server, s) {
		return false
	}
	current.server = s
	return true
}

// remove removes the server of an entry, or defers the removal after an outage, and reports
// whether the set of usable servers changed.
func (d *Directory) remove(now time.Duration, id ServerID, current *directoryEntry) bool {
	current.removed, current.removedAt, current.doubt = true, current.at, Doubt{}
	if current.server == nil {
		return false
	}
	if now < d.removalsTrustedFrom && !current.server.Draining {
		current.removeAt = d.removalsTrustedFrom
		d.deferred = append(d.deferred, id)
		return false
	}
	current.server, current.removeAt = nil, 0
	return true
}

// TakeDeferred returns the servers whose removal was deferred since the last call, and until when.
func (d *Directory) TakeDeferred() ([]ServerID, time.Duration) {
	deferred := d.deferred
	d.deferred = nil
	return deferred, d.removalsTrustedFrom
}

// Doubt is the newest report of a removed server that may be older than its removal, so that the server
// isn't used.
type Doubt struct {
	Server *Server
	// Since is when the first such report was read, and Renewed when the newest one was.
	Since, Renewed time.Duration
}

// Is reports whether two doubts are the same, perhaps by different reports.
func (d Doubt) Is(other Doubt) bool {
	return d.Server != nil && other.Server != nil && d.Server.ID == other.Server.ID && d.Server.StartedAt == other.Server.StartedAt && d.Since == other.Since
}

// Doubts returns the reports in doubt.
func (d *Directory) Doubts() []Doubt {
	var doubts []Doubt
	for _, current := range d.entries {
		if current.doubt.Server != nil {
			doubts = append(doubts, current.doubt)
		}
	}
	return doubts
}

// Confirm ends a doubt, as the server was found to be running after its report had been read, and not to
// leave. It reports whether the set of usable servers changed; it doesn't if the list has said otherwise since.
func (d *Directory) Confirm(doubt Doubt) bool {
	current := d.entries[doubt.Server.ID]
	if current == nil || !current.doubt.Is(doubt) {
		return false
	}
	current.use(current.doubt.Server)
	return true
}

// olderThan reports whether report a of a server is older than b: by incarnation, then by
// sequence.
func olderThan(a, b *Server) bool {
	if a.StartedAt != b.StartedAt {
		return a.StartedAt < b.StartedAt
	}
	return a.Sequence < b.Sequence
}

// Replace applies a complete list. Servers that it lacks are removed. It reports whether the set of
// usable servers changed.
func (d *Directory) Replace(now time.Duration, l Listing) bool {
	present := map[ServerID]bool{}
	changed := false
	for _, e := range l.Entries {
		present[e.ID] = true
		changed = d.Apply(now, e) || changed
	}
	for id, current := range d.entries {
		if !present[id] {
			// A report before the end is outdated, whoever tells it.
			if last := (Position{l.End.Era, l.End.Offset - 1}); current.at.Before(last) {
				current.at = last
			}
			changed = d.remove(now, id, current) || changed
		}
	}
	return changed
}

// Expire applies deferred removals that are due and reports whether there were any.
func (d *Directory) Expire(now time.Duration) bool {
	changed := false
	for _, current := range d.entries {
		if current.removeAt != 0 && now >= current.removeAt {
			current.server, current.removeAt = nil, 0
			changed = true
		}
	}
	return changed
}

// NextExpiry returns when the next deferred removal is due; 0 if none is pending.
func (d *Directory) NextExpiry() time.Duration {
	var next time.Duration
	for _, current := range d.entries {
		if current.removeAt != 0 && (next == 0 || current.removeAt < next) {
			next = current.removeAt
		}
	}
	return next
}

// Listing returns the newest entry of each server that was ever listed. Those without a usable
// server are returned as removed, and so are those whose removal is deferred: whether to defer it
// depends on the outages of whoever uses the listing.
func (d *Directory) Listing() []Entry {
	out := make([]Entry, 0, len(d.entries))
	for id, current := range d.entries {
		e := Entry{ID: id, At: current.at, Server: current.server}
		if e.Server == nil || current.removeAt != 0 {
			e.Server, e.Removed = nil, true
			if current.doubt.Server != nil {
				e.At, e.doubted = current.removedAt, true // others may know that the report isn't older
			}
			e.LastReport = LastReport{StartedAt: current.lastReport.StartedAt, Sequence: current.lastReport.Sequence, Exact: true}
		} else {
			e.Restored, e.restoredAt = current.restored, current.restoredAt
		}
		out = append(out, e)
	}
	return out
}

// Servers returns the usable servers by ID, draining ones included.
func (d *Directory) Servers() map[ServerID]*Server {
	out := make(map[ServerID]*Server, len(d.entries))
	for id, current := range d.entries {
		if current.server != nil {
			out[id] = current.server
		}
	}
	return out
}
