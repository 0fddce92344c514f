package edge_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenhoist/cyclamenhoist/internal/edge"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/platform/standin"
)

const (
	// restSettled is the time after a rejection with Retry-After from which on at most restArrivals
	// requests are to reach the server from the same instance, until the time is over.
	restSettled  = 500 * time.Millisecond
	restArrivals = 2
)

// rejectEach makes the server reject the requests of each instance for a time, from the first one
// after now.
func (s *standingServer) rejectEach(rest time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejectFrom, s.rejectFor = time.Now(), rest
	clear(s.rejections)
}

// duringRest returns the highest number of requests that have reached the server from one instance
// while it wanted none.
func (s *standingServer) duringRest() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts, highest := map[string]int{}, 0
	for _, a := range s.arrivals {
		r, rejected := s.rejections[a.from]
		if rejected && a.at.After(r.at.Add(restSettled)) && a.at.Before(r.until) {
			counts[a.from]++
			highest = max(highest, counts[a.from])
		}
	}
	return highest
}

// TestRequestsReachAServerDuringItsRetryAfter: a server that had rejected a request with a
// Retry-After got requests from the same instance all the while.
func TestRequestsReachAServerDuringItsRetryAfter(t *testing.T) {
	for name, c := range map[string]struct {
		service   string
		perSecond float64
		rest      time.Duration
		// cut are the instances that lose their paths a second after the start.
		cut []int
	}{
		"plain":                  {service: plain, perSecond: 300, rest: 1500 * time.Millisecond},
		"plain, longer":          {service: plain, perSecond: 300, rest: 3 * time.Second},
		"engines":                {service: engine, perSecond: 300, rest: 3 * time.Second},
		"engines, waiting":       {service: engine, perSecond: 2000, rest: 3 * time.Second},
		"some instances relayed": {service: plain, perSecond: 300, rest: 3 * time.Second, cut: []int{0, 1}},
		"most instances relayed": {service: engine, perSecond: 300, rest: 3 * time.Second, cut: []int{0, 1, 2, 3, 4}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			inVirtualTime(t, func(t *testing.T) {
				f := newStandingFleet(t, c.service, 6, 4)
				time.AfterFunc(time.Second, func() { f.paths.setPaths(pathHangs, c.cut...) })
				resting := f.standing["s1"]
				time.AfterFunc(5*time.Second, func() { resting.rejectEach(c.rest) })
				f.play(5*time.Second+c.rest, c.perSecond, 1)
				assert.NotEmpty(t, resting.rejections)
				assert.LessOrEqual(t, resting.duringRest(), restArrivals, "requests while the server wanted none")
				since, received := time.Now(), len(resting.received())
				statuses := f.play(3*time.Second, c.perSecond, 2)
				assert.Greater(t, len(resting.received()), received, "the server is used again")
				if c.perSecond <= 300 {
					assert.Len(t, statuses, 1, "all are served since %v: %v", since, statuses)
				}
			})
		})
	}
}

// A server that rejects a request with a Retry-After after the request was given up got more
// requests: nobody had read the answer.
func TestRetryAfterOfARequestThatWasGivenUp(t *testing.T) {
	for name, c := range map[string]struct {
		service               string
		rejectAfter, patience time.Duration
		unsafe                bool
	}{
		"some clients leave":          {service: plain, rejectAfter: 300 * time.Millisecond, patience: 250 * time.Millisecond},
		"clients leave":               {service: plain, rejectAfter: 300 * time.Millisecond, patience: 250 * time.Millisecond},
		"first byte is late":          {service: plain, rejectAfter: time.Second},
		"time limit has passed":       {service: plain, rejectAfter: 3001 * time.Millisecond, unsafe: true},
		"engine, some clients leave":  {service: engine, rejectAfter: 300 * time.Millisecond, patience: 250 * time.Millisecond},
		"engine, clients leave":       {service: engine, rejectAfter: 300 * time.Millisecond, patience: 250 * time.Millisecond},
		"engine, first byte is late":  {service: engine, rejectAfter: time.Second},
		"rejects at half of the time": {service: plain, rejectAfter: 1500 * time.Millisecond, unsafe: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			inVirtualTime(t, func(t *testing.T) {
				f := newStandingFleet(t, c.service, 3, 4)
				f.unsafe = c.unsafe
				f.patience = func(id string) time.Duration {
					if strings.Contains(name, "some") && strings.HasSuffix(id, "0") {
						return 0
					}
					return c.patience
				}
				resting := f.standing["s1"]
				resting.rejectAfter = c.rejectAfter
				time.AfterFunc(2*time.Second, func() { resting.rejectEach(10 * time.Second) })
				f.play(16*time.Second, 60, 1)
				assert.NotEmpty(t, resting.rejections)
				assert.LessOrEqual(t, resting.duringRest(), restArrivals, "requests while the server wanted none")
			})
		})
	}
}

