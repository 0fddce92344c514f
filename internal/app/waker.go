package app

import (
	"context"
	"slices"
	"sync"

	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/internal/controller/configuration"
	"github.com/cyclamenhoist/cyclamenhoist/internal/controller/decider"
	"github.com/cyclamenhoist/cyclamenhoist/internal/controller/observer"
	"github.com/cyclamenhoist/cyclamenhoist/internal/gateway"
	"github.com/cyclamenhoist/cyclamenhoist/internal/peer"
	"github.com/cyclamenhoist/cyclamenhoist/internal/peer/peerpb"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/logclient"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/placement"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/routing"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/share"
)

// ErrNoDecider means that no lease holder could be reached.
var ErrNoDecider = errors.New("no deciding instance answers")

// waker sends wake requests, which request a cold start of a model, to the lease
// holders of the zones that can hold a replica of it.
type waker struct {
	self     port.Instance
	decider  *decider.Decider
	log      *logclient.Client
	config   *configuration.Controller
	observer *observer.Observer
	peers    *peer.Client
	routing  *routing.Router

	mu    sync.Mutex // guards ready and accepted; requests for loaded models don't lock it
	ready map[port.ModelID]chan struct{}
	// accepted holds the wake requests that a lease holder has accepted and
	// whose model isn't ready yet.
	accepted map[port.ModelID]acceptedWake
}

// retryInOtherZone lists the refusals after which another zone can still accept the
// request.
var retryInOtherZone = map[string]bool{
	string(placement.ReasonNoMemory):  true,
	string(placement.ReasonNoServer):  true,
	string(placement.ReasonNoReplica): true,
	decider.RefusalUndecidable:        true,
}

// Wake implements gateway.Waker.
func (w *waker) Wake(ctx context.Context, q gateway.WakeQuery) (gateway.WakeReply, error) {
	var first *gateway.WakeReply
	for _, zone := range w.zones(q.Model) {
		reply, err := w.requestWake(ctx, zone, q)
		switch {
		case err != nil:
			continue
		case reply.Accepted || !retryInOtherZone[reply.Refusal]:
			w.recordAccepted(zone, q, reply.Accepted)
			return reply, nil
		case first == nil:
			first = &reply
		}
	}
	if first != nil {
		return *first, nil
	}
	return gateway.WakeReply{}, ErrNoDecider
}

// zones lists the zones that can hold a replica of the model, this instance's zone
// first.
func (w *waker) zones(model port.ModelID) []port.Zone {
	t := w.config.Targets()
	if t == nil {
		return nil
	}
	// An adapter is loaded in the zones that can hold its base model.
	if info, known := w.config.Model(model); known && info.Base != "" {
		model = info.Base
	}
	zones := share.ReplicaZones(model, t.Document.Limits.ReplicasPerModel, t.Document.ZoneWeights())
	if at := slices.Index(zones, w.self.Zone); at > 0 {
		zones = slices.Concat(zones[at:at+1], zones[:at], zones[at+1:])
	}
	return zones
}

func (w *waker) requestWake(ctx context.Context, zone port.Zone, q gateway.WakeQuery) (gateway.WakeReply, error) {
	holder, address, known := w.holder(zone)
	if !known {
		return gateway.WakeReply{}, ErrNoDecider
	}
	if holder == w.self.ID {
		return w.requestLocalWake(ctx, q)
	}
	reply, err := w.peers.To(address).Wake(ctx, &peerpb.WakeRequest{
		Model: string(q.Model), Zone: string(zone), PatienceMs: q.MaxWait.Milliseconds(),
		Waiting: int32(q.Waiting), Class: q.Class, Instance: string(w.self.ID),
	})
	if err != nil {
		return gateway.WakeReply{}, errors.Join(ErrNoDecider, err)
	}
	if transient(reply.Refusal) {
		return gateway.WakeReply{}, errors.Wrap(ErrNoDecider, reply.Refusal)
	}
	return gateway.WakeReply{
		Accepted: reply.Accepted, ReadyIn: fromMilliseconds(reply.ReadyInMs), Refusal: reply.Refusal,
		Detail: reply.Detail, RetryAfter: fromMilliseconds(reply.RetryAfterMs),
	}, nil
}

// transient reports whether a refusal concerns the instance that was queried and
// not the model. The waiting requests repeat the wake request after such a refusal.
func transient(refusal string) bool {
	switch refusal {
	case decider.RefusalNotHolder, decider.RefusalNotReady, decider.RefusalStopping:
		return true
	}
	return false
}

func (w *waker) requestLocalWake(ctx context.Context, q gateway.WakeQuery) (gateway.WakeReply, error) {
	reply, err := w.decider.Wake(ctx, decider.WakeRequest{
		Model: q.Model, Class: q.Class, MaxWait: q.MaxWait, Waiting: q.Waiting, From: w.self.ID,
	})
	if err != nil {
		return gateway.WakeReply{}, errors.Join(ErrNoDecider, err)
	}
	if transient(reply.Refusal) {
		return gateway.WakeReply{}, errors.Wrap(ErrNoDecider, reply.Refusal)
	}
	return gateway.WakeReply(reply), nil
}

// holder returns the zone's lease holder and its peer address, according to the
// part of the log read so far.
func (w *waker) holder(zone port.Zone) (port.InstanceID, string, bool) {
	state := w.log.State()
	if state == nil {
		return "", "", false
	}
	v := state.Zone(zone)
	if v.Holder == "" || v.Released {
		return "", "", false
	}
	for _, i := range w.observer.View().Instances {
		if i.Instance.ID == v.Holder && i.Instance.PeerAddress != "" {
			return v.Holder, i.Instance.PeerAddress, true
		}
	}
	for _, m := range slices.Concat(v.Members, v.CopyHolders) {
		if m.Instance == v.Holder {
			return v.Holder, m.PeerAddress, true
		}
	}
	return v.Holder, "", v.Holder == w.self.ID
}

// Ready implements gateway.Waker.
func (w *waker) Ready(model port.ModelID) <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	c, ok := w.ready[model]
	if !ok {
		c = make(chan struct{})
		w.ready[model] = c
	}
	if w.routable(model) {
		close(c)
		delete(w.ready, model)
	}
	return c
}

func (w *waker) routable(model port.ModelID) bool {
	set, known := w.routing.Snapshot().Model(model)
	return known && set.Len() > 0
}

// run notifies the requests that wait for a model once it is routable.
func (w *waker) run(ctx context.Context) error {
	for {
		published := w.observer.Published()
		w.notify()
		select {
		case <-ctx.Done():
			return nil
		case <-published:
		}
	}
}

func (w *waker) notify() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for model, c := range w.ready {
		if w.routable(model) {
			close(c)
			delete(w.ready, model)
			delete(w.accepted, model)
		}
	}
}
