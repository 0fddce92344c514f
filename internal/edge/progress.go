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
	// attemptProgress is that of the last attempt.
	attemptProgress

	// firstEvent is the time from the arrival of the request to its first event, events is
	// the number of writes with events, and longestPause the longest time between two of
	// these.
	firstEvent, longestPause time.Duration
	events                   int
	lastEventAt              time.Time
	// writing is how long events were being written to the client, and writingAtLast that at
	// lastEventAt. A client that reads slowly says nothing about the server.
	writing, writingAtLast time.Duration
}

// attemptProgress records how far an attempt got.
type attemptProgress struct {
	// ahead is how many other requests of this instance were in flight at the server when the
	// attempt began, and load is what the server's answer reported.
	server  fleet.ServerID
	sentAt  time.Time
	ahead   int64
	load    platform.ServerLoad
	hasLoad bool
	// expected is the expected time from sending the attempt to its first event, and slowness how
	// many times as long work was expected to take there as at other servers.
	expected time.Duration
	slowness float64
	// firstID and lastID are the IDs of the first and the last event.
	firstID, lastID int64
	// firstEventAt and latestEventAt are when the first and the latest event were forwarded, and
	// writingAtFirst is the progress's writing at the first one.
	firstEventAt, latestEventAt time.Time
	writingAtFirst              time.Duration
}

// firstEventEstimate is what is expected of a server that is chosen for a request.
type firstEventEstimate struct {
	// firstEvent is the time until the first event, and slowness how many times as long work takes
	// there as at other servers.
	firstEvent time.Duration
	slowness   float64
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
	p.lastEventAt, p.latestEventAt, p.writingAtLast = now, now, p.writing
}

// attemptBegins records the start of an attempt.
func (p *attemptProgress) attemptBegins(server fleet.ServerID, ahead int64, now time.Time) {
	*p = attemptProgress{server: server, ahead: ahead, sentAt: now}
}

// silentFor returns how long the server has sent no event.
func (p *attemptProgress) silentFor(now time.Time) time.Duration {
	if p.latestEventAt.IsZero() {
		return now.Sub(p.sentAt)
	}
	return now.Sub(p.latestEventAt)
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
