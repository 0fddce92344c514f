package storemirror

import (
	"fmt"
	"math"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

const drainTimeout = 2 * time.Second

// replay is a store's server list, and instances that read it or are told, in virtual time.
type replay struct {
	// mu guards servers, which timers of the instances publish.
	mu      sync.Mutex
	now     time.Duration
	era     int64
	log     []fleet.Entry
	mirrors []*Mirror
	// reads counts each instance's reads, and next is where its last one ended.
	reads []int
	next  []platform.Cursor
	// servers are the servers that each instance uses.
	servers []map[fleet.ServerID]*fleet.Server
	// timers are what the instances have postponed.
	timers []timer
	// teller is the instance that tells the others; -1 if none does.
	teller int
}

type timer struct {
	at time.Duration
	do func()
}

func newReplay(instances int) *replay {
	r := &replay{now: time.Hour, teller: -1, reads: make([]int, instances), next: make([]platform.Cursor, instances), servers: make([]map[fleet.ServerID]*fleet.Server, instances)}
	for i := range instances {
		m := New(drainTimeout)
		m.now = func() time.Duration { return r.now }
		m.after = func(d time.Duration, do func()) { r.timers = append(r.timers, timer{r.now + d, do}) }
		m.SetTeller(func() bool { return r.teller == i }, func() {})
		m.OnServers(func(servers map[fleet.ServerID]*fleet.Server, _ Change) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.servers[i] = servers
		})
		r.mirrors = append(r.mirrors, m)
		r.next[i].Next = -1
	}
	return r
}

// write appends a server's entry to the list.
func (r *replay) write(id fleet.ServerID, change func(*fleet.Server)) {
	offset := int64(len(r.log))
	s := &fleet.Server{ID: id, Service: "s", Address: "10.0.0.1:1", Slots: 8, Sequence: offset}
	change(s)
	r.log = append(r.log, fleet.Entry{ID: id, At: fleet.Position{Era: r.era, Offset: offset}, Server: s})
}

// goBack lets the store come back from a copy of the list with some records.
func (r *replay) goBack(records int) {
	r.log, r.era = slices.Clone(r.log[:records]), r.era+1
	for i := range r.log {
		r.log[i].At.Era = r.era
	}
}

func (r *replay) heartbeat(id fleet.ServerID) { r.write(id, func(*fleet.Server) {}) }

func (r *replay) remove(id fleet.ServerID) {
	r.log = append(r.log, fleet.Entry{ID: id, At: fleet.Position{Era: r.era, Offset: int64(len(r.log))}, Removed: true})
}

// read reads the list at an instance.
func (r *replay) read(i int) {
	at := r.next[i]
	if at.Next >= 0 {
		at = r.mirrors[i].ListFrom(at)
	}
	from := at.Next
	if at.Era != r.era {
		from = -1
	}
	batch := platform.ServerListBatch{Next: int64(len(r.log)), Era: r.era, Complete: from < 0, AtEnd: true, CurrentSince: r.now}
	if from < 0 {
		newest := map[fleet.ServerID]fleet.Entry{}
		for _, e := range r.log {
			newest[e.ID] = e
		}
		for _, e := range newest {
			if !e.Removed {
				batch.Entries = append(batch.Entries, e)
			}
		}
	} else {
		batch.Entries = r.log[from:]
	}
	r.next[i] = platform.Cursor{Era: r.era, Next: batch.Next}
	r.reads[i]++
	r.mirrors[i].ListRead(batch)
}

// tell tells an instance the news, which take some time on their way.
func (r *replay) tell(i int, transit time.Duration) {
	known := r.mirrors[i].Known()
	news := r.mirrors[r.teller].Tell(known, 0)
	r.now += transit
	r.mirrors[i].Hear(news, known)
	r.now -= transit
}

// step advances the time and lets each instance read that has to.
func (r *replay) step(d time.Duration) {
	r.sleep(d)
	for i, m := range r.mirrors {
		if m.ListDelay() <= 0 {
			r.read(i)
		}
	}
}

const stepTime = 100 * time.Millisecond

// run plays a time in which three servers write their entries about every second and the teller
// tells all others.
func (r *replay) run(d time.Duration) {
	for end := r.now + d; r.now < end; {
		r.step(stepTime)
		if tick := int(r.now / stepTime); tick%12 == 0 {
			for n := range 3 {
				r.heartbeat(fleet.ServerID(fmt.Sprint("s", n)))
			}
		}
		for i := range r.mirrors {
			// Each instance is told at another moment.
			if r.teller >= 0 && i != r.teller && (int(r.now/stepTime)+i)%int(r.mirrors[i].TellInterval()/stepTime) == 0 {
				r.tell(i, 10*time.Millisecond)
			}
		}
	}
}

// sleep lets time pass, and runs what the instances have postponed until then.
func (r *replay) sleep(d time.Duration) {
	r.now += d
	r.runTimersUntil(r.now)
}

