package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["brittle"] = brittle }

const (
	// tolerated is the Server-Brittle that the runners name: one that turns more requests away in a second
	// falls over. brittleQueue is how many they let wait then.
	tolerated    = 5
	brittleQueue = 2
	plainSlots   = 6
	plainWork    = 60 * time.Millisecond
	// plainRunners is the number of runners of the plain service, plainInstances that of the site's machines,
	// and load the requests a second.
	plainRunners   = 5
	plainInstances = 8
	// runnerCut is how long a runner is partitioned from the store.
	runnerCut = 5 * time.Second
	load      = 300
)

// brittleService is a plain service whose runners are brittle from a time on.
type brittleService struct {
	d  *deployment
	mu sync.Mutex
	// since is when the runners began to be brittle; zero before.
	since  time.Time
	starts int
	falls  []time.Time
}

// brittleRunner is one incarnation.
type brittleRunner struct {
	service *brittleService
	started time.Time
	runner  *runner
	zone    string

	mu       sync.Mutex
	present  int
	slots    chan struct{}
	rejected []time.Time
	fallen   bool
}

func (s *brittleService) start(zone string) {
	s.mu.Lock()
	s.starts++
	id := fmt.Sprintf("i-p%d", s.starts)
	s.mu.Unlock()
	b := &brittleRunner{service: s, started: time.Now(), zone: zone, slots: make(chan struct{}, plainSlots)}
	b.runner = newRunner(s.d.rec, runnerConfig{id: id, service: plainName, zone: zone, slots: plainSlots, admit: b.admit, respond: b.respond})
	s.d.addRunner(b.runner)
	b.runner.register(s.d.store)
}

// admit reports whether there is room, and lets the runner fall over.
func (b *brittleRunner) admit(w http.ResponseWriter) bool {
	b.service.mu.Lock()
	since := b.service.since
	b.service.mu.Unlock()
	room := plainSlots + 24
	if !since.IsZero() {
		w.Header().Set("Server-Brittle", fmt.Sprint(tolerated))
		if time.Since(since) > contact && time.Since(b.started) > contact {
			room = plainSlots + brittleQueue
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.present < room {
		b.present++
		w.Header().Set("Cyclamenhoist-Runner-Load", fmt.Sprintf("%d,%d,%d", min(b.present, plainSlots), max(b.present-plainSlots, 0), plainSlots))
		return true
	}
	now := time.Now()
	b.rejected = append(b.rejected, now)
	n := 0
	for _, at := range b.rejected {
		if now.Sub(at) <= time.Second {
			n++
		}
	}
	if n > tolerated && !since.IsZero() && now.Sub(since) > contact && !b.fallen {
		b.fallen = true
		go b.fall()
	}
	return false
}

func (b *brittleRunner) fall() {
	s := b.service
	s.d.say("%s falls over", b.runner.cfg.id)
	s.mu.Lock()
	s.falls = append(s.falls, time.Now())
	s.mu.Unlock()
	b.runner.crash()
	s.d.removeRunner(b.runner)
	id := b.runner.cfg.id
	time.AfterFunc(expiry, func() { s.d.store.put("keyed.servers", id, nil) })
	time.AfterFunc(backAfter, func() { s.start(b.zone) })
}

func (b *brittleRunner) respond(w http.ResponseWriter, req *http.Request, this *run) {
	defer func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.present--
	}()
	select {
	case b.slots <- struct{}{}:
	case <-req.Context().Done():
		return
	}
	defer func() { <-b.slots }()
	sleepOrGone(req, plainWork)
	_, _ = fmt.Fprintf(w, "ran %s", this.id)
}

// brittle: the runners of a plain service are brittle under load. One of them loses its path to the store
// for a few seconds, so that its entry goes and comes back.
func brittle(d *deployment) bool {
	zones := []string{"zagreb-a", "zagreb-b", "osijek"}
	s := &brittleService{d: d}
	for n := range plainRunners {
		s.start(zones[n%3])
	}
	d.store.put("keyed.op", "config", manifest(7))
	d.keepRegistered()
	for n := range plainInstances {
		d.addInstance(n, zones[n%3], false)
	}
	for _, i := range d.instances {
		i.awaitReady(20 * time.Second)
	}
	began := time.Now()
	end := began.Add(50 * time.Second)
	go func() {
		for n := 0; time.Now().Before(end.Add(-2 * time.Second)); n++ {
			q := request{method: "POST", path: unsafePath + "2f", body: fmt.Sprint("entry ", n), limit: 1500 * time.Millisecond}
			if n%2 == 0 {
				q = request{method: "GET", path: safePath + "2f", limit: 1500 * time.Millisecond}
			}
			d.client.send(d.instances[n%len(d.instances)], q)
			time.Sleep(time.Until(began.Add(time.Duration(n) * time.Second / load)))
		}
	}()
	time.Sleep(8 * time.Second)
	s.mu.Lock()
	s.since = time.Now()
	s.mu.Unlock()
	d.say("the runners are brittle")
	time.Sleep(12 * time.Second)
	if d.trouble {
		r := d.listRunners()[0]
		d.say("%s loses its path to the store", r.cfg.id)
		r.setCut(true)
		time.Sleep(expiry)
		d.store.put("keyed.servers", r.cfg.id, nil)
		time.Sleep(runnerCut - expiry)
		r.setCut(false)
		r.register(d.store)
		d.say("%s is back at the store", r.cfg.id)
	}
	time.Sleep(time.Until(end))
	s.mu.Lock()
	falls := len(s.falls)
	s.mu.Unlock()
	served, all := 0, 0
	for _, r := range d.client.all() {
		all++
		if r.served() {
			served++
		}
	}
	d.say("%d of %d requests were served; runners fell over %d times", served, all, falls)
	if float64(falls) > 2+plainRunners/10.0 {
		d.say("LIMIT: more falls than 2 and a tenth of the runners")
		return true
	}
	return false
}
