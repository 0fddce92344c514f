package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/phuslu/log"
	"go.opentelemetry.io/otel/trace"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/targets"
)

// Errors of Router.Pick.
var (
	// ErrNoReplica means that no backend server that accepts new work has the
	// model ready.
	ErrNoReplica = errors.New("no ready replica")
	// ErrNoCapacity means that every candidate server is at its concurrency
	// limit.
	ErrNoCapacity = errors.New("no capacity")
	// ErrNoBudget means that the retry budget of the service is used up.
	ErrNoBudget = errors.New("retry budget spent")
)

// CapacityError is ErrNoCapacity with an estimate of when a retry can succeed.
type CapacityError struct {
	RetryAfter time.Duration
}

// Error implements error.
func (e *CapacityError) Error() string { return ErrNoCapacity.Error() }

// Unwrap returns ErrNoCapacity.
func (e *CapacityError) Unwrap() error { return ErrNoCapacity }

// ClassQuery holds the attributes that determine the class of a request.
type ClassQuery = targets.Request

// View is an immutable snapshot of the configuration and the catalogue. One
// request uses one View throughout.
type View interface {
	// Classify returns the class of a request. It never returns nil.
	Classify(q ClassQuery) *targets.Class
	// Class returns a class by its name.
	Class(name string) (*targets.Class, bool)
	Model(id port.ModelID) (port.ModelInfo, bool)
	// Models returns all models in a stable order. The caller must not modify
	// the slice.
	Models() []port.ModelInfo
	// Service returns the plain service whose path prefix is the longest that
	// matches the path.
	Service(path string) (targets.Service, bool)
}

// PickQuery describes the attempt for which a backend server is requested.
type PickQuery struct {
	Service string
	// Model is empty for plain services.
	Model port.ModelID
	// PrefixHash is a hash of the beginning of the prompt, or zero if the
	// prompt is empty.
	PrefixHash uint64
	// Exclude lists the servers on which this request has already failed.
	Exclude []port.ServerID
	// Retry marks every attempt but the first. NotExecuted marks attempts
	// before which certainly no server has executed the request. The Router
	// applies the retry budget by both. It charges only a retry that reaches a
	// server.
	Retry, NotExecuted bool
}

// OutcomeKind is the way in which an attempt at a backend server ended.
type OutcomeKind int

// The outcomes of an attempt.
const (
	// OutcomeAnswered is a complete answer with a status below 500.
	OutcomeAnswered OutcomeKind = iota
	// OutcomeServerError is a complete answer with a status of 500 or above.
	OutcomeServerError
	// OutcomeRefused means that the server refused the request and executed
	// nothing.
	OutcomeRefused
	// OutcomeNotSent means that no byte of the request reached the server.
	OutcomeNotSent
	// OutcomeReset means that the connection broke before the answer began.
	OutcomeReset
	// OutcomeBroken means that the answer began and wasn't completed.
	OutcomeBroken
	// OutcomeTimeout means that the deadline passed before the answer was
	// complete.
	OutcomeTimeout
	// OutcomeCanceled means that the gateway ended the attempt, for example
	// because the caller disconnected or another attempt answered first. It
	// says nothing about the server.
	OutcomeCanceled
	// OutcomeAbsent means that the engine no longer has the model and executed
	// nothing.
	OutcomeAbsent
	// OutcomeUnused means that the gateway sent nothing. It says nothing about
	// the server.
	OutcomeUnused
)

// Outcome is the result of an attempt, as reported to the Router.
type Outcome struct {
	Kind OutcomeKind
	// FirstByte is the time to the first byte of the answer; zero if there was
	// none. Total is the time of the whole attempt.
	FirstByte time.Duration
	Total     time.Duration
}

// Attempt is capacity reserved on a backend server for one attempt.
type Attempt interface {
	Server() port.Server
	// Done releases the reserved capacity and reports the outcome. It must be
	// called exactly once.
	Done(now time.Time, o Outcome)
}

// Router selects backend servers.
type Router interface {
	// Pick selects a server and reserves capacity on it. It returns
	// ErrNoReplica, ErrNoCapacity or ErrNoBudget if no server is available.
	Pick(now time.Time, q PickQuery) (Attempt, error)
}

// WakeQuery is a request for a replica of a model.
type WakeQuery struct {
	Model port.ModelID
	Class string
	// MaxWait is the longest time that any of the waiting requests can still
	// wait.
	MaxWait time.Duration
	// Waiting is the number of requests that wait for the model at this
	// instance.
	Waiting int
}

// WakeReply is the reply of the instance that holds the lease of the zone.
type WakeReply struct {
	Accepted bool
	// ReadyIn is the estimated time to the first ready replica.
	ReadyIn time.Duration
	// Refusal is a stable identifier of the reason and Detail a sentence, if
	// the wake isn't accepted.
	Refusal, Detail string
	// RetryAfter is the time after which to repeat the request, if the wake
	// isn't accepted.
	RetryAfter time.Duration
}

// Waker requests that models be loaded.
type Waker interface {
	Wake(ctx context.Context, q WakeQuery) (WakeReply, error)
	// Ready returns a channel that is closed once the model is routable. The
	// channel is already closed if the model is routable now.
	Ready(model port.ModelID) <-chan struct{}
}

// Deps holds the dependencies of a Gateway. Tracer and Logger can be nil.
type Deps struct {
	Config   Config
	Snapshot func() View
	// Ready returns an error that tells why the instance can't accept requests
	// yet, and nil once it can. If Ready itself is nil, the instance is always
	// ready.
	Ready    func() error
	Router   Router
	Waker    Waker
	Backend  port.Backend
	Identity Deduplicator
	Clock    port.Clock
	Tracer   trace.Tracer
	Logger   *log.Logger
}