// runTimers runs all that the instances have postponed.
func (r *replay) runTimers() { r.runTimersUntil(math.MaxInt64) }

func (r *replay) runTimersUntil(end time.Duration) {
	timers := r.timers
	r.timers = nil
	for _, t := range timers {
		if t.at <= end {
			t.do()
		} else {
			r.timers = append(r.timers, t)
		}
	}
}

func (r *replay) allReads() int {
	sum := 0
	for _, n := range r.reads {
		sum += n
	}
	return sum
}

// TestReadsDontGrowWithTheInstances: each of 295 instances read the whole list once a second,
// which cost a third of the worth of a quiet day.
func TestReadsDontGrowWithTheInstances(t *testing.T) {
	var before int
	for _, instances := range []int{18, 68, 295} {
		r := newReplay(instances)
		r.teller = 0
		r.run(2 * time.Second)
		started := r.allReads()
		r.run(time.Minute)
		reads := r.allReads() - started
		assert.LessOrEqual(t, reads, int(time.Minute/(drainTimeout/tellerReadsPerDrain)), "%d instances", instances)
		if before > 0 {
			assert.Equal(t, before, reads, "%d instances", instances)
		}
		before = reads
	}
}

// Servers may write nothing for a time, for example before there are requests. The teller's polls
// end often enough to tell that the list is still the same.
func TestTellerPollsAnIdleListBriefly(t *testing.T) {
	r := newReplay(2)
	r.teller = 0
	assert.LessOrEqual(t, r.mirrors[0].ListWait()+r.mirrors[1].TellInterval(), drainTimeout/readsPerDrain)
	assert.Equal(t, platform.PollWait, r.mirrors[1].ListWait())
}

// A server that is listed as draining is known at each instance within the time, whether it is
// told or the teller has just failed.
func TestDrainingServerIsKnownInTime(t *testing.T) {
	for _, tellerFails := range []bool{false, true} {
		r := newReplay(5)
		r.teller = 0
		r.run(10 * time.Second)
		r.write("s0", func(s *fleet.Server) { s.Draining = true })
		written := r.now
		if tellerFails {
			r.teller = -1
		}
		for draining := false; !draining; {
			r.run(stepTime)
			draining = true
			for i := range r.mirrors {
				draining = draining && r.servers[i]["s0"].Draining
			}
			require.Less(t, r.now-written, drainTimeout*3/4, "teller fails: %v", tellerFails)
		}
	}
}

// A message that was held up on its way, or whose sender was paused before it sent the message,
// doesn't make the copy newer than it is.
func TestLateMessageIsOld(t *testing.T) {
	r := newReplay(2)
	r.teller = 0
	r.run(time.Second)
	r.read(0)
	r.tell(1, 5*time.Second)
	r.now += 5 * time.Second
	assert.LessOrEqual(t, r.mirrors[1].ListDelay(), -3*time.Second, "the message was on its way for 5 s")
	r.tell(1, 0)
	assert.Negative(t, r.mirrors[1].ListDelay(), "the teller read 5 s ago")
}

func TestTellerThatLagsChangesNothing(t *testing.T) {
	r := newReplay(2)
	r.teller = 0
	r.heartbeat("gone")
	r.heartbeat("kept")
	r.read(0)
	r.remove("gone")
	r.write("kept", func(s *fleet.Server) { s.Draining = true })
	r.heartbeat("new")
	r.read(1)
	r.tell(1, 0)
	assert.NotContains(t, r.servers[1], fleet.ServerID("gone"))
	assert.Contains(t, r.servers[1], fleet.ServerID("new"))
	assert.True(t, r.servers[1]["kept"].Draining)
}

// An instance that knows nothing of the time before the teller's first read gets all servers, and
// drops those that are gone since.
func TestTellerThatBeganLater(t *testing.T) {
	r := newReplay(2)
	r.teller = 0
	r.heartbeat("gone")
	r.heartbeat("kept")
	r.read(1)
	r.remove("gone")
	r.heartbeat("new")
	r.read(0)
	r.tell(1, 0)
	assert.Len(t, r.servers[1], 2)
	assert.NotContains(t, r.servers[1], fleet.ServerID("gone"))
}

// A removal that the teller finds by reading the whole list again, because the store has
// forgotten its history, reaches the others.
func TestRemovalInALostHistoryIsTold(t *testing.T) {
	r := newReplay(2)
	r.teller = 0
	r.heartbeat("gone")
	r.heartbeat("kept")
	r.read(0)
	r.read(1)
	r.remove("gone")
	r.next[0].Next = -1
	r.read(0)
	r.tell(1, 0)
	assert.NotContains(t, r.servers[1], fleet.ServerID("gone"))
	assert.Contains(t, r.servers[1], fleet.ServerID("kept"))
}

