package edge_test

import (
	"fmt"
	"maps"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenhoist/cyclamenhoist/internal/edge"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
)

// brittleFleet lists servers that say that they are brittle. One that falls over is listed again some
// seconds later, as another incarnation.
type brittleFleet struct {
	*virtualFleet

	mu      sync.Mutex
	views   []*edge.Views
	listed  map[fleet.ServerID]*fleet.Server
	brittle []*brittleServer
	// starts counts the incarnations.
	starts int
}

func newBrittleFleet(t *testing.T, instances, servers int, newServer func() *brittleServer) *brittleFleet {
	f := &brittleFleet{virtualFleet: newVirtualFleet(t), listed: map[fleet.ServerID]*fleet.Server{}}
	for n := range servers {
		s := newServer()
		f.brittle = append(f.brittle, s)
		entry := &fleet.Server{ID: fleet.ServerID(fmt.Sprint("s", n)), Service: plain, Zone: "zone-a", Version: "v1", Slots: s.slots, StartedAt: 1}
		f.addServer(entry, s)
		f.listed[entry.ID] = entry
		s.fell = func() { f.startAgain(n, 3*time.Second, newID) }
	}
	for n := range instances {
		views := f.newViews(testManifest())
		f.views = append(f.views, views)
		f.instances = append(f.instances, f.newInstance(instanceName(n), views, instances))
	}
	return f
}

// entryReturn is how a server is listed again.
type entryReturn int

const (
	sameIncarnation entryReturn = iota
	newStart                    // under its ID
	newID                       // under its address
)

// startAgain removes the entry of a server, and lists the server again after a time.
func (f *brittleFleet) startAgain(n int, away time.Duration, as entryReturn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	address := fmt.Sprintf("10.0.0.%d:80", n+1)
	for id, entry := range f.listed {
		if entry.Address != address {
			continue
		}
		delete(f.listed, id)
		again := *entry
		time.AfterFunc(away, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.starts++
			if as != sameIncarnation {
				again.StartedAt += int64(f.starts)
			}
			if as == newID {
				again.ID = fleet.ServerID(fmt.Sprint("again", f.starts))
			}
			f.listed[again.ID] = &again
			f.publish()
		})
	}
	f.publish()
}

func (f *brittleFleet) publish() {
	for _, views := range f.views {
		go views.SetServers(maps.Clone(f.listed))
	}
}

func (f *brittleFleet) setBrittle(tolerated, fewerWait int) {
	for _, s := range f.brittle {
		s.setBrittle(tolerated, fewerWait)
	}
}

// counts returns how often servers have fallen over, and how many requests they have served.
func (f *brittleFleet) counts() (falls, served int) {
	for _, s := range f.brittle {
		s.mu.Lock()
		falls, served = falls+s.falls, served+s.served
		s.mu.Unlock()
	}
	return falls, served
}

// TestBrittleServerFallsOverAfterItsEntryWasAway: instances forgot with a server's entry that it was
// brittle, and sent it all that they held back when it was listed again.
func TestBrittleServerFallsOverAfterItsEntryWasAway(t *testing.T) {
	for name, c := range map[string]struct {
		instances, servers, tolerated, fewerWait int
		perSecond                                float64
		// away servers aren't listed for a time.
		away int
		time time.Duration
		as   entryReturn
	}{
		"as the review played it":    {8, 5, 5, 2, 300, 1, 2 * time.Second, sameIncarnation},
		"restarted":                  {8, 5, 5, 2, 300, 1, 2 * time.Second, newStart},
		"the whole service, new IDs": {8, 5, 5, 2, 300, 5, 2 * time.Second, newID},
		"two tolerated, new ID":      {8, 5, 2, 2, 300, 1, 2 * time.Second, newID},
		"none waits":                 {8, 5, 5, 0, 300, 1, 2 * time.Second, sameIncarnation},
		"overload, new ID":           {8, 5, 5, 2, 600, 1, 2 * time.Second, newID},
		"many instances":             {40, 5, 5, 2, 300, 1, 2 * time.Second, sameIncarnation},
		"many instances, new ID":     {40, 5, 5, 2, 300, 1, 2 * time.Second, newID},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				f := newBrittleFleet(t, c.instances, c.servers, func() *brittleServer { return newBrittleServer(6, 24, 60*time.Millisecond) })
				time.AfterFunc(time.Second, func() { f.setBrittle(c.tolerated, c.fewerWait) })
				time.AfterFunc(5*time.Second, func() {
					for n := range c.away {
						f.startAgain(n, c.time, c.as)
					}
				})
				start := time.Now()
				f.sendPlain(12*time.Second, c.perSecond, "/write/x")
				falls, served := f.counts()
				capacity := float64(c.servers*6) / 0.06 * time.Since(start).Seconds()
				assert.Zero(t, falls)
				assert.Greater(t, float64(served), leastServed*min(capacity, c.perSecond*12))
			})
		})
	}
}
