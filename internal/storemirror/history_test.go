package storemirror

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

const (
	// soakSeeds is the number of seeds in CI, each with checksPerSeed plays. The variable sets another
	// number, for runs by hand.
	soakSeeds         = 4
	checksPerSeed     = 100
	soakSeedsVariable = "CYCLAMENHOIST_SOAK_SEEDS"
)

// setRapidFlag sets a flag of the package rapid until the test ends.
func setRapidFlag(t *testing.T, name, value string) {
	before := flag.Lookup(name).Value.String()
	require.NoError(t, flag.Set(name, value))
	t.Cleanup(func() { require.NoError(t, flag.Set(name, before)) })
}

// Whatever happens to the store, to instances and to what they tell each other, and in whichever order,
// an instance in touch ceases in time to use servers that leave.
func TestServersThatLeftAreNotUsed(t *testing.T) {
	seeds := soakSeeds
	if n, err := strconv.Atoi(os.Getenv(soakSeedsVariable)); err == nil {
		seeds = n
	}
	setRapidFlag(t, "rapid.checks", strconv.Itoa(checksPerSeed))
	setRapidFlag(t, "rapid.nofailfile", "true")
	for seed := 1; seed <= seeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			// The package derives the seeds of further plays by small additions.
			setRapidFlag(t, "rapid.seed", strconv.Itoa(seed*1_000_003))
			rapid.Check(t, playHistory)
		})
	}
}

// playHistory plays disturbances that are drawn.
func playHistory(t *rapid.T) {
	w := newWorld(rapid.IntRange(2, 5).Draw(t, "instances"), rapid.IntRange(1, 4).Draw(t, "servers"))
	for i, p := range w.instances {
		if rapid.IntRange(0, 4).Draw(t, "former") == 0 && i > 0 {
			p.former = newFormerBulletin()
		}
	}
	w.changesOnly = rapid.Bool().Draw(t, "changes only")
	w.grace = time.Duration(rapid.IntRange(0, 1).Draw(t, "grace")) * time.Second
	play := func(d time.Duration) {
		if err := w.run(d, w.check); err != nil {
			t.Fatal(err)
		}
	}
	play(4 * time.Second)
	steps := rapid.SliceOfN(rapid.Custom(drawDisturbance), 1, 14).Draw(t, "disturbances")
	for _, d := range steps {
		d.apply(w)
		play(d.then)
	}
	play(12 * time.Second)
	if err := w.checkAgreement(); err != nil {
		t.Fatal(err)
	}
}

// disturbance is one thing that happens, and the time until the next one.
type disturbance struct {
	What string
	// at selects the instance or server, and others more instances, as a bit mask.
	At, Others int
	Hangs      bool
	For, Age   time.Duration
	then       time.Duration
}

var disturbances = []string{
	"drain", "drain", "remove", "remove", "crash", "start", "restart server",
	"reject", "reject", "outage", "lapse", "lapse", "go back", "go back", "drop history", "take over", "take over", "no teller", "pause", "restart", "cut", "slow", "late report",
}

func drawDisturbance(t *rapid.T) disturbance {
	ms := func(most int, name string) time.Duration {
		return time.Duration(rapid.IntRange(0, most/50).Draw(t, name)) * 50 * time.Millisecond
	}
	return disturbance{
		What: rapid.SampledFrom(disturbances).Draw(t, "what"), At: rapid.IntRange(0, 9).Draw(t, "at"), Others: rapid.IntRange(0, 31).Draw(t, "others"),
		Hangs: rapid.Bool().Draw(t, "hangs"), For: ms(6000, "for"), Age: ms(5000, "age"), then: ms(3000, "then"),
	}
}

