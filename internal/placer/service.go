package placer

import (
	"context"
	"math"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/internal/bootclock"
	"github.com/cyclamenhoist/cyclamenhoist/internal/edge"
	"github.com/cyclamenhoist/cyclamenhoist/internal/placer/placerpb"
	"github.com/cyclamenhoist/cyclamenhoist/internal/storemirror"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/demand"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
)

// service handles the calls of other instances.
type service struct {
	placerpb.DRPCPlacerUnimplementedServer

	placer *Placer
}

// Report records the demand of another instance.
func (s *service) Report(_ context.Context, r *placerpb.DemandReport) (*placerpb.DemandReply, error) {
	lease := s.placer.elector.leaseForPeers()
	if !s.placer.elector.placing() {
		return &placerpb.DemandReply{Tenure: lease}, nil
	}
	s.placer.quotas.heard(r.Instance)
	s.placer.originLog.journal.Add(decodeOrigins(r.Origins), time.Now())
	peers, version := s.placer.holder.receiveReport(r.Instance, r.Address, float64(finiteCapacity(r.Capacity)), decodeDemand(r))
	reply := &placerpb.DemandReply{
		Placing: true, Instances: uint32(len(peers)), Tenure: lease, PeersVersion: version, Successors: s.placer.holder.successors(),
		StatesFallbackShares: true,
	}
	if r.PeersVersion != version {
		reply.Peers = peers
	}
	if r.LacksVersions {
		reply.Versions = encodeVersions(s.placer.views.Load().VersionRecord(time.Now()))
	}
	return reply, nil
}

// finiteCapacity returns a capacity within its range; 0 if it isn't a number.
func finiteCapacity(capacity float32) float32 {
	if !(capacity > 0) {
		return 0
	}
	return min(capacity, 1)
}

// Watch is a long poll. It returns the servers that have changed since the caller's version.
func (s *service) Watch(ctx context.Context, r *placerpb.WatchRequest) (*placerpb.Placement, error) {
	received := bootclock.Now()
	// The store may reject the holder and serve others.
	s.placer.mirror.HearOfManifest(r.ManifestVersion)
	if r.Instance != "" && s.placer.elector.placing() {
		s.placer.quotas.heard(r.Instance)
	}
	known := storemirror.Knowledge{
		Editions: r.Editions, List: fleet.Edition{ID: r.Bulletin, Revision: r.Revision, Digest: r.ListDigest}, ListEnd: fleet.Position{Era: r.ListEra, Offset: r.ListEnd}, ManifestVersion: r.ManifestVersion,
	}
	ctx, cancel := context.WithTimeout(ctx, min(time.Duration(r.WaitMs)*time.Millisecond, watchTimeout))
	defer cancel()
	for {
		if !s.placer.elector.placing() {
			return &placerpb.Placement{Tenure: s.placer.elector.leaseForPeers()}, nil
		}
		placement, published := s.placer.holder.placement(r.Epoch, r.Version)
		hasNews := r.Store && s.placer.mirror.HasNews(known)
		if len(placement.Servers) > 0 || hasNews || ctx.Err() != nil {
			if r.Store {
				placement.Store = encodeNews(s.placer.mirror.Tell(known, bootclock.Now()-received), s.placer.elector.renewalAge())
			}
			return placement, nil
		}
		select {
		case <-ctx.Done():
		case <-published:
		}
	}
}

// placement returns the servers that have changed since a version, and a channel that is
// closed at the next change.
func (h *holder) placement(epoch, version int64) (*placerpb.Placement, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := &placerpb.Placement{Placing: true, Epoch: h.epoch, Version: h.placementVersion}
	now := time.Now()
	out.Leaving = encodeStandings(h.views.Load().Leaving(), now).Standings
	for id, t := range h.servers {
		if !t.known || epoch == h.epoch && t.version <= version {
			continue
		}
		out.Servers = append(out.Servers, t.encode(id, h.sequence(), now))
	}
	return out, h.published
}

