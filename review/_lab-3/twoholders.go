package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/platform/standin"
)

const (
	// holderMachines, holderEngines and holderModels make a small deployment in which the holder of the
	// lease gives orders all the time: there is room for a quarter of the models that are asked for.
	holderMachines = 8
	holderEngines  = 6
	holderModels   = 48
	engineCapacity = 2
	diskLoad       = 300 * time.Millisecond
	leaseDuration  = 3 * time.Second
	// outage is how long the store is down, and turnedAway how long it turns a machine away afterwards.
	outage     = 8 * time.Second
	turnedAway = 4 * time.Second
	calm       = 7 * time.Second
	outages    = 6
)

// twoHolders lets the store be down, and turn a machine away after its return. The rule is broken if an
// engine gets an order with a lower epoch after one with a higher epoch, or orders of two holders in turn
// within the duration of the lease.
func twoHolders(c *caseRun) (broken bool, err error) {
	store := standin.NewStore()
	defer store.Close()
	g := &gates{store: store, record: c.record, lease: leaseDuration, away: map[string]time.Time{}}
	if c.trouble {
		g.turnAway = turnedAway
	}
	defer g.close()
	var engines []*engine
	var names []string
	for n := range holderModels {
		names = append(names, fmt.Sprint("m", n))
	}
	for n := range holderEngines {
		e := newEngine(fmt.Sprint("engine-", n+1), engineCapacity, diskLoad, names[2*n:2*n+2:2*n+2], names, c.record)
		defer e.Close()
		if err := e.register(store); err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	if err := publishModels(store, names); err != nil {
		return false, err
	}
	var machines []*machine
	for i := range holderMachines {
		name := fmt.Sprint("front-", i+1)
		m, err := newMachine(c.dir, name, "zone-a", g.open(name), c.record, func(s map[string]any) {
			s["placing"] = map[string]any{"lease": leaseDuration.String(), "servers_check_epochs": false}
		})
		if err != nil {
			return false, err
		}
		if err := m.start(); err != nil {
			return false, err
		}
		defer m.stop()
		machines = append(machines, m)
	}
	for _, m := range machines {
		if err := m.awaitReady(15 * time.Second); err != nil {
			return false, err
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients sync.WaitGroup
	var served, unserved atomic.Int64
	for _, m := range machines {
		clients.Go(func() { rareModelClient(ctx, c.record, m, names, &served, &unserved) })
	}
	time.Sleep(5 * time.Second)
	violations := 0
	for n := 0; n < outages && violations == 0; n++ {
		g.setDown(c.trouble)
		time.Sleep(outage)
		g.setDown(false)
		time.Sleep(calm)
		violations = judgeOrders(c.record, engines)
	}
	cancel()
	clients.Wait()
	if err := checkRunning(machines); err != nil {
		return false, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	orders := 0
	for _, e := range engines {
		orders += len(e.givenOrders())
	}
	c.record.say("%d orders; claims of the lease while that of another machine ran: %d; requests served %d, not %d", orders, g.overlaps, served.Load(), unserved.Load())
	c.record.say("orders that break the rule: %d", violations)
	return violations > 0, nil
}

// judgeOrders counts the orders with a lower epoch after a higher one, and those of holders in turn.
func judgeOrders(r *record, engines []*engine) int {
	violations := 0
	for _, e := range engines {
		var highest orderGiven
		last := map[string]time.Time{}
		var before orderGiven
		for _, o := range e.givenOrders() {
			switch {
			case o.epoch < highest.epoch && o.holder != highest.holder:
				violations++
				r.line("%s: order of %s with epoch %d, %v after one of %s with epoch %d", e.id, o.holder, o.epoch, o.at.Sub(highest.at).Round(time.Millisecond), highest.holder, highest.epoch)
			case before.holder != "" && before.holder != o.holder && !last[o.holder].IsZero() && o.at.Sub(last[o.holder]) < leaseDuration:
				violations++
				r.line("%s: %s and %s give orders in turn within %v", e.id, o.holder, before.holder, o.at.Sub(last[o.holder]).Round(time.Millisecond))
			}
			if o.epoch >= highest.epoch {
				highest = o
			}
			last[o.holder], before = o.at, o
		}
	}
	return violations
}

func publishModels(store *standin.Store, names []string) error {
	list := []standin.Model{}
	for _, name := range names {
		list = append(list, standin.Model{Name: name, WeightsMb: 1000, LoadS: 6, DiskS: diskLoad.Seconds(), WarmupS: diskLoad.Seconds()})
	}
	value, err := json.Marshal(map[string]any{
		"version": 1,
		"routes": []standin.Route{{
			Name: "streams", Host: host, PathPrefix: "/s/", Kind: "streaming", TimeoutMs: 5000, TargetLatencyMs: 500,
			Service: "engine", MaxAttempts: 2, CanResume: true, GapTargetMs: 600,
		}},
		"services": []any{map[string]any{"name": "engine", "maxConnections": 370, "runtime": map[string]any{
			"slotCount": 64, "weightsMb": 1000*engineCapacity + 1, "adapterSlots": 8, "loadsPerS": 10, "models": list,
		}}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		return err
	}
	store.PutManifest(value)
	return nil
}

// rareModelClient asks for one model after the other, most of which have to be loaded first.
func rareModelClient(ctx context.Context, r *record, m *machine, names []string, served, unserved *atomic.Int64) {
	var all sync.WaitGroup
	defer all.Wait()
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	for n := 0; ctx.Err() == nil; n++ {
		id, model := fmt.Sprintf("%s-%06d", m.name, n), names[rand.IntN(len(names))]
		all.Go(func() {
			status, err := ordinaryRequest(client, m.front, id, model)
			r.line("%s: request %s for %s: status %d, %v", m.name, id, model, status, err)
			if status == http.StatusOK && err == nil {
				served.Add(1)
			} else {
				unserved.Add(1)
			}
		})
		select {
		case <-ctx.Done():
		case <-time.After(200 * time.Millisecond):
		}
	}
}
