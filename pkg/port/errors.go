package port

import "github.com/go-faster/errors"

// The errors of every port. Adapters wrap them; callers test with errors.Is.
var (
	// ErrNotSent means that the call never reached the server. It had no effect.
	ErrNotSent = errors.New("not sent")
	// ErrRefused means that the server rejected the call. It had no effect.
	ErrRefused = errors.New("refused")
	// ErrUnknownOutcome means that it is unknown whether the call took effect or
	// will still take effect.
	ErrUnknownOutcome = errors.New("outcome unknown")
	// ErrTruncated means that the log no longer retains the requested records.
	ErrTruncated = errors.New("log truncated")
	// ErrFenced means that the server has seen a higher fencing token.
	ErrFenced = errors.New("fencing number too old")
	// ErrNoMemory means that the server has too little free accelerator memory
	// for the load.
	ErrNoMemory = errors.New("no accelerator memory")
	// ErrNotSupported means that the server doesn't support the call.
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
