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

// ErrOtherZone means that a request was meant for an instance of another zone.
var ErrOtherZone = errors.New("asked for another availability zone")

func fromMilliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// peerServer serves the peer protocol for the other instances.
type peerServer struct {
	self     port.Instance
	decider  *decider.Decider
	observer *observer.Observer
	log      *logclient.Client
	*identitypeer.Server
}

func (p *peerServer) checkZone(zone string) error {
	if zone != string(p.self.Zone) {
		return errors.Wrap(ErrOtherZone, zone)
	}
	return nil
}

// Wake implements the peer protocol.
func (p *peerServer) Wake(ctx context.Context, m *peerpb.WakeRequest) (*peerpb.WakeReply, error) {
	if err := p.checkZone(m.Zone); err != nil {
		return nil, err
	}
	reply, err := p.decider.Wake(ctx, decider.WakeRequest{
		Model: port.ModelID(m.Model), Class: m.Class, MaxWait: fromMilliseconds(m.PatienceMs),
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
func (p *peerServer) Explain(ctx context.Context, m *peerpb.ExplainRequest) (*peerpb.ExplainReply, error) {
	e, err := p.decider.Explain(ctx, port.ModelID(m.Model))
	if err != nil {
		return nil, err
	}
	reply := &peerpb.ExplainReply{
		Holder: string(e.Holder), Epoch: int64(e.Epoch), Holding: e.IsHolder, Waiting: int32(e.Waiting), Replicas: map[string]string{},
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
		Holder: port.InstanceID(m.Holder), Epoch: port.Epoch(m.Epoch), IsHolder: m.Holding, Waiting: int(m.Waiting),
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
func (p *peerServer) Copy(ctx context.Context, m *peerpb.CopyRequest) (*peerpb.CopyReply, error) {
	if err := p.checkZone(m.Zone); err != nil {
		return nil, err
	}
	return p.decider.Copy(ctx, m)
}

// Seal implements the peer protocol.
func (p *peerServer) Seal(ctx context.Context, m *peerpb.SealRequest) (*peerpb.SealReply, error) {
	if err := p.checkZone(m.Zone); err != nil {
		return nil, err
	}
	return p.decider.Seal(ctx, m)
}

// Exchange implements the peer protocol.
func (p *peerServer) Exchange(ctx context.Context, m *peerpb.Delta) (*peerpb.Delta, error) {
	return p.observer.Exchange(ctx, m)
}

// FetchState implements the peer protocol.
func (p *peerServer) FetchState(_ context.Context, m *peerpb.FetchStateRequest) (*peerpb.FetchStateReply, error) {
	state := p.log.State()
	if state == nil || int64(state.Through()) <= m.Through {
		return &peerpb.FetchStateReply{}, nil
	}
	return &peerpb.FetchStateReply{State: state.Encode()}, nil
}

// maxRecordsReplyBytes bounds the total size of the records in one reply.
const maxRecordsReplyBytes = 256 << 10

// FetchRecords implements the peer protocol.
func (p *peerServer) FetchRecords(_ context.Context, m *peerpb.FetchRecordsRequest) (*peerpb.FetchRecordsReply, error) {
	state := p.log.State()
	if state == nil || int64(state.Through()) < m.From {
		return &peerpb.FetchRecordsReply{}, nil
	}
	reply := &peerpb.FetchRecordsReply{}
	for _, r := range p.log.Recent(port.Offset(m.From), maxRecordsReplyBytes) {
		reply.Payloads = append(reply.Payloads, r.Payload)
	}
	reply.Forgotten = len(reply.Payloads) == 0
	return reply, nil
}