// While all servers want no requests, what can't wait for them is refused at once, until the first
// of them accepts requests again. What can wait is served then.
func TestAllServersWantNoRequests(t *testing.T) {
	for _, service := range []string{plain, engine} {
		t.Run(service, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				f := newStandingFleet(t, service, 1, 2)
				f.standing["s0"].rejectEach(4 * time.Second)
				f.standing["s1"].rejectEach(6 * time.Second)
				for id := range f.standing {
					for f.standing[id].fromInstance(instanceName(0), time.Time{}) == 0 {
						f.burst(0, fmt.Sprint("first", id, time.Now().UnixNano()))
					}
				}
				began := time.Now()
				got := f.request(0, "refused")
				assert.Equal(t, http.StatusServiceUnavailable, got.Code)
				assert.Zero(t, time.Since(began))
				retryAfter, err := strconv.ParseFloat(got.Header().Get("Retry-After"), 64)
				assert.NoError(t, err)
				restEnds := f.standing["s0"].rejections[instanceName(0)].until
				assert.GreaterOrEqual(t, began.Add(time.Duration(retryAfter*float64(time.Second))).Add(time.Millisecond), restEnds)
				time.Sleep(time.Until(restEnds) - time.Second)
				began = time.Now()
				assert.Equal(t, http.StatusOK, f.request(0, "waits").Code)
				assert.GreaterOrEqual(t, time.Since(began), time.Second)
				for _, s := range f.standing {
					assert.LessOrEqual(t, s.duringRest(), restArrivals)
				}
			})
		})
	}
}

// An attempt isn't given up for a server that wants no requests: the request would run twice, and
// later.
func TestRestingServerIsNoAlternative(t *testing.T) {
	for _, service := range []string{plain, engine} {
		t.Run(service, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				f := newStandingFleet(t, service, 1, 2)
				slow := f.standing["s0"]
				slow.work = 2 * time.Second
				f.views[0].SetStanding(edge.Standing{Server: "s1", RestUntil: time.Now().Add(time.Minute)}, time.Now())
				assert.Equal(t, http.StatusOK, f.request(0, "id").Code)
				assert.Len(t, slow.received(), 1)
				assert.Empty(t, f.standing["s1"].received())
			})
		})
	}
}

// A second Retry-After extends the time that the first one has begun, and doesn't shorten it.
func TestRetryAfterIsExtendedAndNotShortened(t *testing.T) {
	for name, c := range map[string]struct {
		// rests are what the server says, a hundred milliseconds apart, and ends when it accepts
		// requests again.
		rests []time.Duration
		ends  time.Duration
	}{
		"extended":           {[]time.Duration{time.Second, 3 * time.Second}, 3100 * time.Millisecond},
		"shorter":            {[]time.Duration{3 * time.Second, time.Second}, 3 * time.Second},
		"extended, shorter":  {[]time.Duration{time.Second, 3 * time.Second, 500 * time.Millisecond}, 3100 * time.Millisecond},
		"none after a while": {[]time.Duration{2 * time.Second, 0}, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				f := newStandingFleet(t, plain, 1, 2)
				began := time.Now()
				for _, rest := range c.rests {
					f.views[0].SetStanding(edge.Standing{Server: "s1", RestUntil: time.Now().Add(rest)}, time.Now())
					time.Sleep(100 * time.Millisecond)
				}
				time.Sleep(time.Until(began.Add(c.ends - time.Millisecond)))
				f.burst(0, "before")
				assert.Empty(t, f.standing["s1"].received())
				time.Sleep(time.Until(began.Add(c.ends)))
				f.burst(0, "after")
				assert.NotEmpty(t, f.standing["s1"].received())
			})
		})
	}
}

