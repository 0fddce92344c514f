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

// Crashes knows the prompt parts that crash servers, from what all instances see.
type Crashes interface {
	// Crashed records a crash that this instance has seen.
	Crashed(c crashcause.Crash)
	// Answered records that a server has begun to answer a request.
	Answered(p crashcause.Prompt)
	// Blocked returns the part of the prompt that crashes servers, and false if it has none.
	Blocked(p crashcause.Prompt) (string, bool)
	// OnBlock sets the function that is called for each part that becomes blocked.
	OnBlock(blocked func(crashcause.Block))
}

// errPartBlocked cancels requests when a part of their prompts is found to crash servers.
var errPartBlocked = errors.New("a part of the prompt crashes servers")

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

// cancelWith cancels the requests whose prompts have a part, and returns how many there are.
func (u *unanswered) cancelWith(part string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := 0
	for q, cancel := range u.cancels {
		if q.prompt.Shares(part) {
			cancel(errPartBlocked)
			n++
		}
	}
	return n
}

// partBlocked refuses the requests with a part that crashes servers. Those that wait are
// refused, and those that a server hasn't begun to answer are canceled there.
func (e *Edge) partBlocked(b crashcause.Block) {
	n := e.unanswered.cancelWith(b.Part)
	e.log.Warn().Str("part", b.Part).Int("crashes", b.Crashes).Dur("for", time.Until(b.Until)).Int("canceled", n).Msg("prompt_part_blocked")
}

// recordAnswered records that a server has begun to answer the request.
func (q *request) recordAnswered() {
	if len(q.prompt) == 0 {
		return
	}
	q.edge.unanswered.remove(q)
	q.edge.crashes.Answered(q.prompt)
}

// crashCheck finds out whether a server whose exchanges break has crashed.
type crashCheck struct {
	// crashed is true from a crash on until the server answers again.
	crashed atomic.Bool

	mu sync.Mutex
	// brokenAt is when the first exchange of the current check, or of the last crash, broke.
	brokenAt time.Time
	// prompts are those of broken exchanges that the server hadn't begun to answer.
	prompts []crashcause.Prompt
	// digests are those of requests whose exchanges broke before an answer began.
	digests []string
	running bool
}

// begin adds an exchange that began at sentAt and has broken, and reports whether the caller has
// to run the check. prompt is nil, and digest empty, if the server had begun to answer. Requests that
// are sent after a crash tell nothing of it.
func (c *crashCheck) begin(prompt crashcause.Prompt, digest string, sentAt, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if (c.running || c.crashed.Load()) && sentAt.After(c.brokenAt) {
		return false
	}
	if prompt != nil {
		c.prompts = append(c.prompts, prompt)
	}
	if digest != "" {
		c.digests = append(c.digests, digest)
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
func (c *crashCheck) end(crashed bool) (again bool, prompts []crashcause.Prompt, digests []string, brokenAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	again = c.crashed.Swap(crashed) && crashed
	prompts, digests = c.prompts, c.digests
	c.prompts, c.digests, c.running = nil, nil, false
	return again, prompts, digests, c.brokenAt
}

// answered records that the server answers.
func (c *crashCheck) answered() {
	if c.crashed.Load() {
		c.crashed.Store(false)
	}
}

// investigateCrash finds out, in the background, whether the server whose exchange has broken
// off has crashed.
func (q *request) investigateCrash(b *backend) {
	var unanswered crashcause.Prompt
	digest := ""
	if q.lastEvent < 0 {
		digest = q.digest()
		if len(q.prompt) > 0 {
			unanswered = q.prompt
		}
	}
	q.edge.investigateCrash(b, unanswered, digest, q.progress.sentAt)
}

func (e *Edge) investigateCrash(b *backend, unanswered crashcause.Prompt, digest string, sentAt time.Time) {
	if b.stats.crash.begin(unanswered, digest, sentAt, time.Now()) {
		go e.checkCrash(b)
	}
}

// checkCrash finds out whether a server has crashed, and whether it runs again.
func (e *Edge) checkCrash(b *backend) {
	time.Sleep(crashCheckDelay)
	err := e.checkListening(b)
	crashed := errors.Is(err, platform.ErrNotListening)
	again, prompts, digests, brokenAt := b.stats.crash.end(crashed)
	if !crashed {
		e.log.Info().Str("server", string(b.server.ID)).Err(err).Int("unanswered", len(prompts)).Msg("server_broke_off")
		return
	}
	e.log.Warn().Str("server", string(b.server.ID)).Int64("started_at", b.server.StartedAt).Dur("ago", time.Since(brokenAt)).
		Strs("unanswered", promptNames(prompts)).Strs("requests", digests).Msg("server_crashed")
	if !again {
		go e.awaitRestart(b)
	}
	if len(prompts) > 0 {
		e.crashes.Crashed(crashcause.Crash{Server: crashcause.Server{ID: string(b.server.ID), StartedAt: b.server.StartedAt}, At: brokenAt, Prompts: prompts})
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

// promptNames returns the IDs of the parts of each prompt, for the log.
func promptNames(prompts []crashcause.Prompt) []string {
	names := make([]string, 0, len(prompts))
	for _, p := range prompts {
		names = append(names, strings.Join(p, ","))
	}
	return slices.Compact(names)
}
