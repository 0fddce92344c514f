package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/platform/standin"
)

// soakSeeds is the number of seeds of TestNoLateRequestsWhileServersLeave, unless the environment
// variable soakSeedsVariable sets it.
const (
	soakSeeds         = 4
	soakSeedsVariable = "CYCLAMENHOIST_SOAK_SEEDS"
	soakDuration      = 30 * time.Second
)

// standingSoak plays random faults while servers leave.
type standingSoak struct {
	*standingFleet

	random *rand.Rand
	group  sync.WaitGroup
	// left are the servers that have begun to leave, and added is the number of new ones.
	left  []*standingServer
	added int
}

// leavingAnswers are the forms of answers in which servers say that they leave.
var leavingAnswers = []http.HandlerFunc{
	nil,
	func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
	func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(standin.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusTooManyRequests)
	},
	func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(standin.HeaderID, "another") },
}

// TestNoLateRequestsWhileServersLeave: in random order, servers leave, instances lose their paths, tell
// each other nothing, learn the list late and restart. Some are of earlier builds, which don't hear
// what they relay, or use relayed connections for several requests.
func TestNoLateRequestsWhileServersLeave(t *testing.T) {
	seeds := soakSeeds
	if v := os.Getenv(soakSeedsVariable); v != "" {
		var err error
		seeds, err = strconv.Atoi(v)
		require.NoError(t, err)
	}
	for seed := range seeds {
		for _, service := range []string{plain, engine} {
			t.Run(fmt.Sprint(service, ", seed ", seed), func(t *testing.T) {
				t.Parallel()
				inVirtualTime(t, func(t *testing.T) { playStandingSoak(t, service, uint64(seed)) })
			})
		}
	}
}

func playStandingSoak(t *testing.T, service string, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	s := &standingSoak{standingFleet: newStandingFleet(t, service, 2+random.IntN(6), 3+random.IntN(4)), random: random}
	for n := range s.instances {
		s.paths.setDeaf(instanceName(n), random.IntN(4) == 0)
	}
	statuses := map[int]int{}
	var mu sync.Mutex
	for end := time.Now().Add(soakDuration); time.Now().Before(end); {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(8*time.Millisecond)))
		if random.IntN(40) == 0 {
			s.disturb()
			continue
		}
		n, id := random.IntN(len(s.instances)), fmt.Sprint("id", random.Uint64())
		instance := s.instances[n]
		s.group.Go(func() {
			code := s.requestTo(instance, n, id).Code
			mu.Lock()
			defer mu.Unlock()
			statuses[code]++
		})
	}
	s.group.Wait()
	var late []lateRequest
	for _, server := range s.left {
		for _, r := range s.lateRequests(server) {
			if !s.paths.isDeaf(strings.TrimRight(r.from, "'")) {
				late = append(late, r)
			}
		}
	}
	assert.Empty(t, late, "requests that reached a server too late")
	assert.NotEmpty(t, s.left)
	assert.Greater(t, statuses[http.StatusOK], 100, "%v", statuses)
}

// disturb does one random thing to an instance or a server.
func (s *standingSoak) disturb() {
	n := s.random.IntN(len(s.instances))
	name := instanceName(n)
	switch s.random.IntN(8) {
	case 0, 1:
		// One instance always reaches the servers.
		s.paths.setPaths([]pathState{pathHangs, pathRefuses}[s.random.IntN(2)], max(n, 1))
	case 2:
		s.paths.setPaths(pathOpen, n)
	case 3:
		s.standings.setLost(name, s.random.IntN(2) == 0)
	case 4:
		s.standings.setLost(name, false)
		s.restart(n)
	case 5:
		s.leave()
	case 6:
		s.added++
		s.addStanding(fmt.Sprint("new", s.added))
		s.publishLate()
	case 7:
		s.useAsEarlierBuild(n)
	}
}

// leave makes a server leave, of which the list says so now, later or never.
func (s *standingSoak) leave() {
	var ready []*standingServer
	for _, server := range s.servers {
		if standing := s.standing[string(server.ID)]; !standing.isLeaving() {
			ready = append(ready, standing)
		}
	}
	if len(ready) < 2 {
		return
	}
	leaving := ready[s.random.IntN(len(ready))]
	leaving.leaveWith(leavingAnswers[s.random.IntN(len(leavingAnswers))])
	s.left = append(s.left, leaving)
	if s.random.IntN(3) == 0 {
		s.listDraining(fleet.ServerID(leaving.id))
		s.publishLate()
	}
}

// publishLate makes the current servers known to each instance within a second.
func (s *standingSoak) publishLate() {
	for _, views := range s.views {
		servers := s.listing()
		time.AfterFunc(time.Duration(s.random.Int64N(int64(time.Second))), func() { views.SetServers(servers) })
	}
}

// useAsEarlierBuild sends requests on one connection through a relay, without regard to what the
// answers say.
func (s *standingSoak) useAsEarlierBuild(n int) {
	dialer := s.paths.dialers[instanceName(n)]
	ids := make([]fleet.ServerID, 0, len(s.servers))
	for k := range len(s.standing) {
		if id := fleet.ServerID(fmt.Sprint("s", k)); s.servers[id] != nil {
			ids = append(ids, id)
		}
	}
	server := s.servers[ids[s.random.IntN(len(ids))]]
	pauses := []time.Duration{time.Second, 3 * time.Second, 2 * time.Second}
	first := s.random.Uint64()
	s.group.Go(func() {
		conn, err := dialer.Dial(s.Context(), "tcp", server.Address)
		if err != nil {
			return
		}
		defer conn.Close()
		if _, relayed := conn.(interface{ Relay() string }); !relayed {
			return
		}
		reader := bufio.NewReader(conn)
		for k, pause := range pauses {
			id := fmt.Sprint("earlier", first, "-", k)
			// The relay can lose its path to the server.
			_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
			s.sentNow(id)
			_, err := fmt.Fprintf(conn, "GET /read/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n\r\n", host, standin.HeaderID, id, standin.HeaderExpect, server.ID)
			if err != nil {
				return
			}
			answer, err := http.ReadResponse(reader, nil)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, answer.Body)
			time.Sleep(pause)
		}
	})
}
