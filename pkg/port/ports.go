package port

import (
	"context"
	"net/http"
	"time"
)

// Log is the platform's append-only log service.
type Log interface {
	// Append adds the payloads in order, next to one another, and returns the
	// offset of the first. ErrUnknownOutcome means they may have been added or
	// may still be; any other error means they were not and will not be.
	Append(ctx context.Context, payloads [][]byte) (Offset, error)
	// Read returns up to limit records from the offset on. With none there it
	// waits up to wait for one. ErrTruncated comes with a Page whose bounds are
	// set, when from is older than the oldest record kept.
	Read(ctx context.Context, from Offset, limit int, wait time.Duration) (Page, error)
}

// Engine gives orders to the backend servers that run models, and reads their
// reports.
type Engine interface {
	// Apply returns once the order has taken full effect: a load when the
	// replica is ready, an unload when its memory is free. Besides the general
	// errors it returns ErrFenced and ErrNoMemory.
	Apply(ctx context.Context, s Server, o Order) error
	// RaiseFence makes the server refuse every order with a lower number. A
	// server that doesn't check fencing numbers returns ErrNotSupported.
	RaiseFence(ctx context.Context, s Server, fence Epoch) error
	// Report reads the server's state afresh.
	Report(ctx context.Context, s Server) (Report, error)
}

// Backend carries one request of a caller to a backend server, engine or plain
// service. ErrNotSent means no byte of the request reached the server. The
// response's body must be closed; cancelling ctx cancels the work.
type Backend interface {
	Do(ctx context.Context, s Server, r *http.Request) (*http.Response, error)
}

// WeightStore lists what can be loaded.
type WeightStore interface {
	Catalog(ctx context.Context) ([]ModelInfo, error)
}

// LiveList is the platform's lagging list of instances and backend servers.
type LiveList interface {
	List(ctx context.Context) (LiveSet, error)
	// Announce keeps the instance on the list for a while.
	Announce(ctx context.Context, i Instance) error
}

// Clock tells the time. Readings carry the monotonic clock; only differences
// between readings are used for decisions.
type Clock interface {
	Now() time.Time
}

// SystemClock is the Clock of the process.
type SystemClock struct{}

// Now returns the current time with its monotonic reading.
func (SystemClock) Now() time.Time { return time.Now() }
