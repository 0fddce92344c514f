package edge

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/crashcause"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

const (
	// crashCheckDelay is the time for which exchanges that break at the same moment are collected
	// before the server is checked.
	crashCheckDelay = 2 * time.Millisecond
	// crashCheckTimeout limits the check whether a server still listens.
	crashCheckTimeout = 300 * time.Millisecond
)

// crashCheck finds out whether a server whose exchanges break has crashed.
type crashCheck struct {
	mu sync.Mutex
	// brokenAt is when the first of the exchanges broke, and prompts are those that the server
	// hadn't begun to answer.
	brokenAt time.Time
	prompts  []crashcause.Prompt
	running  bool
}

// begin adds a broken exchange, and reports whether the caller has to run the check. prompt is
// nil if the server had begun to answer it.
func (c *crashCheck) begin(prompt crashcause.Prompt, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if prompt != nil {
		c.prompts = append(c.prompts, prompt)
	}
	if c.running {
		return false
	}
	c.running, c.brokenAt = true, now
	return true
}

// end returns what was added since begin.
func (c *crashCheck) end() (prompts []crashcause.Prompt, brokenAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	prompts, c.prompts, c.running = c.prompts, nil, false
	return prompts, c.brokenAt
}

// investigateCrash finds out, in the background, whether the server whose exchange has broken
// off has crashed.
func (q *request) investigateCrash(b *backend) {
	var unanswered crashcause.Prompt
	if q.lastEvent < 0 && len(q.prompt) > 0 {
		unanswered = q.prompt
	}
	if !b.stats.crash.begin(unanswered, time.Now()) {
		return
	}
	go q.edge.checkCrash(b)
}

func (e *Edge) checkCrash(b *backend) {
	time.Sleep(crashCheckDelay)
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	err := e.servers.CheckListening(ctx, b.server)
	prompts, brokenAt := b.stats.crash.end()
	if !errors.Is(err, platform.ErrNotListening) {
		e.log.Info().Str("server", string(b.server.ID)).Err(err).Int("unanswered", len(prompts)).Msg("server_broke_off")
		return
	}
	e.log.Warn().Str("server", string(b.server.ID)).Int64("started_at", b.server.StartedAt).Dur("ago", time.Since(brokenAt)).
		Strs("unanswered", promptNames(prompts)).Msg("server_crashed")
}

// promptNames returns the IDs of the parts of each prompt, for the log.
func promptNames(prompts []crashcause.Prompt) []string {
	names := make([]string, 0, len(prompts))
	for _, p := range prompts {
		names = append(names, strings.Join(p, ","))
	}
	return slices.Compact(names)
}
