package observer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/internal/peer"
	"github.com/cyclamenhoist/cyclamenhoist/internal/peer/peerpb"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/pause"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

const (
	exchangeTimeout = time.Second
	// pushInterval is the least interval between exchanges outside the
	// heartbeat.
	pushInterval = 5 * time.Millisecond
	// useInterval is the interval at which the usage of models is reported to
	// the holder.
	useInterval = time.Second
)

// exchangeLoop exchanges state with the linked instances at each heartbeat. On
// a change it exchanges at once with those of them that lack the change.
func (o *Observer) exchangeLoop(ctx context.Context) error {
	exchanges := &inFlightExchanges{peers: map[port.InstanceID]bool{}}
	heartbeat := time.NewTicker(o.cfg.Heartbeat)
	defer heartbeat.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-heartbeat.C:
			o.exchangeWith(ctx, exchanges, o.advanceHeartbeat())
			o.notifyContacts()
		case <-o.pushNow:
			o.exchangeWith(ctx, exchanges, o.peersWithChanges())
			if !pause.For(ctx, pushInterval) {
				return nil
			}
		}
	}
}

// advanceHeartbeat advances the heartbeat and returns the instances to exchange
// with.
func (o *Observer) advanceHeartbeat() []port.Instance {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.AdvanceHeartbeat()
	o.links = o.table.Links(o.now())
	return o.links
}

// peersWithChanges returns the linked instances that lack a change.
func (o *Observer) peersWithChanges() []port.Instance {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(o.links), func(i port.Instance) bool { return !o.table.Changed(i.ID) })
}

// useLoop reports once per useInterval to the holder which models were used at
// this instance.
func (o *Observer) useLoop(ctx context.Context) error {
	for pause.For(ctx, withJitter(useInterval)) {
		holder := o.holder.Load()
		if holder == nil || *holder == "" {
			continue
		}
		uses := o.deps.Uses.Collect()
		switch {
		case len(uses) == 0:
		case *holder == o.cfg.Self.ID:
			o.listener.UsesReported(*holder, uses)
		default:
			o.reportUses(ctx, *holder, uses)
		}
	}
	return nil
}

func (o *Observer) reportUses(ctx context.Context, holder port.InstanceID, uses []*peerpb.ModelUse) {
	for _, i := range o.View().Instances {
		if i.Instance.ID == holder && i.Instance.PeerAddress != "" {
			o.exchange(ctx, i.Instance, uses)
			return
		}
	}
	o.deps.Uses.Restore(uses)
}

// inFlightExchanges limits the exchanges with each peer to one at a time, so
// that they don't accumulate for a slow peer.
type inFlightExchanges struct {
	mu    sync.Mutex
	peers map[port.InstanceID]bool
}

func (p *inFlightExchanges) begin(id port.InstanceID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peers[id] {
		return false
	}
	p.peers[id] = true
	return true
}

func (p *inFlightExchanges) end(id port.InstanceID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.peers, id)
}

func (o *Observer) exchangeWith(ctx context.Context, exchanges *inFlightExchanges, peers []port.Instance) {
	for _, to := range peers {
		if !exchanges.begin(to.ID) {
			continue
		}
		go func() {
			defer exchanges.end(to.ID)
			o.exchange(ctx, to, nil)
		}()
	}
}

func (o *Observer) exchange(ctx context.Context, to port.Instance, uses []*peerpb.ModelUse) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	message := o.deltaFor(to)
	message.Uses = uses
	reply, err := o.deps.Peers.To(to.PeerAddress).Exchange(ctx, message)
	if err != nil {
		o.deps.Uses.Restore(uses)
		o.mu.Lock()
		o.table.ContactFailed(o.now(), to.ID)
		o.mu.Unlock()
		return
	}
	o.mergeDelta(reply)
}

func (o *Observer) deltaFor(to port.Instance) *peerpb.Delta {
	o.mu.Lock()
	delta := o.table.DeltaFor(o.now(), to)
	o.mu.Unlock()
	message := peer.EncodeDelta(delta)
	message.TargetsVersion = o.targets.Load()
	return message
}

func (o *Observer) mergeDelta(message *peerpb.Delta) {
	delta := peer.DecodeDelta(message)
	o.mu.Lock()
	before := o.table.Version()
	o.table.MergeDelta(o.now(), delta)
	changed := o.table.Version() != before
	o.mu.Unlock()
	o.inForce.Store(delta.From.ID, port.Offset(message.TargetsVersion))
	if changed {
		signal(o.publishNow)
		signal(o.pushNow)
	}
}

// Exchange merges the state that another instance sent and returns the changes
// that it lacks. The error is always nil.
func (o *Observer) Exchange(_ context.Context, message *peerpb.Delta) (*peerpb.Delta, error) {
	o.mergeDelta(message)
	from := peer.DecodeDelta(message).From
	if len(message.Uses) > 0 {
		o.listener.UsesReported(from.ID, message.Uses)
	}
	return o.deltaFor(from), nil
}
