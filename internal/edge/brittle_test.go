package edge_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/platform/standin"
)

// brittleServer lets a few requests wait, and rejects the others. Some seconds after it has begun
// to say that it is brittle, it falls over if it rejects more than tolerated requests within a
// second, and is back after some seconds.
type brittleServer struct {
	slots, queue int
	work         time.Duration

	mu        sync.Mutex
	tolerated int // while brittle; 0: it isn't
	// fewerWait is the queue from fewerFrom on, from when the server also falls over.
	fewerWait        int
	fewerFrom        time.Time
	running, waiting int
	rejected         []time.Time
	downUntil        time.Time
	falls, served    int
	fell             func() // called in the background; may be nil
	freed            *sync.Cond
}

func newBrittleServer(slots, queue int, work time.Duration) *brittleServer {
	s := &brittleServer{slots: slots, queue: queue, work: work}
	s.freed = sync.NewCond(&s.mu)
	return s
}

// setBrittle makes the server state that it is brittle.
func (s *brittleServer) setBrittle(tolerated, fewerWait int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tolerated, s.fewerWait, s.fewerFrom = tolerated, fewerWait, time.Now().Add(3*time.Second)
}

// admit waits for a slot, and reports false if there is no room to wait.
func (s *brittleServer) admit() bool {
	queue := s.queue
	if s.tolerated > 0 && !time.Now().Before(s.fewerFrom) {
		queue = s.fewerWait
	}
	if s.running >= s.slots && s.waiting >= queue {
		s.reject()
		return false
	}
	s.waiting++
	for s.running >= s.slots {
		s.freed.Wait()
	}
	s.waiting--
	s.running++
	return true
}

func (s *brittleServer) reject() {
	now := time.Now()
	s.rejected = append(s.rejected, now)
	for now.Sub(s.rejected[0]) > time.Second {
		s.rejected = s.rejected[1:]
	}
	if s.tolerated > 0 && len(s.rejected) > s.tolerated && !now.Before(s.fewerFrom) {
		s.falls++
		s.rejected, s.downUntil = nil, now.Add(3*time.Second)
		if s.fell != nil {
			go s.fell()
		}
	}
}

