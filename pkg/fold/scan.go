package fold

import (
	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record/recordpb"
)

// Scan searches the retained records for a snapshot to start from. It holds at
// most two states in memory, regardless of the length of the log.
type Scan struct {
	validate Validate
	newest   *State
	first    *State
	firstAt  port.Offset
}

// NewScan returns a scan that has observed no record.
func NewScan(validate func(document []byte) error) *Scan { return &Scan{validate: validate} }

// Observe processes the next retained record. Records that aren't valid
// snapshots are ignored.
func (s *Scan) Observe(r port.Record) {
	decoded, err := record.Unmarshal(r.Payload)
	if err != nil {
		return
	}
	body, ok := decoded.Body.(*recordpb.Record_Snapshot)
	if !ok {
		return
	}
	state, err := Decode(body.Snapshot.State, s.validate)
	if err != nil || state.through != port.Offset(body.Snapshot.Through) || state.through >= r.Offset {
		return
	}
	if s.first == nil {
		s.first, s.firstAt = state, r.Offset
	}
	if s.newest == nil || state.through > s.newest.through {
		s.newest = state
	}
}

// Newest returns the newest state that the retained records, whose first offset
// is oldest, continue without a gap. That is the state of a snapshot, or the
// empty state if no record was truncated yet. It returns ErrGap if there is
// none. The caller then folds the records after the state's Through, which it
// may have to read again.
func (s *Scan) Newest(oldest port.Offset) (*State, error) {
	if s.newest != nil && s.newest.through+1 >= oldest {
		return s.newest.Clone(), nil
	}
	if oldest <= 1 {
		return New(s.validate), nil
	}
	return nil, errors.Wrapf(ErrGap, "oldest record %d", oldest)
}

// Rebase returns the state to continue from when no instance has a state that
// the retained records continue: that of the first snapshot in the log, as if
// folded through the offset of the snapshot record. If own, which can be nil,
// has a newer configuration, that one is retained. Without a snapshot it returns
// ErrGap. Instances then append snapshots of their own states, and the first in
// the log is the base for all of them.
func (s *Scan) Rebase(own *State) (*State, error) {
	if s.first == nil {
		return nil, errors.Wrap(ErrGap, "no snapshot")
	}
	state := s.first.Clone()
	state.through = s.firstAt
	if own != nil && own.version > state.version {
		state.version, state.document, state.publisher = own.version, own.document, own.publisher
		state.accepted = own.accepted
	}
	return state, nil
}

// Bootstrap folds the retained records, which start at the offset oldest, onto
// the newest state that they continue. It returns ErrGap if there is none.
func Bootstrap(records []port.Record, oldest port.Offset, validate func(document []byte) error) (*State, error) {
	scan := NewScan(validate)
	for _, r := range records {
		scan.Observe(r)
	}
	state, err := scan.Newest(oldest)
	if err != nil {
		return nil, err
	}
	for _, r := range records {
		if state.Apply(r).Reason == ReasonGap {
			return nil, errors.Wrapf(ErrGap, "at %d", r.Offset)
		}
	}
	return state, nil
}

// CheckBounds compares the state with the bounds of the log that a read
// returned. It returns ErrGap if records after the state were truncated, and
// ErrRegressed if the log ends before the folded offset.
func (s *State) CheckBounds(oldest, end port.Offset) error {
	if oldest > s.through+1 {
		return errors.Wrapf(ErrGap, "folded through %d, oldest %d", s.through, oldest)
	}
	if end <= s.through {
		return errors.Wrapf(ErrRegressed, "folded through %d, end %d", s.through, end)
	}
	return nil
}
