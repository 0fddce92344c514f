package record

import (
	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/record/recordpb"
)

// Bounds on the fields of a record.
const (
	// MaxNameBytes bounds the size of ids, names and addresses, in bytes.
	MaxNameBytes = 256
	// MaxTextBytes bounds the size of messages for operators, in bytes.
	MaxTextBytes = 1024
	// MaxCopies bounds the number of intent copies in a claim.
	MaxCopies = 16384
	// MaxSuspectEpochs bounds the number of epochs that a claim names as doubtful.
	MaxSuspectEpochs = 64
	// MaxDocumentBytes bounds the size of a targets document, in bytes.
	MaxDocumentBytes = 1 << 20
)

func check(r *recordpb.Record) error {
	switch {
	case r == nil:
		return errors.Wrap(ErrMalformed, "no record")
	case !isName(r.Id):
		return errors.Wrap(ErrMalformed, "record id is empty or too long")
	case len(r.Zone) > MaxNameBytes || len(r.Instance) > MaxNameBytes:
		return errors.Wrap(ErrMalformed, "writer")
	}
	switch b := r.Body.(type) {
	case *recordpb.Record_Claim:
		return checkClaim(r, b.Claim)
	case *recordpb.Record_Intent:
		return checkOwnIntent(r, b.Intent)
	case *recordpb.Record_Outcome:
		return checkOutcome(r, b.Outcome)
	case *recordpb.Record_Member:
		return checkMember(r, b.Member)
	case *recordpb.Record_Release:
		return checkWriter(r, b.Release != nil && b.Release.Epoch > 0, "release")
	case *recordpb.Record_Targets:
		return checkTargets(b.Targets)
	case *recordpb.Record_Snapshot:
		return checkSnapshot(b.Snapshot)
	default:
		return errors.Wrap(ErrUnknownBody, r.Id)
	}
}

func checkWriter(r *recordpb.Record, valid bool, what string) error {
	if !valid || !isName(r.Zone) || !isName(r.Instance) {
		return errors.Wrap(ErrMalformed, what)
	}
	return nil
}

func checkClaim(r *recordpb.Record, c *recordpb.Claim) error {
	if err := checkWriter(r, c != nil && c.Supersedes >= 0, "claim"); err != nil {
		return err
	}
	if len(c.Copies) > MaxCopies {
		return errors.Wrapf(ErrMalformed, "claim with %d copies", len(c.Copies))
	}
	if len(c.Doubtful) > MaxSuspectEpochs {
		return errors.Wrapf(ErrMalformed, "claim with %d suspect epochs", len(c.Doubtful))
	}
	for _, i := range c.Copies {
		if err := checkOwnIntent(r, i); err != nil {
			return errors.Wrap(err, "copy")
		}
	}
	return nil
}

func checkOwnIntent(r *recordpb.Record, i *recordpb.Intent) error {
	if err := checkIntent(i); err != nil {
		return err
	}
	return checkWriter(r, i.Zone == r.Zone, "zone of intent")
}

func checkIntent(i *recordpb.Intent) error {
	switch {
	case i == nil:
		return errors.Wrap(ErrMalformed, "no intent")
	case i.Kind != recordpb.Intent_KIND_LOAD && i.Kind != recordpb.Intent_KIND_UNLOAD:
		return errors.Wrapf(ErrMalformed, "unknown kind of intent %d", i.Kind)
	case !isName(i.Id) || !isName(i.Zone) || !isName(i.Model) || !isName(i.Server):
		return errors.Wrap(ErrMalformed, "a name in the intent is empty or too long")
	case len(i.Base) > MaxNameBytes || len(i.Incarnation) > MaxNameBytes || len(i.Reason) > MaxTextBytes:
		return errors.Wrap(ErrMalformed, "a text in the intent is too long")
	case i.Epoch <= 0 || i.Bytes < 0:
		return errors.Wrap(ErrMalformed, "epoch or size of the intent is out of range")
	}
	return nil
}

func checkOutcome(r *recordpb.Record, o *recordpb.Outcome) error {
	valid := o != nil && isName(o.IntentId) && o.Epoch > 0 && len(o.Detail) <= MaxTextBytes &&
		o.Result >= recordpb.Outcome_RESULT_LOADED && o.Result <= recordpb.Outcome_RESULT_LOST
	return checkWriter(r, valid, "outcome")
}

func checkMember(r *recordpb.Record, m *recordpb.Member) error {
	valid := m != nil && isName(m.Instance) && len(m.PeerAddress) <= MaxNameBytes
	return checkWriter(r, valid, "member")
}

func checkTargets(t *recordpb.Targets) error {
	if t == nil || t.Base < 0 || len(t.Publisher) > MaxNameBytes || len(t.Document) > MaxDocumentBytes {
		return errors.Wrap(ErrMalformed, "targets")
	}
	return nil
}

func checkSnapshot(s *recordpb.Snapshot) error {
	if s == nil || s.Through < 0 {
		return errors.Wrap(ErrMalformed, "snapshot")
	}
	return nil
}

func isName(s string) bool { return s != "" && len(s) <= MaxNameBytes }
