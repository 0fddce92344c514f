package placer

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/internal/edge"
	"github.com/cyclamenhoist/cyclamenhoist/internal/placer/placerpb"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
)

// standings exchanges with the other instances what servers have said about further requests.
type standings struct {
	placer *Placer
	outbox *outbox[[]edge.Standing]
	told   atomic.Pointer[func(edge.Standing)]
}

func newStandings(p *Placer) *standings {
	return &standings{placer: p, outbox: newOutbox(p, "standings",
		func(first, second []edge.Standing) []edge.Standing { return append(first, second...) },
		func(ctx context.Context, client placerpb.DRPCPlacerClient, list []edge.Standing) error {
			_, err := client.TellStandings(ctx, encodeStandings(list, time.Now()))
			return err
		})}
}

// TellAll tells all other instances. The holder of the lease tells those that this one doesn't know
// yet.
func (s *standings) TellAll(standing edge.Standing) {
	others := s.placer.OtherInstances()
	if holder, _, held := s.placer.elector.holder(); held && holder.Address != s.placer.address && !slices.Contains(others, holder.Address) {
		others = append(others, holder.Address)
	}
	s.outbox.put([]edge.Standing{standing}, others...)
}

// Tell tells the instance at an address.
func (s *standings) Tell(address string, standing edge.Standing) {
	s.outbox.put([]edge.Standing{standing}, address)
}

// OnTold sets the function that is called for what another instance tells.
func (s *standings) OnTold(told func(edge.Standing)) { s.told.Store(&told) }

// Standings returns the exchange of what servers have said about further requests.
func (p *Placer) Standings() edge.Standings { return p.standings }

// TellStandings handles the call of another instance.
func (s *service) TellStandings(_ context.Context, r *placerpb.ServerStandings) (*placerpb.StandingsTold, error) {
	s.placer.standings.receive(r.Standings)
	return &placerpb.StandingsTold{}, nil
}

// receive applies what another instance tells.
func (s *standings) receive(list []*placerpb.ServerStanding) {
	if told := s.told.Load(); told != nil {
		for _, standing := range decodeStandings(list, time.Now()) {
			(*told)(standing)
		}
	}
}

func encodeStandings(list []edge.Standing, now time.Time) *placerpb.ServerStandings {
	out := &placerpb.ServerStandings{}
	for _, standing := range list {
		out.Standings = append(out.Standings, &placerpb.ServerStanding{
			Server: string(standing.Server), Born: standing.StartedAt, Leaving: standing.Leaving,
			RestUs: uint64(max(standing.RestUntil.Sub(now), 0).Microseconds()),
		})
	}
	return out
}

func decodeStandings(list []*placerpb.ServerStanding, now time.Time) []edge.Standing {
	out := make([]edge.Standing, 0, len(list))
	for _, standing := range list {
		decoded := edge.Standing{Server: fleet.ServerID(standing.Server), StartedAt: standing.Born, Leaving: standing.Leaving}
		if standing.RestUs > 0 {
			decoded.RestUntil = now.Add(microseconds(standing.RestUs))
		}
		out = append(out, decoded)
	}
	return out
}
