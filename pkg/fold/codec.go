package fold

import (
	"slices"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record/recordpb"
)

// Encode returns a deterministic encoding of the state. Equal states have equal
// encodings.
func (s *State) Encode() []byte {
	p := &recordpb.State{
		Through: int64(s.through), TargetsVersion: int64(s.version),
		TargetsDocument: s.document, TargetsPublisher: s.publisher,
	}
	for _, name := range s.Zones() {
		p.Zones = append(p.Zones, encodeZone(name, s.zones[name]))
	}
	for _, a := range s.accepted {
		p.Accepted = append(p.Accepted, &recordpb.AcceptedPublish{RecordId: a.recordID, Version: int64(a.version)})
	}
	// Marshal fails only on strings that aren't valid UTF-8, and every string here
	// comes from a decoded message.
	encoded, _ := proto.MarshalOptions{Deterministic: true}.Marshal(p)
	return encoded
}

func encodeZone(name port.Zone, z *zone) *recordpb.ZoneState {
	p := &recordpb.ZoneState{
		Zone: string(name), Epoch: int64(z.epoch), Holder: string(z.holder), Released: z.released,
		Members: encodeMembers(z.members), CopyHolders: encodeMembers(z.copyHolders), Closed: z.closed,
	}
	for _, d := range z.suspects {
		p.Doubts = append(p.Doubts, &recordpb.Doubt{Epoch: int64(d.Epoch), CopyHolders: encodeMembers(d.CopyHolders)})
	}
	z.byID.Scan(func(i *IntentState) bool {
		p.Intents = append(p.Intents, &recordpb.IntentState{
			Intent: i.Proto(), Offset: int64(i.Offset), Loaded: i.Loaded,
		})
		return true
	})
	return p
}

func encodeMembers(members []Member) []*recordpb.MemberState {
	encoded := make([]*recordpb.MemberState, len(members))
	for i, m := range members {
		encoded[i] = &recordpb.MemberState{
			Instance: string(m.Instance), PeerAddress: m.PeerAddress, Since: int64(m.Since),
		}
	}
	return encoded
}

// Decode returns the state that Encode encoded, or ErrMalformedState. The
// configuration document isn't validated again, because a document that was
// accepted stays accepted.
func Decode(encoded []byte, validate func(document []byte) error) (*State, error) {
	if len(encoded) > record.MaxBytes {
		return nil, errors.Wrapf(ErrMalformedState, "%d bytes", len(encoded))
	}
	p := &recordpb.State{}
	if err := (proto.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(encoded, p); err != nil {
		return nil, errors.Wrapf(ErrMalformedState, "decode: %v", err)
	}
	s := New(validate)
	s.through, s.version = port.Offset(p.Through), port.Offset(p.TargetsVersion)
	s.document, s.publisher = p.TargetsDocument, p.TargetsPublisher
	if s.through < 0 || s.version < 0 || s.version > s.through ||
		len(p.Zones) > MaxZones || len(p.Accepted) > maxAccepted {
		return nil, errors.Wrap(ErrMalformedState, "out of range")
	}
	for _, a := range p.Accepted {
		s.accepted = append(s.accepted, acceptedPublish{recordID: a.GetRecordId(), version: port.Offset(a.GetVersion())})
	}
	for _, zp := range p.Zones {
		name := port.Zone(zp.GetZone())
		z, err := decodeZone(zp, s.through)
		if err != nil {
			return nil, errors.Wrapf(err, "zone %q", name)
		}
		if _, twice := s.zones[name]; twice || name == "" {
			return nil, errors.Wrapf(ErrMalformedState, "zone %q", name)
		}
		s.zones[name] = z
	}
	return s, nil
}

func decodeZone(p *recordpb.ZoneState, through port.Offset) (*zone, error) {
	z := newZone()
	z.epoch, z.holder, z.released = port.Epoch(p.Epoch), port.InstanceID(p.Holder), p.Released
	z.closed = slices.Clip(p.Closed)
	if z.epoch < 0 || z.epoch > through || len(z.closed) > maxClosed {
		return nil, errors.Wrap(ErrMalformedState, "out of range")
	}
	var err error
	if z.members, err = decodeMembers(p.Members); err != nil {
		return nil, err
	}
	if z.copyHolders, err = decodeMembers(p.CopyHolders); err != nil {
		return nil, err
	}
	if z.suspects, err = decodeSuspects(p.Doubts, z.epoch); err != nil {
		return nil, err
	}
	for _, ip := range p.Intents {
		i, err := record.IntentFromProto(ip.GetIntent())
		if err != nil {
			return nil, errors.Wrapf(ErrMalformedState, "intent: %v", err)
		}
		if _, twice := z.intent(i.ID); twice || string(i.Zone) != p.Zone || i.Epoch > z.epoch {
			return nil, errors.Wrapf(ErrMalformedState, "intent %q", i.ID)
		}
		z.insert(&IntentState{Intent: intern(i), Offset: port.Offset(ip.Offset), Loaded: ip.Loaded})
	}
	return z, nil
}

func decodeSuspects(encoded []*recordpb.Doubt, before port.Epoch) ([]SuspectEpoch, error) {
	if len(encoded) > record.MaxSuspectEpochs {
		return nil, errors.Wrap(ErrMalformedState, "doubts")
	}
	var suspects []SuspectEpoch
	last := port.Epoch(0)
	for _, p := range encoded {
		members, err := decodeMembers(p.GetCopyHolders())
		if err != nil {
			return nil, err
		}
		d := SuspectEpoch{Epoch: port.Epoch(p.GetEpoch()), CopyHolders: members}
		if d.Epoch <= last || d.Epoch >= before {
			return nil, errors.Wrapf(ErrMalformedState, "suspect epoch %d out of order", d.Epoch)
		}
		suspects, last = append(suspects, d), d.Epoch
	}
	return suspects, nil
}

func decodeMembers(encoded []*recordpb.MemberState) ([]Member, error) {
	if len(encoded) > MaxMembers {
		return nil, errors.Wrap(ErrMalformedState, "members")
	}
	var members []Member
	for _, p := range encoded {
		m := Member{Instance: port.InstanceID(p.GetInstance()), PeerAddress: p.GetPeerAddress(), Since: port.Offset(p.GetSince())}
		if n := len(members); m.Instance == "" || n > 0 && members[n-1].Instance >= m.Instance {
			return nil, errors.Wrapf(ErrMalformedState, "member %q", m.Instance)
		}
		members = append(members, m)
	}
	return members, nil
}
