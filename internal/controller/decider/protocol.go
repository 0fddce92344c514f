package decider

import (
	"context"

	"github.com/cyclamenhoist/cyclamenhoist/internal/peer/peerpb"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/lease"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record"
)

// PeerSeen notes that an instance of the zone was in contact.
func (d *Decider) PeerSeen(id port.InstanceID, leaving bool) {
	d.offer(lease.PeerAlive{Instance: id, Leaving: leaving})
}

// LiveList takes in the platform's live list.
func (d *Decider) LiveList(set port.LiveSet) {
	ev := lease.LiveList{At: set.At}
	for _, i := range set.Instances {
		ev.Instances = append(ev.Instances, i.ID)
	}
	for _, s := range set.Servers {
		if s.Zone == d.cfg.Self.Zone && s.Kind == port.KindEngine {
			ev.Servers = append(ev.Servers, s.ID)
		}
	}
	d.offer(ev)
}

// ReportRead takes in a report that was read from the server itself.
func (d *Decider) ReportRead(r port.Report) {
	d.post(context.Background(), func(ctx context.Context) {
		d.ledger.Observe(&r, true)
		d.step(ctx, lease.ServerRead{Report: r})
	})
}

// UsesReported takes in the models that an instance has used.
func (d *Decider) UsesReported(_ port.InstanceID, uses []*peerpb.ModelUse) {
	d.post(context.Background(), func(context.Context) { d.used(uses) })
}

// offer hands over an event that comes again if it is lost.
func (d *Decider) offer(ev lease.Event) {
	select {
	case d.inbox <- func(ctx context.Context) { d.step(ctx, ev) }:
	default:
	}
}

// Seal answers a claimant.
func (d *Decider) Seal(ctx context.Context, m *peerpb.SealRequest) (*peerpb.SealReply, error) {
	reply, err := ask(ctx, d, d.seals, func(request uint64) lease.Event {
		return lease.SealRequested{Request: request, Claimant: port.InstanceID(m.Claimant), Epoch: port.Epoch(m.Epoch)}
	})
	if err != nil {
		return nil, err
	}
	out := &peerpb.SealReply{Sealed: reply.Sealed}
	for _, c := range reply.Copies {
		out.Copies = append(out.Copies, c.Proto())
	}
	return out, nil
}

// Copy answers a holder.
func (d *Decider) Copy(ctx context.Context, m *peerpb.CopyRequest) (*peerpb.CopyReply, error) {
	intent, err := record.IntentFromProto(m.Intent)
	if err != nil {
		return nil, err
	}
	reply, err := ask(ctx, d, d.copies, func(request uint64) lease.Event {
		return lease.CopyRequested{Request: request, Holder: port.InstanceID(m.Holder), Intent: intent}
	})
	if err != nil {
		return nil, err
	}
	return &peerpb.CopyReply{Acknowledged: reply.Acknowledged, Sealed: int64(reply.Sealed)}, nil
}

// ask puts a peer's question to the machine and waits for its reply.
func ask[T any](ctx context.Context, d *Decider, waiting map[uint64]chan T, event func(uint64) lease.Event) (T, error) {
	out := make(chan T, 1)
	var none T
	if !d.post(ctx, func(ctx context.Context) {
		d.requests++
		waiting[d.requests] = out
		d.step(ctx, event(d.requests))
	}) {
		return none, context.Canceled
	}
	return await(ctx, d, out)
}

// HandOver gives the zone's decisions up for good and returns once that is
// settled, or ctx ends. identitiesBase is lease.HandOver.IdentitiesBase.
func (d *Decider) HandOver(ctx context.Context, identitiesBase port.Offset) error {
	if !d.post(ctx, func(ctx context.Context) { d.step(ctx, lease.HandOver{IdentitiesBase: identitiesBase}) }) {
		return context.Canceled
	}
	select {
	case <-d.stopped:
		return nil
	case <-d.done:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
