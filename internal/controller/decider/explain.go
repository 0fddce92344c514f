package decider

import (
	"context"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/ledger"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/placement"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// maxReasonsPerModel bounds the retained decisions on one model.
const maxReasonsPerModel = 8

// Reason is one decision on a model together with the reason for it.
type Reason struct {
	At   time.Time `json:"at"`
	Text string    `json:"text"`
}

// Explanation tells why a model is or isn't loaded in this zone.
type Explanation struct {
	Holder   port.InstanceID `json:"holder"`
	Epoch    port.Epoch      `json:"epoch"`
	IsHolder bool            `json:"holding"`
	Waiting  int             `json:"waiting"`
	// Replicas holds the state of each decided replica, by server.
	Replicas map[port.ServerID]string `json:"replicas"`
	Reasons  []Reason                 `json:"reasons"`
}

// recordReason retains a decision for Explain. If the text equals that of the
// latest decision, only the time is updated.
func (d *Decider) recordReason(model port.ModelID, text string) {
	retained, _ := d.reasons.Get(model)
	if n := len(retained); n > 0 && retained[n-1].Text == text {
		retained[n-1].At = d.now()
		return
	}
	retained = append(retained, Reason{At: d.now(), Text: text})
	if len(retained) > maxReasonsPerModel {
		retained = retained[len(retained)-maxReasonsPerModel:]
	}
	d.reasons.Add(model, retained)
}

// Explain returns this instance's record of the zone's decisions on a model. It
// returns an error if the decider has stopped or ctx is done.
func (d *Decider) Explain(ctx context.Context, model port.ModelID) (Explanation, error) {
	return query(ctx, d, func() Explanation { return d.explain(model) })
}

func (d *Decider) explain(model port.ModelID) Explanation {
	holder, epoch := d.machine.Holder()
	e := Explanation{Holder: holder, Epoch: epoch, IsHolder: d.machine.IsHolder(), Replicas: map[port.ServerID]string{}}
	if w, waiting := d.wakes[model]; waiting {
		e.Waiting = w.total()
	}
	for _, id := range d.ledger.Servers() {
		if allocation, found := d.ledger.Allocation(id, model); found {
			e.Replicas[id] = replicaState(allocation)
		}
	}
	retained, _ := d.reasons.Get(model)
	e.Reasons = append(e.Reasons, retained...)
	return e
}

func replicaState(allocation ledger.Allocation) string {
	switch {
	case allocation.Unload != "":
		return "unloading"
	case allocation.Loaded:
		return "loaded"
	default:
		return "loading"
	}
}

// Status summarises the state of the decider and of its zone.
type Status struct {
	Holder   port.InstanceID `json:"holder"`
	Epoch    port.Epoch      `json:"epoch"`
	IsHolder bool            `json:"holding"`
	Ready    bool            `json:"ready"`
	// Members counts the eligible instances of the zone as of the last log
	// record that was read. CopyHolders counts those of them that store copies
	// of decisions while the log is unavailable.
	Members     int `json:"members"`
	CopyHolders int `json:"copy_holders"`
	// Open counts the intents that reserve memory. Waking counts the models
	// that requests wait for. StoreRunning and StoreWaiting count the loads
	// from the weight store that run and that are queued.
	Open         int `json:"open"`
	Waking       int `json:"waking"`
	StoreRunning int `json:"store_running"`
	StoreWaiting int `json:"store_waiting"`
	// Strays counts the replicas that engines report and that no decision
	// explains. Their memory counts as used.
	Strays int `json:"strays"`
	// Shortfalls lists the classes that miss their latency objectives in this
	// zone.
	Shortfalls []placement.Shortfall `json:"shortfalls"`
}

// Status returns the current status. It returns an error if the decider has
// stopped or ctx is done.
func (d *Decider) Status(ctx context.Context) (Status, error) { return query(ctx, d, d.status) }

func (d *Decider) status() Status {
	holder, epoch := d.machine.Holder()
	s := Status{
		Holder: holder, Epoch: epoch, IsHolder: d.machine.IsHolder(), Ready: d.deciding(),
		Open: len(d.machine.Open()), Waking: len(d.wakes), Shortfalls: d.shortfalls.Shortfalls(d.now()),
	}
	if state := d.deps.Log.State(); state != nil {
		zone := state.Zone(d.cfg.Self.Zone)
		s.Members, s.CopyHolders = len(zone.Members), len(zone.CopyHolders)
	}
	for _, id := range d.ledger.Servers() {
		s.Strays += len(d.ledger.Strays(id))
	}
	if d.storeQueue != nil {
		s.StoreRunning, s.StoreWaiting = d.storeQueue.Running(), d.storeQueue.Waiting()
	}
	return s
}

// query runs fn on the decider's goroutine and returns its result. It fails if
// the decider has stopped or ctx is done.
func query[T any](ctx context.Context, d *Decider, fn func() T) (T, error) {
	out := make(chan T, 1)
	var none T
	if !d.enqueue(ctx, func(context.Context) { out <- fn() }) {
		return none, context.Canceled
	}
	return await(ctx, d, out)
}

// await waits for a reply from the decider's goroutine.
func await[T any](ctx context.Context, d *Decider, reply <-chan T) (T, error) {
	var none T
	select {
	case value := <-reply:
		return value, nil
	case <-d.done:
		return none, context.Canceled
	case <-ctx.Done():
		return none, context.Cause(ctx)
	}
}
