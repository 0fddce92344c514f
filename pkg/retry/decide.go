package retry

import (
	"cmp"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Action is the reaction to a failed attempt.
type Action uint8

// The actions.
const (
	// GiveUp ends the request with Verdict.Ending.
	GiveUp Action = iota
	// Retry sends the whole request to another server.
	Retry
	// Resume continues a stream on another server at the next position.
	Resume
)

// Ending is the result of a request that is not retried.
type Ending uint8

// The endings.
const (
	// EndUnknown means that it is unknown whether the request was executed.
	EndUnknown Ending = iota
	// EndNotRun means that no attempt of the request was executed.
	EndNotRun
	// EndAnswered means that the server's error response is forwarded.
	EndAnswered
	// EndCanceled means that the caller no longer waits for the answer.
	EndCanceled
)

// Config limits the attempts. Zero fields select the defaults.
type Config struct {
	// Attempts is the maximum number of attempts for one request, including the first.
	Attempts int
	// BackoffBase and BackoffMax determine the backoff before a retry. The backoff is
	// uniformly distributed between zero and a maximum that starts at BackoffBase and
	// doubles with each attempt up to BackoffMax.
	BackoffBase, BackoffMax time.Duration
	// MinTime is the minimum remaining time for which an attempt is started.
	MinTime time.Duration
}

// The defaults of the Config fields.
const (
	DefaultAttempts    = 3
	DefaultBackoffBase = 20 * time.Millisecond
	DefaultBackoffMax  = time.Second
	DefaultMinTime     = 10 * time.Millisecond
)

func (c Config) withDefaults() Config {
	c.Attempts = cmp.Or(c.Attempts, DefaultAttempts)
	c.BackoffBase = cmp.Or(c.BackoffBase, DefaultBackoffBase)
	c.BackoffMax = cmp.Or(c.BackoffMax, DefaultBackoffMax)
	c.MinTime = cmp.Or(c.MinTime, DefaultMinTime)
	return c
}

// Request describes a request whose attempt has failed.
type Request struct {
	// Repeatable means that the request can safely be executed more than once.
	Repeatable bool
	// Resumable means that the answer is a stream that another server can continue.
	Resumable bool
	// Attempts is the number of attempts so far, including the failed one.
	Attempts int
	// MayHaveRun means that an earlier attempt may have been executed.
	MayHaveRun bool
	// Remaining is the time until the deadline.
	Remaining time.Duration
	// Random is a uniformly distributed random number in [0, 1) for the jitter.
	Random float64
}

// Verdict is the result of Decide.
type Verdict struct {
	Action Action
	// After is the backoff before the next attempt.
	After time.Duration
	// Ending is the result of the request if Action is GiveUp.
	Ending Ending
	// MayHaveRun is the value of Request.MayHaveRun for the next call of Decide.
	MayHaveRun bool
}

// Withdrawer is the part of Budget that Decide needs.
type Withdrawer interface {
	Withdraw(now time.Duration) bool
}

// Decide determines the reaction to a failed attempt. A request that is not repeatable is
// retried only if no attempt can have been executed. Each retry is withdrawn from the
// budget, but only if all other conditions allow it.
func (c Config) Decide(now time.Duration, f Fault, r Request, budget Withdrawer) Verdict {
	c = c.withDefaults()
	v := Verdict{MayHaveRun: r.MayHaveRun || !f.NeverRan()}
	v.Ending = ending(f, v.MayHaveRun)
	if !c.allowed(f, r, v.MayHaveRun) {
		return v
	}
	after := c.delay(r.Attempts, r.Random)
	if r.Remaining < after+c.MinTime || !budget.Withdraw(now) {
		return v
	}
	v.After = after
	v.Action = Retry
	if f == FaultAfterFirstByte {
		v.Action = Resume
	}
	return v
}

func ending(f Fault, mayHaveRun bool) Ending {
	switch {
	case f == FaultCanceled:
		return EndCanceled
	case f == FaultServerError:
		return EndAnswered
	case mayHaveRun:
		return EndUnknown
	default:
		return EndNotRun
	}
}

// allowed reports whether the fault and the kind of request allow another attempt.
func (c Config) allowed(f Fault, r Request, mayHaveRun bool) bool {
	if r.Attempts >= c.Attempts || f == FaultCanceled || f == FaultNone {
		return false
	}
	if !mayHaveRun {
		return true
	}
	if !r.Repeatable {
		return false
	}
	// Once bytes have been sent to the caller, only a resumable stream can continue.
	return f != FaultAfterFirstByte || r.Resumable
}

// delay returns the random backoff that follows the given number of attempts.
func (c Config) delay(attempts int, random float64) time.Duration {
	intervals := backoff.ExponentialBackOff{
		InitialInterval: c.BackoffBase,
		Multiplier:      2,
		MaxInterval:     c.BackoffMax,
	}
	intervals.Reset()
	maxBackoff := time.Duration(0)
	for range attempts {
		maxBackoff = intervals.NextBackOff()
	}
	return time.Duration(random * float64(maxBackoff))
}