// apply lets a disturbance begin.
func (d disturbance) apply(w *world) {
	i := d.At % len(w.instances)
	p, s, end := w.instances[i], w.servers[d.At%len(w.servers)], w.now+d.For
	switch d.What {
	case "drain":
		s.draining, s.nextBeat = true, w.now
	case "remove":
		s.gone, s.removes = true, true
	case "crash":
		s.gone = true
	case "start":
		w.startServer(fleet.ServerID(fmt.Sprint("s", len(w.servers))))
	case "restart server":
		w.startServer(s.id)
	case "reject":
		for j, other := range w.instances {
			if j == i || d.Others>>j&1 == 1 {
				other.hangs = d.Hangs
				other.disturb(&other.rejectedUntil, end)
			}
		}
	case "outage":
		w.outage(d.For)
	case "lapse":
		w.outage(d.For)
		w.store.lapses = true
	case "go back":
		w.goBack(d.Age, d.For/4)
	case "drop history":
		w.store.retained = len(w.store.log)
	case "take over":
		w.teller = i
	case "no teller":
		w.teller = -1
	case "pause":
		p.disturb(&p.pausedUntil, end)
	case "restart":
		w.restart(i)
	case "cut":
		p.cutUntil = max(p.cutUntil, end)
	case "late report":
		if e := w.store.newest()[s.id]; lists(e, s) && !e.Server.Draining {
			w.late = append(w.late, lateReport{at: end, server: s, report: *s.report()})
		}
	case "slow":
		p.disturb(&p.slowUntil, end)
	}
}

// An instance defers removals after an outage of its own, since servers may register again. It did so from
// its own first read, long after the servers could have, and used one that had left before for 3.4 s.
func TestInstanceBackFromAnOutageUsesServersThatLeft(t *testing.T) {
	for outage := 4 * time.Second; outage < 6*time.Second; outage += 2 * worldTick {
		for _, teller := range []int{-1, 0, 1} {
			w := newWorld(3, 2)
			w.teller = teller
			require.NoError(t, w.run(4*time.Second, w.checkLeft))
			w.instances[0].hangs = true
			w.instances[0].disturb(&w.instances[0].rejectedUntil, w.now+outage)
			require.NoError(t, w.run(outage-time.Second/2, w.checkLeft))
			w.servers[1].gone, w.servers[1].removes = true, true
			require.NoError(t, w.run(12*time.Second, w.checkLeft), "outage of %v, teller %d", outage, teller)
		}
	}
}

// The store came back from an older copy, and gave offsets out again. The drain of a server, whose record
// had a lower offset than the last one before, was ignored.
func TestStoreBackFromAnOlderCopyHidesServersThatLeave(t *testing.T) {
	for _, teller := range []int{-1, 0} {
		w := newWorld(3, 2)
		w.teller = teller
		require.NoError(t, w.run(10*time.Second, w.checkLeft))
		w.goBack(5*time.Second, 500*time.Millisecond)
		require.NoError(t, w.run(time.Second, w.checkLeft))
		w.servers[0].draining, w.servers[0].nextBeat = true, w.now
		w.servers[1].gone, w.servers[1].removes = true, true
		require.NoError(t, w.run(12*time.Second, w.checkLeft), "teller %d", teller)
		require.NoError(t, w.checkAgreement())
	}
}

// An instance knew the list up to an offset that the store, which had come back from an older copy, hadn't
// given out again. A teller that had started since told it nothing.
func TestTellerOfALaterHistoryTellsNothing(t *testing.T) {
	r := newReplay(2)
	r.teller = 0
	for range 5 {
		r.heartbeat("s0")
	}
	r.read(1)
	r.goBack(1)
	r.read(0)
	r.write("s0", func(s *fleet.Server) { s.Sequence, s.Draining = 9, true })
	r.read(0)
	r.tell(1, 0)
	require.True(t, r.servers[1]["s0"].Draining)
}

// Servers that the store's copy lacks, since they registered after it, stay in use until they have had the
// time to register again.
func TestServersThatTheCopyLacksStayInUse(t *testing.T) {
	for _, teller := range []int{-1, 0} {
		w := newWorld(3, 2)
		w.teller = teller
		require.NoError(t, w.run(4*time.Second, w.checkLeft))
		w.startServer("new")
		require.NoError(t, w.run(time.Second, w.checkLeft))
		w.goBack(1500*time.Millisecond, 100*time.Millisecond)
		w.servers[2].nextBeat = w.store.awayUntil + heartbeat
		require.NoError(t, w.run(4*time.Second, func() error {
			for i, p := range w.instances {
				if p.used["new"] == nil {
					return fmt.Errorf("instance %d doesn't use it after %v", i, w.now-w.store.disturbedUntil)
				}
			}
			return nil
		}), "teller %d", teller)
	}
}

