package edge_test

import (
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenhoist/cyclamenhoist/internal/edge"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
)

const (
	handoverSeeds = 80
	// goneLimit is how long a server can be at work on a request after its client is gone.
	goneLimit = 500 * time.Millisecond
	// stallFloor is the least time after which a silent attempt is followed by another one, and
	// stallObjectives that time in multiples of the route's objective.
	stallFloor      = 400 * time.Millisecond
	stallObjectives = 2
	// handoverMargin is within which a waiting request looks at the servers again.
	handoverMargin = 20 * time.Millisecond
	// refusalBackoff is the time after which a request is sent again to servers that have all refused
	// it at first; the time doubles.
	refusalBackoff = 50 * time.Millisecond
	// budgetWindow and budgetRatio limit the retries of a service, beside the extra ones.
	budgetWindow = 10 * time.Second
	budgetRatio  = 0.2
)

// handoverTroubles are those in which one server is to take over from another.
var handoverTroubles = []trouble{
	{name: "silent", silent: 0.5, dark: 0.1, states: []serverState{stateFull}, part: 0.1},
	{name: "silent, broken off", silent: 0.4, dark: 0.1, breaks: 0.2},
	{name: "silent beside others", silent: 0.3, dark: 0.1, fails: 0.1, breaks: 0.1, refuses: 0.1, part: 0.2, states: []serverState{
		stateFull, stateRests, stateLeaves, stateCrashed, stateUnreachable, stateUnlisted, stateUnloaded,
	}},
}

// playHandovers plays all seeds, and passes each play to a check when it has ended.
func playHandovers(t *testing.T, leaves bool, check func(t *testing.T, p *heldPlay)) {
	for seed := range handoverSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			inVirtualTime(t, func(t *testing.T) {
				p := newHeldPlay(t, seed, handoverTroubles)
				p.leaves = leaves
				p.run()
				check(t, p)
			})
		})
	}
}

// No request runs at more servers than its route allows, and an unrepeatable one at one.
func TestHandoverKeepsMaxAttempts(t *testing.T) {
	playHandovers(t, false, func(t *testing.T, p *heldPlay) {
		for _, got := range p.replies {
			allowed := p.maxAttempts
			if got.path == "/write/x" || got.path == "/once/x" {
				allowed = 1
			}
			assert.LessOrEqual(t, len(p.runs[got.id]), allowed, "%s %s", got.id, got.path)
		}
	})
}

// The events of a stream have no gap and no repeat, and each run adds one piece at most, of one version.
func TestHandoverKeepsTheOrderOfEvents(t *testing.T) {
	playHandovers(t, false, func(t *testing.T, p *heldPlay) {
		for _, got := range p.replies {
			if !got.isStream() {
				continue
			}
			assert.True(t, got.inOrder(), "%s: %q", got.id, got.body)
			pieces, last, versions := 0, "", map[string]bool{}
			for _, server := range got.eventServers() {
				if server != last {
					pieces++
				}
				last = server
				versions[p.scripted[fleet.ServerID(server)].entry.Version] = true
			}
			assert.LessOrEqual(t, pieces, len(p.runs[got.id]), "%s: %q", got.id, got.body)
			assert.LessOrEqual(t, len(versions), 1, "%s: %q", got.id, got.body)
		}
	})
}

// No server is at work on a request half a second after its client has left or has been answered.
func TestHandoverLeavesNoRunBehind(t *testing.T) {
	playHandovers(t, true, func(t *testing.T, p *heldPlay) {
		for _, got := range p.replies {
			for _, r := range p.runs[got.id] {
				assert.False(t, r.over.IsZero() || r.over.After(got.gone.Add(goneLimit)), "%s %s: the client was gone at %v, %s at work until %v",
					got.id, got.path, got.gone.Sub(got.arrived), r.server.entry.ID, r.over.Sub(got.arrived))
			}
		}
	})
}

