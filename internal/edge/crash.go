package edge

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/crashcause"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

const (
	// crashCheckDelay is the time for which exchanges that break at the same moment are collected
	// before the server is checked.
	crashCheckDelay = 2 * time.Millisecond
	// crashRecheckInterval is how often it is checked whether a crashed server runs again, and
	// crashRechecks how often, after which requests find out. A server that starts again under a
	// new ID is listed, and the old one no longer, within some seconds.
	crashRecheckInterval = 500 * time.Millisecond
	crashRechecks        = 20
	// crashCheckTimeout limits the check whether a server still listens.
	crashCheckTimeout = 300 * time.Millisecond
)

// Crashes knows the traits of requests that crash servers, from what all instances see.
type Crashes interface {
	// Crashed records a crash that this instance has seen.
	Crashed(c crashcause.Crash)
	// Answered records that a server has begun to answer a request.
	Answered(r crashcause.Request)
	// Blocked returns the trait of the request that crashes servers, and false if it has none.
	Blocked(r crashcause.Request) (string, bool)
	// OnBlock sets the function that is called for each trait that becomes blocked.
	OnBlock(blocked func(crashcause.Block))
}

// errBlocked cancels requests when one of their traits is found to crash servers.
var errBlocked = errors.New("such requests crash servers")

// blockedReason returns why requests with a blocked trait are refused.
func blockedReason(trait string) reason {
	if crashcause.IsWhole(trait) {
		return reasonRequestBlocked
	}
	return reasonPartBlocked
}

// unanswered are the requests that no server has begun to answer.
type unanswered struct {
	mu sync.Mutex
	// cancels maps each request to the function that cancels it.
	cancels map[*request]context.CancelCauseFunc
}

func (u *unanswered) add(q *request, cancel context.CancelCauseFunc) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cancels[q] = cancel
}

func (u *unanswered) remove(q *request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.cancels, q)
}

// cancelWith cancels the requests that have a trait, and returns how many there are.
func (u *unanswered) cancelWith(trait string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := 0
	for q, cancel := range u.cancels {
		if q.identity.Has(trait) {
			cancel(errBlocked)
			n++
		}
	}
	return n
}

// traitBlocked refuses the requests with a trait that crashes servers. Those that wait are
// refused, and those that a server hasn't begun to answer are canceled there.
func (e *Edge) traitBlocked(b crashcause.Block) {
	n := e.unanswered.cancelWith(b.Trait)
	e.log.Warn().Str("trait", b.Trait).Int("crashes", b.Crashes).Dur("for", time.Until(b.Until)).Int("canceled", n).Msg("requests_blocked")
}

// recordAnswered records that a server has begun to answer the request.
func (q *request) recordAnswered() {
	q.edge.unanswered.remove(q)
	q.edge.crashes.Answered(q.identity)
}

// crashCheck finds out whether a server whose exchanges break has crashed.
type crashCheck struct {
	// crashed is true from a crash on until the server answers again.
	crashed atomic.Bool

	mu sync.Mutex
	// brokenAt is when the first exchange of the current check, or of the last crash, broke.
	brokenAt time.Time
	// unanswered are the requests of broken exchanges that the server hadn't begun to answer.
	unanswered []crashcause.LostRequest
	running    bool
}

// begin adds an exchange that began at sentAt and has broken, and reports whether the caller has
// to run the check. unanswered is nil if the server had begun to answer. Requests that are sent after
// a crash tell nothing of it.
func (c *crashCheck) begin(unanswered *crashcause.Request, sentAt, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if (c.running || c.crashed.Load()) && sentAt.After(c.brokenAt) {
		return false
	}
	if unanswered != nil {
		c.unanswered = append(c.unanswered, crashcause.LostRequest{Request: *unanswered, SentAt: sentAt})
	}
	if c.running {
		return false
	}
	c.running = true
	if !c.crashed.Load() {
		c.brokenAt = now
	}
	return true
}

// end returns what was added since begin. crashed is the result of the check.
// again means that the crash was known.
func (c *crashCheck) end(crashed bool) (again bool, unanswered []crashcause.LostRequest, brokenAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	again = c.crashed.Swap(crashed) && crashed
	unanswered, c.unanswered, c.running = c.unanswered, nil, false
	return again, unanswered, c.brokenAt
}

// answered records that the server answers.
func (c *crashCheck) answered() {
	if c.crashed.Load() {
		c.crashed.Store(false)
	}
}

// investigateCrash finds out, in the background, whether the server whose exchange has broken
// off has crashed.
func (a *attempt) investigateCrash() {
	var unanswered *crashcause.Request
	if a.call.ResumeAfter < 0 && a.progress.firstEventAt.IsZero() {
		unanswered = &a.request.identity
	}
	a.request.edge.investigateCrash(a.backend, unanswered, a.progress.sentAt)
}

func (e *Edge) investigateCrash(b *backend, unanswered *crashcause.Request, sentAt time.Time) {
	if b.stats.crash.begin(unanswered, sentAt, time.Now()) {
		go e.checkCrash(b)
	}
}

// checkCrash finds out whether a server has crashed, and whether it runs again.
func (e *Edge) checkCrash(b *backend) {
	time.Sleep(crashCheckDelay)
	err := e.checkListening(b)
	crashed := errors.Is(err, platform.ErrNotListening)
	again, unanswered, brokenAt := b.stats.crash.end(crashed)
	if !crashed {
		e.log.Info().Str("server", string(b.server.ID)).Err(err).Int("unanswered", len(unanswered)).Msg("server_broke_off")
		return
	}
	e.log.Warn().Str("server", string(b.server.ID)).Int64("started_at", b.server.StartedAt).Dur("ago", time.Since(brokenAt)).
		Strs("unanswered", promptNames(unanswered)).Strs("requests", digests(unanswered)).Msg("server_crashed")
	if !again {
		go e.awaitRestart(b)
	}
	if len(unanswered) > 0 {
		e.crashes.Crashed(crashcause.Crash{Server: crashcause.Server{ID: string(b.server.ID), StartedAt: b.server.StartedAt}, At: brokenAt, Requests: unanswered})
	}
}

func (e *Edge) checkListening(b *backend) error {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	return e.servers.CheckListening(ctx, b.server)
}

// awaitRestart keeps requests from a crashed server until it listens again.
func (e *Edge) awaitRestart(b *backend) {
	for range crashRechecks {
		time.Sleep(crashRecheckInterval)
		if !e.views.Load().lists(b) || !b.stats.crash.crashed.Load() || !errors.Is(e.checkListening(b), platform.ErrNotListening) {
			break
		}
	}
	b.stats.crash.answered()
	e.dispatchSlots(b.server.Service)
}

// promptNames returns the IDs of the parts of each request's prompt, for the log.
func promptNames(requests []crashcause.LostRequest) []string {
	var names []string
	for _, r := range requests {
		if len(r.Prompt) > 0 {
			names = append(names, strings.Join(r.Prompt, ","))
		}
	}
	return slices.Compact(names)
}

// digests returns the digests of requests, for the log.
func digests(requests []crashcause.LostRequest) []string {
	var out []string
	for _, r := range requests {
		out = append(out, r.Digest)
	}
	return slices.Compact(out)
}
