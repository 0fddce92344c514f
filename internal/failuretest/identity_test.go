package failuretest

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenhoist/cyclamenhoist/internal/settings"
	"github.com/cyclamenhoist/cyclamenhoist/internal/standin"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/jsonc"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// attempts are the results of all requests, by idempotency key.
type attempts struct {
	mu      sync.Mutex
	results map[string][]callResult
}

func (a *attempts) add(key string, result callResult) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.results == nil {
		a.results = map[string][]callResult{}
	}
	a.results[key] = append(a.results[key], result)
}

// assertAtMostOnce checks that each idempotency key was executed at most once and
// that no result contradicts that: a key reported as not run has no execution, and
// an answered key has exactly one. It returns how many keys were executed.
func (a *attempts) assertAtMostOnce(c *cluster) int {
	c.Helper()
	executed := 0
	for key, results := range a.results {
		executions := c.platform.PlainRuns(key)
		assert.LessOrEqual(c, executions, 1, "executions of "+key)
		executed += executions
		for _, result := range results {
			switch result.outcome {
			case notRun:
				assert.Zero(c, executions, "%s was reported as not run: %s", key, result.detail)
			case answered:
				assert.Equal(c, 1, executions, "%s was answered", key)
			}
		}
	}
	return executed
}

const identityCount = 24

// postEntriesToAll sends identityCount idempotency keys, each to all the nodes
// concurrently.
func (c *caller) postEntriesToAll(prefix string, nodes ...*node) *attempts {
	attempted, senders := &attempts{}, sync.WaitGroup{}
	for i := range identityCount {
		key := fmt.Sprintf("%s-%d", prefix, i)
		for _, n := range nodes {
			senders.Go(func() { attempted.add(key, c.postEntry(n, key)) })
		}
	}
	senders.Wait()
	return attempted
}

// TestSameIdentityAtAllInstances checks that a non-repeatable request sent to all
// instances at once is executed at most once.
func TestSameIdentityAtAllInstances(t *testing.T) {
	t.Parallel()
	c := startCluster(t, platformSettings(), nil, targetsDocument(t, true, nil), zoneA, zoneA, zoneB, zoneB)
	attempted := c.newCaller().postEntriesToAll("entry", c.nodes...)
	attempted.assertAtMostOnce(c)
	caller := c.newCaller()
	var retried atomic.Value
	c.Cleanup(func() {
		if c.Failed() {
			c.Log("last retried: ", retried.Load())
		}
	})
	for key := range attempted.results {
		for i, n := range c.nodes {
			// The request is retried because the owner of the key can be too slow to
			// answer the first one.
			c.eventually(func() bool {
				last := caller.postEntry(n, key)
				if last.outcome != answered {
					retried.Store(fmt.Sprintf("%s at instance %d, run %d times, was first %+v, now %+v", key, i, c.platform.PlainRuns(key), attempted.results[key], last))
				}
				return last.outcome == answered
			}, key+" is answered again")
		}
	}
	c.assertRequestsAccounted()
}

// afterPlainCall calls action once, after the node's first request to a plain
// service has been answered.
func afterPlainCall(n *node, action func()) {
	var once sync.Once
	n.faults.setObservers(nil, func(r *http.Request) {
		if r.URL.Path == entryPath {
			once.Do(action)
		}
	})
}

