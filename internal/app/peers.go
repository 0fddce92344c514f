package app

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/internal/controller/decider"
	"github.com/cyclamenhoist/cyclamenhoist/internal/controller/observer"
	"github.com/cyclamenhoist/cyclamenhoist/internal/identitypeer"
	"github.com/cyclamenhoist/cyclamenhoist/internal/peer/peerpb"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/logclient"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// ErrOtherZone means that a question was meant for another zone's instances.
var ErrOtherZone = errors.New("asked for another availability zone")

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// peers answers the other instances.
type peers struct {
	self     port.Instance
	decider  *decider.Decider
	observer *observer.Observer
	log      *logclient.Client
	*identitypeer.Server
}

func (p *peers) ownZone(zone string) error {
	if zone != string(p.self.Zone) {
		return errors.Wrap(ErrOtherZone, zone)
	}
	return nil
}

// Wake implements the peer protocol.
func (p *peers) Wake(ctx context.Context, m *peerpb.WakeRequest) (*peerpb.WakeReply, error) {
	if err := p.ownZone(m.Zone); err != nil {
		return nil, err
	}
	reply, err := p.decider.Wake(ctx, decider.WakeRequest{
		Model: port.ModelID(m.Model), Class: m.Class, Patience: milliseconds(m.PatienceMs),
		Waiting: int(m.Waiting), From: port.InstanceID(m.Instance),
	})
	if err != nil {
		return nil, err
	}
	return &peerpb.WakeReply{
		Accepted: reply.Accepted, ReadyInMs: reply.ReadyIn.Milliseconds(), Refusal: reply.Refusal,
		Detail: reply.Detail, RetryAfterMs: reply.RetryAfter.Milliseconds(),
	}, nil
}

// Explain implements the peer protocol.
func (p *peers) Explain(ctx context.Context, m *peerpb.ExplainRequest) (*peerpb.ExplainReply, error) {
	e, err := p.decider.Explain(ctx, port.ModelID(m.Model))
	if err != nil {
		return nil, err
	}
	reply := &peerpb.ExplainReply{
		Holder: string(e.Holder), Epoch: int64(e.Epoch), Holding: e.Holding, Waiting: int32(e.Waiting), Replicas: map[string]string{},
	}
	for server, state := range e.Replicas {
		reply.Replicas[string(server)] = state
	}
	for _, r := range e.Reasons {
		reply.Reasons = append(reply.Reasons, &peerpb.DecisionReason{AtUnixMs: r.At.UnixMilli(), Text: r.Text})
	}
	return reply, nil
}

func decodeExplanation(m *peerpb.ExplainReply) decider.Explanation {
	e := decider.Explanation{
		Holder: port.InstanceID(m.Holder), Epoch: port.Epoch(m.Epoch), Holding: m.Holding, Waiting: int(m.Waiting),
		Replicas: map[port.ServerID]string{},
	}
	for server, state := range m.Replicas {
		e.Replicas[port.ServerID(server)] = state
	}
	for _, r := range m.Reasons {
		e.Reasons = append(e.Reasons, decider.Reason{At: time.UnixMilli(r.AtUnixMs), Text: r.Text})
	}
	return e
}

// Copy implements the peer protocol.
func (p *peers) Copy(ctx context.Context, m *peerpb.CopyRequest) (*peerpb.CopyReply, error) {
	if err := p.ownZone(m.Zone); err != nil {
		return nil, err
	}
	return p.decider.Copy(ctx, m)
}

// Seal implements the peer protocol.
func (p *peers) Seal(ctx context.Context, m *peerpb.SealRequest) (*peerpb.SealReply, error) {
	if err := p.ownZone(m.Zone); err != nil {
		return nil, err
	}
	return p.decider.Seal(ctx, m)
}

// Exchange implements the peer protocol.
func (p *peers) Exchange(ctx context.Context, m *peerpb.Delta) (*peerpb.Delta, error) {
	return p.observer.Exchange(ctx, m)
}

// FetchState implements the peer protocol.
func (p *peers) FetchState(_ context.Context, m *peerpb.FetchStateRequest) (*peerpb.FetchStateReply, error) {
	state := p.log.State()
	if state == nil || int64(state.Through()) <= m.Through {
		return &peerpb.FetchStateReply{}, nil
	}
	return &peerpb.FetchStateReply{State: state.Encode()}, nil
}

// stateFetcher asks another instance for its fold, the own zone's first.
type stateFetcher struct {
	self     port.Instance
	observer *observer.Observer
	call     func(ctx context.Context, address string, through port.Offset) ([]byte, error)
	own      func() port.Offset
}

func (f *stateFetcher) fetch(ctx context.Context) ([]byte, error) {
	last := ErrNoDecider
	for _, sameZone := range []bool{true, false} {
		for _, i := range f.observer.View().Instances {
			if !i.Alive || i.Instance.ID == f.self.ID || i.Instance.PeerAddress == "" || (i.Instance.Zone == f.self.Zone) != sameZone {
				continue
			}
			state, err := f.call(ctx, i.Instance.PeerAddress, f.own())
			if err == nil && len(state) > 0 {
				return state, nil
			}
			if err != nil {
				last = err
			}
		}
	}
	return nil, last
}
