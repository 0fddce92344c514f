package storemirror

import (
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
)

const (
	// minRecheckDelay and maxRecheckDelay are the delays after a check that didn't find the server running. They
	// double from one to the other.
	minRecheckDelay = 300 * time.Millisecond
	maxRecheckDelay = 2 * time.Second
	// maxDoubtAge is the age at which a server in doubt is no longer checked. Its entry has expired by then, or has
	// outlived that time at an instance that reads the list.
	maxDoubtAge = 20 * time.Second
	// maxLateness is how late the store can write a report: a call without an answer may be executed seconds later.
	maxLateness = 10 * time.Second
	// maxEntryLife is the time after which the entry of a server that doesn't write any more has expired:
	// three heartbeats, which come about every second.
	maxEntryLife = 4 * time.Second
)

// DoubtEvent is what an instance finds out about a server in doubt.
type DoubtEvent string

// DoubtBegan means that a removed server is listed again, by a report that may be older than the removal;
// DoubtAnswered that the server is used now, since it has answered, and DoubtOutlived that it is, since its entry
// has outlived the time in which it would have expired.
const (
	DoubtBegan    DoubtEvent = "began"
	DoubtAnswered DoubtEvent = "answered"
	DoubtOutlived DoubtEvent = "outlived"
)

// DoubtChecks says how an instance finds out about servers in doubt.
type DoubtChecks struct {
	// Check finds out whether a server is running and isn't leaving. It must call result later, from another
	// goroutine.
	Check func(server *fleet.Server, result func(running bool))
	// Grace returns how long an instance that doesn't tell the others leaves the check to the teller.
	Grace func() time.Duration
	// Event is called for what is found out, with the time since the doubt began.
	Event func(fleet.Doubt, DoubtEvent, time.Duration)
}

// doubtChecks are the doubts whose servers are being checked.
type doubtChecks struct {
	DoubtChecks

	// inFlight holds the doubts by the server that they are about.
	inFlight map[fleet.ServerID]fleet.Doubt
}

func newDoubtChecks() doubtChecks {
	return doubtChecks{inFlight: map[fleet.ServerID]fleet.Doubt{}, DoubtChecks: DoubtChecks{
		Check: func(*fleet.Server, func(bool)) {}, Grace: func() time.Duration { return 0 },
		Event: func(fleet.Doubt, DoubtEvent, time.Duration) {},
	}}
}

// SetDoubtChecks sets how to check servers that are listed again. It must be called before the mirror is used.
func (m *Mirror) SetDoubtChecks(checks DoubtChecks) { m.doubts.DoubtChecks = checks }

// checkDoubts starts the checks of servers that have come into doubt. The teller does so at once, and the others
// if it doesn't tell them meanwhile.
func (m *Mirror) checkDoubts() {
	var grace time.Duration
	if !m.tells() {
		grace = m.doubts.Grace()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, doubt := range m.list.doubts() {
		if m.doubts.inFlight[doubt.Server.ID].Is(doubt) {
			continue
		}
		m.doubts.inFlight[doubt.Server.ID] = doubt
		m.doubts.Event(doubt, DoubtBegan, 0)
		m.after(grace, func() { m.checkDoubt(doubt, minRecheckDelay) })
	}
}

// checkDoubt checks a server that is still in doubt, and again after a delay if it wasn't found running.
func (m *Mirror) checkDoubt(doubt fleet.Doubt, delay time.Duration) {
	if m.endDoubt(doubt, m.outlived(doubt), DoubtOutlived) {
		return
	}
	m.doubts.Check(doubt.Server, func(running bool) {
		if !m.endDoubt(doubt, running, DoubtAnswered) && m.now()-doubt.Since < maxDoubtAge {
			m.after(delay, func() { m.checkDoubt(doubt, min(2*delay, maxRecheckDelay)) })
		}
	})
}

// outlived reports whether this instance has read the list for so long that the entry in doubt would have expired if
// the server didn't write any more. Late reports that are still to come extend an entry's life. Entries needn't expire
// during an outage of the list, and who is told of it isn't told that they did.
func (m *Mirror) outlived(doubt fleet.Doubt) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	current, doubted := m.currentDoubt(doubt)
	if !doubted || m.skippedAt >= doubt.Since || m.list.failedSince(doubt.Since) {
		return false
	}
	return m.listRead.readAt-current.Renewed >= maxEntryLife || m.listRead.readAt-current.Since >= maxLateness+maxEntryLife
}

// endDoubt uses the server in doubt if confirmed is true, and reports whether the doubt has ended.
func (m *Mirror) endDoubt(doubt fleet.Doubt, confirmed bool, event DoubtEvent) bool {
	m.mu.Lock()
	age := m.now() - doubt.Since
	used := confirmed && m.list.confirm(doubt, Change{Source: SourceServer, ListEnd: m.end, Age: m.listRead.age(m.now())})
	_, doubted := m.currentDoubt(doubt)
	ended := used || !doubted
	if ended && m.doubts.inFlight[doubt.Server.ID].Is(doubt) {
		delete(m.doubts.inFlight, doubt.Server.ID)
	}
	news := used && m.bulletin.Update(m.list.listing())
	m.mu.Unlock()
	if used {
		m.doubts.Event(doubt, event, age)
	}
	if news {
		m.changed()
	}
	return ended
}

// currentDoubt returns a doubt with its newest report; false if it has ended.
func (m *Mirror) currentDoubt(doubt fleet.Doubt) (fleet.Doubt, bool) {
	for _, current := range m.list.doubts() {
		if current.Is(doubt) {
			return current, true
		}
	}
	return fleet.Doubt{}, false
}
