package tenure_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/tenure"
)

const lease = 3 * time.Second

func record(life string) tenure.Record {
	return tenure.Record{Holder: life, Life: life, Address: life + ":1"}
}

func newState(life string, fenced bool) *tenure.State {
	return tenure.New(tenure.Config{Self: record(life), Lease: lease, Fenced: fenced})
}

func TestEmptyLogIsClaimedAtOnce(t *testing.T) {
	s := newState("a", true)
	s.Empty(0, time.Second)
	assert.Equal(t, time.Second, s.NextAppend(0))
	s.Appended(0, false, time.Second)
	assert.True(t, s.Mine())
	assert.Equal(t, int64(1), s.Epoch())
	assert.True(t, s.MayOrder(time.Second))
}

func TestRenewalKeepsTheEpoch(t *testing.T) {
	s := newState("a", true)
	s.Appended(0, false, 0)
	s.Appended(1, false, time.Second)
	assert.Equal(t, int64(1), s.Epoch())
	assert.Equal(t, int64(2), s.End())
}

func TestSilentHolderIsWaitedFor(t *testing.T) {
	s := newState("b", false)
	s.Observe(4, record("a"), time.Second)
	assert.Equal(t, time.Second+lease, s.NextAppend(0))
	assert.False(t, s.MayOrder(time.Second))
	fenced := newState("b", true)
	fenced.Observe(4, record("a"), time.Second)
	assert.Equal(t, time.Second+2*lease/3, fenced.NextAppend(0), "two renewals, where servers check epochs")
}

// While the log is away nobody can renew: its return isn't the moment to claim.
func TestHolderIsWaitedForAnewAfterAnOutage(t *testing.T) {
	s := newState("b", false)
	s.Observe(4, record("a"), time.Second)
	s.Regained(9 * time.Second)
	assert.Equal(t, 9*time.Second+lease, s.NextAppend(0))
}

// A process that finds the tenure of the one before it on the same instance needn't
// wait: that has ended.
func TestRestartedHolderClaimsAtOnce(t *testing.T) {
	s := newState("a", true)
	earlier := record("a")
	earlier.Life = "a, before"
	s.Observe(4, earlier, time.Second)
	assert.False(t, s.Mine())
	assert.Equal(t, time.Second, s.NextAppend(0))
	s.Appended(5, false, time.Second)
	assert.Equal(t, int64(6), s.Epoch(), "with an epoch of its own")
}

func TestHolderThatAnswersIsAlive(t *testing.T) {
	s := newState("b", false)
	s.Observe(4, record("a"), time.Second)
	s.Alive(5, 9*time.Second)
	assert.Equal(t, 9*time.Second+lease, s.NextAppend(0))
	s.Alive(3, 20*time.Second)
	assert.Equal(t, 9*time.Second+lease, s.NextAppend(0), "of another epoch")
}

func TestReleasedTenureIsClaimedAtOnce(t *testing.T) {
	s := newState("b", true)
	released := record("a")
	released.Released = true
	s.Observe(4, record("a"), 0)
	s.Observe(5, released, time.Second)
	assert.Equal(t, time.Second, s.NextAppend(0))
	s.Appended(6, false, time.Second)
	assert.Equal(t, int64(7), s.Epoch(), "an epoch of its own")
}

func TestHolderThatCantRenew(t *testing.T) {
	strict, fenced := newState("a", false), newState("a", true)
	strict.Appended(0, false, 0)
	fenced.Appended(0, false, 0)
	assert.False(t, strict.MayOrder(lease), "where servers don't check epochs")
	assert.True(t, fenced.MayOrder(lease))
	assert.False(t, fenced.MayOrder(time.Minute))
}

func TestSupersededHolderOrdersNothing(t *testing.T) {
	s := newState("a", true)
	s.Appended(0, false, 0)
	assert.True(t, s.Supersede())
	assert.False(t, s.Supersede(), "said once")
	assert.False(t, s.MayOrder(0))
	s.Appended(1, false, 0)
	assert.False(t, s.MayOrder(0), "a renewal doesn't lift it")
	s.Observe(2, record("b"), 0)
	s.Appended(3, false, 0)
	assert.True(t, s.MayOrder(0), "a tenure of its own does")
}

func TestRecordsReadAgainChangeNothing(t *testing.T) {
	s := newState("a", true)
	s.Observe(0, record("b"), 0)
	s.Observe(1, record("a"), 0)
	s.Observe(0, record("b"), time.Hour)
	assert.True(t, s.Mine())
	assert.Equal(t, int64(2), s.Epoch())
}

// What a peer has read stops a holder that the store turns away, and tells it where
// to report. It gives no right to claim or to order.
func TestHearsay(t *testing.T) {
	s := newState("a", true)
	s.Appended(0, false, 0)
	s.Hear(record("b"), 1)
	assert.True(t, s.Mine(), "not of a later epoch")
	s.Hear(record("b"), 7)
	r, epoch, held := s.Holder()
	assert.Equal(t, "b", r.Life)
	assert.Equal(t, int64(7), epoch)
	assert.True(t, held)
	assert.False(t, s.MayOrder(0))
	assert.Equal(t, int64(1), s.End(), "appends still go by what was read")

	other := newState("c", true)
	other.Hear(record("c"), 7)
	assert.False(t, other.Mine())
	assert.False(t, other.MayOrder(0))
	s.Observe(6, record("b"), 0)
	s.Observe(9, record("c"), 0)
	r, epoch, _ = s.Holder()
	assert.Equal(t, "c", r.Life, "the log goes before hearsay")
	assert.Equal(t, int64(10), epoch)
}
