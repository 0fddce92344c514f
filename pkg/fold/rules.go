package fold

import (
	"slices"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record/recordpb"
)

func (s *State) foldTargets(at port.Offset, id string, t *recordpb.Targets) Verdict {
	if _, ok := s.AcceptedVersion(id); ok {
		return reject(KindTargets, ReasonDuplicate)
	}
	if port.Offset(t.Base) != s.version {
		return reject(KindTargets, ReasonBase)
	}
	if s.validate(t.Document) != nil {
		return reject(KindTargets, ReasonInvalid)
	}
	s.version, s.document, s.publisher = at, t.Document, t.Publisher
	start := max(0, len(s.accepted)+1-maxAccepted)
	kept := make([]acceptedPublish, 0, len(s.accepted)+1-start)
	kept = append(kept, s.accepted[start:]...)
	s.accepted = append(kept, acceptedPublish{recordID: id, version: at})
	return accept(KindTargets)
}

func (s *State) foldMember(at port.Offset, name port.Zone, m *recordpb.Member) Verdict {
	z, ok := s.zones[name]
	if !ok {
		if !m.Eligible {
			return reject(KindMember, ReasonDuplicate)
		}
		if len(s.zones) >= MaxZones {
			return reject(KindMember, ReasonFull)
		}
		z = newZone()
		s.zones[name] = z
	}
	id := port.InstanceID(m.Instance)
	i, found := search(z.members, id)
	switch {
	case !m.Eligible && !found:
		return reject(KindMember, ReasonDuplicate)
	case !m.Eligible:
		z.members = slices.Delete(slices.Clone(z.members), i, i+1)
	case found:
		z.members = slices.Clone(z.members)
		z.members[i].PeerAddress = m.PeerAddress
	case len(z.members) >= MaxMembers:
		return reject(KindMember, ReasonFull)
	default:
		joined := Member{Instance: id, PeerAddress: m.PeerAddress, Since: at}
		z.members = slices.Insert(slices.Clone(z.members), i, joined)
	}
	return accept(KindMember)
}

func (z *zone) foldClaim(at port.Offset, claimant port.InstanceID, c *recordpb.Claim) Verdict {
	if !contains(z.members, claimant) {
		return reject(KindClaim, ReasonNotMember)
	}
	if port.Epoch(c.Supersedes) != z.epoch {
		return reject(KindClaim, ReasonEpoch)
	}
	z.foldCopies(at, c.Copies)
	z.foldSuspects(c.Doubtful)
	z.epoch, z.holder, z.released = at, claimant, false
	z.copyHolders = z.members
	return accept(KindClaim)
}

// foldSuspects retains the suspect epochs, including the epoch that ends, that
// the claim names as doubtful.
func (z *zone) foldSuspects(named []int64) {
	var suspects []SuspectEpoch
	for _, d := range append(slices.Clip(z.suspects), SuspectEpoch{Epoch: z.epoch, CopyHolders: z.copyHolders}) {
		if d.Epoch > 0 && slices.Contains(named, int64(d.Epoch)) {
			suspects = append(suspects, d)
		}
	}
	z.suspects = suspects
}

// foldCopies opens the copied intents of the epoch that ends. Loads come first,
// because an unload among the copies proves that its load was loaded.
func (z *zone) foldCopies(at port.Offset, copies []*recordpb.Intent) {
	var unloads []record.Intent
	for _, c := range copies {
		i, err := record.IntentFromProto(c)
		if err != nil || i.Epoch != z.epoch || z.isKnown(i.ID) {
			continue
		}
		if i.Kind == port.OrderUnload {
			unloads = append(unloads, i)
			continue
		}
		z.openIntent(i, at)
	}
	for _, u := range unloads {
		if z.isKnown(u.ID) {
			continue
		}
		for _, l := range z.intentsFor(u.Server, u.Model) {
			if l.Kind == port.OrderLoad {
				z.setLoaded(l)
			}
		}
		z.openIntent(u, at)
	}
}

func (z *zone) isKnown(id string) bool {
	_, open := z.intent(id)
	return open || z.isClosed(id)
}

func (z *zone) foldIntent(at port.Offset, p *recordpb.Intent) Verdict {
	i, err := record.IntentFromProto(p)
	switch {
	case err != nil:
		return reject(KindIntent, ReasonMalformed)
	case i.Epoch != z.epoch:
		return reject(KindIntent, ReasonEpoch)
	case z.isKnown(i.ID):
		return reject(KindIntent, ReasonDuplicate)
	}
	existing := z.intentsFor(i.Server, i.Model)
	if i.Kind == port.OrderLoad && len(existing) > 0 {
		return reject(KindIntent, ReasonOccupied)
	}
	if i.Kind == port.OrderUnload {
		loaded := false
		for _, t := range existing {
			if t.Kind == port.OrderUnload {
				return reject(KindIntent, ReasonOccupied)
			}
			loaded = loaded || t.Loaded
		}
		if !loaded {
			return reject(KindIntent, ReasonNotLoaded)
		}
	}
	z.openIntent(i, at)
	return accept(KindIntent)
}

func (z *zone) foldOutcome(o *recordpb.Outcome) Verdict {
	if port.Epoch(o.Epoch) != z.epoch {
		return reject(KindOutcome, ReasonEpoch)
	}
	i, ok := z.intent(o.IntentId)
	if !ok {
		return reject(KindOutcome, ReasonNotOpen)
	}
	loaded := o.Result == recordpb.Outcome_RESULT_LOADED
	switch {
	case i.Kind == port.OrderLoad && loaded && i.Loaded:
		return reject(KindOutcome, ReasonDuplicate)
	case i.Kind == port.OrderLoad && loaded:
		z.setLoaded(i)
	case i.Kind == port.OrderUnload && !loaded:
		z.closeUnload(i)
	default:
		z.closeIntent(i)
	}
	return accept(KindOutcome)
}

// closeUnload closes an unload and the loaded loads of its model and server.
func (z *zone) closeUnload(u *IntentState) {
	for _, l := range z.intentsFor(u.Server, u.Model) {
		if l.Kind == port.OrderLoad && l.Loaded {
			z.closeIntent(l)
		}
	}
	z.closeIntent(u)
}

func (z *zone) foldRelease(r *recordpb.Release) Verdict {
	if port.Epoch(r.Epoch) != z.epoch {
		return reject(KindRelease, ReasonEpoch)
	}
	if z.released {
		return reject(KindRelease, ReasonDuplicate)
	}
	z.released = true
	return accept(KindRelease)
}
