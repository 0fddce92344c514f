package routing

import (
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/retry"
)

// Query describes the request that needs a server.
type Query struct {
	// Service names the service. It is optional where Model is set.
	Service string
	// Model is empty for plain services, where any server of the service is eligible.
	Model port.ModelID
	// PrefixHash identifies the start of the prompt; zero means none. Requests with the
	// same hash are sent to the same server as long as the cached prefix outweighs the
	// load there.
	PrefixHash uint64
	// PrefixSaves is the time that a cached prefix saves; zero selects
	// Config.PrefixSaves.
	PrefixSaves time.Duration
	// Zone is the preferred zone; empty selects the router's own.
	Zone port.Zone
	// Exclude lists servers that must not be picked, such as those already tried.
	Exclude []port.ServerID
	// Seed determines the random choices: equal seeds lead to equal choices. Zero selects
	// a random seed.
	Seed uint64
}

// Outcome classifies how a request on a server ended, as evidence about the server.
type Outcome uint8

// The outcomes.
const (
	// OutcomeServed means that the server answered, possibly with an error that the
	// caller caused.
	OutcomeServed Outcome = iota
	// OutcomeOverloaded means that the server refused the request for lack of capacity.
	OutcomeOverloaded
	// OutcomeFailed means a refused connection, a connection reset, a timeout or a server
	// error.
	OutcomeFailed
	// OutcomeUnreachable means that the connection attempt got no answer. It counts
	// against the server, and against the server's zone if that is not the router's own.
	OutcomeUnreachable
	// OutcomeCanceled means that the caller canceled the request, which is no evidence
	// about the server.
	OutcomeCanceled
)

// OutcomeOf maps the fault of an attempt to an Outcome. The argument connecting means
// that the attempt timed out before a connection was established.
func OutcomeOf(f retry.Fault, connecting bool) Outcome {
	switch f {
	case retry.FaultNone:
		return OutcomeServed
	case retry.FaultRefused:
		return OutcomeOverloaded
	case retry.FaultCanceled:
		return OutcomeCanceled
	}
	if connecting {
		return OutcomeUnreachable
	}
	return OutcomeFailed
}

// Result describes how a request on a picked server ended.
type Result struct {
	Outcome Outcome
	// FirstByte is the time from sending the request to the first byte of the
	// answer; zero if there was none.
	FirstByte time.Duration
	// Total is the time until the server had finished the request.
	Total time.Duration
}

// Choice is a picked server and a reserved slot on it. Done must be called when the
// request has ended; further calls have no effect, not even on copies.
type Choice struct {
	Server     port.Server
	Stats      *ServerStats
	slot       *attempt
	generation uint64
}

// Done releases the slot and records the result. It is safe for concurrent use.
func (c Choice) Done(now time.Time, r Result) {
	if c.slot == nil || !c.slot.generation.CompareAndSwap(c.generation, c.generation+1) {
		return
	}
	c.slot.finish(now, r)
}

// Candidate is a server on which a model is ready, or a server of a service.
type Candidate struct {
	Server port.Server
	Stats  *ServerStats
}

// Filter decides whether a candidate is allowed for a query. It must not retain the
// query. Limits and ejection are checked separately.
type Filter interface {
	Allowed(now time.Duration, q *Query, c *Candidate) bool
}

// Scorer estimates the cost, in seconds, of sending a request to a candidate.
type Scorer interface {
	Cost(now time.Duration, q *Query, c *Candidate) float64
}

// Picker selects a candidate of a pool. It returns nil if Pool.Allowed rejects all of them.
type Picker interface {
	Pick(p *Pool) *Candidate
}
