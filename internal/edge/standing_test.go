package edge_test

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenhoist/cyclamenhoist/internal/edge"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

// TestRequestsReachAServerThatSaidThatItLeaves: a server that said in its answers that it leaves,
// while it was listed as ready, went on getting requests.
func TestRequestsReachAServerThatSaidThatItLeaves(t *testing.T) {
	for name, c := range map[string]struct {
		service   string
		perSecond float64
		// cut are the instances that lose their paths at cutAt, until uncutAt.
		cut            []int
		cutAt, uncutAt time.Duration
	}{
		"plain":                                  {service: plain, perSecond: 100},
		"engines":                                {service: engine, perSecond: 100},
		"few requests":                           {service: plain, perSecond: 6},
		"engines, waiting":                       {service: engine, perSecond: 2000},
		"some instances relayed":                 {service: plain, perSecond: 100, cut: []int{0, 1}, cutAt: time.Second, uncutAt: 12 * time.Second},
		"most instances relayed":                 {service: engine, perSecond: 100, cut: []int{0, 1, 2, 3, 4}, cutAt: time.Second, uncutAt: 12 * time.Second},
		"relayed after the server has said it":   {service: plain, perSecond: 100, cut: []int{0, 1, 2}, cutAt: 7 * time.Second, uncutAt: 12 * time.Second},
		"relayed until after it has said so":     {service: plain, perSecond: 20, cut: []int{0, 1, 2}, cutAt: time.Second, uncutAt: 7 * time.Second},
		"relayed, and few requests of the relay": {service: plain, perSecond: 8, cut: []int{0, 1, 2, 3, 4}, cutAt: time.Second, uncutAt: 12 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			inVirtualTime(t, func(t *testing.T) {
				f := newStandingFleet(t, c.service, 6, 4)
				var leaving *standingServer
				time.AfterFunc(5*time.Second, func() {
					leaving = f.busiest()
					leaving.setLeaving(true)
				})
				time.AfterFunc(c.cutAt, func() { f.paths.setPaths(pathHangs, c.cut...) })
				time.AfterFunc(c.uncutAt, func() { f.paths.setPaths(pathOpen, c.cut...) })
				statuses := f.play(14*time.Second, c.perSecond, 1)
				assert.NotEmpty(t, leaving.leavingTold)
				assert.Zero(t, f.late(leaving), "requests that reached the server too late")
				if c.perSecond <= 100 {
					all := 0
					for _, n := range statuses {
						all += n
					}
					assert.GreaterOrEqual(t, float64(statuses[http.StatusOK]), 0.97*float64(all), "the other servers serve: %v", statuses)
				}
			})
		})
	}
}

// Most answers that say that a server leaves are given up before they arrive, because their clients
// have left.
func TestClientsLeaveBeforeTheAnswerSaysThatTheServerLeaves(t *testing.T) {
	for _, service := range []string{plain, engine} {
		t.Run(service, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				f := newStandingFleet(t, service, 3, 4)
				f.patience = func(id string) time.Duration {
					if strings.HasSuffix(id, "0") {
						return 0
					}
					return 100 * time.Millisecond
				}
				for _, s := range f.standing {
					s.work = 200 * time.Millisecond
				}
				time.AfterFunc(2*time.Second, func() { f.standing["s0"].setLeaving(true) })
				statuses := f.play(10*time.Second, 60, 1)
				assert.NotEmpty(t, f.standing["s0"].leavingTold)
				assert.Zero(t, f.late(f.standing["s0"]))
				assert.Positive(t, statuses[http.StatusOK])
			})
		})
	}
}

// A server that has started again under its ID is a new one.
func TestServerThatLeftComesBackUnderItsID(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newStandingFleet(t, plain, 3, 2)
		f.standing["s0"].setLeaving(true)
		f.standing["s1"].setLeaving(true)
		f.play(3*time.Second, 50, 1)
		for id := range f.standing {
			f.standing[id].setLeaving(false)
			back := *f.servers[fleet.ServerID(id)]
			back.StartedAt = 7
			f.servers[fleet.ServerID(id)] = &back
		}
		f.publish()
		statuses := f.play(2*time.Second, 50, 2)
		assert.Len(t, statuses, 1)
		assert.Positive(t, statuses[http.StatusOK])
	})
}

// Requests that no server but leaving ones could serve are refused at once, as not run.
func TestAllServersLeave(t *testing.T) {
	for _, service := range []string{plain, engine} {
		t.Run(service, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				f := newStandingFleet(t, service, 3, 2)
				for _, s := range f.standing {
					s.setLeaving(true)
				}
				f.play(3*time.Second, 50, 1)
				for n := range f.instances {
					began := time.Now()
					got := f.request(n, fmt.Sprint("refused", n))
					assert.Equal(t, http.StatusServiceUnavailable, got.Code)
					assert.NotEmpty(t, got.Header().Get("Retry-After"))
					assert.Zero(t, time.Since(began))
				}
				for _, s := range f.standing {
					assert.Zero(t, f.late(s))
				}
				// A new server serves.
				f.addStanding("new")
				f.publish()
				assert.Equal(t, http.StatusOK, f.request(0, "served").Code)
			})
		})
	}
}

