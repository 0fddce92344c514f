package port

import (
	"context"
	"net/http"
	"time"
)

// Log is the platform's append-only log service.
type Log interface {
	// Append appends the payloads in order as consecutive records and returns the
	// offset of the first. ErrUnknownOutcome means that it is unknown whether the
	// records have been or will still be appended. Any other error means that they
	// have not been and will not be appended.
	Append(ctx context.Context, payloads [][]byte) (Offset, error)
	// Read returns up to limit records, starting at the offset from. If there is
	// none yet, it is a long poll that waits for a record for up to wait. If from
	// is older than the oldest retained record, Read returns ErrTruncated and a
	// Page with only Oldest and End set.
	Read(ctx context.Context, from Offset, limit int, wait time.Duration) (Page, error)
}

// Engine sends orders to the backend servers that run models, and reads their
// reports.
type Engine interface {
	// Apply executes an order and returns once it is complete: for a load, when
	// the replica is ready; for an unload, when its memory is free. Besides the
	// general errors it returns ErrFenced and ErrNoMemory.
	Apply(ctx context.Context, s Server, o Order) error
	// RaiseFence makes the server refuse every order with a fencing token lower
	// than fence. It returns ErrNotSupported for a server that doesn't check
	// fencing tokens.
	RaiseFence(ctx context.Context, s Server, fence Epoch) error
	// Report reads the current report of the server.
	Report(ctx context.Context, s Server) (Report, error)
}

// Backend forwards requests of callers to backend servers, of engines or plain
// services. ErrNotSent means that no byte of the request reached the server. The
// caller must close the response body. Cancelling ctx cancels the request.
type Backend interface {
	Do(ctx context.Context, s Server, r *http.Request) (*http.Response, error)
}

// WeightStore lists the models that can be loaded.
type WeightStore interface {
	Catalog(ctx context.Context) ([]ModelInfo, error)
}

// LiveList is the platform's lagging list of instances and backend servers.
type LiveList interface {
	List(ctx context.Context) (LiveSet, error)
	// Announce registers the instance in the list for a limited time. It must be
	// repeated for the instance to stay listed.
	Announce(ctx context.Context, i Instance) error
}

// Clock returns the current time. Its values include a monotonic clock reading;
// decisions use only differences between values.
type Clock interface {
	Now() time.Time
}

// SystemClock is the Clock that reads the system time.
type SystemClock struct{}

// Now returns the current time with a monotonic clock reading.
func (SystemClock) Now() time.Time { return time.Now() }
