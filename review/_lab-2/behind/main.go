// Command behind plays a store that turns one machine away for some seconds, and, after a calm, the loss of the
// machine that leads, just before a change of the manifest.
package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/review/_lab-2/lab"
)

const (
	rounds = 6
	// away is how long the store turns a machine away, calm the time after it, in which the machine is in touch again,
	// and down how long the leading machine is without power.
	away = 4 * time.Second
	calm = 5 * time.Second
	down = 3500 * time.Millisecond
	// change is when the manifest changes, after the loss of power; apply is the bound configApplyMs.
	change = 50 * time.Millisecond
	apply  = 2 * time.Second
	// settle is the time after the machine has come back.
	settle = 3 * time.Second
)

func main() {
	record := lab.NewRecord()
	platform := lab.NewPlatform()
	server := lab.NewRunner(lab.RunnerConfig{ID: "i-1", Service: "desk", Zone: "zone-a", Version: "v1", Slots: 32, Answer: func(run *lab.Run, w *bufio.Writer) bool {
		run.Head(w, "Content-Length: 2\r\n")
		_, _ = w.WriteString("ok")
		run.Whole = w.Flush() == nil
		return false
	}})
	platform.List(server, "ready")
	var routes []lab.Route
	add := func() {
		routes = append(routes, lab.Route{
			"name": fmt.Sprint("r-", len(routes)), "host": "desk.example", "pathPrefix": fmt.Sprintf("/r%d/", len(routes)), "kind": "safe", "timeoutMs": 1000,
			"targetLatencyMs": 150, "priority": 0, "service": "desk", "maxAttempts": 2, "canResume": false,
		})
		platform.Publish(len(routes), routes, "", nil, "desk")
	}
	add()
	proxies := map[string]*lab.Proxy{}
	var instances []*lab.Instance
	for n := range 3 {
		name := fmt.Sprint("front-", n+1)
		proxies[name] = lab.NewProxy(platform.Address())
		instances = append(instances, lab.NewInstance(name, []string{"zone-a", "zone-b", "zone-c"}[n], proxies[name].Address(), false))
	}
	for _, i := range instances {
		i.Start()
	}
	for _, i := range instances {
		i.AwaitReady()
	}
	time.Sleep(5 * time.Second)
	broken, sent := 0, 0
	for round := range rounds {
		leader := platform.Holder()
		var first, other *lab.Instance
		for _, i := range instances {
			switch {
			case i.Name == leader:
				first = i
			case other == nil:
				other = i
			}
		}
		if first == nil {
			lab.Unable("nobody leads: %q", leader)
		}
		record.Log("round %d: %s leads", round+1, leader)
		if lab.Trouble() && os.Getenv("RESETS") != "0" {
			proxies[other.Name].Cut()
			record.Log("the store turns %s away", other.Name)
		}
		time.Sleep(away)
		proxies[other.Name].Heal()
		record.Log("the store serves all")
		time.Sleep(calm)
		if lab.Trouble() {
			first.Kill()
			record.Log("%s loses power", first.Name)
		}
		killed := time.Now()
		time.Sleep(change)
		add()
		acked := time.Now()
		path := fmt.Sprintf("/r%d/x", len(routes)-1)
		record.Log("the operator publishes version %d with a route for %s", len(routes), path)
		for time.Since(acked) < apply+1500*time.Millisecond {
			at := time.Now()
			for _, i := range instances {
				if i == first {
					continue
				}
				a := lab.Send(i.Clients, lab.Request{Method: "GET", Host: "desk.example", Path: path, Header: map[string]string{
					"Cyclamenhoist-Attempt-Id": lab.NewID(), "Cyclamenhoist-Deadline-Ms": "1000",
				}}, time.Second)
				late := at.Sub(acked) > apply
				if late {
					sent++
				}
				if a.Status == http.StatusNotFound && late {
					broken++
				}
				if a.Status != http.StatusOK {
					record.At(at, "%s answers %d to a request that was sent %.2f s after the ack, later than configApplyMs: %v", i.Name, a.Status, at.Sub(acked).Seconds(), late)
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(time.Until(killed.Add(down)))
		if lab.Trouble() {
			first.Start()
		}
		first.AwaitReady()
		time.Sleep(settle)
	}
	// CONFIG: a request sent later than configApplyMs after the ack of a version is refused with 404 though the route is there.
	record.Verdict(broken > 0, "CONFIG: %d of %d requests that were sent later than configApplyMs after the ack, to machines in touch, were refused with 404 though the route is there (1 breaks the rule)", broken, sent)
}
