// Command names plays clients that ask for models that don't exist, with requests that are legal in size.
package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/review/_lab-2/lab"
)

const (
	// memoryMB is the memory of a machine in the settings. The platform kills a process that exceeds it, and starts
	// it again after restart.
	memoryMB = 284
	restart  = time.Second
	// clients is how many clients send to each machine, each on one kept channel, and perSecond how many requests they
	// send to it in a second together.
	clients   = 20
	perSecond = 700
	// nameBytes is the length of the name of a model. Heads stay below maxHeaderBytes, 16,384.
	nameBytes = 15000
	length    = 100 * time.Second
	// ends is how often processes of one machine may end by themselves.
	ends = 3
)

// machine is what the platform sees of one machine.
type machine struct {
	*lab.Instance
	ended          atomic.Int64
	most           atomic.Int64
	sent, answered atomic.Int64
	statuses       sync.Map
	ordinary       atomic.Int64
	ordinaryServed atomic.Int64
}

func main() {
	record := lab.NewRecord()
	platform := lab.NewPlatform()
	server := lab.NewRunner(lab.RunnerConfig{ID: "i-1", Service: "assistant", Zone: "zone-a", Version: "v1", Slots: 64, Models: []string{"m1"}, Events: 3, Pause: 10 * time.Millisecond})
	platform.List(server, "ready")
	platform.Publish(1, []lab.Route{{
		"name": "drafts", "host": "desk.example", "pathPrefix": "/drafts/", "kind": "streaming", "timeoutMs": 5000,
		"targetLatencyMs": 500, "priority": 0, "service": "assistant", "maxAttempts": 2, "sticky": true, "canResume": true, "gapTargetMs": 600,
	}}, "assistant", []string{"m1"}, "")
	machines := []*machine{
		{Instance: lab.NewInstance("front-a-1", "zone-a", platform.Address(), true)},
		{Instance: lab.NewInstance("front-a-2", "zone-a", platform.Address(), true)},
	}
	for _, m := range machines {
		m.Start()
	}
	for _, m := range machines {
		m.AwaitReady()
	}
	time.Sleep(2 * time.Second)
	record.Log("%d clients send %d requests a second to each of %d machines", clients, perSecond, len(machines))
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var all sync.WaitGroup
	for _, m := range machines {
		all.Go(func() { watch(ctx, record, m) })
		for range clients {
			all.Go(func() { client(ctx, m) })
		}
		all.Go(func() { caller(ctx, m) })
	}
	for ctx.Err() == nil && (machines[0].ended.Load() < ends || machines[1].ended.Load() < ends) {
		time.Sleep(100 * time.Millisecond)
	}
	cancel()
	all.Wait()
	over := 0
	for _, m := range machines {
		statuses := ""
		m.statuses.Range(func(k, v any) bool { statuses += fmt.Sprintf(" %v: %d", k, v.(*atomic.Int64).Load()); return true })
		record.Log("%s: %d requests sent, answers by status%s; ordinary requests: %d, served %d; most memory %d MB; ended %d times for its memory",
			m.Name, m.sent.Load(), statuses, m.ordinary.Load(), m.ordinaryServed.Load(), m.most.Load()>>10, m.ended.Load())
		if m.ended.Load() >= ends {
			over++
		}
	}
	// Fault: on two machines at least, processes end by themselves three times (memory over the limit counts).
	record.Verdict(over >= 2, "Fault: on %d of %d machines the process exceeded its %d MB three times or more (2 machines break the rule)", over, len(machines), memoryMB)
}

// watch does what the platform does with the memory of a process.
func watch(ctx context.Context, record *lab.Record, m *machine) {
	for logged := time.Now(); ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		kb := rss(m.PID())
		m.most.Store(max(m.most.Load(), kb))
		if time.Since(logged) > 2*time.Second {
			record.Log("%s uses %d MB after %d requests", m.Name, kb>>10, m.sent.Load())
			logged = time.Now()
		}
		if kb <= memoryMB<<10 {
			continue
		}
		m.Kill()
		m.ended.Add(1)
		record.Log("%s uses %d MB, more than its %d: the platform kills the process", m.Name, kb>>10, memoryMB)
		time.Sleep(restart)
		m.Start()
	}
}

func rss(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmRSS:" {
			kb, _ := strconv.ParseInt(fields[1], 10, 64)
			return kb
		}
	}
	return 0
}

func (m *machine) count(status int) {
	n, _ := m.statuses.LoadOrStore(status, &atomic.Int64{})
	n.(*atomic.Int64).Add(1)
}

// request returns a request. Without the disruption the clients ask for the model that there is; the rest of the
// name is in a header of no meaning then.
func request(n int64) lab.Request {
	name := fmt.Sprintf("%016x", n) + strings.Repeat("n", nameBytes-16)
	header := map[string]string{
		"Cyclamenhoist-Attempt-Id": lab.NewID(), "Cyclamenhoist-Token-Usage": "600,60", "Cyclamenhoist-Deadline-Ms": "5000",
		"Cyclamenhoist-Model": name,
	}
	if !lab.Trouble() {
		header["Cyclamenhoist-Model"], header["X-Note"] = "m1", name
	}
	return lab.Request{Method: "POST", Host: "desk.example", Path: "/drafts/x", Header: header, Body: "draft"}
}

// client sends requests on a kept channel, one after the other.
func client(ctx context.Context, m *machine) {
	pause := time.Second * clients / perSecond
	var c net.Conn
	var reader *bufio.Reader
	for next := time.Now(); ctx.Err() == nil; {
		next = next.Add(pause)
		if wait := time.Until(next); wait > 0 {
			time.Sleep(wait)
		} else {
			next = time.Now()
		}
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp", m.Clients, time.Second); err != nil {
				c = nil
				time.Sleep(100 * time.Millisecond)
				continue
			}
			reader = bufio.NewReader(c)
		}
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		_, err := c.Write(request(m.sent.Add(1)).Encode())
		a := lab.Answer{}
		if err == nil {
			a = lab.ReadAnswer(reader, "POST")
		}
		m.count(a.Status)
		if err != nil || !a.Whole || a.Header.Get("Connection") == "close" {
			_ = c.Close()
			c = nil
		}
	}
	if c != nil {
		_ = c.Close()
	}
}

// caller is an ordinary client.
func caller(ctx context.Context, m *machine) {
	for ctx.Err() == nil {
		m.ordinary.Add(1)
		a := lab.Send(m.Clients, lab.Request{Method: "POST", Host: "desk.example", Path: "/drafts/o", Header: map[string]string{
			"Cyclamenhoist-Attempt-Id": lab.NewID(), "Cyclamenhoist-Token-Usage": "600,60", "Cyclamenhoist-Deadline-Ms": "5000", "Cyclamenhoist-Model": "m1",
		}, Body: "draft"}, 5*time.Second)
		if a.Status == 200 && a.Whole {
			m.ordinaryServed.Add(1)
		}
		select {
		case <-ctx.Done():
		case <-time.After(500 * time.Millisecond):
		}
	}
}