// bothAnswer returns until when two runs of a stream were open after one of them had sent an event while
// both were, and that moment; false if none has.
func bothAnswer(a, b *run) (from, until time.Time, found bool) {
	opened, until := a.began, a.over
	if b.began.After(opened) {
		opened = b.began
	}
	if b.over.Before(until) {
		until = b.over
	}
	for _, r := range []*run{a, b} {
		for _, sent := range r.parts {
			if !sent.Before(opened) && !sent.After(until) && (!found || sent.Before(from)) {
				from, found = sent, true
			}
		}
	}
	return from, until, found
}

// Of two servers that run a stream, one ends soon after the other has sent an event.
func TestHandoverEndsTheOtherRun(t *testing.T) {
	playHandovers(t, false, func(t *testing.T, p *heldPlay) {
		for _, got := range p.replies {
			runs := p.runs[got.id]
			for n, a := range runs {
				for _, b := range runs[n+1:] {
					if from, until, found := bothAnswer(a, b); found && got.isStream() {
						assert.LessOrEqual(t, until.Sub(from), handoverLimit, "%s: %s and %s both run", got.id, a.server.entry.ID, b.server.entry.ID)
					}
				}
			}
		}
	})
}

// Silent, refusing, unreachable and crashed servers beside a sound one cost no more arrivals at servers than
// the retry budget of all instances allows.
func TestHandoverKeepsTheRetryBudget(t *testing.T) {
	const instances, every, lasts = 3, 25 * time.Millisecond, 20 * time.Second
	for _, extra := range []float64{0, 4, 8, 40, 200} {
		for _, path := range []string{"/read/x", "/stream/x"} {
			t.Run(fmt.Sprint(path, " extra ", extra), func(t *testing.T) {
				t.Parallel()
				inVirtualTime(t, func(t *testing.T) {
					f := newScriptedFleet(t)
					f.retryExtra = extra
					service := plain
					if path == "/stream/x" {
						service = engine
					}
					f.addScripted("sound", service, "v1", always(script{}))
					f.addScripted("silent", service, "v1", always(script{before: 2 * time.Second}))
					f.addScripted("silent within", service, "v1", always(script{within: 2 * time.Second, after: 1}))
					f.addScripted("dark", service, "v1", always(script{dark: true}))
					f.addScripted("refuses", service, "v1", always(script{refuses: "full"}))
					f.setUnreachable(f.addScripted("unreachable", service, "v1", nil), true)
					f.crash(f.addScripted("crashed", service, "v1", nil))
					var edges []*edge.Edge
					for n := range instances {
						edges = append(edges, f.addInstance(instanceName(n), f.newViews(testManifest()), instances))
					}
					began := time.Now()
					var arrived []time.Time
					for n := range int(lasts / every) {
						arrived = append(arrived, time.Now())
						go f.ask(t.Context(), edges[n%instances], fmt.Sprint("id", n), path, heldLimit)
						time.Sleep(every)
					}
					time.Sleep(2 * heldLimit)
					synctest.Wait()
					var retries []time.Time
					for _, all := range f.arrivals {
						for _, a := range all[1:] {
							retries = append(retries, a.at)
						}
					}
					assert.NotEmpty(t, retries)
					most := 0
					for _, end := range retries {
						if extra < instances && end.Sub(began) < budgetWindow {
							continue // an instance can always make one retry, which the ratio offsets later
						}
						spent := within(retries, end)
						most = max(most, spent)
						assert.LessOrEqual(t, float64(spent), extra+budgetRatio*float64(within(arrived, end)), "retries until %v", end.Sub(began))
					}
					t.Logf("%d retries of %d requests, %d in a window", len(retries), len(arrived), most)
				})
			})
		}
	}
}

// within returns how many of the times are in the budget's window that ends at one of them.
func within(times []time.Time, end time.Time) (n int) {
	for _, at := range times {
		if !at.After(end) && at.After(end.Add(-budgetWindow)) {
			n++
		}
	}
	return n
}

// darkCase is a server that says nothing more, beside others.
type darkCase struct {
	// after is the number of events before it is silent, and gap the objective for the time between
	// two events.
	after int
	gap   time.Duration
	// refusesFor is how long the sound server refuses, from its first request on.
	refusesFor time.Duration
	// refusing and unreachable add a server that is of no use.
	refusing, unreachable bool
	maxAttempts           int
}