// TestInstanceDiesRightAfterItSentTheRequest checks that a non-repeatable request
// isn't executed again when its caller retries it at other instances after the
// first instance has crashed.
func TestInstanceDiesRightAfterItSentTheRequest(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct{ logDown, othersPaused bool }{
		"log up":                   {},
		"log away":                 {logDown: true},
		"others are paused before": {othersPaused: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, platformSettings(), nil, targetsDocument(t, true, nil), zoneA, zoneA, zoneB, zoneB)
			if test.logDown {
				c.setLogDown(true)
			}
			if test.othersPaused {
				for _, n := range c.nodes[1:] {
					n.pause()
				}
			}
			first, caller, attempted := c.nodes[0], c.newCaller(), &attempts{}
			executed := make(chan struct{})
			afterPlainCall(first, func() {
				first.pause()
				close(executed)
			})
			sent := newResultCounter()
			sent.send(func() callResult {
				for {
					result := caller.postEntry(first, "entry")
					select {
					case <-executed:
						attempted.add("entry", result)
						return result
					default:
						// The instances that keep the identity didn't respond in time, and the plain
						// service wasn't called.
						for _, n := range c.nodes[1:] {
							n.resume()
						}
					}
				}
			})
			<-executed
			require.Equal(t, 1, c.platform.PlainRuns("entry"))
			first.killAndWait()
			sent.wait()
			for _, n := range c.runningNodes() {
				result := caller.postEntry(n, "entry")
				assert.Contains(t, []string{unknown, answered}, result.outcome, result.detail)
				attempted.add("entry", result)
			}
			assert.Equal(t, 1, attempted.assertAtMostOnce(c))
			c.assertRequestsAccounted()
		})
	}
}

// TestSameIdentityWhileLogIsAway checks deduplication of non-repeatable requests
// while the log is unavailable.
func TestSameIdentityWhileLogIsAway(t *testing.T) {
	t.Parallel()
	c := startCluster(t, platformSettings(), nil, targetsDocument(t, true, nil), zoneA, zoneA, zoneB, zoneB)
	c.setLogDown(true)
	attempted := c.newCaller().postEntriesToAll("entry", c.nodes...)
	attempted.assertAtMostOnce(c)
	caller := c.newCaller()
	for key := range attempted.results {
		c.eventually(func() bool { return caller.postEntry(c.nodes[0], key).outcome == answered }, key+" is answered")
	}
	assert.Equal(t, identityCount, attempted.assertAtMostOnce(c), "every key runs while the instances reach each other")
	c.assertRequestsAccounted()
}

// TestSameIdentityWhileMembersChange checks deduplication of non-repeatable requests
// while one instance starts, one shuts down and one crashes.
func TestSameIdentityWhileMembersChange(t *testing.T) {
	t.Parallel()
	// The delay covers the time for which a load balancer still routes requests to
	// an instance that is shutting down.
	delayShutdown := func(s *settings.Settings) { s.Shutdown.Delay = jsonc.Duration(3 * time.Second) }
	c := startCluster(t, platformSettings(), delayShutdown, targetsDocument(t, true, nil), zoneA, zoneA, zoneB, zoneB)
	caller, results := c.newCaller(), make(chan *attempts)
	original := append([]*node(nil), c.nodes...)
	go func() { results <- caller.postEntriesToAll("early", original...) }()
	newcomer := c.addInstance(zoneA)
	original[0].stop()
	original[2].killAndWait()
	earlyAttempts := <-results
	c.eventually(func() bool { return c.status(newcomer).Ready }, "newcomer ready")
	<-original[0].exited
	for key := range earlyAttempts.results {
		// The remaining instances must agree on which keys were executed.
		for _, n := range c.runningNodes() {
			earlyAttempts.add(key, caller.postEntry(n, key))
		}
	}
	earlyAttempts.assertAtMostOnce(c)
	c.assertRequestsAccounted()
}

// TestAnswerLostAfterTheEffectIsUnknown checks that a non-repeatable request whose
// answer was lost ends as unknown, also when it is retried, and isn't executed
// again.
func TestAnswerLostAfterTheEffectIsUnknown(t *testing.T) {
	t.Parallel()
	c := startCluster(t, platformSettings(), nil, targetsDocument(t, true, nil), zoneA, zoneB)
	for _, s := range c.platform.Servers {
		if s.Kind == port.KindPlain {
			c.platform.SetServerFaults(s.ID, func(f *standin.ServerFaults) { f.LoseAnswers = -1 })
		}
	}
	caller, attempted := c.newCaller(), &attempts{}
	for i := range identityCount {
		key := fmt.Sprintf("entry-%d", i)
		for _, n := range c.nodes {
			result := caller.postEntry(n, key)
			assert.Equal(t, unknown, result.outcome, result.detail)
			attempted.add(key, result)
		}
	}
	assert.Equal(t, identityCount, attempted.assertAtMostOnce(c))
	c.assertRequestsAccounted()
}
