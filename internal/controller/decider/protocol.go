package decider

import (
	"context"

	"github.com/cyclamenhoist/cyclamenhoist/internal/peer/peerpb"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/lease"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record"
)

// PeerSeen records that an instance of the zone was in contact.
func (d *Decider) PeerSeen(id port.InstanceID, leaving bool) {
	d.tryPostEvent(lease.PeerAlive{Instance: id, Leaving: leaving})
}

// LiveList handles a new live list of the platform.
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
	d.tryPostEvent(ev)
}

// ReportRead handles a report that this instance read from the server itself.
func (d *Decider) ReportRead(r port.Report) {
	d.enqueue(context.Background(), func(ctx context.Context) {
		d.ledger.Observe(&r, true)
		d.handleEvent(ctx, lease.ServerRead{Report: r})
	})
}

// UsesReported handles the usage of models that an instance reports.
func (d *Decider) UsesReported(_ port.InstanceID, uses []*peerpb.ModelUse) {
	d.enqueue(context.Background(), func(context.Context) { d.recordUses(uses) })
}

// tryPostEvent schedules an event, or drops it if the inbox is full. Its caller
// repeats such events periodically.
func (d *Decider) tryPostEvent(ev lease.Event) {
	select {
	case d.inbox <- func(ctx context.Context) { d.handleEvent(ctx, ev) }:
	default:
	}
}

// Seal handles the seal request of an instance that claims the lease.
func (d *Decider) Seal(ctx context.Context, m *peerpb.SealRequest) (*peerpb.SealReply, error) {
	reply, err := requestReply(ctx, d, d.sealReplies, func(request uint64) lease.Event {
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

// Copy stores a copy of an intent for the holder. It returns an error if the
// intent is malformed.
func (d *Decider) Copy(ctx context.Context, m *peerpb.CopyRequest) (*peerpb.CopyReply, error) {
	intent, err := record.IntentFromProto(m.Intent)
	if err != nil {
		return nil, err
	}
	reply, err := requestReply(ctx, d, d.copyReplies, func(request uint64) lease.Event {
		return lease.CopyRequested{Request: request, Holder: port.InstanceID(m.Holder), Intent: intent}
	})
	if err != nil {
		return nil, err
	}
	return &peerpb.CopyReply{Acknowledged: reply.Acknowledged, Sealed: int64(reply.Sealed)}, nil
}

// requestReply applies a peer's request to the lease state machine and waits
// for the reply.
func requestReply[T any](ctx context.Context, d *Decider, waiting map[uint64]chan T, event func(uint64) lease.Event) (T, error) {
	out := make(chan T, 1)
	var none T
	if !d.enqueue(ctx, func(ctx context.Context) {
		d.lastRequestID++
		waiting[d.lastRequestID] = out
		d.handleEvent(ctx, event(d.lastRequestID))
	}) {
		return none, context.Canceled
	}
	return await(ctx, d, out)
}

// HandOver releases the lease for good. It returns once the release is settled
// or the decider has stopped, or an error if ctx is done first. See
// lease.HandOver for identitiesBase.
func (d *Decider) HandOver(ctx context.Context, identitiesBase port.Offset) error {
	if !d.enqueue(ctx, func(ctx context.Context) { d.handleEvent(ctx, lease.HandOver{IdentitiesBase: identitiesBase}) }) {
		return context.Canceled
	}
	select {
	case <-d.handedOver:
		return nil
	case <-d.done:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
