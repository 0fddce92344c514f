package fold

import "github.com/go-faster/errors"

// The errors of this package.
var (
	// ErrMalformedState: an encoded state can't be decoded.
	ErrMalformedState = errors.New("malformed state")
	// ErrGap: the log no longer keeps the records that follow the state, and no
	// snapshot joins on.
	ErrGap = errors.New("gap in the log")
	// ErrRegressed: the log ends before the folded offset. The state stays as
	// it is; nothing is decided until the log's end has passed that offset.
	ErrRegressed = errors.New("log ends before the folded offset")
)
