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
	// Model is empty for plain services: any of their servers will do.
	Model port.ModelID
	// PrefixHash identifies the start of the prompt; zero means none. Requests
	// with the same hash go to the same server where that pays.
	PrefixHash uint64
	// PrefixSaves is the time that a cached prefix saves; zero means the
	// router's default.
	PrefixSaves time.Duration
	// Zone goes first; empty means the router's own.
	Zone port.Zone
	// Exclude names servers that were tried already.
	Exclude []port.ServerID
	// Seed drives the random choices. Equal seeds make equal choices; zero
	// takes a random one.
	Seed uint64
}

// Outcome is how a request on a server ended, as far as the server is to blame.
type Outcome uint8

// The outcomes.
const (
	// OutcomeServed: the server answered, be it with an error of the caller's.
	OutcomeServed Outcome = iota
	// OutcomeOverloaded: the server refused for want of capacity.
	OutcomeOverloaded
	// OutcomeFailed: connection refused, a reset, a time-out, or a server's
	// error.
	OutcomeFailed
	// OutcomeUnreachable: no answer to the attempt to connect. It counts against
	// the server, and against its zone if that isn't the router's own.
	OutcomeUnreachable
	// OutcomeCanceled: the caller went away; it says nothing of the server.
	OutcomeCanceled
)

// OutcomeOf turns the fault of an attempt into what it says of the server.
// connecting says that the attempt timed out before there was a connection.
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

// Result is how a request on a picked server ended.
type Result struct {
	Outcome Outcome
	// FirstByte is the time from sending the request to the first byte of the
	// answer; zero if there was none.
	FirstByte time.Duration
	// Total is the time until the server was done with the request.
	Total time.Duration
}

// Choice is a picked server and a slot on it. Done must be called when the
// request has ended; calls after the first have no effect, on copies too.
type Choice struct {
	Server port.Server
	Stats  *ServerStats
	lease  *attempt
	term   uint64
}

// Done gives the slot back and takes in the result. It is safe for concurrent
// use.
func (c Choice) Done(now time.Time, r Result) {
	if c.lease == nil || !c.lease.term.CompareAndSwap(c.term, c.term+1) {
		return
	}
	c.lease.finish(now, r)
}

// Candidate is one server that holds a model ready, or belongs to a service.
type Candidate struct {
	Server port.Server
	Stats  *ServerStats
}

// Filter decides whether a candidate may be used for a query. It must not retain
// the query. Limits and ejection need no filter of their own.
type Filter interface {
	Keep(now time.Duration, q *Query, c *Candidate) bool
}

// Scorer estimates what it costs a request to go to a candidate, in seconds.
type Scorer interface {
	Cost(now time.Duration, q *Query, c *Candidate) float64
}

// Picker chooses among candidates of equal standing, and returns nil if none of
// them passes Pool.Keep.
type Picker interface {
	Pick(p *Pool) *Candidate
}
