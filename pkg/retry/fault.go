package retry

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// Fault classifies how an attempt failed.
type Fault uint8

// The faults.
const (
	// FaultNone means that the answer is complete.
	FaultNone Fault = iota
	// FaultNotSent means that no byte of the request reached the server, for example
	// because the connection was refused.
	FaultNotSent
	// FaultRefused means that the server stated that it did not execute the request.
	FaultRefused
	// FaultBeforeFirstByte means that the connection broke after the request was sent and
	// before the first byte of the answer.
	FaultBeforeFirstByte
	// FaultAfterFirstByte means that the connection broke or stalled within the answer.
	FaultAfterFirstByte
	// FaultTimeout means that the answer did not begin in time.
	FaultTimeout
	// FaultServerError means that a complete answer reported a server error.
	FaultServerError
	// FaultCanceled means that the caller canceled the request.
	FaultCanceled
)

// String returns the name of the fault in logs and metrics.
func (f Fault) String() string {
	names := [...]string{"none", "not_sent", "refused", "before_first_byte",
		"after_first_byte", "timeout", "server_error", "canceled"}
	if int(f) < len(names) {
		return names[f]
	}
	return "unknown"
}

// NeverRan reports whether the fault proves that the attempt was not executed.
func (f Fault) NeverRan() bool { return f == FaultNotSent || f == FaultRefused }

// Classify returns the fault of an attempt that failed with err, which must not be nil.
// The argument firstByte means that the answer had begun; from then on no error proves
// that the request was not executed.
func Classify(err error, firstByte bool) Fault {
	switch {
	case errors.Is(err, context.Canceled):
		return FaultCanceled
	case firstByte:
		return FaultAfterFirstByte
	case errors.Is(err, port.ErrNotSent):
		return FaultNotSent
	case port.HadNoEffect(err):
		return FaultRefused
	case isTimeout(err):
		return FaultTimeout
	default:
		return FaultBeforeFirstByte
	}
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &t) && t.Timeout()
}
