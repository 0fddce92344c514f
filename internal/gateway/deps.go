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

// The reasons for which a Router picks nothing.
var (
	// ErrNoReplica: the model is ready on no backend server that takes new work.
	ErrNoReplica = errors.New("no ready replica")
	// ErrNoCapacity: every candidate is at its limit.
	ErrNoCapacity = errors.New("no capacity")
	// ErrNoBudget: the retry budget of the service is spent.
	ErrNoBudget = errors.New("retry budget spent")
)

// CapacityError is ErrNoCapacity with an estimate of when to try again.
type CapacityError struct {
	RetryAfter time.Duration
}

// Error implements error.
func (e *CapacityError) Error() string { return ErrNoCapacity.Error() }

// Unwrap returns ErrNoCapacity.
func (e *CapacityError) Unwrap() error { return ErrNoCapacity }

// ClassQuery is what the class of a request depends on.
type ClassQuery = targets.Request

// View is one immutable state of the system, as one request sees it.
type View interface {
	// Classify returns the class of a request, never nil.
	Classify(q ClassQuery) *targets.Class
	// Class returns a class by its name.
	Class(name string) (*targets.Class, bool)
	Model(id port.ModelID) (port.ModelInfo, bool)
	// Models returns every model in a stable order. The caller doesn't change it.
	Models() []port.ModelInfo
	// Service returns the plain service with the longest prefix of the path.
	Service(path string) (targets.Service, bool)
}

// PickQuery says what a backend server is wanted for.
type PickQuery struct {
	Service string
	// Model is empty for plain services.
	Model port.ModelID
	// PrefixHash is a hash of the prompt's beginning; zero if there is none.
	PrefixHash uint64
	// Exclude lists servers that this request has already failed on.
	Exclude []port.ServerID
	// Retry marks every attempt but the first, and Proven those that are sure
	// to be the first one to run. The Router holds them to the retry budget.
	Retry, Proven bool
}

// OutcomeKind tells how an attempt at a backend server ended.
type OutcomeKind int

// The outcomes of an attempt.
const (
	// OutcomeAnswered: a whole answer with a status below 500.
	OutcomeAnswered OutcomeKind = iota
	// OutcomeServerError: a whole answer with a status of 500 or above.
	OutcomeServerError
	// OutcomeRefused: the server said that it did nothing.
	OutcomeRefused
	// OutcomeNotSent: no byte reached the server.
	OutcomeNotSent
	// OutcomeReset: the connection broke before the answer began.
	OutcomeReset
	// OutcomeBroken: the answer began and didn't end.
	OutcomeBroken
	// OutcomeTimeout: the deadline passed first.
	OutcomeTimeout
	// OutcomeCanceled: the caller went away; it says nothing of the server.
	OutcomeCanceled
	// OutcomeAbsent: the engine no longer has the model, and did nothing.
	OutcomeAbsent
)

// Outcome is what a Router learns from an attempt.
type Outcome struct {
	Kind OutcomeKind
	// FirstByte is the time to the answer's first byte, zero without one.
	FirstByte time.Duration
	Total     time.Duration
}

// Attempt is a place taken on a backend server.
type Attempt interface {
	Server() port.Server
	// Done gives the place back. It is called exactly once.
	Done(now time.Time, o Outcome)
}

// Router picks backend servers.
type Router interface {
	// Pick returns ErrNoReplica, ErrNoCapacity or ErrNoBudget when there is no
	// server to be had.
	Pick(now time.Time, q PickQuery) (Attempt, error)
}

// WakeQuery asks for a replica of a model.
type WakeQuery struct {
	Model port.ModelID
	Class string
	// Patience is how long the most patient waiter can still wait.
	Patience time.Duration
	// Waiting is how many requests wait for the model at this instance.
	Waiting int
}

// WakeReply is the answer of the zone's deciding instance.
type WakeReply struct {
	Accepted bool
	// ReadyIn is the estimated time to the first ready replica.
	ReadyIn time.Duration
	// Refusal is a stable word and Detail a sentence, if not accepted.
	Refusal, Detail string
	// RetryAfter is when to ask again, if not accepted.
	RetryAfter time.Duration
}

// Waker asks for models to be loaded.
type Waker interface {
	Wake(ctx context.Context, q WakeQuery) (WakeReply, error)
	// Ready returns a channel that is closed once the model is routable. It is
	// closed already if the model is routable now.
	Ready(model port.ModelID) <-chan struct{}
}

// Deps is what a Gateway is made of. Tracer and Logger may be nil.
type Deps struct {
	Config   Config
	Snapshot func() View
	// Ready returns what the instance still lacks before it can take requests;
	// nil once it lacks nothing. Nil stands for an instance that is ready.
	Ready    func() error
	Router   Router
	Waker    Waker
	Backend  port.Backend
	Identity Deduplicator
	Clock    port.Clock
	Tracer   trace.Tracer
	Logger   *log.Logger
}
