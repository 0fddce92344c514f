package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["poison"] = poison }

const (
	// poisonEvery is how often the request comes again, poisonCopies at how many machines at once, and
	// poisonTimes how often it comes in all.
	poisonEvery  = 33 * time.Second
	poisonCopies = 3
	poisonTimes  = 3
	// crashAfter is how long a runner works on it.
	crashAfter = 40 * time.Millisecond
	poisonBody = "this request crashes runners"
)

// poisoned keeps when the request reached a runner, and when a runner crashed.
type poisoned struct {
	mu               sync.Mutex
	reached, crashes []time.Time
	starts           int
}

// poison: a request crashes each runner that begins to run it, and comes again.
func poison(d *deployment) bool {
	zones := []string{"zagreb-a", "zagreb-b", "osijek"}
	p := &poisoned{}
	for n := range 4 {
		d.startCrashing(p, zones[n%3])
	}
	d.store.put("keyed.op", "config", manifest(7))
	d.keepRegistered()
	for n := range 6 {
		d.addInstance(n, zones[n%3], false)
	}
	for _, i := range d.instances {
		i.awaitReady(20 * time.Second)
	}
	began := time.Now()
	end := began.Add(8*time.Second + (poisonTimes-1)*poisonEvery + 6*time.Second)
	go d.plainTraffic(end)
	time.Sleep(8 * time.Second)
	for n := 0; d.trouble && n < poisonTimes; n++ {
		time.Sleep(time.Until(began.Add(8*time.Second + time.Duration(n)*poisonEvery)))
		d.say("the request comes to %d machines", poisonCopies)
		for k := range poisonCopies {
			d.client.send(d.instances[(n+k)%len(d.instances)], request{method: "POST", path: unsafePath + "poison", body: poisonBody, limit: 1500 * time.Millisecond})
		}
	}
	time.Sleep(time.Until(end))
	return p.budgetBroken(d)
}

// plainTraffic sends sound requests to the plain service.
func (d *deployment) plainTraffic(end time.Time) {
	for n := 0; time.Now().Before(end); n++ {
		q := request{method: "POST", path: unsafePath + "2f", body: fmt.Sprint("entry ", n), limit: 1500 * time.Millisecond}
		if n%2 == 0 {
			q = request{method: "GET", path: safePath + "2f", limit: 1500 * time.Millisecond}
		}
		d.client.send(d.instances[n%len(d.instances)], q)
		time.Sleep(100 * time.Millisecond)
	}
}

// startCrashing starts a plain runner that crashes when it runs the request, and comes back as a new
// incarnation with a new id.
func (d *deployment) startCrashing(p *poisoned, zone string) {
	p.mu.Lock()
	p.starts++
	id := fmt.Sprintf("i-p%d", p.starts)
	p.mu.Unlock()
	var r *runner
	crash := func() {
		p.mu.Lock()
		p.crashes = append(p.crashes, time.Now())
		p.mu.Unlock()
		r.crash()
		d.removeRunner(r)
		// The entry goes after three heartbeats of silence.
		time.AfterFunc(expiry, func() { d.store.put("keyed.servers", id, nil) })
		time.AfterFunc(backAfter, func() { d.startCrashing(p, zone) })
	}
	var once sync.Once
	r = newRunner(d.rec, runnerConfig{
		id: id, service: plainName, zone: zone, slots: 6,
		respond: func(w http.ResponseWriter, req *http.Request, this *run) {
			if this.body != poisonBody {
				sleepOrGone(req, 30*time.Millisecond)
				_, _ = fmt.Fprintf(w, "%s ran %s", id, this.id)
				return
			}
			p.mu.Lock()
			p.reached = append(p.reached, this.at)
			p.mu.Unlock()
			d.say("the request reaches %s", id)
			time.Sleep(crashAfter)
			once.Do(crash)
			panic(http.ErrAbortHandler)
		},
	})
	d.addRunner(r)
	r.register(d.store)
}

// budgetBroken checks the rule BUDGET for the request that crashes runners.
func (p *poisoned) budgetBroken(d *deployment) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	served, all := 0, 0
	for _, r := range d.client.all() {
		all++
		if r.served() {
			served++
		}
	}
	d.say("%d of %d requests were served, %d runners crashed", served, all, len(p.crashes))
	if !d.trouble {
		return false
	}
	if len(p.crashes) < 3 {
		unusable("the request has crashed %d runners", len(p.crashes))
	}
	retries := 0
	for _, at := range p.reached {
		if at.After(p.crashes[2].Add(contact)) {
			retries++
		}
	}
	d.say("the third runner crashed at %.3f; the request has reached runners %d times later than %v after that", d.rec.since(p.crashes[2]), retries, contact)
	if retries > 3 {
		d.say("BUDGET: more than three retries")
		return true
	}
	return false
}
