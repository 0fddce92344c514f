// Command joined plays the case "the servers of the old version had just left when all front machines were
// killed at once": clients whose streams broke off take them up again.
package main

import (
	"fmt"
	"regexp"
	"strconv"
	"sync"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/review/_lab-2/lab"
)

const (
	streams = 12
	// timeLimit is how long a client waits, and routeTimeout is what the operator allows one attempt of it in the
	// manifest that is in force.
	timeLimit    = 15 * time.Second
	routeTimeout = 6 * time.Second
	// retries is how often a client tries again, and backoff the pause before its first retry, which doubles.
	retries = 4
	backoff = 1200 * time.Millisecond
	// leaves is how long the old servers go on after their entries are removed.
	leaves = 6 * time.Second
)

var version = regexp.MustCompile(`of version (\S+)`)

func main() {
	record := lab.NewRecord()
	platform := lab.NewPlatform()
	newRunner := func(id, zone, v string) *lab.Runner {
		return lab.NewRunner(lab.RunnerConfig{ID: id, Service: "assistant", Zone: zone, Version: v, Slots: 64, Models: []string{"m1"}, Events: 45, Pause: 100 * time.Millisecond})
	}
	old := []*lab.Runner{newRunner("i-old-1", "zone-a", "v1"), newRunner("i-old-2", "zone-b", "v1")}
	for _, r := range old {
		platform.List(r, "ready")
	}
	publish := func(version int, timeout time.Duration) {
		platform.Publish(version, []lab.Route{{
			"name": "notes", "host": "desk.example", "pathPrefix": "/notes/", "kind": "streaming", "timeoutMs": timeout.Milliseconds(),
			"targetLatencyMs": 1500, "priority": 0, "service": "assistant", "maxAttempts": 2, "sticky": true, "canResume": true, "gapTargetMs": 400,
		}}, "assistant", []string{"m1"}, "")
		record.Log("the operator publishes version %d, in which the route's timeoutMs is %d", version, timeout.Milliseconds())
	}
	publish(1, timeLimit)
	instances := []*lab.Instance{lab.NewInstance("front-a-1", "zone-a", platform.Address(), true), lab.NewInstance("front-b-1", "zone-b", platform.Address(), true)}
	for _, i := range instances {
		i.Start()
	}
	for _, i := range instances {
		i.AwaitReady()
	}
	publish(2, routeTimeout)
	time.Sleep(4 * time.Second)

	record.Log("%d clients begin streams at version v1", streams)
	begun := time.Now()
	results := make([]string, streams)
	joined := make([]bool, streams)
	var all sync.WaitGroup
	for n := range streams {
		all.Go(func() { results[n], joined[n] = client(record, instances, n, begun.Add(timeLimit)) })
	}

	time.Sleep(time.Second)
	// The release: the new servers start, the old ones never say that they are draining; their entries are
	// removed, and they go on for some seconds.
	next := []*lab.Runner{newRunner("i-new-1", "zone-a", "v2"), newRunner("i-new-2", "zone-b", "v2")}
	for _, r := range next {
		platform.List(r, "ready")
	}
	time.Sleep(500 * time.Millisecond)
	for _, r := range old {
		platform.Unlist(r)
	}
	record.Log("the servers of version v2 are listed, the entries of those of v1 are removed")
	time.AfterFunc(leaves, func() {
		for _, r := range old {
			r.Exit()
		}
	})
	time.Sleep(time.Second)
	if lab.Trouble() {
		for _, i := range instances {
			i.Kill()
		}
		record.Log("all front machines are killed at once")
		time.Sleep(time.Second)
		for _, i := range instances {
			i.Start()
		}
		record.Log("they start again")
	}
	all.Wait()
	count, whole := 0, 0
	for n := range streams {
		record.Log("client %d: %s", n, results[n])
		if joined[n] {
			count++
		}
		if len(results[n]) > 5 && results[n][:5] == "whole" {
			whole++
		}
	}
	for _, r := range append(old, next...) {
		for _, run := range r.Runs() {
			record.At(run.Began, "server %s (version %s) ran attempt %s after event %q, whole: %v", run.Runner, run.Version, run.ID, run.After, run.Whole)
		}
	}
	if !lab.Trouble() && whole < streams {
		lab.Unable("without the disruption only %d of %d streams were whole", whole, streams)
	}
	// ORDER: more than two streams hold events from servers of two versions of one service.
	record.Verdict(count > 2, "ORDER: %d of %d streams hold events of two versions (more than 2 break the rule); %d ended whole", count, streams, whole)
}

// client sends a stream and takes it up again after the last event that it got, each time at the other machine.
func client(record *lab.Record, instances []*lab.Instance, n int, until time.Time) (string, bool) {
	last, first := 0, ""
	versions := map[string]bool{}
	pause := backoff
	for try := 0; try <= retries && time.Until(until) > 0; try++ {
		at := instances[(n+try)%len(instances)]
		id := lab.NewID()
		header := map[string]string{
			"Cyclamenhoist-Attempt-Id": id, "Cyclamenhoist-Model": "m1", "Cyclamenhoist-Token-Usage": "600,200",
			"Cyclamenhoist-Deadline-Ms": strconv.FormatInt(time.Until(until).Milliseconds(), 10),
		}
		if last > 0 {
			header["Last-Event-Id"], header["Resumes"] = strconv.Itoa(last), first
		}
		record.Log("client %d attempt %s at %s after event %d", n, id, at.Name, last)
		a := lab.Send(at.Clients, lab.Request{Method: "POST", Host: "desk.example", Path: "/notes/x", Header: header, Body: "note"}, time.Until(until))
		got := lab.Events(a.Body)
		for _, e := range got {
			if e.ID != last+1 {
				return fmt.Sprintf("event %d follows %d", e.ID, last), false
			}
			if last == 0 {
				first = id
			}
			last = e.ID
			versions[version.FindStringSubmatch(e.Text)[1]] = true
		}
		record.Log("client %d attempt %s: status %d, %d events until %d, whole: %v, error: %v, retry-after %v, versions so far %v", n, id, a.Status, len(got), last, a.Whole, a.Err, a.RetryAfter(), versions)
		if a.Status == 200 && a.Whole {
			return fmt.Sprintf("whole, %d events, versions %v", last, versions), len(versions) > 1
		}
		wait := max(pause, a.RetryAfter())
		pause *= 2
		time.Sleep(min(wait, time.Until(until)))
	}
	return fmt.Sprintf("gave up after event %d, versions %v", last, versions), len(versions) > 1
}
