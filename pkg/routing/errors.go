package routing

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

// The errors that Router.Pick returns.
var (
	// ErrUnknownModel means that neither the catalogue nor any server lists the model, or
	// that no server belongs to the service.
	ErrUnknownModel = errors.New("unknown model")
	// ErrNoReplica means that the model is known, but ready on no server that can be
	// used.
	ErrNoReplica = errors.New("no ready replica")
	// ErrNoCapacity means that every server that can be used is at its limit. The error
	// is a *CapacityError.
	ErrNoCapacity = errors.New("no capacity")
)

// CapacityError is an ErrNoCapacity with an estimate of when a slot becomes free.
type CapacityError struct {
	RetryAfter time.Duration
}

// Error implements error.
func (e *CapacityError) Error() string {
	return fmt.Sprintf("no capacity, retry after %v", e.RetryAfter)
}

// Is reports whether target is ErrNoCapacity.
func (*CapacityError) Is(target error) bool { return target == ErrNoCapacity }
