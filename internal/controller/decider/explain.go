package decider

import (
	"context"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/ledger"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/placement"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// reasonsKept bounds the decisions remembered of one model.
const reasonsKept = 8

// Reason is one decision on a model and why it was taken.
type Reason struct {
	At   time.Time `json:"at"`
	Text string    `json:"text"`
}

// Explanation says why a model is, or isn't, loaded in this zone.
type Explanation struct {
	Holder  port.InstanceID `json:"holder"`
	Epoch   port.Epoch      `json:"epoch"`
	Holding bool            `json:"holding"`
	Waiting int             `json:"waiting"`
	// Replicas are the decided replicas by server.
	Replicas map[port.ServerID]string `json:"replicas"`
	Reasons  []Reason                 `json:"reasons"`
}

// note remembers a decision. The same text again only renews its time.
func (d *Decider) note(model port.ModelID, text string) {
	kept, _ := d.reasons.Get(model)
	if n := len(kept); n > 0 && kept[n-1].Text == text {
		kept[n-1].At = d.now()
		return
	}
	kept = append(kept, Reason{At: d.now(), Text: text})
	if len(kept) > reasonsKept {
		kept = kept[len(kept)-reasonsKept:]
	}
	d.reasons.Add(model, kept)
}

// Explain returns what this instance knows of its zone's decisions on a model.
func (d *Decider) Explain(ctx context.Context, model port.ModelID) (Explanation, error) {
	return read(ctx, d, func() Explanation { return d.explain(model) })
}

func (d *Decider) explain(model port.ModelID) Explanation {
	holder, epoch := d.machine.Holder()
	e := Explanation{Holder: holder, Epoch: epoch, Holding: d.machine.IsHolder(), Replicas: map[port.ServerID]string{}}
	if w, waiting := d.wakes[model]; waiting {
		e.Waiting = w.total()
	}
	for _, id := range d.ledger.Servers() {
		if hold, found := d.ledger.Hold(id, model); found {
			e.Replicas[id] = holdText(hold)
		}
	}
	kept, _ := d.reasons.Get(model)
	e.Reasons = append(e.Reasons, kept...)
	return e
}

func holdText(h ledger.Hold) string {
	switch {
	case h.Unload != "":
		return "unloading"
	case h.Loaded:
		return "loaded"
	default:
		return "loading"
	}
}

// Status is what the decider knows of its zone.
type Status struct {
	Holder  port.InstanceID `json:"holder"`
	Epoch   port.Epoch      `json:"epoch"`
	Holding bool            `json:"holding"`
	Ready   bool            `json:"ready"`
	// Members counts the instances of the zone that are eligible as far as the
	// log was read, and CopyHolders those of them that store the copies of
	// decisions while the log is away.
	Members     int `json:"members"`
	CopyHolders int `json:"copy_holders"`
	// Open counts the intents that hold memory, Waking the models that callers
	// wait for, and StoreRunning and StoreWaiting the loads at the weight store.
	Open         int `json:"open"`
	Waking       int `json:"waking"`
	StoreRunning int `json:"store_running"`
	StoreWaiting int `json:"store_waiting"`
	// Strays counts replicas that engines report and no decision explains. They
	// count as memory in use.
	Strays int `json:"strays"`
	// Shortfalls are the classes that miss their targets here.
	Shortfalls []placement.Shortfall `json:"shortfalls"`
}

// Status returns the present status.
func (d *Decider) Status(ctx context.Context) (Status, error) { return read(ctx, d, d.status) }

func (d *Decider) status() Status {
	holder, epoch := d.machine.Holder()
	s := Status{
		Holder: holder, Epoch: epoch, Holding: d.machine.IsHolder(), Ready: d.deciding(),
		Open: len(d.machine.Open()), Waking: len(d.wakes), Shortfalls: d.missed.Shortfalls(d.now()),
	}
	if state := d.deps.Log.State(); state != nil {
		zone := state.Zone(d.cfg.Self.Zone)
		s.Members, s.CopyHolders = len(zone.Members), len(zone.CopyHolders)
	}
	for _, id := range d.ledger.Servers() {
		s.Strays += len(d.ledger.Strays(id))
	}
	if d.store != nil {
		s.StoreRunning, s.StoreWaiting = d.store.Running(), d.store.Waiting()
	}
	return s
}

// read runs a look at the decider's state on its goroutine.
func read[T any](ctx context.Context, d *Decider, look func() T) (T, error) {
	out := make(chan T, 1)
	var none T
	if !d.post(ctx, func(context.Context) { out <- look() }) {
		return none, context.Canceled
	}
	return await(ctx, d, out)
}

// await waits for a reply of the decider's goroutine.
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
