package gateway

import (
	"sync/atomic"

	"github.com/cyclamenhoist/cyclamenhoist/internal/problem"
)

// admission limits the number of in-flight requests of the instance and the
// total size of their bodies. It uses no lock: of two requests that compete for
// the last free slot both can be refused, but never are both admitted.
type admission struct {
	requests, bytes atomic.Int64
}

func (a *admission) acquire(bytes int64, config *Config) bool {
	if a.requests.Add(1) > int64(config.MaxInProgress) {
		a.requests.Add(-1)
		return false
	}
	if a.bytes.Add(bytes) > config.MaxInProgressBytes {
		a.release(bytes)
		return false
	}
	return true
}

func (a *admission) release(bytes int64) {
	a.requests.Add(-1)
	a.bytes.Add(-bytes)
}

// admit reserves capacity for the request for as long as it is in flight, or
// refuses it as overload.
func (g *Gateway) admit(c *Call) error {
	bytes := int64(len(c.body))
	if !g.admission.acquire(bytes, &g.config) {
		return problem.New(problem.Overloaded, "too many requests are in progress").
			WithRetryAfter(g.durationMean.retryAfter())
	}
	defer g.admission.release(bytes)
	return c.Next()
}