func (s *brittleServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	if time.Now().Before(s.downUntil) {
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	header := w.Header()
	header.Set(standin.HeaderID, r.Header.Get(standin.HeaderID))
	if s.tolerated > 0 {
		header.Set(standin.HeaderBrittle, strconv.Itoa(s.tolerated))
	}
	admitted := s.admit()
	header.Set(standin.HeaderLoad, fmt.Sprintf("%d,%d,%d", s.running, s.waiting, s.slots))
	s.mu.Unlock()
	if !admitted {
		header.Set(standin.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(s.work)
	s.mu.Lock()
	s.running--
	s.served++
	s.freed.Signal()
	s.mu.Unlock()
	header.Set(standin.HeaderSignature, "signed")
	if r.Header.Get(standin.HeaderModel) == "" {
		_, _ = fmt.Fprint(w, "answer")
		return
	}
	header.Set("Content-Type", "text/event-stream")
	_, _ = fmt.Fprint(w, events(1, 6))
}

// brittleLoad is the time for which requests are sent.
const brittleLoad = 10 * time.Second

// leastServed is the share of what the servers can do that is served at least: at most three fifths
// of a day's requests can be refused.
const leastServed = 0.4

// TestBrittleServersFallOver: servers that say that they fall over if they have to reject too many
// requests within a second were sent more than they had room for, and fell over again and again.
func TestBrittleServersFallOver(t *testing.T) {
	for name, c := range map[string]struct {
		path                             string
		instances, servers, slots, queue int
		work                             time.Duration
		perSecond                        float64
		tolerated, fewerWait             int
	}{
		"plain, busy":        {"/write/x", 8, 4, 6, 24, 120 * time.Millisecond, 125, 5, 2},
		"plain, overloaded":  {"/write/x", 8, 4, 6, 24, 120 * time.Millisecond, 300, 5, 2},
		"plain, none waits":  {"/read/x", 8, 4, 6, 24, 120 * time.Millisecond, 250, 3, 0},
		"models, overloaded": {"/stream/x", 6, 3, 8, 32, 200 * time.Millisecond, 150, 5, 4},
		"many instances":     {"/write/x", 40, 4, 6, 24, 120 * time.Millisecond, 250, 5, 2},
		"one instance":       {"/write/x", 1, 4, 6, 24, 120 * time.Millisecond, 250, 5, 2},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				f := newVirtualFleet(t)
				list, services := manifestParts()
				service := plain
				if c.path == "/stream/x" {
					service = engine
				}
				var servers []*brittleServer
				for n := range c.servers {
					s := newBrittleServer(c.slots, c.queue, c.work)
					servers = append(servers, s)
					f.addServer(&fleet.Server{
						ID: fleet.ServerID(fmt.Sprint("s", n)), Service: service, Zone: "zone-a", Version: "v1", Slots: c.slots,
						Models: []fleet.Resident{{Model: "m"}},
					}, s)
				}
				manifest := fleet.NewManifest(1, list, services, fleet.CallerLimits{MaxBodyBytes: 1000})
				for n := range c.instances {
					f.instances = append(f.instances, f.newInstance(instanceName(n), f.newViews(manifest), c.instances))
				}
				start := time.Now()
				time.AfterFunc(2*time.Second, func() {
					for _, s := range servers {
						s.setBrittle(c.tolerated, c.fewerWait)
					}
				})
				f.sendPlain(brittleLoad, c.perSecond, c.path)
				falls, served := 0, 0
				for _, s := range servers {
					s.mu.Lock()
					falls += s.falls
					served += s.served
					s.mu.Unlock()
				}
				capacity := float64(c.servers*c.slots) / c.work.Seconds() * time.Since(start).Seconds()
				assert.LessOrEqual(t, falls, 2+c.servers/10)
				assert.Greater(t, float64(served), leastServed*min(capacity, c.perSecond*brittleLoad.Seconds()))
			})
		})
	}
}

// sendPlain sends requests at random instances.
func (f *virtualFleet) sendPlain(duration time.Duration, perSecond float64, path string) {
	random := rand.New(rand.NewPCG(1, 3))
	var group sync.WaitGroup
	for end, n := time.Now().Add(duration), 0; time.Now().Before(end); n++ {
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		e := f.instances[random.IntN(len(f.instances))]
		group.Go(func() {
			header := map[string]string{standin.HeaderDeadline: "1000"}
			if path == "/stream/x" {
				header[standin.HeaderModel] = "m"
			}
			f.send(f.Context(), e, fmt.Sprint("id", n), path, header)
		})
	}
	group.Wait()
}

// An instance that has relayed answers of brittle servers sends its own requests at their pace.
func TestRelayOverloadsBrittleServersWhoseAnswersItPassedOn(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		const count, requests = 10, 400
		f := newStandingFleet(t, plain, 2, 0)
		var servers []*brittleServer
		for n := range count {
			s := newBrittleServer(4, 8, 20*time.Millisecond)
			servers = append(servers, s)
			f.addServer(&fleet.Server{ID: fleet.ServerID(fmt.Sprint("s", n)), Service: plain, Zone: "zone-a", Slots: 4}, s)
		}
		f.publish()
		f.paths.setPaths(pathRefuses, 0)
		var group sync.WaitGroup
		send := func(instance, requests int, name string) {
			for n := range requests {
				group.Go(func() { f.request(instance, fmt.Sprint(name, n)) })
			}
			group.Wait()
		}
		send(0, 2*count, "cut")
		time.Sleep(time.Second)
		for _, s := range servers {
			s.setBrittle(1, 0)
		}
		for second := range 4 {
			send(0, 2*count, fmt.Sprint("relayed", second, "-"))
			time.Sleep(time.Second)
		}
		falls := 0
		for _, s := range servers {
			assert.NotZero(t, s.served, "each server has said that it is brittle")
		}
		send(1, requests, "own")
		for _, s := range servers {
			falls += s.falls
		}
		assert.LessOrEqual(t, falls, 2+count/10)
	})
}
