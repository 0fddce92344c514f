package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// The drill: how long the store is away, and how old the copy is that it comes back from.
const (
	drillAway = 1500 * time.Millisecond
	drillCopy = 7 * time.Second
)

func init() {
	cases["epoch-after-drill"] = epochAfterDrill
}

// build starts the store's records, the runners and the instances.
func (d *deployment) build(instances int, fenced bool) {
	zones := []string{"zagreb-a", "zagreb-b", "osijek"}
	for n := range 3 {
		d.runners = append(d.runners, newRunner(d.rec, runnerConfig{
			id: fmt.Sprintf("i-e%d", n), service: engineName, zone: zones[n], slots: 64, models: allModels[2*n : 2*n+2], room: 2,
			load: 760 * time.Millisecond, events: 13, pause: 20 * time.Millisecond,
		}))
	}
	d.store.onAppend = d.watchLease
	d.store.put("keyed.op", "config", manifest(7))
	d.keepRegistered()
	for n := range instances {
		d.addInstance(n, zones[n%3], fenced)
	}
	for _, i := range d.instances {
		i.awaitReady(20 * time.Second)
	}
}

func (d *deployment) addInstance(n int, zone string, fenced bool) *instance {
	i := newInstance(d.rec, d.dir, fmt.Sprintf("front-%s-%d", zone, n), zone, d.store.addr, bounds(fenced))
	d.instances = append(d.instances, i)
	i.start()
	return i
}

// modelShift is how long the same models are busy.
const modelShift = 3 * time.Second

// traffic sends requests; which models are busy changes every few seconds.
func (d *deployment) traffic(end time.Time) {
	started := time.Now()
	for n := 0; time.Now().Before(end); n++ {
		shift := int(time.Since(started) / modelShift)
		model := allModels[(shift*2+n%4)%modelCount]
		to := d.instances[n%len(d.instances)]
		d.client.send(to, request{method: "POST", path: modelPath + "2f", model: model, body: "text", limit: 6 * time.Second})
		time.Sleep(100 * time.Millisecond)
	}
}

// runDrill lets the store be away for a moment and come back from a copy.
func (d *deployment) runDrill() {
	d.say("the store goes away")
	at := time.Now()
	d.store.setDown(true)
	time.Sleep(drillAway)
	d.store.comeBackFromCopy(at.Add(-drillCopy))
	d.say("the store is back, from a copy %.1f s old", drillCopy.Seconds())
	// What the operator and the runners wrote is written again.
	d.store.put("keyed.op", "config", manifest(7))
	for _, r := range d.runners {
		r.register(d.store)
	}
}

// epochAfterDrill: the machine of the holder has no power for a few seconds, and another instance takes
// over; soon after that the store comes back from a copy that is older than the new holder's claim.
func epochAfterDrill(d *deployment) bool {
	d.build(6, false)
	began := time.Now()
	go d.traffic(began.Add(32 * time.Second))
	time.Sleep(15 * time.Second)
	if d.trouble {
		first := d.holder()
		claimed := d.awaitClaim(first.name)
		d.say("%s, the holder, loses power", first.name)
		first.kill()
		back := time.After(powerOff)
		select {
		case next := <-claimed:
			d.say("%s takes over", next)
		case <-time.After(10 * time.Second):
			unusable("nobody takes over")
		}
		time.Sleep(drillAfterClaim)
		drilled := make(chan struct{})
		go func() {
			defer close(drilled)
			d.runDrill()
		}()
		<-back
		first.start()
		<-drilled
	}
	time.Sleep(time.Until(began.Add(33 * time.Second)))
	return d.oneBroken()
}

// powerOff is how long the holder's machine is dark, and drillAfterClaim the time from the claim of the
// next holder until the store goes away.
const (
	powerOff        = 3500 * time.Millisecond
	drillAfterClaim = 100 * time.Millisecond
)

// holder returns the instance that wrote the last record of the lease.
func (d *deployment) holder() *instance {
	d.leaseMu.Lock()
	defer d.leaseMu.Unlock()
	for _, i := range d.instances {
		if i.name == d.leaseHolder {
			return i
		}
	}
	unusable("no holder is known")
	return nil
}

// awaitClaim returns a channel that gets the name of the next holder that isn't the given one.
func (d *deployment) awaitClaim(not string) <-chan string {
	d.leaseMu.Lock()
	defer d.leaseMu.Unlock()
	claimed := make(chan string, 1)
	d.claimed, d.claimedNot = claimed, not
	return claimed
}

// watchLease keeps what the records of the lease say.
func (d *deployment) watchLease(topic string, offset int, key string, value []byte) {
	var r struct{ Holder string }
	if json.Unmarshal(value, &r) != nil || topic != leaseTopic {
		return
	}
	d.leaseMu.Lock()
	defer d.leaseMu.Unlock()
	if r.Holder != d.leaseHolder {
		d.rec.printf("the lease's record %d is of another holder, %s", offset, r.Holder)
	}
	d.leaseHolder = r.Holder
	if d.claimed != nil && r.Holder != d.claimedNot {
		d.claimed <- r.Holder
		d.claimed = nil
	}
}

// leaseTopic is where the system keeps its lease.
const leaseTopic = "keyed.tenure"

// oneBroken checks the rule ONE at each runner, which doesn't check epochs.
func (d *deployment) oneBroken() bool {
	broken := false
	for _, r := range d.runners {
		r.mu.Lock()
		var highest orderCall
		holders := map[int64]string{}
		for _, o := range r.orders {
			if before, known := holders[o.fence]; known && before != o.holder {
				d.say("ONE: at %s two holders, %s and %s, have the epoch %d", r.cfg.id, before, o.holder, o.fence)
				broken = true
			}
			holders[o.fence] = o.holder
			if o.fence < highest.fence {
				d.say("ONE: %s gets epoch %d of %s at %.3f, after epoch %d of %s at %.3f", r.cfg.id, o.fence, o.holder, d.rec.since(o.at), highest.fence, highest.holder, d.rec.since(highest.at))
				broken = true
				break
			}
			highest = o
		}
		r.mu.Unlock()
	}
	return broken
}
