package edge

import (
	"sync/atomic"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

// standing is what one incarnation of a server has said about further requests.
type standing struct {
	// leaving is true once the server has said that it is about to exit.
	leaving atomic.Bool
	// notBefore is until when it wants no requests from this instance; nil if it hasn't said so.
	notBefore atomic.Pointer[time.Time]
}

// rest extends the time without requests, and reports whether it begins now.
func (s *standing) rest(until, now time.Time) bool {
	for {
		current := s.notBefore.Load()
		if current != nil && !until.After(*current) {
			return false
		}
		if s.notBefore.CompareAndSwap(current, &until) {
			return current == nil || !now.Before(*current)
		}
	}
}

// recordStanding records whether the server says that it is leaving, or wants no more requests for
// a time.
func (q *request) recordStanding(b *backend, answer *platform.Answer) {
	if !answer.RequestIDMatches || answer.Misdirected || !answer.Signed && !answer.NotExecuted && answer.RetryAfter == 0 {
		return // not an answer of this server to this request
	}
	now := time.Now()
	if answer.Leaving && !b.stats.standing.leaving.Swap(true) {
		q.edge.log.Info().Str("server", string(b.server.ID)).Int64("started_at", b.server.StartedAt).Str("request", q.head.ID).
			Str("relay", answer.Relay).Msg("server_leaving")
	}
	switch {
	case answer.RetryAfterErr != nil:
		q.edge.log.Warn().Str("server", string(b.server.ID)).Str("request", q.head.ID).Err(answer.RetryAfterErr).Msg("retry_after_unreadable")
	case answer.RetryAfter > 0 && b.stats.standing.rest(now.Add(answer.RetryAfter), now):
		q.edge.log.Info().Str("server", string(b.server.ID)).Str("request", q.head.ID).Dur("retry_after", answer.RetryAfter).
			Str("relay", answer.Relay).Msg("server_rests")
	}
}
