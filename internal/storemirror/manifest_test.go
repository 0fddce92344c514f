package storemirror

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

// An instance that the store rejects knows from another one whether keys were withdrawn. While both
// are cut off, and while a newer manifest is known that isn't in force, it doesn't.
func TestConfirmationOfTheManifest(t *testing.T) {
	r := newReplay(2)
	r.teller = 0
	teller, m := r.mirrors[0], r.mirrors[1]
	assert.Greater(t, m.ConfirmationAge(), 24*time.Hour, "nothing is known")
	teller.ManifestRead(newestRead(3, r.now))
	m.ManifestRead(newestRead(3, r.now))
	r.now += 5 * time.Second
	assert.Equal(t, 5*time.Second, m.ConfirmationAge())
	r.tell(1, 0)
	assert.Equal(t, 5*time.Second, m.ConfirmationAge(), "the teller knows nothing newer")
	teller.ManifestRead(newestRead(3, r.now-time.Second))
	r.tell(1, 10*time.Millisecond)
	assert.Equal(t, time.Second, m.ConfirmationAge(), "the time on the way counts as age")

	teller.ManifestRead(newestRead(4, r.now))
	r.tell(1, 0)
	assert.True(t, m.IsBehind())
	assert.Equal(t, time.Second, m.ConfirmationAge())
	m.ManifestRead(newestRead(3, r.now))
	assert.Equal(t, time.Second, m.ConfirmationAge(), "the store has come back from an older copy")
	r.runTimers()
	select {
	case <-m.Behind():
	default:
		t.Error("the manifest isn't fetched")
	}
	m.ManifestFetched(4)
	assert.False(t, m.IsBehind())
	assert.Equal(t, time.Second, m.ConfirmationAge())
	r.tell(1, 0)
	assert.Zero(t, m.ConfirmationAge())
}

// An instance whose messages of the store have ceased reads at once, before the confirmation is too
// old.
func TestConfirmationThatGrowsOldIsRead(t *testing.T) {
	r := newReplay(2)
	r.teller = 0
	m := r.mirrors[1]
	m.SetConfirmWithin(5 * time.Second)
	r.mirrors[0].ManifestRead(newestRead(3, r.now))
	m.ManifestRead(newestRead(3, r.now))
	r.tell(1, 0)
	assert.Equal(t, platform.MaxPollWait, m.ManifestWait())
	r.now += maxManifestAge
	m.Review()
	assert.True(t, interrupted(m))
	assert.Zero(t, m.ManifestWait())
}

// A holder that the store rejects told of an old manifest. An instance whose own read was fresh relied on
// one long poll, which wasn't answered, and refused requests on added routes for 4 s.
func TestStaleTellerIsNotReliedOn(t *testing.T) {
	r := newReplay(2)
	r.teller = 0
	teller, m := r.mirrors[0], r.mirrors[1]
	teller.ManifestRead(newestRead(3, r.now))
	m.ManifestRead(newestRead(3, r.now))
	r.now += maxManifestAge
	m.ManifestRead(newestRead(3, r.now))
	r.tell(1, 0)
	assert.Equal(t, platform.PollWait, m.ManifestWait(), "the teller has read the store too long ago")
	teller.ManifestRead(newestRead(3, r.now))
	r.tell(1, 0)
	assert.Equal(t, platform.MaxPollWait, m.ManifestWait())
}

// listed returns the servers that an instance uses.
func (r *replay) listed(i int) map[fleet.ServerID]*fleet.Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.servers[i]
}

// The teller defers removals after an outage of its own. It told the others, which the store served all
// along, of servers that were gone, and they used these for up to 4 s.
func TestTellerThatHadAnOutageTellsOfRemovals(t *testing.T) {
	for _, others := range []bool{false, true} {
		r := newReplay(2)
		r.teller = 0
		r.heartbeat("s0")
		r.read(0)
		r.read(1)
		r.sleep(9 * time.Second)
		if !others {
			r.read(1)
		}
		r.sleep(100 * time.Millisecond)
		r.remove("s0")
		r.mirrors[0].ListReadFailed(r.now)
		if others {
			r.mirrors[1].ListReadFailed(r.now)
		}
		r.mirrors[0].ListRead(platform.ServerListBatch{
			Entries: r.log[1:], Next: int64(len(r.log)), AtEnd: true, CurrentSince: r.now,
		})
		assert.Contains(t, r.listed(0), fleet.ServerID("s0"), "its entry may have expired during the outage")
		r.tell(1, 0)
		if others {
			assert.Contains(t, r.listed(1), fleet.ServerID("s0"), "the other one had an outage too")
		} else {
			assert.NotContains(t, r.listed(1), fleet.ServerID("s0"))
		}
		r.sleep(2 * fleet.MissingGrace)
		assert.NotContains(t, r.listed(0), fleet.ServerID("s0"))
		assert.NotContains(t, r.listed(1), fleet.ServerID("s0"))
	}
}

