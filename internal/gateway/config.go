package gateway

import (
	"time"
)

// Config limits the resources that callers can use of an instance. Fields that
// are zero get the value of DefaultConfig.
type Config struct {
	// MaxBodyBytes limits the body of a request. MaxAnswerBytes limits the part
	// of an answer that is buffered until the answer is known to be complete.
	MaxBodyBytes, MaxAnswerBytes int64
	// MaxHeaderBytes limits the header of a request.
	MaxHeaderBytes int
	// MaxEventBytes limits one event of a stream.
	MaxEventBytes int
	// MaxWaiting limits the number of queued requests, MaxWaitingBytes the
	// total size of their bodies, and MaxWaitingPerModel the number of requests
	// queued for one model.
	MaxWaiting, MaxWaitingBytes int64
	MaxWaitingPerModel          int
	// MaxInProgress limits the number of in-flight requests, including queued
	// ones. MaxInProgressBytes limits the total size of their bodies.
	MaxInProgress      int
	MaxInProgressBytes int64
	// HeaderTimeout and BodyTimeout limit the time in which a caller must send
	// the header and the body of a request. IdleTimeout limits how long an
	// unused connection stays open.
	HeaderTimeout, BodyTimeout, IdleTimeout time.Duration
	// WriteTimeout limits the time of one write to a slow caller.
	WriteTimeout time.Duration
	// DefaultTimeout is the timeout of a request that states none.
	DefaultTimeout time.Duration
	// MaxAttempts limits the attempts of one request.
	MaxAttempts int
	// DrainDelay is how long an instance that shuts down still accepts new
	// requests after its readiness probe has begun to fail.
	DrainDelay time.Duration
	// RequireIdempotencyKey refuses requests that aren't repeatable and have no
	// idempotency key. If it isn't set, every arrival of such a request counts
	// as a request of its own.
	RequireIdempotencyKey bool
	// Callers lists the callers that are allowed. If it is empty, every caller
	// is allowed.
	Callers []Caller
}

// DefaultConfig returns the configuration with all limits at their defaults.
func DefaultConfig() Config {
	return Config{
		MaxBodyBytes:       8 << 20,
		MaxAnswerBytes:     1 << 20,
		MaxHeaderBytes:     32 << 10,
		MaxEventBytes:      256 << 10,
		MaxWaiting:         10_000,
		MaxWaitingBytes:    128 << 20,
		MaxWaitingPerModel: 5_000,
		MaxInProgress:      20_000,
		MaxInProgressBytes: 256 << 20,
		HeaderTimeout:      5 * time.Second,
		BodyTimeout:        30 * time.Second,
		IdleTimeout:        2 * time.Minute,
		WriteTimeout:       10 * time.Second,
		DefaultTimeout:     10 * time.Minute,
		MaxAttempts:        3,
		DrainDelay:         5 * time.Second,
	}
}

func (c Config) withDefaults() Config {
	d := DefaultConfig()
	setDefault(&c.MaxBodyBytes, d.MaxBodyBytes)
	setDefault(&c.MaxAnswerBytes, d.MaxAnswerBytes)
	setDefault(&c.MaxHeaderBytes, d.MaxHeaderBytes)
	setDefault(&c.MaxEventBytes, d.MaxEventBytes)
	setDefault(&c.MaxWaiting, d.MaxWaiting)
	setDefault(&c.MaxWaitingBytes, d.MaxWaitingBytes)
	setDefault(&c.MaxWaitingPerModel, d.MaxWaitingPerModel)
	setDefault(&c.MaxInProgress, d.MaxInProgress)
	setDefault(&c.MaxInProgressBytes, d.MaxInProgressBytes)
	setDefault(&c.HeaderTimeout, d.HeaderTimeout)
	setDefault(&c.BodyTimeout, d.BodyTimeout)
	setDefault(&c.IdleTimeout, d.IdleTimeout)
	setDefault(&c.WriteTimeout, d.WriteTimeout)
	setDefault(&c.DefaultTimeout, d.DefaultTimeout)
	setDefault(&c.MaxAttempts, d.MaxAttempts)
	setDefault(&c.DrainDelay, d.DrainDelay)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