// A relay that starts after it was told, or while it is told, learns from the first rejection that
// it relays, and the instance whose request was rejected leaves the server alone.
func TestRelayThatStartsAgainDuringARest(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newStandingFleet(t, plain, 3, 2)
		f.paths.setPaths(pathRefuses, 0, 1)
		f.burst(0, "cut")
		f.burst(1, "cut too")
		time.Sleep(time.Second)
		resting := f.standing["s0"]
		resting.rejectEach(20 * time.Second)
		f.burst(0, "rejected")
		assert.NotEmpty(t, resting.rejections[instanceName(2)])
		f.restart(2)
		resting.mu.Lock()
		clear(resting.rejections) // a restart of the relay excuses what it sends
		resting.mu.Unlock()
		for n := range 5 {
			f.burst(1, fmt.Sprint("other", n))
			f.burst(0, fmt.Sprint("again", n))
			f.burst(2, fmt.Sprint("own", n))
			time.Sleep(restSettled)
		}
		assert.LessOrEqual(t, resting.duringRest(), restArrivals)
	})
}

// A server that wants no requests for a time is still left alone when its entry was lost meanwhile,
// and gets requests at once when it has started again.
func TestRestEndsWithTheIncarnation(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newStandingFleet(t, plain, 1, 2)
		resting := f.standing["s0"]
		resting.rejectEach(time.Minute)
		f.burst(0, "first")
		assert.NotEmpty(t, resting.rejections)
		time.Sleep(time.Second)
		entry := *f.servers["s0"]
		delete(f.servers, "s0")
		f.publish()
		time.Sleep(time.Second)
		f.servers["s0"] = &entry
		f.publish()
		received := len(resting.received())
		f.burst(0, "listed again")
		assert.Len(t, resting.received(), received)
		restarted := entry
		restarted.StartedAt = 7
		f.servers["s0"] = &restarted
		resting.mu.Lock()
		resting.rejectFrom = time.Time{}
		resting.mu.Unlock()
		f.publish()
		f.burst(0, "started again")
		assert.Greater(t, len(resting.received()), received)
	})
}

// An instance that has relayed a rejection sends no requests of its own to the server, and one
// whose own request was rejected relays none.
func TestRestAppliesToTheInstanceThatTheServerSees(t *testing.T) {
	for name, c := range map[string]struct{ rejected, later int }{
		"relayed rejection, own request": {0, 1},
		"own rejection, relayed request": {1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				f := newStandingFleet(t, plain, 2, 2)
				f.paths.setPaths(pathRefuses, 0)
				f.burst(0, "cut")
				time.Sleep(time.Second)
				f.burst(0, "relayed")
				resting := f.standing["s0"]
				resting.rejectEach(10 * time.Second)
				f.burst(c.rejected, "rejected")
				assert.NotEmpty(t, resting.rejections[instanceName(1)])
				time.Sleep(restSettled)
				for n := range 5 {
					f.burst(c.later, fmt.Sprint("later", n))
				}
				assert.Zero(t, resting.duringRest())
			})
		})
	}
}

// A Retry-After of another status, or that isn't a number, changes nothing.
func TestOtherRetryAfterIsIgnored(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		value  string
	}{
		"429":       {http.StatusTooManyRequests, "60"},
		"a date":    {http.StatusServiceUnavailable, "Fri, 04 Dec 2026 10:00:00 GMT"},
		"negative":  {http.StatusServiceUnavailable, "-5"},
		"zero":      {http.StatusServiceUnavailable, "0"},
		"empty":     {http.StatusServiceUnavailable, ""},
		"no number": {http.StatusServiceUnavailable, "NaN"},
		"not a 503": {http.StatusOK, "60"},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				f := newVirtualFleet(t)
				rejects := true
				f.addServer(&fleet.Server{ID: "s0", Service: plain, Zone: "zone-a", Slots: 8}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					w.Header().Set(standin.HeaderID, r.Header.Get(standin.HeaderID))
					if rejects {
						rejects = false
						w.Header().Set("Retry-After", c.value)
						if c.status != http.StatusOK {
							w.Header().Set(standin.HeaderNotExecuted, "1")
						}
						w.WriteHeader(c.status)
						return
					}
					w.Header().Set(standin.HeaderSignature, "signed")
				}))
				e := f.newInstance("i", f.newViews(testManifest()), 1)
				assert.Equal(t, http.StatusOK, f.send(t.Context(), e, "id", "/read/x", nil).Code)
				assert.Equal(t, http.StatusOK, f.send(t.Context(), e, "next", "/read/x", nil).Code)
			})
		})
	}
}