func (t *trackedServer) encode(id fleet.ServerID, sequence int64, now time.Time) *placerpb.ServerPlacement {
	r := t.residency(sequence)
	out := &placerpb.ServerPlacement{Id: string(id), Born: r.StartedAt, Sequence: sequence}
	for _, resident := range r.Models {
		out.Residents = append(out.Residents, &placerpb.Resident{Model: resident.Model, Adapters: resident.Adapters})
	}
	for model, at := range r.Loading {
		out.Loading = append(out.Loading, &placerpb.Loading{Model: model, RemainingMs: uint32(max(at.Sub(now).Milliseconds(), 0))})
	}
	return out
}

func decodePlacement(p *placerpb.Placement, now time.Time) map[fleet.ServerID]edge.Residency {
	out := make(map[fleet.ServerID]edge.Residency, len(p.Servers))
	for _, s := range p.Servers {
		r := edge.Residency{StartedAt: s.Born, Sequence: s.Sequence, Loading: map[string]time.Time{}}
		for _, resident := range s.Residents {
			r.Models = append(r.Models, fleet.Resident{Model: resident.Model, Adapters: resident.Adapters})
		}
		for _, loading := range s.Loading {
			r.Loading[loading.Model] = now.Add(time.Duration(loading.RemainingMs) * time.Millisecond)
		}
		out[fleet.ServerID(s.Id)] = r
	}
	return out
}

func encodeDemand(instance, address string, r demand.Report) *placerpb.DemandReport {
	out := &placerpb.DemandReport{Instance: instance, Address: address}
	for key, t := range r.Tallies {
		out.Demands = append(out.Demands, &placerpb.ModelDemand{
			Service: key.Service, Model: key.Model, Adapter: key.Adapter, ServerVersion: key.ServerVersion,
			Arrived: t.Arrived, ArrivedLasting: t.ArrivedNonRepeatable, Waiting: t.Waiting, WaitingLasting: t.WaitingNonRepeatable,
			WorkUs: uint32(min(t.Work.Microseconds(), math.MaxUint32)), RunMs: uint32(min(t.RunTime.Milliseconds(), math.MaxUint32)),
		})
	}
	for at, n := range r.Running {
		out.Running = append(out.Running, &placerpb.Running{Server: at.Server, Model: at.Model, Requests: n})
	}
	for key, past := range r.History {
		out.History = append(out.History, &placerpb.PastDemand{
			Service: key.Service, Model: key.Model, Adapter: key.Adapter,
			Rate: float32(past.Rate), WorthRate: float32(past.WorthRate), WorkRate: float32(past.WorkRate), RunRate: float32(past.RunRate),
			IdleMs: uint32(max(past.Idle.Milliseconds(), 0)),
		})
	}
	return out
}

func decodeDemand(r *placerpb.DemandReport) demand.Report {
	out := demand.Report{
		Tallies: make(map[demand.Key]demand.Tally, len(r.Demands)), Running: make(map[demand.Placement]uint32, len(r.Running)),
		History: make(map[demand.Key]demand.Past, len(r.History)),
	}
	for _, d := range r.Demands {
		out.Tallies[demand.Key{Service: d.Service, Model: d.Model, Adapter: d.Adapter, ServerVersion: d.ServerVersion}] = demand.Tally{
			Arrived: d.Arrived, ArrivedNonRepeatable: min(d.ArrivedLasting, d.Arrived),
			Waiting: d.Waiting, WaitingNonRepeatable: min(d.WaitingLasting, d.Waiting),
			Work: time.Duration(d.WorkUs) * time.Microsecond, RunTime: time.Duration(d.RunMs) * time.Millisecond,
		}
	}
	for _, run := range r.Running {
		out.Running[demand.Placement{Server: run.Server, Model: run.Model}] = run.Requests
	}
	for _, past := range r.History {
		out.History[demand.Key{Service: past.Service, Model: past.Model, Adapter: past.Adapter}] = demand.Past{
			Rate: finiteRate(past.Rate), WorthRate: finiteRate(past.WorthRate), WorkRate: finiteRate(past.WorkRate), RunRate: finiteRate(past.RunRate),
			Idle: time.Duration(past.IdleMs) * time.Millisecond,
		}
	}
	return out
}

// maxRate is the highest rate that is believed of an instance.
const maxRate = 1e6

// finiteRate returns a rate within its range; 0 if it isn't a number. One report of a faulty
// peer must not spoil the sums over all instances.
func finiteRate(rate float32) float64 {
	if !(rate > 0) {
		return 0
	}
	return min(float64(rate), maxRate)
}
