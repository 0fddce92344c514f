package serverpick_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/serverpick"
)

func candidate(id string, own int64) serverpick.Candidate {
	return serverpick.Candidate{ID: id, Slots: 10, Usable: true, Load: serverpick.Load{InFlight: own, Age: -1}}
}

func TestEstimateCountsOthersAsReported(t *testing.T) {
	for _, c := range []struct {
		load serverpick.Load
		want int64
	}{
		{serverpick.Load{InFlight: 3, Age: -1}, 3},
		{serverpick.Load{InFlight: 3, Reported: 9, InFlightAtReport: 2, Age: 0}, 10},
		{serverpick.Load{InFlight: 3, Reported: 1, InFlightAtReport: 2, Age: 0}, 3},
		{serverpick.Load{InFlight: 3, Reported: 9, InFlightAtReport: 2, Age: time.Minute}, 3},
	} {
		assert.Equal(t, c.want, c.load.Estimate(), "%+v", c.load)
	}
}

func TestPick(t *testing.T) {
	ejected := candidate("ejected", 0)
	ejected.Usable = false
	tried := candidate("tried", 0)
	tried.Tried = true
	near := candidate("near", 2)
	near.SameZone = true
	for _, c := range []struct {
		name       string
		req        serverpick.Request
		candidates []serverpick.Candidate
		want       int
	}{
		{"no candidates", serverpick.Request{}, nil, -1},
		{"least loaded", serverpick.Request{}, []serverpick.Candidate{candidate("a", 2), candidate("b", 1)}, 1},
		{"same zone for equal load", serverpick.Request{}, []serverpick.Candidate{candidate("far", 2), near}, 1},
		{"usable before ejected", serverpick.Request{}, []serverpick.Candidate{ejected, candidate("b", 5)}, 1},
		{"ejected if there are no others", serverpick.Request{}, []serverpick.Candidate{ejected}, 0},
		{"no server is tried twice", serverpick.Request{}, []serverpick.Candidate{tried}, -1},
		{"request for a slot waits while all servers are full", serverpick.Request{WaitForSlot: true}, []serverpick.Candidate{candidate("a", 10)}, -1},
		{"other request joins a server's queue", serverpick.Request{}, []serverpick.Candidate{candidate("a", 10)}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.want, serverpick.Pick(c.req, c.candidates))
		})
	}
}

// Requests with the same affinity go to one server until waiting there takes longer than reading
// the shared parts of the prompt at another one.
func TestAffinityYieldsToLoad(t *testing.T) {
	req := serverpick.Request{Affinity: "m|1|2", Objective: time.Second, SharedReading: 150 * time.Millisecond}
	idle := []serverpick.Candidate{candidate("a", 0), candidate("b", 0), candidate("c", 0)}
	preferred := serverpick.Pick(req, idle)
	for range 20 {
		assert.Equal(t, preferred, serverpick.Pick(req, idle))
	}
	idle[preferred].Load.InFlight = 1
	assert.Equal(t, preferred, serverpick.Pick(req, idle), "slightly busier")
	idle[preferred].Load.InFlight = 5
	assert.NotEqual(t, preferred, serverpick.Pick(req, idle), "clearly busier")

	idle[preferred].Load = serverpick.Load{Age: -1, Unread: 140 * time.Millisecond}
	assert.Equal(t, preferred, serverpick.Pick(req, idle), "reads another prompt for less time than is saved")
	idle[preferred].Load.Unread = 160 * time.Millisecond
	assert.NotEqual(t, preferred, serverpick.Pick(req, idle), "reads other prompts for longer")
}

// A long prompt that a server has yet to read counts for more than several short requests.
func TestBacklogCountsAsTime(t *testing.T) {
	reads, runs := candidate("reads", 1), candidate("runs", 3)
	reads.Load.Unread = 400 * time.Millisecond
	req := serverpick.Request{Objective: 800 * time.Millisecond}
	assert.Equal(t, 1, serverpick.Pick(req, []serverpick.Candidate{reads, runs}))
	req.Objective = 0
	assert.Equal(t, 0, serverpick.Pick(req, []serverpick.Candidate{reads, runs}), "without an objective only requests count")
}

// What others had waiting in a report is read as time passes.
func TestBacklogOfOthersIsReadMeanwhile(t *testing.T) {
	load := serverpick.Load{Unread: 100 * time.Millisecond, OthersUnread: 500 * time.Millisecond, Age: 200 * time.Millisecond}
	assert.Equal(t, 400*time.Millisecond, load.Backlog())
	load.Age = time.Second
	assert.Equal(t, 100*time.Millisecond, load.Backlog())
	load.Age = -1
	assert.Equal(t, 100*time.Millisecond, load.Backlog())
}

// A server of the own zone is preferred unless it is clearly busier, or full.
func TestOwnZoneIsPreferred(t *testing.T) {
	other, own := candidate("i-other", 0), candidate("i-own", 1)
	own.SameZone = true
	other.Slots, own.Slots = 10, 10
	pick := func(affinity string) string {
		servers := []serverpick.Candidate{other, own}
		i := serverpick.Pick(serverpick.Request{Affinity: affinity, WaitForSlot: true}, servers)
		if i < 0 {
			return ""
		}
		return servers[i].ID
	}
	assert.Equal(t, "i-own", pick(""))
	own.Load.InFlight = 4
	assert.Equal(t, "i-other", pick(""))
	own.Load.InFlight, other.Load.InFlight = 10, 9
	for n := range 20 {
		assert.Equal(t, "i-other", pick(fmt.Sprint(n)), "a full server gets no request, whatever its affinity")
	}
	other.Load.InFlight = 10
	assert.Empty(t, pick(""))
}

// Different affinity keys are spread evenly over the servers.
func TestAffinitySpreads(t *testing.T) {
	servers := []serverpick.Candidate{candidate("i-1", 0), candidate("i-2", 0), candidate("i-3", 0)}
	counts := make([]int, len(servers))
	for i := range 3000 {
		counts[serverpick.Pick(serverpick.Request{Affinity: fmt.Sprint("m|", i)}, servers)]++
	}
	for i, n := range counts {
		assert.InDelta(t, 1000, n, 200, "server %d", i)
	}
}

// Pick never returns a server that was already tried, and returns an ejected one only if no
// untried server is usable.
func TestPickKeepsToTheFilter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) serverpick.Candidate {
			c := candidate(rapid.StringN(1, 4, 4).Draw(t, "id"), rapid.Int64Range(0, 20).Draw(t, "own"))
			c.Usable, c.Tried = rapid.Bool().Draw(t, "usable"), rapid.Bool().Draw(t, "tried")
			return c
		}), 0, 6).Draw(t, "candidates")
		usable := false
		for _, c := range candidates {
			usable = usable || c.Usable && !c.Tried
		}
		i := serverpick.Pick(serverpick.Request{Affinity: "x"}, candidates)
		if i >= 0 && (candidates[i].Tried || usable && !candidates[i].Usable) {
			t.Fatalf("picked %+v of %+v", candidates[i], candidates)
		}
	})
}
