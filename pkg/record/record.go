package record

import (
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record/recordpb"
)

// MaxBytes bounds the size of an encoded record, in bytes.
const MaxBytes = 8 << 20

// Body is the set of record bodies.
type Body interface {
	*recordpb.Claim | *recordpb.Intent | *recordpb.Outcome | *recordpb.Member |
		*recordpb.Release | *recordpb.Targets | *recordpb.Snapshot
}

// New returns a record with a new unique id and the current wall clock.
func New[B Body](zone port.Zone, instance port.InstanceID, body B) *recordpb.Record {
	r := NewWithID(uuid.NewString(), zone, instance, body)
	r.WallMs = time.Now().UnixMilli()
	return r
}

// NewWithID returns a record with the given id, which must be unique among all
// records, and without a wall clock. It is meant for deterministic code.
func NewWithID[B Body](id string, zone port.Zone, instance port.InstanceID, body B) *recordpb.Record {
	r := &recordpb.Record{Id: id, Zone: string(zone), Instance: string(instance)}
	switch b := any(body).(type) {
	case *recordpb.Claim:
		r.Body = &recordpb.Record_Claim{Claim: b}
	case *recordpb.Intent:
		r.Body = &recordpb.Record_Intent{Intent: b}
	case *recordpb.Outcome:
		r.Body = &recordpb.Record_Outcome{Outcome: b}
	case *recordpb.Member:
		r.Body = &recordpb.Record_Member{Member: b}
	case *recordpb.Release:
		r.Body = &recordpb.Record_Release{Release: b}
	case *recordpb.Targets:
		r.Body = &recordpb.Record_Targets{Targets: b}
	case *recordpb.Snapshot:
		r.Body = &recordpb.Record_Snapshot{Snapshot: b}
	}
	return r
}

// Marshal validates and encodes a record. The encoding is deterministic. It
// returns ErrMalformed, ErrUnknownBody or ErrTooLarge.
func Marshal(r *recordpb.Record) ([]byte, error) {
	if err := check(r); err != nil {
		return nil, err
	}
	payload, err := proto.MarshalOptions{Deterministic: true}.Marshal(r)
	if err != nil {
		return nil, errors.Wrapf(ErrMalformed, "encode: %v", err)
	}
	if len(payload) > MaxBytes {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes", len(payload))
	}
	return payload, nil
}

// Unmarshal decodes and validates a payload of the log. It returns ErrTooLarge,
// ErrMalformed or ErrUnknownBody.
func Unmarshal(payload []byte) (*recordpb.Record, error) {
	if len(payload) > MaxBytes {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes", len(payload))
	}
	r := &recordpb.Record{}
	if err := (proto.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(payload, r); err != nil {
		return nil, errors.Wrapf(ErrMalformed, "decode: %v", err)
	}
	if err := check(r); err != nil {
		return nil, err
	}
	return r, nil
}
