package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/platform/standin"
)

const (
	// oddMachines is the number of machines in each of two zones.
	oddMachines = 2
	// storeLoad is how long a load from the weight store takes.
	storeLoad = time.Second
	// oddName is the name of a model in Latin-1, which isn't UTF-8.
	oddName = "caf\xe9"
	// newRouteAfter is when the manifest gets another route, judgedAfter when its requests begin to be judged,
	// and judgedFor for how long. configApplyMs is 2 s.
	newRouteAfter = 3 * time.Second
	judgedAfter   = 10 * time.Second
	judgedFor     = 40 * time.Second
	// addedClients is the number of clients of the new route.
	addedClients = 6
	// The rule is broken if so many requests on the new route are served less than so many times as often
	// as those on the first one.
	minJudged   = 20
	servedShare = 0.25
)

// routeClients are the ordinary clients of one route in one zone, each at a machine of the zone.
type routeClients struct {
	path, model      string
	judged           atomic.Bool
	served, unserved atomic.Int64
}

// oddNames lets an untrusted client send a single request with the name of a model that isn't UTF-8 to each
// machine of a zone. Then the manifest gets another route, whose clients are in that zone and ask for a model
// that no engine holds yet. The rule is broken if they are served less than a quarter as often as others.
func oddNames(c *caseRun) (broken bool, err error) {
	store := standin.NewStore()
	defer store.Close()
	names := []string{loadedModel, "m1"}
	for n := range 2 {
		e := newEngine(fmt.Sprint("engine-", n+1), 3, storeLoad, []string{loadedModel}, []string{loadedModel}, c.record)
		defer e.Close()
		if err := e.register(store); err != nil {
			return false, err
		}
	}
	if err := publishRoutes(store, 1, names, "/s/"); err != nil {
		return false, err
	}
	zones := map[string][]*machine{}
	// The machines of zone-b are started first, so that one of them holds the lease on placing models.
	for _, zone := range []string{"zone-b", "zone-a"} {
		for i := range oddMachines {
			m, err := newMachine(c.dir, fmt.Sprintf("front-%s-%d", zone, i+1), zone, store.Listener.Addr().String(), c.record)
			if err != nil {
				return false, err
			}
			if err := m.start(); err != nil {
				return false, err
			}
			defer m.stop()
			zones[zone] = append(zones[zone], m)
		}
		for _, m := range zones[zone] {
			if err := m.awaitReady(15 * time.Second); err != nil {
				return false, err
			}
		}
		time.Sleep(time.Second)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var all sync.WaitGroup
	first := &routeClients{path: "/s/", model: loadedModel}
	first.judged.Store(true)
	added := &routeClients{path: "/n/", model: "m1"}
	for _, zone := range []string{"zone-a", "zone-b"} {
		all.Go(func() { first.run(ctx, c.record, zones[zone]) })
	}
	if c.trouble {
		for _, m := range zones["zone-a"] {
			status, err := sendOddName(m.front)
			c.record.line("untrusted client: one request for the model %q at %s: status %d, %v", oddName, m.name, status, err)
		}
	}
	time.Sleep(newRouteAfter)
	if err := publishRoutes(store, 2, names, "/s/", "/n/"); err != nil {
		return false, err
	}
	c.record.line("operator: version 2 adds the route /n/")
	time.Sleep(2 * time.Second)
	for range addedClients {
		all.Go(func() { added.run(ctx, c.record, zones["zone-a"]) })
	}
	time.Sleep(judgedAfter)
	added.judged.Store(true)
	time.Sleep(judgedFor)
	cancel()
	all.Wait()
	firstShare, addedShare := first.share(), added.share()
	c.record.say("first route: %d served, %d not; added route: %d served, %d not", first.served.Load(), first.unserved.Load(), added.served.Load(), added.unserved.Load())
	if err := checkRunning(append(zones["zone-a"], zones["zone-b"]...)); err != nil {
		return false, err
	}
	if judged := added.served.Load() + added.unserved.Load(); judged < minJudged {
		return false, fmt.Errorf("only %d requests to judge", judged)
	}
	return addedShare < servedShare*firstShare, nil
}

func (r *routeClients) share() float64 {
	served := float64(r.served.Load())
	return served / max(served+float64(r.unserved.Load()), 1)
}

// timeLimit is the time limit of a client, for both of its attempts.
const timeLimit = 5 * time.Second

// run sends requests one after the other. A request that fails is tried once more at another machine of the zone,
// on a new channel and within the client's time limit.
func (r *routeClients) run(ctx context.Context, rec *record, machines []*machine) {
	kept := &http.Client{}
	again := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for n := 0; ctx.Err() == nil; n++ {
		until := time.Now().Add(timeLimit)
		for try, client := range []*http.Client{kept, again} {
			m := machines[(n+try)%len(machines)]
			id := randomID()
			status, err := routeRequest(client, m.front, r.path, id, r.model, time.Until(until))
			rec.line("%s: request %s on %s for %s: status %d, %v", m.name, id, r.path, r.model, status, err)
			if ctx.Err() != nil {
				return
			}
			ok := status == http.StatusOK && err == nil
			switch {
			case !r.judged.Load():
			case ok:
				r.served.Add(1)
			default:
				r.unserved.Add(1)
			}
			if ok {
				break
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// sendOddName sends one request for a model whose name isn't UTF-8. Field values may hold such bytes.
func sendOddName(address string) (int, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	if err := writeRequest(conn, randomID(), oddName); err != nil {
		return 0, err
	}
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	_ = resp.Body.Close()
	return resp.StatusCode, nil
}

func publishRoutes(store *standin.Store, version int, names []string, paths ...string) error {
	list, routes := []standin.Model{}, []standin.Route{}
	for _, name := range names {
		list = append(list, standin.Model{Name: name, WeightsMb: 1000, LoadS: storeLoad.Seconds(), DiskS: diskLoad.Seconds(), WarmupS: diskLoad.Seconds()})
	}
	for _, path := range paths {
		routes = append(routes, standin.Route{
			Name: "streams" + path, Host: host, PathPrefix: path, Kind: "streaming", TimeoutMs: 5000, TargetLatencyMs: 500,
			Service: "engine", MaxAttempts: 2, CanResume: true, GapTargetMs: 600,
		})
	}
	value, err := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{"name": "engine", "maxConnections": 370, "runtime": map[string]any{
			"slotCount": 64, "weightsMb": 3001, "adapterSlots": 8, "loadsPerS": 10, "models": list,
		}}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		return err
	}
	store.PutManifest(value)
	return nil
}
