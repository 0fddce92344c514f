package storemirror

import (
	"sync"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

// Source is how an instance learned of a change of the server list.
type Source string

// SourceStore and SourceInstance mean that this instance has read the change, or was told of it by
// another one; SourceExpiry that a removal it had learned before has taken effect.
const (
	SourceStore    Source = "store"
	SourceInstance Source = "instance"
	SourceExpiry   Source = "expiry"
)

// serverList applies the batches of the server list and publishes the servers
// that can be used. Pending removals take effect at their expiry, even if
// nothing is read at that time.
type serverList struct {
	publish func(map[fleet.ServerID]*fleet.Server, Source)
	// interval is the minimum interval between two reads.
	interval time.Duration

	mu          sync.Mutex
	directory   *fleet.Directory
	lastRead    time.Time
	expiryTimer *time.Timer
}

func newServerList(publish func(map[fleet.ServerID]*fleet.Server, Source), interval time.Duration) *serverList {
	return &serverList{publish: publish, interval: interval, directory: fleet.NewDirectory(), lastRead: time.Now()}
}

// apply applies one batch.
func (l *serverList) apply(b platform.ServerListBatch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if b.Recovered {
		// The failed read can have been blocked for a while before it failed.
		l.directory.ListRecovered(now, now.Sub(l.lastRead)-l.interval)
	}
	l.lastRead = now
	changed := b.Complete
	if b.Complete {
		l.directory.Replace(now, b.Entries)
	} else {
		for _, entry := range b.Entries {
			changed = l.directory.Apply(now, entry) || changed
		}
	}
	l.expire(now, changed, SourceStore)
}

// applyTold applies entries that another instance has read. If complete is true, servers that
// they lack are removed. outage is for how long nobody that this instance knows had read the list.
func (l *serverList) applyTold(entries []fleet.Entry, complete bool, outage time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.lastRead = now
	l.directory.ListRecovered(now, outage)
	changed := false
	if complete {
		changed = l.directory.Replace(now, entries)
	} else {
		for _, entry := range entries {
			changed = l.directory.Apply(now, entry) || changed
		}
	}
	if changed || !l.directory.NextExpiry().IsZero() {
		l.expire(now, changed, SourceInstance)
	}
}

// listing returns the newest entry of each server.
func (l *serverList) listing() []fleet.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.directory.Listing()
}

// expire carries out the removals that have expired, publishes the servers if
// they changed, and schedules the next expiry.
func (l *serverList) expire(now time.Time, changed bool, source Source) {
	if l.directory.Expire(now) || changed {
		l.publish(l.directory.Servers(), source)
	}
	if l.expiryTimer != nil {
		l.expiryTimer.Stop()
	}
	next := l.directory.NextExpiry()
	if next.IsZero() {
		return
	}
	l.expiryTimer = time.AfterFunc(next.Sub(now), func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.expire(time.Now(), false, SourceExpiry)
	})
}
