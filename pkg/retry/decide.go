package retry

import (
	"cmp"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Action is what follows a failed attempt.
type Action uint8

// The actions.
const (
	// GiveUp ends the request as Verdict.Ending says.
	GiveUp Action = iota
	// Again tries the whole request on another server.
	Again
	// Resume goes on with a stream on another server from the next position.
	Resume
)

// Ending is how a request ends when it is given up.
type Ending uint8

// The endings.
const (
	// EndUnknown: it isn't known whether the request ran.
	EndUnknown Ending = iota
	// EndNotRun: no attempt of the request ran.
	EndNotRun
	// EndAnswered: the server's answer, an error, is passed on.
	EndAnswered
	// EndCanceled: nobody waits for the answer.
	EndCanceled
)

// Config bounds the attempts. Zero fields take the default.
type Config struct {
	// Attempts is the most for one request, the first included.
	Attempts int
	// BackoffBase and BackoffMax bound the delay before an attempt: it is drawn
	// evenly from zero to a ceiling that starts at the base and doubles.
	BackoffBase, BackoffMax time.Duration
	// LeastTime is the time that an attempt needs to be worth starting.
	LeastTime time.Duration
}

// The defaults of Config.
const (
	DefaultAttempts    = 3
	DefaultBackoffBase = 20 * time.Millisecond
	DefaultBackoffMax  = time.Second
	DefaultLeastTime   = 10 * time.Millisecond
)

func (c Config) withDefaults() Config {
	c.Attempts = cmp.Or(c.Attempts, DefaultAttempts)
	c.BackoffBase = cmp.Or(c.BackoffBase, DefaultBackoffBase)
	c.BackoffMax = cmp.Or(c.BackoffMax, DefaultBackoffMax)
	c.LeastTime = cmp.Or(c.LeastTime, DefaultLeastTime)
	return c
}

// Request is what Decide must know of a request.
type Request struct {
	// Repeatable says that running the request twice does no harm.
	Repeatable bool
	// Resumable says that the answer is a stream that can go on elsewhere.
	Resumable bool
	// Attempts is the number made so far, the failed one included.
	Attempts int
	// MayHaveRun says that an earlier attempt isn't proved not to have run.
	MayHaveRun bool
	// Remaining is the time left to the deadline.
	Remaining time.Duration
	// Random is an even draw from 0 to below 1, for the jitter.
	Random float64
}

// Verdict is what Decide says.
type Verdict struct {
	Action Action
	// After is how long to wait before the next attempt.
	After time.Duration
	// Ending is set for GiveUp.
	Ending Ending
	// MayHaveRun is the value for the request's next Decide.
	MayHaveRun bool
}

// Withdrawer pays for a further attempt.
type Withdrawer interface {
	Take(now time.Duration) bool
}

// Decide says what follows a failed attempt. A request that isn't repeatable is
// tried again only while no attempt can have run. Each further attempt is paid
// for by the budget, which is asked only if all else allows one.
func (c Config) Decide(now time.Duration, f Fault, r Request, budget Withdrawer) Verdict {
	c = c.withDefaults()
	v := Verdict{MayHaveRun: r.MayHaveRun || !f.NeverRan()}
	v.Ending = ending(f, v.MayHaveRun)
	if !c.allowed(f, r, v.MayHaveRun) {
		return v
	}
	after := c.delay(r.Attempts, r.Random)
	if r.Remaining < after+c.LeastTime || !budget.Take(now) {
		return v
	}
	v.After = after
	v.Action = Again
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

// allowed says whether the fault and the request's nature allow another attempt.
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
	// Once bytes have gone to the caller, only a stream can go on.
	return f != FaultAfterFirstByte || r.Resumable
}

// delay draws the time before the attempt that follows the given number.
func (c Config) delay(attempts int, random float64) time.Duration {
	ceilings := backoff.ExponentialBackOff{
		InitialInterval: c.BackoffBase,
		Multiplier:      2,
		MaxInterval:     c.BackoffMax,
	}
	ceilings.Reset()
	ceiling := time.Duration(0)
	for range attempts {
		ceiling = ceilings.NextBackOff()
	}
	return time.Duration(random * float64(ceiling))
}
