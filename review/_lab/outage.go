package main

import (
	"syscall"
	"time"
)

func init() { cases["added-after-outage"] = addedAfterOutage }

const (
	// outage is how long the store is away.
	outage = 4500 * time.Millisecond
	// configApply is the bound configApplyMs.
	configApply = 2 * time.Second
	// residentModels are loaded at the start, on three engines. As many others are asked for on the route
	// that is added.
	residentModels = 6
	// perRoute is the number of requests a second on each route.
	perRoute = 5
)

// addedAfterOutage: some time after a planned restart of a machine that doesn't hold the lease, the store
// is away for a few seconds. Later a manifest adds a route, for models that weren't asked for before.
func addedAfterOutage(d *deployment) bool {
	d.store.silent = true
	d.build(6, false)
	time.Sleep(5 * time.Second)
	d.restartFollower()
	began := time.Now()
	go d.routeTraffic(modelPath, 0, began.Add(50*time.Second))
	time.Sleep(12 * time.Second)
	if d.trouble {
		d.say("the store goes away")
		d.store.setDown(true)
		time.Sleep(outage)
		d.store.setDown(false)
		d.say("the store is back")
	} else {
		time.Sleep(outage)
	}
	time.Sleep(10 * time.Second)
	d.store.put("keyed.op", "config", manifest(8, addedPath))
	d.say("a manifest adds a route")
	time.Sleep(configApply)
	steady := time.Now()
	d.routeTraffic(addedPath, residentModels, began.Add(50*time.Second))
	return d.configBroken(steady)
}

// restartFollower restarts a machine that doesn't hold the lease.
func (d *deployment) restartFollower() {
	holder := d.holder()
	for _, i := range d.instances {
		if i != holder {
			i.signal(syscall.SIGTERM)
			i.wait()
			i.start()
			i.awaitReady(20 * time.Second)
			return
		}
	}
}

// routeTraffic sends requests on a route, for as many models as are loaded at the start.
func (d *deployment) routeTraffic(path string, firstModel int, end time.Time) {
	for n := 0; time.Now().Before(end); n++ {
		to := d.instances[n%len(d.instances)]
		d.client.send(to, request{method: "POST", path: path + "2f", model: allModels[firstModel+n%residentModels], body: "text", limit: 6 * time.Second})
		time.Sleep(time.Second / perRoute)
	}
}

// configBroken checks the rule CONFIG: how often requests on the added route are served, and how often
// those on the first one, from a time on.
func (d *deployment) configBroken(steady time.Time) bool {
	var first, added, servedFirst, servedAdded int
	for _, r := range d.client.all() {
		switch {
		case r.sent.Before(steady):
		case r.path == addedPath+"2f":
			added++
			if r.served() {
				servedAdded++
			}
		default:
			first++
			if r.served() {
				servedFirst++
			}
		}
	}
	d.say("of %d requests on the added route %d were served, of %d on the first one %d", added, servedAdded, first, servedFirst)
	d.say("the system has written %d records of its lease", d.store.end(leaseTopic))
	if added < 20 || first == 0 || servedFirst == 0 {
		unusable("too few requests")
	}
	if 4*float64(servedAdded)/float64(added) < float64(servedFirst)/float64(first) {
		d.say("CONFIG: the added route is served less than a quarter as often as the first one")
		return true
	}
	return false
}
