// Command terms plays two SIGTERMs to one machine, one second apart.
package main

import (
	"bufio"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/review/_lab-2/lab"
)

const (
	requests  = 8
	timeLimit = 5 * time.Second
	// work is how long a server takes, sent how long before the first SIGTERM the requests are sent, and again when
	// the second SIGTERM comes after it.
	work  = 2 * time.Second
	sent  = 200 * time.Millisecond
	again = time.Second
	grace = 8 * time.Second
)

func main() {
	record := lab.NewRecord()
	platform := lab.NewPlatform()
	answer := func(run *lab.Run, w *bufio.Writer) bool {
		select {
		case <-run.Closed():
			return false
		case <-time.After(work):
		}
		body := "lodged " + run.ID
		run.Head(w, fmt.Sprintf("Content-Length: %d\r\n", len(body)))
		_, _ = w.WriteString(body)
		run.Whole = w.Flush() == nil
		return false
	}
	var servers []*lab.Runner
	for n := range 4 {
		r := lab.NewRunner(lab.RunnerConfig{ID: fmt.Sprint("i-desk-", n), Service: "desk", Zone: "zone-a", Version: "v1", Slots: 6, Answer: answer})
		servers = append(servers, r)
		platform.List(r, "ready")
	}
	platform.Publish(1, []lab.Route{{
		"name": "lodge", "host": "desk.example", "pathPrefix": "/lodge/", "kind": "unsafe", "timeoutMs": timeLimit.Milliseconds(),
		"targetLatencyMs": 3000, "priority": 0, "service": "desk", "maxAttempts": 1, "canResume": false,
	}}, "", nil, "desk")
	instances := []*lab.Instance{lab.NewInstance("front-a-1", "zone-a", platform.Address(), true), lab.NewInstance("front-a-2", "zone-a", platform.Address(), true)}
	for _, i := range instances {
		i.Start()
	}
	for _, i := range instances {
		i.AwaitReady()
	}
	time.Sleep(3 * time.Second)

	answers, ids, ended := make([]lab.Answer, requests), make([]string, requests), make([]time.Time, requests)
	term := time.Now().Add(sent)
	var all sync.WaitGroup
	for n := range requests {
		ids[n] = lab.NewID()
		record.Log("client %d sends attempt %s to %s", n, ids[n], instances[0].Name)
		all.Go(func() {
			answers[n] = lab.Send(instances[0].Clients, lab.Request{Method: "POST", Host: "desk.example", Path: fmt.Sprint("/lodge/", n), Body: "entry", Header: map[string]string{
				"Cyclamenhoist-Attempt-Id": ids[n], "Cyclamenhoist-Deadline-Ms": fmt.Sprint(timeLimit.Milliseconds()),
			}}, timeLimit)
			ended[n] = time.Now()
		})
	}
	time.Sleep(time.Until(term))
	instances[0].Signal(syscall.SIGTERM)
	record.Log("SIGTERM to %s", instances[0].Name)
	if lab.Trouble() {
		time.Sleep(again)
		instances[0].Signal(syscall.SIGTERM)
		record.Log("SIGTERM to %s again", instances[0].Name)
	}
	all.Wait()
	runs := map[string]*lab.Run{}
	for _, s := range servers {
		for _, run := range s.Runs() {
			runs[run.ID] = run
			record.At(run.Began, "server %s ran attempt %s, whole: %v", run.Runner, run.ID, run.Whole)
		}
	}
	lost := 0
	for n, a := range answers {
		run := runs[ids[n]]
		record.At(ended[n], "client %d attempt %s: status %d, whole: %v, error: %v, ran: %v", n, ids[n], a.Status, a.Whole, a.Err, run != nil)
		// LOST, around planned work. The time limit, the runner's own end and the last sixth of graceS are far.
		if run != nil && !(a.Whole && a.Status != 0) && ended[n].Sub(term) < grace*5/6 {
			lost++
		}
	}
	if !lab.Trouble() && lost > 0 {
		lab.Unable("%d answers are missing without the disruption", lost)
	}
	record.Verdict(lost > 0, "LOST: %d of %d requests were read whole and passed on to a server, and their channels ended without an answer (1 breaks the rule)", lost, requests)
}
