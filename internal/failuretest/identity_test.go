package failuretest

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenhoist/cyclamenhoist/internal/settings"
	"github.com/cyclamenhoist/cyclamenhoist/internal/standin"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/jsonc"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// attempts are the endings of one identity at all places where it was sent.
type attempts struct {
	mu   sync.Mutex
	ends map[string][]ending
}

func (a *attempts) add(key string, e ending) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ends == nil {
		a.ends = map[string][]ending{}
	}
	a.ends[key] = append(a.ends[key], e)
}

// atMostOnce asserts what holds of every identity, and returns how many ran.
func (a *attempts) atMostOnce(c *cluster) int {
	c.Helper()
	ran := 0
	for key, ends := range a.ends {
		runs := c.platform.PlainRuns(key)
		assert.LessOrEqual(c, runs, 1, "runs of "+key)
		ran += runs
		for _, e := range ends {
			switch e.how {
			case notRun:
				assert.Zero(c, runs, "%s was said not to have run: %s", key, e.detail)
			case answered:
				assert.Equal(c, 1, runs, "%s was answered", key)
			}
		}
	}
	return ran
}

const identities = 24

// enterEverywhere sends each identity to all the nodes at once.
func (c *caller) enterEverywhere(prefix string, nodes ...*node) *attempts {
	all, sent := &attempts{}, sync.WaitGroup{}
	for i := range identities {
		key := fmt.Sprintf("%s-%d", prefix, i)
		for _, n := range nodes {
			sent.Go(func() { all.add(key, c.enter(n, key)) })
		}
	}
	sent.Wait()
	return all
}

func TestSameIdentityAtAllInstances(t *testing.T) {
	t.Parallel()
	c := start(t, platformSettings(), nil, document(t, true, nil), zoneA, zoneA, zoneB, zoneB)
	all := c.caller().enterEverywhere("entry", c.nodes...)
	all.atMostOnce(c)
	caller := c.caller()
	for key := range all.ends {
		for _, n := range c.nodes {
			// An owner that was late to answer is asked again.
			c.eventually(func() bool { return caller.enter(n, key).how == answered }, key+" is answered again")
		}
	}
	c.balanced()
}

// onPlainCall calls do once, after the node's first answer of a plain service.
func onPlainCall(n *node, do func()) {
	var once sync.Once
	n.links.watch(nil, func(r *http.Request) {
		if r.URL.Path == entryPath {
			once.Do(do)
		}
	})
}

func TestInstanceDiesRightAfterItSentTheRequest(t *testing.T) {
	t.Parallel()
	for name, logAway := range map[string]bool{"log up": false, "log away": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := start(t, platformSettings(), nil, document(t, true, nil), zoneA, zoneA, zoneB, zoneB)
			if logAway {
				c.logAway(true)
			}
			first, caller, all := c.nodes[0], c.caller(), &attempts{}
			ran := make(chan struct{})
			onPlainCall(first, func() {
				first.pause()
				close(ran)
			})
			sent := newTally()
			sent.run(func() ending {
				e := caller.enter(first, "entry")
				all.add("entry", e)
				return e
			})
			<-ran
			require.Equal(t, 1, c.platform.PlainRuns("entry"))
			first.end()
			sent.wait()
			for _, n := range c.running() {
				e := caller.enter(n, "entry")
				assert.Contains(t, []string{unknown, answered}, e.how, e.detail)
				all.add("entry", e)
			}
			assert.Equal(t, 1, all.atMostOnce(c))
			c.balanced()
		})
	}
}

func TestSameIdentityWhileLogIsAway(t *testing.T) {
	t.Parallel()
	c := start(t, platformSettings(), nil, document(t, true, nil), zoneA, zoneA, zoneB, zoneB)
	c.logAway(true)
	all := c.caller().enterEverywhere("entry", c.nodes...)
	all.atMostOnce(c)
	caller := c.caller()
	for key := range all.ends {
		c.eventually(func() bool { return caller.enter(c.nodes[0], key).how == answered }, key+" is answered")
	}
	assert.Equal(t, identities, all.atMostOnce(c), "the instances reach each other")
	c.balanced()
}

func TestSameIdentityWhileMembersChange(t *testing.T) {
	t.Parallel()
	// The balancer sends requests for a while after an instance has begun to stop.
	late := func(s *settings.Settings) { s.Shutdown.Delay = jsonc.Duration(3 * time.Second) }
	c := start(t, platformSettings(), late, document(t, true, nil), zoneA, zoneA, zoneB, zoneB)
	caller, results := c.caller(), make(chan *attempts)
	before := append([]*node(nil), c.nodes...)
	go func() { results <- caller.enterEverywhere("early", before...) }()
	newcomer := c.add(zoneA)
	before[0].stop()
	before[2].end()
	early := <-results
	c.eventually(func() bool { return c.status(newcomer).Ready }, "newcomer ready")
	<-before[0].ended
	for key := range early.ends {
		// The identities of all who stay agree on what has run.
		for _, n := range c.running() {
			early.add(key, caller.enter(n, key))
		}
	}
	early.atMostOnce(c)
	c.balanced()
}

func TestAnswerLostAfterTheEffectIsUnknown(t *testing.T) {
	t.Parallel()
	c := start(t, platformSettings(), nil, document(t, true, nil), zoneA, zoneB)
	for _, s := range c.platform.Servers {
		if s.Kind == port.KindPlain {
			c.platform.SetServerFaults(s.ID, func(f *standin.ServerFaults) { f.LoseAnswers = -1 })
		}
	}
	caller, all := c.caller(), &attempts{}
	for i := range identities {
		key := fmt.Sprintf("entry-%d", i)
		for _, n := range c.nodes {
			e := caller.enter(n, key)
			assert.Equal(t, unknown, e.how, e.detail)
			all.add(key, e)
		}
	}
	assert.Equal(t, identities, all.atMostOnce(c))
	c.balanced()
}
