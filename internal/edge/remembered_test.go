package edge_test

import (
	"maps"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
)

// TestLimitIsForgottenWithTheEntry: a server whose entry had been away got requests as if it stated no
// rate limit.
func TestLimitIsForgottenWithTheEntry(t *testing.T) {
	for name, c := range map[string]struct {
		perSecond float64
		away      time.Duration
		// cut means that the holder doesn't respond meanwhile, restarted that it knows nothing after.
		cut, restarted bool
	}{
		"some seconds":       {perSecond: 1, away: 5 * time.Second},
		"a moment":           {perSecond: 1, away: 10 * time.Millisecond},
		"nearly none":        {perSecond: 1e-9, away: 5 * time.Second},
		"holder replaced":    {perSecond: 1, away: 5 * time.Second, restarted: true},
		"holder gone":        {perSecond: 2, away: 5 * time.Second, cut: true},
		"away for a minute":  {perSecond: 1, away: time.Minute},
		"away again, faster": {perSecond: 2, away: 500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				f := newLimitFleet(t, 6)
				f.limited.duration = 200 * time.Millisecond
				f.loadAll(10, 18*time.Second+c.away)
				time.Sleep(2 * time.Second)
				f.limited.setLimit(c.perSecond)
				time.Sleep(6 * time.Second)
				without := maps.Clone(f.servers)
				delete(without, "limited")
				f.list(without)
				f.permits.cutOff(c.cut, f.names()...)
				time.Sleep(c.away)
				if c.restarted {
					f.permits.restart()
				}
				f.list(f.servers)
				f.sending.Wait()
				assert.LessOrEqual(t, f.limited.mostOverLimit(), 0, "requests beyond those allowed in 4 s")
				assert.Len(t, f.statuses, 1, "the other server has room: %v", f.statuses)
				if c.perSecond >= 1 {
					assert.Positive(t, f.limited.arrivalsWithin(8*time.Second), "it is used again")
				}
			})
		})
	}
}

// list makes servers known to all instances.
func (f *limitFleet) list(servers map[fleet.ServerID]*fleet.Server) {
	f.origins.mu.Lock()
	defer f.origins.mu.Unlock()
	for _, views := range f.origins.views {
		go views.SetServers(maps.Clone(servers))
	}
}

// Servers that change their word each second, and name huge numbers, are used, and what they say doesn't
// let the others of their service fall over.
func TestBrittleServersThatChangeTheirWord(t *testing.T) {
	for name, changing := range map[string]int{"all": 5, "one of them": 1} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				f := newBrittleFleet(t, 8, 5, func() *brittleServer { return newBrittleServer(6, 24, 60*time.Millisecond) })
				f.setBrittle(5, 2)
				go func() {
					for second := range 14 {
						time.Sleep(time.Second)
						for _, s := range f.brittle[:changing] {
							s.say(math.MaxInt32 * (second % 2))
						}
						if second > 4 {
							f.startAgain(second%5, 500*time.Millisecond, entryReturn(second%3))
						}
					}
				}()
				f.sendPlain(14*time.Second, 300, "/write/x")
				falls, served := f.counts()
				assert.LessOrEqual(t, falls, 2)
				assert.Greater(t, float64(served), leastServed*300*14)
			})
		})
	}
}

// say changes what the server says, and nothing else.
func (s *brittleServer) say(tolerated int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tolerated = tolerated
}