// An instance compares the whole list after some minutes, whatever it is told.
func TestInventedServerIsDroppedAtTheCheck(t *testing.T) {
	r := newReplay(2)
	r.teller = 0
	r.run(time.Second)
	r.mirrors[1].Hear(News{List: fleet.Edition{ID: 1}, ListEnd: fleet.Position{Offset: int64(len(r.log))}, Entries: []fleet.Entry{{ID: "invented", At: fleet.Position{Offset: int64(len(r.log))}, Server: &fleet.Server{ID: "invented"}}}}, r.mirrors[1].Known())
	require.Contains(t, r.servers[1], fleet.ServerID("invented"))
	r.run(checkInterval + checkSpread + time.Second)
	assert.NotContains(t, r.servers[1], fleet.ServerID("invented"))
}

// newestRead is a read that shows that the manifest in force is the newest one.
func newestRead(version int64, since time.Duration) ManifestReading {
	return ManifestReading{InForce: version, Newest: version, CurrentSince: since, AtEnd: true}
}

func interrupted(m *Mirror) bool {
	select {
	case <-m.ManifestInterrupt():
		return true
	default:
		return false
	}
}

func TestManifestPoll(t *testing.T) {
	r := newReplay(2)
	r.teller = 0
	teller, m := r.mirrors[0], r.mirrors[1]
	teller.ManifestRead(newestRead(3, r.now))
	m.ManifestRead(newestRead(3, r.now))
	assert.Equal(t, platform.PollWait, m.ManifestWait(), "nothing is told")
	r.tell(1, 0)
	assert.Equal(t, platform.MaxPollWait, m.ManifestWait())
	assert.Equal(t, platform.PollWait, teller.ManifestWait(), "the teller has to know soon that its connection is dead")

	teller.ManifestRead(newestRead(4, r.now))
	assert.True(t, teller.HasNews(Knowledge{ManifestVersion: 3}))
	r.tell(1, 0)
	assert.False(t, interrupted(m), "the poll is about to return it")
	r.runTimers()
	assert.True(t, interrupted(m), "there is a newer one")
	r.tell(1, 0)
	r.runTimers()
	assert.False(t, interrupted(m), "once for each version, as it may be invented")
	m.ManifestRead(newestRead(4, r.now))
	teller.ManifestRead(newestRead(5, r.now))
	r.tell(1, 0)
	m.ManifestRead(newestRead(5, r.now))
	r.runTimers()
	assert.False(t, interrupted(m), "the poll has returned it")
	r.tell(1, 0)
	require.Equal(t, platform.MaxPollWait, m.ManifestWait())

	r.now += maxManifestAge - time.Millisecond
	m.Review()
	assert.False(t, interrupted(m))
	r.now += time.Millisecond
	m.Review()
	assert.True(t, interrupted(m), "nothing is told any more")
	assert.Equal(t, platform.PollWait, m.ManifestWait())
}

// What an instance has been told isn't news to it, also if it can't read the manifest, and if the
// store has come back from an older copy of the list.
func TestNothingIsToldTwice(t *testing.T) {
	r := newReplay(2)
	r.teller = 0
	teller := r.mirrors[0]
	news := func() bool { return teller.HasNews(r.mirrors[1].Known()) }
	r.heartbeat("s0")
	r.heartbeat("s1")
	r.read(0)
	teller.ManifestRead(newestRead(4, r.now))
	require.True(t, news())
	r.tell(1, 0)
	assert.False(t, news())

	r.goBack(1)
	r.read(0)
	require.True(t, news(), "a server is gone")
	r.tell(1, 0)
	assert.False(t, news())
	r.sleep(drainTimeout)
	assert.NotContains(t, r.servers[1], fleet.ServerID("s1"))
}

// An instance that the store rejects doesn't go on asking while it is told that nothing is new.
func TestRejectedInstanceAsksAgainWhenItIsToldNothing(t *testing.T) {
	r := newReplay(2)
	r.teller = 0
	r.mirrors[0].ManifestRead(newestRead(3, r.now))
	r.mirrors[1].ManifestRead(newestRead(3, r.now))
	r.mirrors[1].ManifestReadFailed()
	assert.Zero(t, r.mirrors[1].ManifestRetryDelay(), "nothing is told")
	r.tell(1, 0)
	assert.Positive(t, r.mirrors[1].ManifestRetryDelay())
	r.now += DefaultApplyWithin / retriesPerApply
	assert.LessOrEqual(t, r.mirrors[1].ManifestRetryDelay(), time.Duration(0))
}

func TestTellerOfAnEarlierBuildTellsNothing(t *testing.T) {
	r := newReplay(2)
	r.teller = 0
	r.mirrors[0].ManifestRead(newestRead(3, r.now))
	r.mirrors[1].ManifestRead(newestRead(3, r.now))
	r.tell(1, 0)
	r.mirrors[1].HearNothing()
	assert.Equal(t, platform.PollWait, r.mirrors[1].ManifestWait())
}