// The store's era never falls, unless somebody replaces the store. Servers that leave then are left, too.
func TestStoreOfALowerEra(t *testing.T) {
	w := newWorld(3, 2)
	w.store.era = 9
	require.NoError(t, w.run(10*time.Second, w.checkLeft))
	w.store.era = 2
	w.goBack(5*time.Second, 500*time.Millisecond)
	require.NoError(t, w.run(4*time.Second, w.checkLeft))
	w.servers[0].draining = true
	w.servers[1].gone, w.servers[1].removes = true, true
	require.NoError(t, w.run(12*time.Second, w.checkLeft))
	require.NoError(t, w.checkAgreement())
}

// A teller counted the end of the list up for a change that it had found without a new record. Another one,
// which hadn't heard of that, took over: the next record had the offset that others knew already.
func TestTellerThatTakesOverTellsNothing(t *testing.T) {
	for _, ownRead := range []bool{false, true} {
		r := newReplay(3)
		r.teller = 0
		r.heartbeat("s0")
		r.heartbeat("s1")
		for i := range r.mirrors {
			r.read(i)
		}
		complete := []fleet.Entry{r.log[0]}
		r.mirrors[0].ListRead(platform.ServerListBatch{Entries: complete, Complete: true, AtEnd: true, Next: 2, CurrentSince: r.now})
		r.tell(1, 0)
		r.teller = 2
		r.write("s0", func(s *fleet.Server) { s.Draining = true })
		r.read(2)
		if ownRead {
			r.read(1)
		} else {
			r.tell(1, 0)
		}
		require.True(t, r.servers[1]["s0"].Draining, "own read: %v", ownRead)
	}
}

// Servers whose entries had expired in an outage registered again, and weren't used any more: an instance that had been
// told of the list waited for a second report, which servers don't write while nothing changes.
func TestServersThatRegisterAgainAreUsed(t *testing.T) {
	for outage := entryExpiry; outage <= 8*time.Second; outage += 7 * worldTick {
		for next := -1; next < 3; next++ {
			for _, changesOnly := range []bool{false, true} {
				w := newWorld(3, 4)
				w.changesOnly = changesOnly
				require.NoError(t, w.run(10*time.Second, w.check))
				w.outage(outage)
				w.store.lapses, w.teller = true, next
				require.NoError(t, w.run(outage+15*time.Second, w.check), "outage of %v, teller %d, changes only: %v", outage, next, changesOnly)
				require.NoError(t, w.checkAgreement(), "outage of %v, teller %d, changes only: %v", outage, next, changesOnly)
			}
		}
	}
}

// A server that can't be asked is used once its entry has outlived the time in which it would have expired.
func TestServerThatCannotBeAskedIsUsedLater(t *testing.T) {
	w := newWorld(3, 1)
	w.changesOnly = true
	for _, p := range w.instances {
		checks := p.m.doubts.DoubtChecks
		checks.Check = func(_ *fleet.Server, result func(bool)) {
			w.timers = append(w.timers, timer{w.now + worldTick, func() { result(false) }})
		}
		p.m.SetDoubtChecks(checks)
	}
	require.NoError(t, w.run(10*time.Second, w.check))
	w.outage(5 * time.Second)
	w.store.lapses = true
	require.NoError(t, w.run(15*time.Second, w.checkLeft))
	require.NoError(t, w.checkAgreement())
}

// A second late report extended the life of the entry of a server that had left, so that the server was used again.
func TestSecondLateReportOfAServerThatLeft(t *testing.T) {
	for between := entryExpiry - 12*worldTick; between < entryExpiry; between += 2 * worldTick {
		for _, teller := range []int{-1, 0} {
			w := newWorld(2, 2)
			w.teller = teller
			require.NoError(t, w.run(6*time.Second, w.check))
			left := w.servers[0]
			first := *left.report()
			require.NoError(t, w.run(2*heartbeat, w.check))
			second := *left.report()
			left.gone, left.removes = true, true
			require.NoError(t, w.run(time.Second, w.check))
			w.late = []lateReport{{at: w.now, server: left, report: first}, {at: w.now + between, server: left, report: second}}
			require.NoError(t, w.run(20*time.Second, w.check), "%v between the reports, teller %d", between, teller)
			require.True(t, left.relisted)
			require.NoError(t, w.checkAgreement())
		}
	}
}
