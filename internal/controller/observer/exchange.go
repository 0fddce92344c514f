package observer

import (
	"context"
	"sync"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/internal/peer"
	"github.com/cyclamenhoist/cyclamenhoist/internal/peer/peerpb"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/membership"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

const (
	exchangeTimeout = time.Second
	// pushInterval bounds how often news is sent outside the heartbeat.
	pushInterval = 5 * time.Millisecond
)

// exchangeLoop exchanges with the linked instances at each heartbeat, and at
// once with those that lack news.
func (o *Observer) exchangeLoop(ctx context.Context) error {
	busy := &inProgress{peers: map[port.InstanceID]bool{}}
	next := o.now()
	for {
		wait := max(0, next.Sub(o.now()))
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
			next = o.now().Add(spread(o.cfg.Heartbeat))
			o.mu.Lock()
			o.table.Beat()
			o.mu.Unlock()
			o.exchangeWith(ctx, busy, o.links(), true)
		case <-o.push:
			timer.Stop()
			o.exchangeWith(ctx, busy, o.lacking(), false)
			if !pause(ctx, pushInterval) {
				return nil
			}
		}
	}
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

func (o *Observer) exchangeWith(ctx context.Context, busy *inProgress, peers []port.Instance, heartbeat bool) {
	for _, to := range peers {
		if !busy.begin(to.ID) {
			continue
		}
		go func() {
			defer busy.end(to.ID)
			o.exchange(ctx, to, heartbeat)
		}()
	}
}

func (o *Observer) exchange(ctx context.Context, to port.Instance, heartbeat bool) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	message := o.deltaFor(to)
	if holder := o.holder.Load(); heartbeat && holder != nil && *holder == to.ID {
		message.Uses = o.deps.Uses.Take()
	}
	reply, err := o.deps.Peers.To(to.PeerAddress).Exchange(ctx, message)
	if err != nil {
		o.deps.Uses.Restore(message.Uses)
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
	if delta.From.Zone == o.cfg.Self.Zone {
		o.listener.PeerSeen(delta.From.ID, delta.From.Leaving)
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

// links returns whom to exchange with at a heartbeat.
func (o *Observer) links() []port.Instance {
	o.mu.Lock()
	defer o.mu.Unlock()
	view := o.table.View(o.now())
	return o.reachable(&view, func(membership.InstanceView) bool { return true })
}

// lacking returns whom to tell news at once.
func (o *Observer) lacking() []port.Instance {
	o.mu.Lock()
	defer o.mu.Unlock()
	view := o.table.View(o.now())
	return o.reachable(&view, func(i membership.InstanceView) bool { return o.table.Changed(i.Instance.ID) })
}

func (o *Observer) reachable(view *membership.View, keep func(membership.InstanceView) bool) []port.Instance {
	var peers []port.Instance
	for _, i := range view.Instances {
		if i.Instance.ID != o.cfg.Self.ID && i.Alive && i.Instance.PeerAddress != "" && keep(i) {
			peers = append(peers, i.Instance)
		}
	}
	return peers
}
