package edge

import (
	"time"

	"github.com/phuslu/log"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/workload"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

// progress records how far a request got, for the log line about its end.
type progress struct {
	// queued is the time spent waiting for a server, over all attempts.
	queued time.Duration
	// server is the server of the last attempt. ahead is how many other requests of this
	// instance were in flight there when the attempt began, and load is what the server's
	// last answer reported.
	server  fleet.ServerID
	sentAt  time.Time
	ahead   int64
	load    platform.ServerLoad
	hasLoad bool
	// expected is the expected time from sending the last attempt to its first event, and
	// slowness how many times as long work was expected to take there as at other servers.
	expected time.Duration
	slowness float64
	// firstID and lastID are the IDs of the first and the last event of the last attempt.
	firstID, lastID int64
	// firstEvent is the time from the arrival of the request to its first event, events is
	// the number of writes with events, and longestPause the longest time between two of
	// these.
	firstEvent, longestPause  time.Duration
	events                    int
	firstEventAt, lastEventAt time.Time
	// writing is how long events were being written to the client, and writingAtFirst and writingAtLast
	// that at firstEventAt and lastEventAt. A client that reads slowly says nothing about the server.
	writing, writingAtFirst, writingAtLast time.Duration
}

// attemptBegins records the start of an attempt.
func (p *progress) attemptBegins(server fleet.ServerID, ahead int64, now time.Time) {
	p.server, p.ahead, p.hasLoad, p.sentAt, p.firstEventAt = server, ahead, false, now, time.Time{}
	p.firstID, p.lastID = 0, 0
}

// observation returns what a completed attempt shows about its server.
func (p *progress) observation() workload.Observation {
	return workload.Observation{
		FirstEvent: p.firstEventAt.Sub(p.sentAt), Generation: max(p.lastEventAt.Sub(p.firstEventAt)-(p.writingAtLast-p.writingAtFirst), 0),
		Alone: p.ahead == 0 && p.hasLoad && p.load.Waiting == 0, Events: int(max(p.lastID-p.firstID, 0)),
	}
}

// eventsForwarded records that events were written to the client.
func (p *progress) eventsForwarded(arrived, now time.Time) {
	if p.events == 0 {
		p.firstEvent = now.Sub(arrived)
	} else {
		p.longestPause = max(p.longestPause, now.Sub(p.lastEventAt))
	}
	if p.firstEventAt.IsZero() {
		p.firstEventAt, p.writingAtFirst = now, p.writing
	}
	p.events++
	p.lastEventAt, p.writingAtLast = now, p.writing
}

// silentFor returns how long the server of the last attempt has sent nothing.
func (p *progress) silentFor(now time.Time) time.Duration {
	since := p.sentAt
	if p.lastEventAt.After(since) {
		since = p.lastEventAt
	}
	if since.IsZero() {
		return 0
	}
	return now.Sub(since)
}

// missedObjective reports whether an answered request was late for its route: its answer, or
// the first event of its stream, came after the latency objective, or events paused too long.
func (p *progress) missedObjective(route *fleet.Route, took time.Duration) bool {
	if route == nil || route.TargetLatency <= 0 {
		return false
	}
	if p.events == 0 {
		return took > route.TargetLatency
	}
	return p.firstEvent > route.TargetLatency || route.GapTarget > 0 && p.longestPause > route.GapTarget
}

// log adds the fields of the progress to a log entry.
func (p *progress) log(entry *log.Entry) *log.Entry {
	entry = entry.Dur("queued", p.queued).Str("server", string(p.server)).Int64("ahead", p.ahead).
		Dur("first_event", p.firstEvent).Dur("longest_pause", p.longestPause).Int("events", p.events)
	if p.expected > 0 {
		entry = entry.Dur("expected", p.expected).Float64("slowness", p.slowness)
		if !p.firstEventAt.IsZero() {
			entry = entry.Dur("observed", p.firstEventAt.Sub(p.sentAt))
		}
	}
	if p.hasLoad {
		entry = entry.Int("server_running", p.load.Running).Int("server_waiting", p.load.Waiting)
	}
	return entry
}
