package fold

import "github.com/go-faster/errors"

// The errors of this package.
var (
	// ErrMalformedState: an encoded state can't be decoded.
	ErrMalformedState = errors.New("malformed state")
	// ErrGap: the log no longer retains the records that follow the state, and no
	// snapshot closes the gap.
	ErrGap = errors.New("gap in the log")
	// ErrRegressed: the log ends before the folded offset. The state is unchanged,
	// and no decision is made until the end of the log has passed that offset.
	ErrRegressed = errors.New("log ends before the folded offset")
)