// Reads and messages that don't show that the manifest in force is the newest must not extend the time for
// which withdrawn keys work.
func TestWhatDoesNotConfirm(t *testing.T) {
	r := newReplay(2)
	r.teller = 0
	teller, m := r.mirrors[0], r.mirrors[1]
	m.ManifestRead(newestRead(3, r.now))
	r.now += time.Second
	read := newestRead(3, r.now)
	read.AtEnd = false
	m.ManifestRead(read)
	assert.Equal(t, time.Second, m.ConfirmationAge(), "more records follow")
	read = newestRead(3, r.now)
	read.Newest = 2
	m.ManifestRead(read)
	assert.Equal(t, time.Second, m.ConfirmationAge(), "the store has come back from an older copy")

	m.HearOfManifest(4)
	assert.True(t, m.IsBehind())
	teller.ManifestRead(newestRead(3, r.now))
	r.tell(1, 0)
	assert.Equal(t, time.Second, m.ConfirmationAge(), "another instance knows a newer one")
	m.SetConfirmWithin(time.Second)
	r.now += time.Second
	assert.Positive(t, m.ManifestWait(), "reads in a row can't confirm it")
	r.runTimers()
	select {
	case <-m.Behind():
	default:
		t.Error("the manifest isn't fetched")
	}

	m.ManifestFetched(4)
	m.SetDocument(4, []byte("4"))
	m.ManifestRead(newestRead(3, r.now))
	m.SetDocument(3, []byte("3"))
	assert.False(t, m.IsBehind(), "the version was looked up before the newer one came into force")
	assert.Equal(t, "4", string(m.Document()))
}

// An instance whose read had failed once didn't read again while it was told: it depended on the teller alone, and
// answered as an older manifest says for seconds after the teller was lost (review/9).
func TestReadThatFailedIsRepeatedWhileTold(t *testing.T) {
	for _, applyWithin := range []time.Duration{0, time.Second, 4 * time.Second} {
		r := newReplay(2)
		r.teller = 0
		teller, m := r.mirrors[0], r.mirrors[1]
		if applyWithin > 0 {
			m.SetApplyWithin(applyWithin)
		} else {
			applyWithin = DefaultApplyWithin
		}
		m.ManifestRead(newestRead(3, r.now))
		r.now += 10 * time.Second
		teller.ManifestRead(newestRead(3, r.now))
		r.tell(1, 0)
		m.ManifestReadFailed()
		for failed := r.now; m.ManifestRetryDelay() > 0; {
			r.now += 100 * time.Millisecond
			teller.ManifestRead(newestRead(3, r.now))
			r.tell(1, 0)
			if !assert.Less(t, r.now-failed, applyWithin, "it doesn't read") {
				return
			}
		}
		m.ManifestReadFailed()
		assert.Positive(t, m.ManifestRetryDelay(), "calls that are rejected have a cost")
	}
}

// The loss of the teller was noticed only when what it had told was maxManifestAge old, which is longer than a
// manifest may take to be in force.
func TestLossOfTheTellerEndsWhatReliesOnIt(t *testing.T) {
	r := newReplay(2)
	r.teller = 0
	teller, m := r.mirrors[0], r.mirrors[1]
	teller.ManifestRead(newestRead(3, r.now))
	m.ManifestRead(newestRead(3, r.now))
	r.tell(1, 0)
	assert.Equal(t, platform.MaxPollWait, m.ManifestWait())
	m.LoseTeller()
	assert.True(t, interrupted(m), "a long poll that isn't answered")
	assert.Equal(t, platform.PollWait, m.ManifestWait())
	m.LoseTeller()
	assert.False(t, interrupted(m), "the same loss costs one read")

	r.tell(1, 0)
	m.ManifestReadFailed()
	assert.Positive(t, m.ManifestRetryDelay())
	m.LoseTeller()
	assert.True(t, interrupted(m), "the wait after a read that failed")
	assert.LessOrEqual(t, m.ManifestRetryDelay(), time.Duration(0))
}
