package edge

import (
	"cmp"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/limit"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

// leavingTTL is how long it is remembered that a server is leaving after its entry is removed. An
// entry that was lost can be written again.
const leavingTTL = 10 * time.Minute

// maxStandings bounds the standings that are remembered, which a faulty peer could exaggerate.
const maxStandings = 1 << 16

// Standing is what one incarnation of a server has said about further requests.
type Standing struct {
	Server    fleet.ServerID
	StartedAt int64
	// Leaving means that the server is about to exit.
	Leaving bool
	// RestUntil is until when the server wants no requests; the zero time if it hasn't said so. It
	// is said to one instance.
	RestUntil time.Time
}

// Standings exchanges with the other instances what servers have said about further requests.
type Standings interface {
	// TellAll tells all other instances, in the background.
	TellAll(Standing)
	// Tell tells the instance at an address, in the background.
	Tell(address string, said Standing)
	// OnTold sets the function that is called for what another instance tells.
	OnTold(told func(Standing))
}

// standing is what this instance knows of one incarnation of a server.
type standing struct {
	// leaving is true once the server has said that it is about to exit. This doesn't end before
	// the incarnation does, as a late answer may not say it.
	leaving atomic.Bool
	// restUntil is until when it wants no requests of this instance; nil if it hasn't said so.
	restUntil atomic.Pointer[time.Time]
	// closed is true while the list has the server as draining, or doesn't have it.
	closed atomic.Bool
	// unlistedAt is when the server was first missing in the list; the zero time while it is
	// listed. It is guarded by the lock of the Views.
	unlistedAt time.Time
}

// accepts reports whether the server accepts requests of this instance now.
func (s *standing) accepts() bool {
	return !s.closed.Load() && !s.leaving.Load() && s.restLeft(time.Now()) <= 0
}

// restLeft returns for how long the server wants no requests of this instance.
func (s *standing) restLeft(now time.Time) time.Duration {
	if until := s.restUntil.Load(); until != nil {
		return until.Sub(now)
	}
	return 0
}

// extendRest extends the time without requests, and reports whether it begins now.
func (s *standing) extendRest(until, now time.Time) bool {
	for {
		current := s.restUntil.Load()
		if current != nil && !until.After(*current) {
			return false
		}
		if s.restUntil.CompareAndSwap(current, &until) {
			return current == nil || !now.Before(*current)
		}
	}
}

// remembered reports whether the standing of a server that isn't listed still matters.
func (s *standing) remembered(now time.Time) bool {
	return s.leaving.Load() && now.Sub(s.unlistedAt) < leavingTTL || s.restLeft(now) > 0
}

// StandingRecorder records what servers say to this instance about further requests, and tells the
// other instances. It is safe for concurrent use.
type StandingRecorder struct {
	views *Views
	peers Standings
	log   *log.Logger
}

// NewStandingRecorder returns a StandingRecorder that records in the given views.
func NewStandingRecorder(views *Views, peers Standings, logger *log.Logger) *StandingRecorder {
	return &StandingRecorder{views: views, peers: peers, log: logger}
}

// AnswerOrigin says to what a server has answered.
type AnswerOrigin struct {
	// Request is the ID of the request; empty for a report or an order.
	Request string
	// Relay is the address of the instance that has relayed the answer; empty if it was direct.
	Relay string
	// ForOther means that this instance has relayed the answer for another one.
	ForOther bool
}

// Record records what a server says in an answer. It holds for the process at the other end of the
// connection, also if the answer belongs to another request or can't be passed on.
func (r *StandingRecorder) Record(server *fleet.Server, notice platform.Notice, origin AnswerOrigin) {
	if notice.Leaving {
		said := Standing{Server: server.ID, StartedAt: server.StartedAt, Leaving: true}
		if r.views.SetStanding(said, time.Now()) {
			r.log.Info().Str("server", string(server.ID)).Int64("started_at", server.StartedAt).Str("request", origin.Request).
				Str("relay", origin.Relay).Bool("for_other", origin.ForOther).Msg("server_leaving")
			r.peers.TellAll(said)
		}
	}
	if notice.RetryAfterErr != nil {
		r.log.Warn().Str("server", string(server.ID)).Str("request", origin.Request).Err(notice.RetryAfterErr).Msg("retry_after_unreadable")
	}
	if notice.RetryAfter > 0 {
		r.recordRest(server, notice.RetryAfter, origin)
	}
}

// recordRest records for how long the server wants no more requests. It says so to the instance
// from which it gets them, which is the relay if there is one.
func (r *StandingRecorder) recordRest(server *fleet.Server, rest time.Duration, origin AnswerOrigin) {
	now := time.Now()
	said := Standing{Server: server.ID, StartedAt: server.StartedAt, RestUntil: now.Add(rest)}
	if origin.Relay != "" {
		r.peers.Tell(origin.Relay, said)
	}
	if r.views.SetStanding(said, now) {
		r.log.Info().Str("server", string(server.ID)).Str("request", origin.Request).Dur("retry_after", rest).
			Str("relay", origin.Relay).Bool("for_other", origin.ForOther).Msg("server_rests")
	}
}

// FollowRelayed returns what follows the exchanges on a connection to the server at an address that
// this instance relays for another one. What the server says, it says to this instance too: the other
// one may never read it, or tell nobody.
func (r *StandingRecorder) FollowRelayed(address string) *platform.Exchanges {
	admit := func(request platform.RelayedRequest) bool { return r.views.AdmitsRelayed(request, address) }
	return platform.NewExchanges(admit, func(request platform.RelayedRequest, answer *platform.Answer) {
		r.Record(r.views.answeredBy(answer.Server, address), answer.Notice, AnswerOrigin{Request: request.ID, ForOther: true})
		r.recordRelayedLimits(request, answer)
	})
}

// recordRelayedLimits records the rate limit that a server states in an answer which this instance
// relays for another one, and that it is brittle. Both bind this instance too. It learns from its own
// answers that they have ended.
func (r *StandingRecorder) recordRelayedLimits(request platform.RelayedRequest, answer *platform.Answer) {
	if !answersRequest(answer) {
		return
	}
	server, known := r.views.statsOf(answer.Server)
	if server == nil {
		return
	}
	now := time.Now()
	if answer.RateLimitErr == nil && answer.RateLimit != limit.Unlimited {
		_, event := known.rateLimit.observe(answer.RateLimit, request.PassedOnAt, now)
		event.log(r.log, server.ID, request.ID)
	}
	if answer.ToleratedErr == nil && answer.ToleratedRejections >= 0 {
		load := limit.BrittleLoad{Slots: server.Slots, Waiting: answer.Load.Waiting, Instances: cmp.Or(r.views.Instances(), assumedInstances), ServiceTime: known.brittle.service.serviceTime()}
		if changed, rate := known.brittle.stated(answer.ToleratedRejections, load, request.PassedOnAt, now); changed {
			logBrittle(r.log, server.ID, request.ID, answer.ToleratedRejections, rate)
		}
	}
}

// statsOf returns the entry of a listed server and what this instance measures about it; nil if it
// isn't listed.
func (v *Views) statsOf(id fleet.ServerID) (*fleet.Server, *stats) {
	v.mu.Lock()
	defer v.mu.Unlock()
	server := v.servers[id]
	if server == nil {
		return nil, nil
	}
	return server, v.stats[statsKey{id, server.StartedAt}]
}

// answeredBy returns the entry of the server that has answered from an address. The ID is empty if
// neither the request nor the answer names the server. If it isn't listed, the entry has only its ID.
func (v *Views) answeredBy(id fleet.ServerID, address string) *fleet.Server {
	v.mu.Lock()
	defer v.mu.Unlock()
	if server := v.servers[id]; server != nil {
		return server
	}
	if id == "" {
		for _, server := range v.servers {
			if server.Address == address {
				return server
			}
		}
	}
	return &fleet.Server{ID: id}
}

// recordStanding records what a server says in an answer. It can be another one, which has got the
// address.
func (q *request) recordStanding(b *backend, answer *platform.Answer) {
	server := b.server
	if answer.Misdirected {
		server = q.edge.views.answeredBy(answer.Server, b.server.Address)
	}
	q.edge.recorder.Record(server, answer.Notice, AnswerOrigin{Request: q.head.ID, Relay: answer.Relay})
}

// standingTold applies what another instance tells.
func (e *Edge) standingTold(said Standing) {
	if e.views.SetStanding(said, time.Now()) {
		e.log.Info().Str("server", string(said.Server)).Int64("started_at", said.StartedAt).Bool("leaving", said.Leaving).
			Dur("retry_after", max(time.Until(said.RestUntil), 0)).Msg("standing_told")
	}
}

// SetStanding records what a server has said, publishes a view without the server if it is
// leaving, and reports whether it is news.
func (v *Views) SetStanding(said Standing, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.standings) >= maxStandings {
		v.updateStandings(now)
	}
	key := statsKey{said.Server, said.StartedAt}
	if len(v.standings) >= maxStandings && v.standings[key] == nil {
		return false
	}
	known := v.standingOf(key, now)
	rests := !said.RestUntil.IsZero() && known.extendRest(said.RestUntil, now)
	if !said.Leaving || known.leaving.Swap(true) {
		return rests
	}
	v.publish()
	return true
}