// A server whose entry is lost for a time, and listed again, is still leaving. So is one whose
// later answers don't say it.
func TestLeavingServerIsListedAgain(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newStandingFleet(t, plain, 3, 3)
		f.burst(0, "before")
		f.standing["s1"].setLeaving(true)
		f.play(2*time.Second, 200, 1)
		entry := f.servers["s1"]
		delete(f.servers, "s1")
		f.publish()
		f.play(3*time.Second, 60, 2)
		f.standing["s1"].setLeaving(false)
		f.servers["s1"] = entry
		f.publish()
		f.play(5*time.Second, 60, 3)
		assert.Zero(t, f.late(f.standing["s1"]))
	})
}

// fromInstance returns how many requests have reached the server from an instance since a time.
func (s *standingServer) fromInstance(name string, since time.Time) int {
	n := 0
	for _, a := range s.received() {
		if a.from == name && !a.at.Before(since) {
			n++
		}
	}
	return n
}

// An instance that has relayed an answer which says that the server leaves doesn't send its own
// requests there, though it hasn't read the answer.
func TestInstanceThatRelayedTheAnswerKnowsThatTheServerLeaves(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newStandingFleet(t, plain, 2, 2)
		f.paths.setPaths(pathRefuses, 0)
		f.burst(0, "cut")
		time.Sleep(time.Second)
		f.standing["s0"].setLeaving(true)
		f.burst(0, "told")
		assert.NotZero(t, f.standing["s0"].leavingTold[instanceName(1)])
		time.Sleep(leavingBound)
		since := time.Now()
		f.burst(1, "own")
		assert.Zero(t, f.standing["s0"].fromInstance(instanceName(1), since))
	})
}

// An instance that knows that a server leaves relays no requests to it, of others that don't know.
func TestNoRequestsAreRelayedToALeavingServer(t *testing.T) {
	for name, listed := range map[string]bool{"says so": false, "listed as draining": true} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				f := newStandingFleet(t, plain, 2, 2)
				f.standings.cutOff(instanceName(0))
				if listed {
					f.listDraining("s0")
					f.views[1].SetServers(maps.Clone(f.servers)) // the other instance learns it later
				} else {
					f.standing["s0"].setLeaving(true)
					f.burst(1, "own")
					assert.NotZero(t, f.standing["s0"].leavingTold[instanceName(1)])
				}
				time.Sleep(leavingBound)
				f.paths.setPaths(pathRefuses, 0)
				since := time.Now()
				for n := range 20 {
					f.burst(0, fmt.Sprint("relayed", n))
					time.Sleep(100 * time.Millisecond)
				}
				assert.Zero(t, f.standing["s0"].fromInstance(instanceName(1), since))
				assert.NotZero(t, f.standing["s1"].fromInstance(instanceName(1), since))
			})
		})
	}
}

// A request isn't sent to a server that begins to leave while the connection is opened, whether it
// says so itself or the list does.
func TestServerLeavesWhileAConnectionIsOpened(t *testing.T) {
	for name, leave := range map[string]func(f *standingFleet, views *edge.Views){
		"says so": func(_ *standingFleet, views *edge.Views) {
			views.SetStanding(edge.Standing{Server: "s0", Leaving: true}, time.Now())
		},
		"listed as draining": func(f *standingFleet, views *edge.Views) {
			f.listDraining("s0")
			views.SetServers(f.servers)
		},
		"removed from the list": func(f *standingFleet, views *edge.Views) {
			delete(f.servers, "s0")
			views.SetServers(f.servers)
		},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				f := newStandingFleet(t, plain, 0, 2)
				slow, address := false, f.servers["s0"].Address
				servers := platform.NewServersWithDial(func(ctx context.Context, network, to string) (net.Conn, error) {
					if slow && to == address {
						time.Sleep(200 * time.Millisecond)
					}
					return f.dial(ctx, network, to)
				})
				views := f.newViews(testManifest())
				f.instances = append(f.instances, f.newInstanceWith(instanceName(0), views, 1, servers))
				slow = true
				var group sync.WaitGroup
				for n := range 8 {
					group.Go(func() { assert.Equal(t, http.StatusOK, f.request(0, fmt.Sprint("id", n)).Code) })
				}
				time.Sleep(100 * time.Millisecond)
				leave(f, views)
				group.Wait()
				assert.Empty(t, f.standing["s0"].received())
				assert.Len(t, f.standing["s1"].received(), 8)
			})
		})
	}
}

// listDraining changes the entry of a server, which the instances learn by publish.
func (f *standingFleet) listDraining(id fleet.ServerID) {
	draining := *f.servers[id]
	draining.Draining = true
	f.servers[id] = &draining
}
