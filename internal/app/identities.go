package app

import (
	"context"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/internal/controller/observer"
	"github.com/cyclamenhoist/cyclamenhoist/internal/gateway"
	"github.com/cyclamenhoist/cyclamenhoist/internal/identitypeer"
	"github.com/cyclamenhoist/cyclamenhoist/internal/peer"
	"github.com/cyclamenhoist/cyclamenhoist/internal/peer/peerpb"
	"github.com/cyclamenhoist/cyclamenhoist/internal/settings"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/fold"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/identity"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/pause"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record"
)

func newIdentityTimes(s *settings.Settings) identity.Times {
	return identity.Times{
		Retention: s.Identity.Retention.D(), MaxRun: gateway.DefaultConfig().DefaultTimeout, MaxListAge: s.Identity.MaxLogStaleness.D(),
		MinMembers: s.Identity.MinMembers,
	}
}

func newIdentityStore(s *settings.Settings, clock port.Clock) *identity.Store {
	return identity.NewStore(clock, identity.Limits{
		Entries: s.Identity.MaxEntries, BodyBytes: s.Identity.MaxBytes, Retention: s.Identity.Retention.D(),
	})
}

func newIdentityClient(c *peer.Client) *identitypeer.Client {
	return &identitypeer.Client{Dial: func(_ context.Context, address string) (peerpb.DRPCPeerClient, error) {
		return c.To(address), nil
	}}
}

func newIdentityTracker(clock port.Clock, times identity.Times) *identitypeer.Tracker {
	return identitypeer.NewTracker(clock, times, false)
}

func newClaimer(
	self port.Instance, store *identity.Store, client *identitypeer.Client, tracker *identitypeer.Tracker,
	times identity.Times, clock port.Clock,
) *identity.Claimer {
	return &identity.Claimer{
		Self: self.ID, Store: store, Peers: client, Clock: clock, Lists: tracker.Lists, MaxRun: times.MaxRun,
	}
}

// memberHistory passes every list of eligible instances on the log to the tracker.
// The eligible instances own the request identities.
type memberHistory struct {
	self     port.Instance
	tracker  *identitypeer.Tracker
	client   *identitypeer.Client
	observer *observer.Observer
}

func newMemberHistory(
	self port.Instance, t *identitypeer.Tracker, c *identitypeer.Client, o *observer.Observer,
) *memberHistory {
	return &memberHistory{self: self, tracker: t, client: c, observer: o}
}

// stateImported records the list of a state that wasn't built from records here
// but imported. The state before the first record has no earlier lists.
func (m *memberHistory) stateImported(state *fold.State) {
	if state.Through() == 0 {
		m.tracker.Import(identity.FormerLists{})
		return
	}
	m.tracker.Observe(state.Through(), eligibleMembers(state))
}

// recordApplied records the list after every membership change, so that the
// tracker misses none even if the next change follows at once.
func (m *memberHistory) recordApplied(r port.Record, v fold.Verdict, state *fold.State) {
	if v.Kind != fold.KindMember || !v.Accepted {
		return
	}
	decoded, err := record.Unmarshal(r.Payload)
	if err != nil {
		return // a record that can't be decoded is never accepted
	}
	if member := decoded.GetMember(); !member.GetEligible() && member.GetHandedOverBase() > 0 {
		m.tracker.HandOver(port.InstanceID(member.GetInstance()), port.Offset(member.GetHandedOverBase()))
	}
	m.tracker.Observe(r.Offset, eligibleMembers(state))
}

func eligibleMembers(state *fold.State) []identity.Member {
	var all []identity.Member
	for _, zone := range state.Zones() {
		for _, m := range state.Zone(zone).Members {
			all = append(all, identity.Member{ID: m.Instance, Zone: zone, PeerAddress: m.PeerAddress})
		}
	}
	return all
}

// historyRetryInterval is the interval between attempts to fetch the lists from
// before this instance started.
const historyRetryInterval = 500 * time.Millisecond

// run fetches the earlier lists from other instances until the history is
// complete or ctx ends.
func (m *memberHistory) run(ctx context.Context) error {
	for !m.tracker.Complete() {
		for _, i := range m.observer.View().Instances {
			if i.Alive && i.Instance.ID != m.self.ID && i.Instance.PeerAddress != "" && m.tracker.Version() > 0 &&
				m.client.FetchMembers(ctx, i.Instance.PeerAddress, m.tracker) == nil {
				return nil
			}
		}
		if !pause.For(ctx, historyRetryInterval) {
			return nil
		}
	}
	return nil
}
