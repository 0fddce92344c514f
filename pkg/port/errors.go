package port

import "github.com/go-faster/errors"

// The errors of every port. Adapters wrap them; callers test with errors.Is.
var (
	// ErrNotSent: the call never reached the other side and had no effect.
	ErrNotSent = errors.New("not sent")
	// ErrRefused: the other side answered that it did nothing.
	ErrRefused = errors.New("refused")
	// ErrUnknownOutcome: the call may or may not have had its effect, or may
	// still have it.
	ErrUnknownOutcome = errors.New("outcome unknown")
	// ErrTruncated: the log no longer keeps the records asked for.
	ErrTruncated = errors.New("log truncated")
	// ErrFenced: the server has seen a higher fencing number.
	ErrFenced = errors.New("fencing number too old")
	// ErrNoMemory: the server has no room for the load.
	ErrNoMemory = errors.New("no accelerator memory")
	// ErrNotSupported: the server doesn't offer the call.
	ErrNotSupported = errors.New("not supported")
)

// HadNoEffect reports whether err proves that the call had no effect.
func HadNoEffect(err error) bool {
	for _, target := range []error{ErrNotSent, ErrRefused, ErrFenced, ErrNoMemory, ErrNotSupported} {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}
