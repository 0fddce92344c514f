package edge_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenhoist/cyclamenhoist/platform/standin"
)

// repeatCrashes is the number of crashes under one request after which, and after knownAfter, up to
// lateArrivals more of its repeats can reach servers.
const repeatCrashes = 3

// deadlyRequest is a request that crashes each server which runs it. It comes again and again.
type deadlyRequest struct {
	arrivals []time.Time
	// crashes are those of servers that were running it, whichever request they crashed under.
	crashes []time.Time
	// runs are the servers that run it, and how many times.
	runs map[string]int
}

// late returns how many repeats have reached servers too late.
func (d *deadlyRequest) late() int {
	if len(d.crashes) < repeatCrashes {
		return 0
	}
	n := 0
	for _, at := range d.arrivals {
		if at.After(d.crashes[repeatCrashes-1].Add(knownAfter)) {
			n++
		}
	}
	return n
}

// crashesUnder reports whether the request is a deadly one, under which the server crashes.
func (f *crashFleet) crashesUnder(id string, r *http.Request) bool {
	body, err := io.ReadAll(r.Body)
	f.mu.Lock()
	deadly := f.repeats[string(body)]
	if deadly == nil || err != nil {
		f.mu.Unlock()
		return false
	}
	deadly.arrivals = append(deadly.arrivals, time.Now())
	deadly.runs[id]++
	f.mu.Unlock()
	time.Sleep(f.crashDelay)
	f.mu.Lock()
	if r.Context().Err() != nil {
		deadly.runs[id]--
		f.mu.Unlock()
		return false
	}
	for _, d := range f.repeats {
		if f.running[id] != nil && d.runs[id] > 0 {
			d.crashes = append(d.crashes, time.Now())
		}
	}
	f.mu.Unlock()
	f.crash(id)
	return true
}

// repeatedLoad is the load on a service beside deadly requests, each of which comes again every
// interval, from deadlyFrom to deadlyUntil.
type repeatedLoad struct {
	path                    string
	duration                time.Duration
	perSecond               float64
	deadly                  []string
	interval                time.Duration
	deadlyFrom, deadlyUntil time.Duration
	// body returns the body of a sound request.
	body func(random *rand.Rand, n int) string
}

// newRepeatFleet starts instances before servers of a service.
func newRepeatFleet(t *testing.T, service string, instances, servers int) *crashFleet {
	f := newCrashServers(t, service, servers, false)
	f.manifest = testManifest()
	for n := range instances {
		f.addInstance(instanceName(n))
	}
	return f
}