// RestLeft returns for how long a server wants nothing from this instance.
func (v *Views) RestLeft(server *fleet.Server, now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if known := v.standings[statsKey{server.ID, server.StartedAt}]; known != nil {
		return known.restLeft(now)
	}
	return 0
}

// standingOf returns the standing of an incarnation of a server.
func (v *Views) standingOf(key statsKey, now time.Time) *standing {
	known := v.standings[key]
	if known == nil {
		known = &standing{}
		v.applyList(key, known, now)
		v.standings[key] = known
	}
	return known
}

// applyList applies the list to the standing of an incarnation of a server.
func (v *Views) applyList(key statsKey, known *standing, now time.Time) {
	server := v.servers[key.id]
	listed := server != nil && server.StartedAt == key.startedAt
	known.closed.Store(!listed || server.Draining)
	switch {
	case listed:
		known.unlistedAt = time.Time{}
	case known.unlistedAt.IsZero():
		known.unlistedAt = now
	}
}

// updateStandings applies the list to the standings, and removes those that no longer matter.
func (v *Views) updateStandings(now time.Time) {
	for key, known := range v.standings {
		v.applyList(key, known, now)
		if !known.unlistedAt.IsZero() && v.stats[key] == nil && !known.remembered(now) {
			delete(v.standings, key)
		}
	}
}
