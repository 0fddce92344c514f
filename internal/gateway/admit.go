package gateway

import (
	"sync/atomic"

	"github.com/cyclamenhoist/cyclamenhoist/internal/problem"
)

// admission bounds the requests in progress and the bytes of their bodies, over
// the whole instance. It has no lock: two requests that race for the last place
// may both be refused, but never both be admitted.
type admission struct {
	requests, bytes atomic.Int64
}

func (a *admission) enter(bytes int64, config *Config) bool {
	if a.requests.Add(1) > int64(config.MaxInProgress) {
		a.requests.Add(-1)
		return false
	}
	if a.bytes.Add(bytes) > config.MaxInProgressBytes {
		a.leave(bytes)
		return false
	}
	return true
}

func (a *admission) leave(bytes int64) {
	a.requests.Add(-1)
	a.bytes.Add(-bytes)
}

// admit takes a place for the request, or refuses it.
func (g *Gateway) admit(c *Call) error {
	bytes := int64(len(c.body))
	if !g.admission.enter(bytes, &g.config) {
		return problem.New(problem.Overloaded, "too many requests are in progress").
			After(g.pace.retryAfter())
	}
	defer g.admission.leave(bytes)
	return c.Next()
}
