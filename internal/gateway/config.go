package gateway

import (
	"time"
)

// Config bounds what callers can take of an instance. Zero fields take the
// value of DefaultConfig.
type Config struct {
	// MaxBodyBytes bounds the body of a request, MaxAnswerBytes the part of a
	// whole answer that is held back until it is known to be complete.
	MaxBodyBytes, MaxAnswerBytes int64
	// MaxHeaderBytes bounds the header of a request.
	MaxHeaderBytes int
	// MaxEventBytes bounds one event of a stream.
	MaxEventBytes int
	// MaxWaiting bounds the requests that wait at once, MaxWaitingBytes their
	// bodies, and MaxWaitingPerModel those that wait for one model.
	MaxWaiting, MaxWaitingBytes int64
	MaxWaitingPerModel          int
	// MaxInProgress bounds the requests that are in progress at once, waiting
	// ones included, and MaxInProgressBytes their bodies.
	MaxInProgress      int
	MaxInProgressBytes int64
	// HeaderTimeout and BodyTimeout bound how long a caller may take to send
	// its header and body, IdleTimeout how long a connection stays open unused.
	HeaderTimeout, BodyTimeout, IdleTimeout time.Duration
	// WriteTimeout bounds how long one write to a slow caller may take.
	WriteTimeout time.Duration
	// MaxCall bounds a request that states no deadline.
	MaxCall time.Duration
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	// LateArrivals is how long a stopping instance takes new requests after its
	// readiness has failed.
	LateArrivals time.Duration
	// RequireIdempotencyKey refuses work that isn't repeatable without a key.
	// Otherwise every arrival of such a request counts as one of its own.
	RequireIdempotencyKey bool
	// Callers lists who may call; empty lets anybody.
	Callers []Caller
}

// DefaultConfig returns the configuration of an instance with nothing set.
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
		MaxCall:            10 * time.Minute,
		MaxAttempts:        3,
		LateArrivals:       5 * time.Second,
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
	setDefault(&c.MaxCall, d.MaxCall)
	setDefault(&c.MaxAttempts, d.MaxAttempts)
	setDefault(&c.LateArrivals, d.LateArrivals)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