// ask sends a request to a random instance, once more if it isn't answered, and reports whether the
// first attempt and whether either was.
func (f *crashFleet) ask(instances []int, id, path, body string) (first, either bool) {
	header := f.header(body)
	for n, instance := range instances {
		ctx, cancel := context.WithTimeout(f.Context(), time.Second)
		got := f.sendBody(ctx, f.instances[instance], fmt.Sprint(id, "-", n), path, body, header)
		cancel()
		if got.Code == http.StatusOK && (f.service == plain || strings.Contains(got.Body.String(), fmt.Sprintf("id: %d\n", streamEvents))) {
			return n == 0, true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false, false
}

// refusedByAll asserts that all instances refuse a request at once, as not run.
func (f *crashFleet) refusedByAll(path, body string) {
	arrivals := len(f.repeats[body].arrivals)
	for n, e := range f.instances {
		began := time.Now()
		got := f.sendBody(f.Context(), e, fmt.Sprint("refused", body, n), path, body, f.header(body))
		assert.Equal(f, http.StatusServiceUnavailable, got.Code)
		assert.Zero(f, time.Since(began))
	}
	assert.Len(f, f.repeats[body].arrivals, arrivals)
}

// header returns the headers of a request with a body.
func (f *crashFleet) header(body string) map[string]string {
	header := map[string]string{standin.HeaderDeadline: "1000"}
	if f.service == engine {
		header[standin.HeaderModel], header[standin.HeaderPrefix] = "m", fmt.Sprintf("shared:100,%x:50", body)
	}
	return header
}

// repeat plays the load, and returns the outcomes of sound requests, repeats included.
func (f *crashFleet) repeat(l repeatedLoad, seed uint64) *outcomes {
	random := rand.New(rand.NewPCG(seed, 1))
	start, out := time.Now(), &outcomes{}
	var group sync.WaitGroup
	for _, body := range l.deadly {
		if f.repeats[body] == nil {
			f.repeats[body] = &deadlyRequest{runs: map[string]int{}}
		}
		random := rand.New(rand.NewPCG(seed, uint64(len(body))))
		group.Go(func() {
			time.Sleep(l.deadlyFrom)
			for n := 0; time.Since(start) < l.deadlyUntil; n++ {
				picked := []int{random.IntN(len(f.instances)), random.IntN(len(f.instances))}
				group.Go(func() { f.ask(picked, fmt.Sprint(body, seed, n), l.path, body) })
				time.Sleep(l.interval)
			}
		})
	}
	for n := 0; time.Since(start) < l.duration; n++ {
		time.Sleep(time.Duration(random.ExpFloat64() / l.perSecond * float64(time.Second)))
		body := fmt.Sprint("sound", seed, n)
		if l.body != nil {
			body = l.body(random, n)
		}
		picked := []int{random.IntN(len(f.instances)), random.IntN(len(f.instances))}
		group.Go(func() {
			sent := time.Now()
			_, served := f.ask(picked, fmt.Sprint("sound", seed, n), l.path, body)
			out.add(sent, served)
		})
	}
	group.Wait()
	return out
}

// TestRepeatedRequestCrashesServersOneAfterTheOther: one request that came again and again crashed
// one server after the other, without end.
func TestRepeatedRequestCrashesServersOneAfterTheOther(t *testing.T) {
	for name, c := range map[string]struct {
		service, path      string
		instances, servers int
		perSecond          float64
		deadly             []string
		interval           time.Duration
	}{
		"safe":             {plain, "/read/x", 6, 4, 30, []string{"d"}, 400 * time.Millisecond},
		"safe, seldom":     {plain, "/read/x", 6, 4, 30, []string{"d"}, 3 * time.Second},
		"few requests":     {plain, "/read/x", 6, 4, 3, []string{"d"}, 400 * time.Millisecond},
		"few, and seldom":  {plain, "/read/x", 8, 4, 3, []string{"d"}, 3 * time.Second},
		"many servers":     {plain, "/read/x", 8, 12, 60, []string{"d"}, 700 * time.Millisecond},
		"unsafe":           {plain, "/write/x", 6, 4, 30, []string{"d"}, time.Second},
		"two requests":     {plain, "/read/x", 6, 6, 30, []string{"d", "dd"}, 700 * time.Millisecond},
		"two, few servers": {plain, "/read/x", 8, 4, 20, []string{"d", "dd"}, time.Second},
		"three requests":   {plain, "/read/x", 8, 12, 60, []string{"d", "dd", "ddd"}, 500 * time.Millisecond},
		"stream":           {engine, "/stream/x", 6, 9, 40, []string{"d"}, 700 * time.Millisecond},
		"two streams":      {engine, "/stream/x", 6, 9, 40, []string{"d", "dd"}, time.Second},
		"stream, once":     {engine, "/once/x", 6, 9, 40, []string{"d"}, 700 * time.Millisecond},
		"one instance":     {plain, "/read/x", 1, 4, 30, []string{"d"}, 700 * time.Millisecond},
		"at once":          {plain, "/read/x", 6, 4, 30, []string{"at once"}, 700 * time.Millisecond},
		"nothing else":     {plain, "/read/x", 6, 4, 0.5, []string{"d"}, 400 * time.Millisecond},
	} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(name, "/", seed), func(t *testing.T) {
				t.Parallel()
				inVirtualTime(t, func(t *testing.T) {
					f := newRepeatFleet(t, c.service, c.instances, c.servers)
					if name == "at once" {
						f.crashDelay = time.Millisecond
					}
					start := time.Now()
					served := f.repeat(repeatedLoad{
						path: c.path, duration: 45 * time.Second, perSecond: c.perSecond, deadly: c.deadly, interval: c.interval,
						deadlyFrom: 8 * time.Second, deadlyUntil: 45 * time.Second,
					}, seed)
					assert.GreaterOrEqual(t, len(f.crashTimes), repeatCrashes)
					for _, body := range c.deadly {
						d := f.repeats[body]
						assert.NotEmpty(t, d.crashes)
						assert.LessOrEqual(t, d.late(), lateArrivals, "%s: repeats that reached servers, %d crashes", body, len(d.crashes))
						f.refusedByAll(c.path, body)
					}
					before, _ := served.share(start, start.Add(7*time.Second))
					assert.Equal(t, 1.0, before)
					after, n := served.share(start.Add(30*time.Second), time.Now())
					assert.GreaterOrEqual(t, after, 0.99, "sound requests at the end, of %d", n)
				})
			})
		}
	}
}

// Sound requests are served beside a deadly one and after it: those with the same body as many
// others, and those that take so long that they are lost in one crash after the other.
func TestSoundRequestsBesideARepeatedOne(t *testing.T) {
	for name, body := range map[string]func(random *rand.Rand, n int) string{
		"each its own":  nil,
		"a few bodies":  func(random *rand.Rand, _ int) string { return fmt.Sprint("common", random.IntN(5)) },
		"one body":      func(*rand.Rand, int) string { return "common" },
		"seldom bodies": func(random *rand.Rand, _ int) string { return fmt.Sprint("seldom", random.IntN(200)) },
		"long bodies":   func(_ *rand.Rand, n int) string { return strings.Repeat("x", 900) + fmt.Sprint(n) },
		"empty bodies":  func(*rand.Rand, int) string { return "" },
	} {
		for _, service := range []string{plain, engine} {
			t.Run(fmt.Sprint(name, "/", service), func(t *testing.T) {
				t.Parallel()
				inVirtualTime(t, func(t *testing.T) {
					f := newRepeatFleet(t, service, 6, 5)
					path := map[string]string{plain: "/read/x", engine: "/stream/x"}[service]
					start := time.Now()
					served := f.repeat(repeatedLoad{
						path: path, duration: 30 * time.Second, perSecond: 40, deadly: []string{"d"}, interval: 700 * time.Millisecond,
						deadlyFrom: 5 * time.Second, deadlyUntil: 20 * time.Second, body: body,
					}, 1)
					got, n := served.share(start.Add(14*time.Second), time.Now())
					assert.Equal(t, 1.0, got, "of %d", n)
					f.refusedByAll(path, "d")
				})
			})
		}
	}
}

