package storemirror

import (
	"sync"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/internal/bootclock"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

// Source is how an instance learned of a change of the server list.
type Source string

// SourceStore and SourceInstance mean that this instance has read the change, or was told of it by
// another one; SourceExpiry that a removal it had learned before has taken effect; SourceServer that a server
// in doubt was found to be running.
const (
	SourceStore    Source = "store"
	SourceInstance Source = "instance"
	SourceExpiry   Source = "expiry"
	SourceServer   Source = "server"
)

// Change is how an instance learned of a change of the server list.
type Change struct {
	Source Source
	// Teller is the name of the instance that told of it; empty if this instance has read it.
	Teller string
	// ListEnd is the position up to which the list was read, and Age the time since then.
	ListEnd fleet.Position
	Age     time.Duration
}

// Deferral is a decision to go on using servers that the list has removed, as they may register
// again.
type Deferral struct {
	Change

	Servers []fleet.ServerID
	// Outage is for how long nobody that this instance knows had read the list, and For is for how
	// long the removals are deferred.
	Outage, For time.Duration
}

// serverList applies the batches of the server list and publishes the servers
// that can be used. Pending removals take effect at their expiry, even if
// nothing is read at that time.
type serverList struct {
	// now returns the time since boot, and after calls a function after a duration.
	now     func() time.Duration
	after   func(time.Duration, func())
	publish func(map[fleet.ServerID]*fleet.Server, Change)
	// deferred is called after removals were deferred.
	deferred func(Deferral)
	// interval is the minimum interval between two reads.
	interval time.Duration
	// withdrawWithin is the time after the store has returned within which servers that it removed
	// before must not be used any more.
	withdrawWithin time.Duration

	mu        sync.Mutex
	directory *fleet.Directory
	// lastFailure is when the last read that failed was started.
	lastFailure time.Duration
	// nextExpiry is the expiry that a timer waits for; 0 if none does.
	nextExpiry time.Duration
	// deferredBy is the change that deferred removals last, at deferredAt.
	deferredBy Change
	deferredAt time.Duration
}

func newServerList(publish func(map[fleet.ServerID]*fleet.Server, Change), interval, withdrawWithin time.Duration) *serverList {
	return &serverList{
		now: bootclock.Now, after: func(d time.Duration, do func()) { time.AfterFunc(d, do) },
		publish: publish, deferred: func(Deferral) {}, interval: interval, withdrawWithin: withdrawWithin, directory: fleet.NewDirectory(),
	}
}

// apply applies one batch. gap is how long the list wasn't known before.
func (l *serverList) apply(b platform.ServerListBatch, gap gap) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	outage := l.recovered(now, gap)
	changed := b.Complete
	if b.Complete {
		l.directory.Replace(now, fleet.Listing{Entries: b.Entries, End: fleet.Position{Era: b.Era, Offset: b.Next}})
	} else {
		for _, entry := range b.Entries {
			changed = l.directory.Apply(now, entry) || changed
		}
	}
	change := Change{Source: SourceStore, ListEnd: fleet.Position{Era: b.Era, Offset: b.Next}, Age: now - b.CurrentSince}
	l.reportDeferred(now, change, outage)
	l.expire(now, changed, change)
}

// applyTold applies entries that another instance has read. If complete is true, they are all usable
// servers up to the end that the change names. gap is how long the list wasn't known before.
func (l *serverList) applyTold(entries []fleet.Entry, complete bool, gap gap, change Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	outage := l.recovered(now, gap)
	changed := false
	if complete {
		changed = l.directory.Replace(now, fleet.Listing{Entries: entries, End: change.ListEnd})
	} else {
		for _, entry := range entries {
			changed = l.directory.Apply(now, entry) || changed
		}
	}
	l.reportDeferred(now, change, outage)
	if changed || l.directory.NextExpiry() != 0 {
		l.expire(now, changed, change)
	}
}

// readFailed records that a read failed which was started at a time since boot.
func (l *serverList) readFailed(started time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastFailure = max(l.lastFailure, started)
}

// gap is the time between two reads of the list by anyone that an instance knows. from is 0 if
// there was none before.
type gap struct {
	from, to time.Duration
	// newHistory means that the store has come back from an older copy meanwhile.
	newHistory bool
}

// recovered records that the list is known again after a gap, and returns the outage: how much longer
// than between reads that was. The store can have returned as soon as the last read that failed was
// started. If none failed during the gap, nothing shows that the store was away.
func (l *serverList) recovered(now time.Duration, gap gap) time.Duration {
	if gap.from == 0 {
		return 0
	}
	outage := gap.to - gap.from - l.interval
	if gap.newHistory {
		l.directory.HistoryChanged(now, max(l.lastFailure, gap.from)+l.withdrawWithin)
	}
	if l.lastFailure < gap.from {
		return outage
	}
	l.directory.ListRecovered(now, l.lastFailure+l.withdrawWithin, outage)
	return outage
}

// applyReports applies the reports among entries whose places in the list aren't known.
func (l *serverList) applyReports(entries []fleet.Entry, change Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := false
	for _, entry := range entries {
		if entry.Server != nil {
			changed = l.directory.ApplyReport(entry.Server) || changed
		}
	}
	l.expire(l.now(), changed, change)
}

func (l *serverList) forgetPositions() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.directory.ForgetPositions()
}

// doubts returns the reports in doubt.
func (l *serverList) doubts() []fleet.Doubt {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.directory.Doubts()
}

// confirm ends a doubt, and reports whether the server is used now.
func (l *serverList) confirm(doubt fleet.Doubt, change Change) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	confirmed := l.directory.Confirm(doubt)
	l.expire(l.now(), confirmed, change)
	return confirmed
}

// failedSince reports whether a read failed that was started after a time since boot.
func (l *serverList) failedSince(since time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastFailure >= since
}

// reportDeferred reports the removals that a change has deferred.
func (l *serverList) reportDeferred(now time.Duration, change Change, outage time.Duration) {
	servers, until := l.directory.TakeDeferred()
	if len(servers) == 0 {
		return
	}
	l.deferredBy, l.deferredAt = change, now
	l.deferred(Deferral{Change: change, Servers: servers, Outage: outage, For: until - now})
}

// listing returns the newest entry of each server.
func (l *serverList) listing() []fleet.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.directory.Listing()
}

// expire carries out the removals that have expired, publishes the servers if
// they changed, and schedules the next expiry.
func (l *serverList) expire(now time.Duration, changed bool, change Change) {
	if l.directory.Expire(now) || changed {
		l.publish(l.directory.Servers(), change)
	}
	next := l.directory.NextExpiry()
	if next == 0 || next == l.nextExpiry {
		return
	}
	l.nextExpiry = next
	l.after(next-now, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		now := l.now()
		if l.nextExpiry == next {
			l.nextExpiry = 0
		}
		change := l.deferredBy
		change.Source, change.Age = SourceExpiry, change.Age+now-l.deferredAt
		l.expire(now, false, change)
	})
}
