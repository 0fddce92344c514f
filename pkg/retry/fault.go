package retry

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// Fault is how an attempt failed, as far as it matters for what follows.
type Fault uint8

// The faults.
const (
	// FaultNone: the answer is whole.
	FaultNone Fault = iota
	// FaultNotSent: no byte of the request reached the server, as when the
	// connection was refused.
	FaultNotSent
	// FaultRefused: the server says that it did nothing.
	FaultRefused
	// FaultBeforeFirstByte: the connection broke after the request was sent and
	// before the answer began.
	FaultBeforeFirstByte
	// FaultAfterFirstByte: the connection broke, or stalled, within the answer.
	FaultAfterFirstByte
	// FaultTimeout: the answer didn't begin in time.
	FaultTimeout
	// FaultServerError: a whole answer says that the server failed.
	FaultServerError
	// FaultCanceled: the caller has gone.
	FaultCanceled
)

// String names the fault for logs and metrics.
func (f Fault) String() string {
	names := [...]string{"none", "not_sent", "refused", "before_first_byte",
		"after_first_byte", "timeout", "server_error", "canceled"}
	if int(f) < len(names) {
		return names[f]
	}
	return "unknown"
}

// NeverRan reports whether the fault proves that the attempt did not run.
func (f Fault) NeverRan() bool { return f == FaultNotSent || f == FaultRefused }

// Classify finds the fault of an attempt whose error isn't nil. firstByte says
// that the answer had begun: from then on no error proves that nothing ran.
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
