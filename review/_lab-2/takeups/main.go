// Command takeups plays a loss of power of all front machines while servers of two versions serve: clients
// whose streams broke off take them up again.
package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/review/_lab-2/lab"
)

const (
	streams = 24
	// timeLimit is how long a client waits. The timeout of the route is as long.
	timeLimit = 15 * time.Second
	// retries is how often a client tries again, and backoff the pause before its first retry, which doubles.
	retries = 3
	backoff = 1200 * time.Millisecond
	// contact is the bound contactMs.
	contact = 3 * time.Second
)

type takeUp struct {
	inTouch, wentOn bool
}

func main() {
	record := lab.NewRecord()
	platform := lab.NewPlatform()
	var runners []*lab.Runner
	versions := []string{"v1", "v1", "v2", "v2"}
	if os.Getenv("VERSIONS") == "1" {
		versions = []string{"v1", "v1", "v1", "v1"}
	}
	for n, v := range versions {
		r := lab.NewRunner(lab.RunnerConfig{ID: fmt.Sprintf("i-%s-%d", v, n), Service: "assistant", Zone: []string{"zone-a", "zone-b"}[n%2], Version: v, Slots: 64, Models: []string{"m1"}, Events: 110, Pause: 100 * time.Millisecond})
		runners = append(runners, r)
		platform.List(r, "ready")
	}
	platform.Publish(1, []lab.Route{{
		"name": "notes", "host": "desk.example", "pathPrefix": "/notes/", "kind": "streaming", "timeoutMs": timeLimit.Milliseconds(),
		"targetLatencyMs": 1500, "priority": 0, "service": "assistant", "maxAttempts": 2, "sticky": true, "canResume": true, "gapTargetMs": 400,
	}}, "assistant", []string{"m1"}, "")
	var instances []*lab.Instance
	for n, zone := range []string{"zone-a", "zone-b", "zone-b"} {
		instances = append(instances, lab.NewInstance(fmt.Sprint("front-", n+1), zone, platform.Address(), true))
	}
	for _, i := range instances {
		i.Start()
	}
	for _, i := range instances {
		i.AwaitReady()
	}
	time.Sleep(4 * time.Second)

	begun := time.Now()
	breakAt := begun.Add(2 * time.Second)
	// inTouch is from when on the machines are in touch again.
	inTouch := breakAt
	if lab.Trouble() {
		inTouch = breakAt.Add(time.Second + contact)
	}
	takeUps := make([]takeUp, streams)
	var all sync.WaitGroup
	for n := range streams {
		all.Go(func() { takeUps[n] = client(record, instances, n, begun.Add(timeLimit), breakAt, inTouch) })
	}
	time.Sleep(time.Until(breakAt))
	if lab.Trouble() {
		for _, i := range instances {
			i.Kill()
		}
		record.Log("all front machines lose power")
		time.Sleep(time.Second)
		for _, i := range instances {
			i.Start()
		}
		record.Log("they start again")
		for _, i := range instances {
			i.AwaitReady()
		}
		record.Log("they are ready")
	}
	// New streams, from the moment on at which the machines are in touch again.
	time.Sleep(time.Until(inTouch))
	news, began := 0, 0
	for n := range 24 {
		a := lab.Send(instances[n%len(instances)].Clients, stream(lab.NewID(), 0, "", timeLimit), 700*time.Millisecond)
		news++
		if a.Status == http.StatusOK && len(lab.Events(a.Body)) > 0 {
			began++
		}
	}
	record.Log("%d of %d new streams began from %.1f s on", began, news, inTouch.Sub(begun).Seconds())
	all.Wait()
	taken, wentOn := 0, 0
	for _, t := range takeUps {
		if t.inTouch {
			taken++
		}
		if t.inTouch && t.wentOn {
			wentOn++
		}
	}
	for _, r := range runners {
		for _, run := range r.Runs() {
			record.At(run.Began, "server %s (version %s) ran attempt %s after event %q, whole: %v", run.Runner, run.Version, run.ID, run.After, run.Whole)
		}
	}
	if taken < 12 || began < news/2 || !lab.Trouble() && wentOn*2 < taken {
		lab.Unable("%d streams were taken up and %d went on, %d of %d new ones began", taken, wentOn, began, news)
	}
	// LOST: of 12 or more streams that clients take up again at machines in touch, while two runners of their version
	// serve, the share that goes on is under half of the share of new streams that begin.
	broken := float64(wentOn)/float64(taken) < float64(began)/float64(news)/2
	record.Verdict(broken, "LOST: of %d streams that clients took up again at machines in touch %d went on; of %d new ones %d began", taken, wentOn, news, began)
}

func stream(id string, after int, first string, left time.Duration) lab.Request {
	header := map[string]string{
		"Cyclamenhoist-Attempt-Id": id, "Cyclamenhoist-Model": "m1", "Cyclamenhoist-Token-Usage": "600,400",
		"Cyclamenhoist-Deadline-Ms": strconv.FormatInt(left.Milliseconds(), 10),
	}
	if after > 0 {
		header["Last-Event-Id"], header["Resumes"] = strconv.Itoa(after), first
	}
	return lab.Request{Method: "POST", Host: "desk.example", Path: "/notes/x", Header: header, Body: "note"}
}

// read sends a request on a new channel and reads the answer until its end, or until the client breaks off.
func read(address string, r lab.Request, until time.Time) lab.Answer {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return lab.Answer{Header: http.Header{}, Err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(until)
	if _, err := c.Write(r.Encode()); err != nil {
		return lab.Answer{Header: http.Header{}, Err: err}
	}
	return lab.ReadAnswer(bufio.NewReader(c), "POST")
}

func client(record *lab.Record, instances []*lab.Instance, n int, until, breakAt, inTouch time.Time) takeUp {
	var t takeUp
	first := lab.NewID()
	firstUntil := until
	if !lab.Trouble() {
		// Without the disruption the client's own channel breaks.
		firstUntil = breakAt
	}
	a := read(instances[n%len(instances)].Clients, stream(first, 0, "", time.Until(until)), firstUntil)
	last := len(lab.Events(a.Body))
	record.Log("client %d attempt %s at %s: status %d, %d events, whole: %v, error: %v", n, first, instances[n%len(instances)].Name, a.Status, last, a.Whole, a.Err)
	if last == 0 || a.Whole {
		return t
	}
	pause := backoff
	for try := 1; try <= retries; try++ {
		time.Sleep(max(pause, a.RetryAfter()))
		pause *= 2
		left := time.Until(until)
		if left <= 0 {
			break
		}
		at, id, sent := instances[(n+try)%len(instances)], lab.NewID(), time.Now()
		a = read(at.Clients, stream(id, last, first, left), until)
		got := len(lab.Events(a.Body))
		record.At(sent, "client %d takes its stream up after event %d with attempt %s at %s, in touch: %v: status %d, %d events, whole: %v, error: %v, body %q",
			n, last, id, at.Name, !sent.Before(inTouch), a.Status, got, a.Whole, a.Err, short(a))
		t.inTouch = t.inTouch || !sent.Before(inTouch)
		if a.Status == http.StatusOK && got > 0 {
			t.wentOn = true
			break
		}
	}
	return t
}

func short(a lab.Answer) string {
	if a.Status == http.StatusOK {
		return ""
	}
	return string(a.Body)
}