// limit is the time from the last event, or from the request, to the run at the sound server.
func (c darkCase) limit(route fleet.Route) time.Duration {
	limit := max(stallObjectives*c.gap, stallFloor) + handoverMargin
	if c.after == 0 {
		// The prompt is expected to be read in less than the objective, by one of the slots.
		limit = max(stallObjectives*route.TargetLatency, stallFloor) + route.TargetLatency/scriptedSlots + handoverMargin
	}
	if c.unreachable {
		limit += connectTimeout
	}
	if c.refusesFor > 0 {
		limit += 2*c.refusesFor + refusalBackoff
	}
	return limit
}

// play sends one stream, which begins at the dark server, and checks who goes on with it.
func (c darkCase) play(t *testing.T) {
	f := newScriptedFleet(t)
	f.addScripted("dark", engine, "v1", always(script{after: c.after, dark: true}))
	list, services := manifestParts()
	for n := range list {
		list[n].MaxAttempts, list[n].GapTarget = c.maxAttempts, c.gap
	}
	views := f.newViews(fleet.NewManifest(1, list, services, fleet.CallerLimits{MaxBodyBytes: 1000}))
	e := f.addInstance("i0", views, 1)
	var first time.Time
	f.addScripted("sound", engine, "v1", func(string, int) script {
		if first.IsZero() {
			first = time.Now()
		}
		if time.Since(first) < c.refusesFor {
			return script{refuses: "full"}
		}
		return script{}
	})
	if c.refusing {
		f.addScripted("refuses", engine, "v1", always(script{refuses: "full"}))
	}
	if c.unreachable {
		f.setUnreachable(f.addScripted("unreachable", engine, "v1", nil), true)
	}
	time.AfterFunc(handoverMargin, func() { views.SetServers(maps.Clone(f.servers)) })
	got := f.ask(t.Context(), e, "id", "/stream/x", heldLimit)
	time.Sleep(goneLimit)
	synctest.Wait()
	assert.True(t, got.isWhole(), "status %d: %q", got.status, got.body)
	runs := f.runs["id"]
	var servers []string
	for _, r := range runs {
		servers = append(servers, string(r.server.entry.ID))
	}
	require.Equal(t, []string{"dark", "sound"}, servers)
	silentFrom := runs[0].began
	if c.after > 0 {
		silentFrom = runs[0].parts[c.after-1]
	}
	assert.LessOrEqual(t, runs[1].began.Sub(silentFrom), c.limit(list[2]))
	require.NotEmpty(t, runs[1].parts)
	assert.LessOrEqual(t, runs[0].over.Sub(runs[1].parts[0]), handoverLimit, "the dark server's run ends")
}

// playDarkCases plays cases for each place in a stream, objective and number of attempts.
func playDarkCases(t *testing.T, cases map[string]darkCase) {
	for name, c := range cases {
		for _, c.after = range []int{0, 1, 4} {
			for _, c.gap = range []time.Duration{100 * time.Millisecond, 400 * time.Millisecond} {
				for _, c.maxAttempts = range []int{2, 3} {
					play := c.play
					t.Run(fmt.Sprintf("%s, after %d, gap %v, attempts %d", name, c.after, c.gap, c.maxAttempts), func(t *testing.T) {
						t.Parallel()
						inVirtualTime(t, play)
					})
				}
			}
		}
	}
}

// A stream at a server that says nothing more goes on at another one after twice the objective, and what
// it takes to reach that one.
func TestStreamOfADarkServerIsTakenOver(t *testing.T) {
	playDarkCases(t, map[string]darkCase{
		"one other":         {},
		"one refuses":       {refusing: true},
		"one isn't reached": {unreachable: true},
		"neither":           {refusing: true, unreachable: true},
	})
}

// A stream was sent again to the server that had just fallen silent under it, because the others refused it
// at first.
func TestStreamReturnedToADarkServer(t *testing.T) {
	playDarkCases(t, map[string]darkCase{
		"the other refuses at first":  {refusesFor: 300 * time.Millisecond},
		"one of two refuses at first": {refusesFor: 300 * time.Millisecond, refusing: true},
		"one of two is never reached": {refusesFor: 300 * time.Millisecond, unreachable: true},
	})
}
