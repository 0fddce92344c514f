package decider

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/cyclamenhoist/cyclamenhoist/internal/peer/peerpb"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/fold"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/lease"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/logclient"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/pause"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/placement"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record/recordpb"
)

const (
	// peerTimeout bounds a call of the lease protocol to another instance.
	peerTimeout = time.Second
	// fenceTimeout bounds a call that raises the fencing token of a backend
	// server.
	fenceTimeout = 2 * time.Second
	// appendRetry is the delay before an append with an unknown outcome is
	// retried.
	appendRetry = 200 * time.Millisecond
)

func (d *Decider) execute(ctx context.Context, effect lease.Effect) {
	switch e := effect.(type) {
	case lease.Append:
		go d.appendRecord(ctx, e.Record)
	case lease.SendSeal:
		go d.sendSeal(ctx, e)
	case lease.SendCopy:
		go d.sendCopy(ctx, e)
	case lease.ReplySeal:
		sendReply(d.sealReplies, e.Request, e)
	case lease.ReplyCopy:
		sendReply(d.copyReplies, e.Request, e)
	case lease.RaiseFence:
		go d.raiseFence(ctx, e)
	case lease.ReadServer:
		go d.readServer(ctx, e)
	case lease.Order:
		d.dispatch(ctx, e)
	case lease.Refuse:
		d.onRefused(e)
	case lease.Closed:
		d.onClosed(ctx, e)
	case lease.Acquired:
		d.onLeaseAcquired(e)
	case lease.Lost:
		d.onLeaseLost(e)
	case lease.Stopped:
		close(d.handedOver)
	}
}

func sendReply[T any](waiting map[uint64]chan T, request uint64, reply T) {
	if c, ok := waiting[request]; ok {
		c <- reply
		delete(waiting, request)
	}
}

// postEvent schedules an event on the decider's goroutine.
func (d *Decider) postEvent(ctx context.Context, ev lease.Event) {
	d.enqueue(ctx, func(ctx context.Context) { d.handleEvent(ctx, ev) })
}

// appendRecord retries the append of a record until its outcome is known.
func (d *Decider) appendRecord(ctx context.Context, r *recordpb.Record) {
	for {
		result, err := d.deps.Log.Append(ctx, r)
		switch {
		case err == nil:
			d.postEvent(ctx, lease.AppendCompleted{RecordID: r.Id, Appended: true, Offset: result.Offset})
			return
		case errors.Is(err, logclient.ErrNotAppended):
			d.postEvent(ctx, lease.AppendCompleted{RecordID: r.Id})
			return
		}
		if !pause.For(ctx, appendRetry) {
			return
		}
	}
}

// addressOf returns the current peer address of a member. If the member isn't
// in the observed view, it returns the address that the log has.
func (d *Decider) addressOf(m fold.Member) string {
	for _, i := range d.deps.Observer.View().Instances {
		if i.Instance.ID == m.Instance && i.Instance.PeerAddress != "" {
			return i.Instance.PeerAddress
		}
	}
	return m.PeerAddress
}

func (d *Decider) sendSeal(ctx context.Context, e lease.SendSeal) {
	call, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := d.deps.Peers.To(d.addressOf(e.To)).Seal(call, &peerpb.SealRequest{
		Zone: string(d.cfg.Self.Zone), Epoch: int64(e.Epoch), Claimant: string(d.cfg.Self.ID),
	})
	if err != nil {
		d.postEvent(ctx, lease.SealFailed{From: e.To.Instance, Epoch: e.Epoch})
		return
	}
	copies, err := decodeIntents(reply.Copies)
	if err != nil {
		d.deps.Logger.Warn().Err(err).Str("peer", string(e.To.Instance)).Msg("seal_malformed")
		d.postEvent(ctx, lease.SealFailed{From: e.To.Instance, Epoch: e.Epoch})
		return
	}
	d.postEvent(ctx, lease.SealReply{From: e.To.Instance, Epoch: e.Epoch, Sealed: reply.Sealed, Copies: copies})
}

func decodeIntents(encoded []*recordpb.Intent) ([]record.Intent, error) {
	var intents []record.Intent
	for _, p := range encoded {
		intent, err := record.IntentFromProto(p)
		if err != nil {
			return nil, err
		}
		intents = append(intents, intent)
	}
	return intents, nil
}

func (d *Decider) sendCopy(ctx context.Context, e lease.SendCopy) {
	call, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := d.deps.Peers.To(d.addressOf(e.To)).Copy(call, &peerpb.CopyRequest{
		Zone: string(d.cfg.Self.Zone), Epoch: int64(e.Intent.Epoch), Holder: string(d.cfg.Self.ID),
		Intent: e.Intent.Proto(),
	})
	if err != nil {
		d.postEvent(ctx, lease.CopyFailed{From: e.To.Instance, IntentID: e.Intent.ID, Epoch: e.Intent.Epoch})
		return
	}
	d.postEvent(ctx, lease.CopyReply{
		From: e.To.Instance, IntentID: e.Intent.ID, Epoch: e.Intent.Epoch, Acknowledged: reply.Acknowledged,
	})
}

func (d *Decider) raiseFence(ctx context.Context, e lease.RaiseFence) {
	server, known := d.deps.Observer.Server(e.Server)
	err := errors.Wrap(port.ErrNotSent, "server isn't known")
	if known {
		call, cancel := context.WithTimeout(ctx, fenceTimeout)
		err = d.deps.Engine.RaiseFence(call, server.Server, e.Fence)
		cancel()
	}
	d.postEvent(ctx, lease.FenceRaised{Token: e.Token, Server: e.Server, Err: err})
}

func (d *Decider) readServer(ctx context.Context, e lease.ReadServer) {
	server, known := d.deps.Observer.Server(e.Server)
	if !known {
		d.postEvent(ctx, lease.ServerRead{
			Token: e.Token, Report: port.Report{Server: e.Server}, Err: errors.Wrap(port.ErrNotSent, "server isn't known"),
		})
		return
	}
	report, err := d.deps.Observer.Read(ctx, server.Server)
	if err != nil {
		report.Server = e.Server
	}
	d.postEvent(ctx, lease.ServerRead{Token: e.Token, Report: report, Err: err})
}

func (d *Decider) onLeaseAcquired(e lease.Acquired) {
	d.storeQueue = nil
	d.leaseSince = d.now()
	d.progress = placement.Progress{}
	d.updateLimits()
	metrics.GetOrRegisterCounter("decider.terms", d.deps.Metrics).Inc(1)
	metrics.GetOrRegisterGauge("decider.holder", d.deps.Metrics).Update(1)
	d.deps.Logger.Info().Str("zone", string(d.cfg.Self.Zone)).Int64("epoch", int64(e.Epoch)).Msg("holder_began")
}

func (d *Decider) onLeaseLost(e lease.Lost) {
	clear(d.wakes)
	clear(d.orders)
	clear(d.loadedAt)
	metrics.GetOrRegisterGauge("decider.holder", d.deps.Metrics).Update(0)
	d.deps.Logger.Info().Str("zone", string(d.cfg.Self.Zone)).Int64("epoch", int64(e.Epoch)).Msg("holder_ended")
}