// Servers that crash for other reasons, several at once, don't lead to the refusal of any request,
// however common.
func TestRequestsAreServedAfterOtherCrashes(t *testing.T) {
	// A request that another instance had answered was blocked in one of six runs of seed 1286 with engines.
	seeds := []uint64{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 1286}
	for _, service := range []string{plain, engine} {
		for _, seed := range seeds {
			t.Run(fmt.Sprint(service, "/", seed), func(t *testing.T) {
				t.Parallel()
				inVirtualTime(t, func(t *testing.T) {
					f := newRepeatFleet(t, service, 6, 5)
					path := map[string]string{plain: "/read/x", engine: "/stream/x"}[service]
					for n := range 8 {
						random := rand.New(rand.NewPCG(seed, uint64(n)))
						time.AfterFunc(time.Duration(2000+2500*n)*time.Millisecond, func() {
							for id := range f.runningServers() {
								if random.IntN(3) > 0 {
									f.crash(id)
								}
							}
						})
					}
					bodies := func(random *rand.Rand, n int) string {
						return []string{"common", fmt.Sprint("seldom", random.IntN(50)), fmt.Sprint("own", n)}[n%3]
					}
					start := time.Now()
					served := f.repeat(repeatedLoad{path: path, duration: 34 * time.Second, perSecond: 60, body: bodies}, seed)
					got, n := served.share(start.Add(26*time.Second), time.Now())
					assert.Equal(t, 1.0, got, "of %d", n)
				})
			})
		}
	}
}

// Each instance sees one crash under the same request. Together they know that it crashes servers:
// all refuse it, also one that didn't see a crash, and one that starts later. One that doesn't reach
// the others finds out by itself.
func TestInstancesFindTheRepeatedRequestTogether(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newRepeatFleet(t, plain, 6, 5)
		f.repeats["d"] = &deadlyRequest{runs: map[string]int{}}
		f.crashes.cutOff(instanceName(5))
		f.repeat(repeatedLoad{path: "/write/x", duration: 10 * time.Second, perSecond: 40}, 1)
		for n := range 3 {
			f.ask([]int{n}, fmt.Sprint("id", n), "/write/x", "d")
			time.Sleep(time.Second)
		}
		assert.Len(t, f.repeats["d"].crashes, 3)
		alone := f.instances[5]
		f.instances = f.instances[:5]
		f.addInstance("late")
		f.refusedByAll("/write/x", "d")
		f.instances = append(f.instances, alone)
		for n := 0; f.sendBody(t.Context(), alone, fmt.Sprint("alone", n), "/write/x", "d", f.header("d")).Code != http.StatusServiceUnavailable; n++ {
			time.Sleep(4 * time.Second)
		}
		assert.LessOrEqual(t, len(f.repeats["d"].crashes), 3+certainAlone)
		f.refusedByAll("/write/x", "d")
	})
}

// certainAlone is the number of crashes after which an instance alone knows the request, though few
// others are answered.
const certainAlone = 6

// A request that has ceased to crash servers is served again when its block ends. One that hasn't
// crashes one server, and is blocked again.
func TestBlockOfARequestEnds(t *testing.T) {
	for name, mended := range map[string]bool{"mended": true, "still deadly": false} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				f := newRepeatFleet(t, plain, 3, 5)
				f.repeat(repeatedLoad{
					path: "/write/x", duration: 20 * time.Second, perSecond: 20, deadly: []string{"d"}, interval: time.Second,
					deadlyFrom: 3 * time.Second, deadlyUntil: 20 * time.Second,
				}, 1)
				f.refusedByAll("/write/x", "d")
				crashes := len(f.repeats["d"].crashes)
				time.Sleep(6 * time.Minute)
				if mended {
					delete(f.repeats, "d")
					for n := range f.instances {
						_, served := f.ask([]int{n}, fmt.Sprint("again", n), "/write/x", "d")
						assert.True(t, served)
					}
					return
				}
				f.repeat(repeatedLoad{
					path: "/write/x", duration: 20 * time.Second, perSecond: 20, deadly: []string{"d"}, interval: time.Second, deadlyUntil: 20 * time.Second,
				}, 2)
				assert.LessOrEqual(t, len(f.repeats["d"].crashes), crashes+2)
				f.refusedByAll("/write/x", "d")
			})
		})
	}
}
