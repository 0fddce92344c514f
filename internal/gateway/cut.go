package gateway

import (
	"slices"
	"sync"
)

// maxCutLogged bounds the log lines about requests that the end of the process
// cuts.
const maxCutLogged = 100

// callSet is the set of calls in progress.
type callSet struct {
	mu    sync.Mutex
	calls map[*Call]struct{}
}

func (s *callSet) add(c *Call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls == nil {
		s.calls = map[*Call]struct{}{}
	}
	s.calls[c] = struct{}{}
}

func (s *callSet) remove(c *Call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.calls, c)
}

// oldest returns up to n calls, the oldest first.
func (s *callSet) oldest(n int) []*Call {
	s.mu.Lock()
	calls := make([]*Call, 0, len(s.calls))
	for c := range s.calls {
		calls = append(calls, c)
	}
	s.mu.Unlock()
	slices.SortFunc(calls, func(a, b *Call) int { return a.arrived.Compare(b.arrived) })
	return calls[:min(n, len(calls))]
}

// logCut names the requests that the end of the process cuts.
func (g *Gateway) logCut() {
	for _, c := range g.calls.oldest(maxCutLogged) {
		entry := g.deps.Logger.Warn().Str("event", "request_cut").Str("trace_id", c.traceID).
			Str("path", c.r.URL.Path).Dur("took", g.now().Sub(c.arrived))
		if server := c.sentTo.Load(); server != nil {
			entry = entry.Str("server", string(*server))
		}
		entry.Msg("")
	}
}
