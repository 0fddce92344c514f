package routing

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

// The errors of Pick.
var (
	// ErrUnknownModel: neither the catalogue nor any server names the model, or
	// no server belongs to the service.
	ErrUnknownModel = errors.New("unknown model")
	// ErrNoReplica: the model is known, but no server that may be used holds it
	// ready.
	ErrNoReplica = errors.New("no ready replica")
	// ErrNoCapacity: every server that may be used is at its limit. The error is
	// a *CapacityError.
	ErrNoCapacity = errors.New("no capacity")
)

// CapacityError is ErrNoCapacity with an estimate of when to try again.
type CapacityError struct {
	RetryAfter time.Duration
}

// Error names the estimate.
func (e *CapacityError) Error() string {
	return fmt.Sprintf("no capacity, retry after %v", e.RetryAfter)
}

// Is makes the error match ErrNoCapacity.
func (*CapacityError) Is(target error) bool { return target == ErrNoCapacity }
