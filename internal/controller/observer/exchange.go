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
	// pushInterval bounds how often news is sent outside the heartbeat.
	pushInterval = 5 * time.Millisecond
	// useInterval is how often the holder is told of used models.
	useInterval = time.Second
)

// exchangeLoop exchanges with the linked instances at each heartbeat, and at
// once with those of them that lack news.
func (o *Observer) exchangeLoop(ctx context.Context) error {
	busy := &inProgress{peers: map[port.InstanceID]bool{}}
	heartbeat := time.NewTicker(o.cfg.Heartbeat)
	defer heartbeat.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-heartbeat.C:
			o.exchangeWith(ctx, busy, o.beat())
			o.tellSigns()
		case <-o.push:
			o.exchangeWith(ctx, busy, o.lacking())
			if !pause.For(ctx, pushInterval) {
				return nil
			}
		}
	}
}

// beat advances the heartbeat and returns whom to tell.
func (o *Observer) beat() []port.Instance {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.Beat()
	o.links = o.table.Links(o.now())
	return o.links
}

// lacking returns the linked instances that lack something.
func (o *Observer) lacking() []port.Instance {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(o.links), func(i port.Instance) bool { return !o.table.Changed(i.ID) })
}

// useLoop tells the holder once a second which models were used here.
func (o *Observer) useLoop(ctx context.Context) error {
	for pause.For(ctx, spread(useInterval)) {
		holder := o.holder.Load()
		if holder == nil || *holder == "" {
			continue
		}
		uses := o.deps.Uses.Take()
		switch {
		case len(uses) == 0:
		case *holder == o.cfg.Self.ID:
			o.listener.UsesReported(*holder, uses)
		default:
			o.tellUses(ctx, *holder, uses)
		}
	}
	return nil
}

func (o *Observer) tellUses(ctx context.Context, holder port.InstanceID, uses []*peerpb.ModelUse) {
	for _, i := range o.View().Instances {
		if i.Instance.ID == holder && i.Instance.PeerAddress != "" {
			o.exchange(ctx, i.Instance, uses)
			return
		}
	}
	o.deps.Uses.Restore(uses)
}

// inProgress keeps a slow peer from having more than one exchange at a time.
type inProgress struct {
	mu    sync.Mutex
	peers map[port.InstanceID]bool
}

func (p *inProgress) begin(id port.InstanceID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peers[id] {
		return false
	}
	p.peers[id] = true
	return true
}

func (p *inProgress) end(id port.InstanceID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.peers, id)
}

func (o *Observer) exchangeWith(ctx context.Context, busy *inProgress, peers []port.Instance) {
	for _, to := range peers {
		if !busy.begin(to.ID) {
			continue
		}
		go func() {
			defer busy.end(to.ID)
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
	o.merge(reply)
}

func (o *Observer) deltaFor(to port.Instance) *peerpb.Delta {
	o.mu.Lock()
	delta := o.table.DeltaFor(o.now(), to)
	o.mu.Unlock()
	message := peer.EncodeDelta(delta)
	message.TargetsVersion = o.targets.Load()
	return message
}

func (o *Observer) merge(message *peerpb.Delta) {
	delta := peer.DecodeDelta(message)
	o.mu.Lock()
	before := o.table.Version()
	o.table.MergeDelta(o.now(), delta)
	changed := o.table.Version() != before
	o.mu.Unlock()
	o.inForce.Store(delta.From.ID, port.Offset(message.TargetsVersion))
	if changed {
		signal(o.dirty)
		signal(o.push)
	}
}

// Exchange answers another instance's exchange.
func (o *Observer) Exchange(_ context.Context, message *peerpb.Delta) (*peerpb.Delta, error) {
	o.merge(message)
	from := peer.DecodeDelta(message).From
	if len(message.Uses) > 0 {
		o.listener.UsesReported(from.ID, message.Uses)
	}
	return o.deltaFor(from), nil
}
