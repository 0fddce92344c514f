// Command poison plays a request that crashes each server that runs it, and a loss of power of all front machines.
package main

import (
	"bufio"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/review/_lab-2/lab"
)

const (
	servers = 8
	// down is how long a server is away after a crash, and every how often the request comes again.
	down  = 2 * time.Second
	every = 1500 * time.Millisecond
	// first and second are how often it comes before and after the loss of power.
	first, second = 14, 14
	contact       = 3 * time.Second
	poisonBody    = "the request that crashes servers"
)

func main() {
	record := lab.NewRecord()
	platform := lab.NewPlatform()
	var all []*lab.Runner
	var crashes sync.Map
	var crashCount atomic.Int64
	for n := range servers {
		var r *lab.Runner
		r = lab.NewRunner(lab.RunnerConfig{ID: fmt.Sprint("i-desk-", n), Service: "desk", Zone: "zone-a", Version: "v1", Slots: 6, Answer: func(run *lab.Run, w *bufio.Writer) bool {
			if run.Body == poisonBody {
				crashCount.Add(1)
				crashes.Store(run.ID, run.Began)
				record.At(run.Began, "server %s begins to run attempt %s and crashes", run.Runner, run.ID)
				go r.Crash(down, func() { platform.List(r, "ready") })
				<-run.Closed()
				return false
			}
			time.Sleep(20 * time.Millisecond)
			run.Head(w, "Content-Length: 2\r\n")
			_, _ = w.WriteString("ok")
			run.Whole = w.Flush() == nil
			return false
		}})
		all = append(all, r)
		platform.List(r, "ready")
	}
	platform.Publish(1, []lab.Route{{
		"name": "lookup", "host": "desk.example", "pathPrefix": "/lookup/", "kind": "unsafe", "timeoutMs": 1000,
		"targetLatencyMs": 150, "priority": 0, "service": "desk", "maxAttempts": 1, "canResume": false,
	}}, "", nil, "desk")
	var instances []*lab.Instance
	for n := range 4 {
		instances = append(instances, lab.NewInstance(fmt.Sprint("front-", n+1), "zone-a", platform.Address(), true))
	}
	start := func() {
		for _, i := range instances {
			i.Start()
		}
		for _, i := range instances {
			i.AwaitReady()
		}
	}
	start()
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var served, sent atomic.Int64
	for n := range 8 {
		go func() {
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(4 * time.Second):
				}
				sent.Add(1)
				if a := send(instances[(n+k)%4], fmt.Sprintf("/lookup/%d-%d", n, k), "ordinary", lab.NewID()); a.Status == 200 {
					served.Add(1)
				}
			}
		}()
	}
	time.Sleep(3 * time.Second)
	var third time.Time
	late := 0
	play := func(times int, since time.Time) {
		for k := range times {
			id, at := lab.NewID(), time.Now()
			before := crashCount.Load()
			a := send(instances[k%4], "/lookup/poison", poisonBody, id)
			time.Sleep(50 * time.Millisecond)
			arrived := crashCount.Load() - before
			if third.IsZero() && crashCount.Load() >= 3 {
				third = time.Now()
			}
			if !third.IsZero() && at.After(third.Add(contact)) && at.After(since) {
				late += int(arrived)
			}
			record.At(at, "the request comes to %s as attempt %s: status %d, reached %d servers, %d crashes so far, %d later than contactMs after the third", instances[k%4].Name, id, a.Status, arrived, crashCount.Load(), late)
			time.Sleep(time.Until(at.Add(every)))
		}
	}
	play(first, time.Time{})
	if lab.Trouble() {
		for _, i := range instances {
			i.Kill()
		}
		record.Log("all front machines lose power")
		time.Sleep(time.Second)
		start()
		record.Log("they are back")
		time.Sleep(contact + time.Second)
	}
	play(second, time.Now())
	close(stop)
	record.Log("ordinary requests: %d of %d served", served.Load(), sent.Load())
	record.Verdict(late > 3, "BUDGET: the request reached servers %d times later than contactMs after its third crash, sent by machines in touch (more than 3 break the rule); %d crashes", late, crashCount.Load())
}

func send(i *lab.Instance, path, body, id string) lab.Answer {
	return lab.Send(i.Clients, lab.Request{Method: "POST", Host: "desk.example", Path: path, Body: body, Header: map[string]string{
		"Cyclamenhoist-Attempt-Id": id, "Cyclamenhoist-Deadline-Ms": "1000",
	}}, 1500*time.Millisecond)
}
