package fold

import (
	"slices"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record/recordpb"
)

// Bounds on the state.
const (
	// MaxZones bounds the number of availability zones.
	MaxZones = 256
	// maxAccepted is the number of accepted publishes that are retained.
	maxAccepted = 1024
)

// Validate validates a targets document. It must be deterministic: the same
// bytes give the same result at every instance.
type Validate func(document []byte) error

type acceptedPublish struct {
	recordID string
	version  port.Offset
}

// State is the fold of a prefix of the log. Only one goroutine can modify it at
// a time. A Clone that is no longer modified or cloned can be read concurrently.
type State struct {
	validate  Validate
	through   port.Offset
	zones     map[port.Zone]*zone
	version   port.Offset
	document  []byte
	publisher string
	accepted  []acceptedPublish
}

// New returns the fold of the empty prefix. A nil validate accepts every
// document.
func New(validate func(document []byte) error) *State {
	if validate == nil {
		validate = func([]byte) error { return nil }
	}
	return &State{validate: validate, zones: map[port.Zone]*zone{}}
}

// Clone returns an independent copy. Its cost depends on the number of zones,
// not on the number of intents, which are copied on write. Clone must not run
// concurrently with any other call on s.
func (s *State) Clone() *State {
	c := *s
	c.zones = make(map[port.Zone]*zone, len(s.zones))
	for name, z := range s.zones {
		c.zones[name] = z.clone()
	}
	return &c
}

// Through returns the offset of the last folded record.
func (s *State) Through() port.Offset { return s.through }

// Zone returns the state of a zone, or the zero view if no record names it.
func (s *State) Zone(name port.Zone) ZoneView {
	if z, ok := s.zones[name]; ok {
		return z.view()
	}
	return ZoneView{}
}

// Zones returns the names of the known zones in sorted order.
func (s *State) Zones() []port.Zone {
	names := make([]port.Zone, 0, len(s.zones))
	for name := range s.zones {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Targets returns the accepted configuration; version zero if there is none. The
// document must not be modified.
func (s *State) Targets() (version port.Offset, document []byte) { return s.version, s.document }

// Publisher returns the name of the publisher of the accepted configuration.
func (s *State) Publisher() string { return s.publisher }

// AcceptedVersion returns the version under which the publish with the given
// record id was accepted. Only recent publishes are retained.
func (s *State) AcceptedVersion(recordID string) (port.Offset, bool) {
	for _, a := range slices.Backward(s.accepted) {
		if a.recordID == recordID {
			return a.version, true
		}
	}
	return 0, false
}

// Apply folds the next record of the log.
func (s *State) Apply(r port.Record) Verdict {
	switch {
	case r.Offset <= s.through:
		return reject(KindUnknown, ReasonOld)
	case r.Offset > s.through+1:
		return reject(KindUnknown, ReasonGap)
	}
	s.through = r.Offset
	decoded, err := record.Unmarshal(r.Payload)
	if err != nil {
		return reject(KindUnknown, ReasonMalformed)
	}
	return s.fold(r.Offset, decoded)
}

func (s *State) fold(at port.Offset, r *recordpb.Record) Verdict {
	switch b := r.Body.(type) {
	case *recordpb.Record_Targets:
		return s.foldTargets(at, r.Id, b.Targets)
	case *recordpb.Record_Snapshot:
		return reject(KindSnapshot, ReasonIgnored)
	case *recordpb.Record_Member:
		return s.foldMember(at, port.Zone(r.Zone), b.Member)
	}
	z, ok := s.zones[port.Zone(r.Zone)]
	if !ok {
		z = newZone()
	}
	switch b := r.Body.(type) {
	case *recordpb.Record_Claim:
		return z.foldClaim(at, port.InstanceID(r.Instance), b.Claim)
	case *recordpb.Record_Intent:
		return z.foldIntent(at, b.Intent)
	case *recordpb.Record_Outcome:
		return z.foldOutcome(b.Outcome)
	case *recordpb.Record_Release:
		return z.foldRelease(b.Release)
	}
	return reject(KindUnknown, ReasonMalformed)
}
