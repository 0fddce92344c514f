package leaderlease_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/leaderlease"
)

const lease = 3 * time.Second

func record(incarnation string) leaderlease.Record {
	return leaderlease.Record{Holder: incarnation, Incarnation: incarnation, Address: incarnation + ":1"}
}

func newState(incarnation string, fenced bool) *leaderlease.State {
	return leaderlease.New(leaderlease.Config{Self: record(incarnation), LeaseDuration: lease, Fenced: fenced})
}

func TestEmptyLogIsClaimedAtOnce(t *testing.T) {
	s := newState("a", true)
	s.ObserveEnd(0, time.Second)
	assert.Equal(t, time.Second, s.NextAppend(0))
	s.Appended(0, record("a"), time.Second, time.Second)
	assert.True(t, s.IsHolder())
	assert.Equal(t, int64(1), s.Epoch())
	assert.True(t, s.CanOrder(time.Second))
}

func TestRenewalKeepsTheEpoch(t *testing.T) {
	s := newState("a", true)
	s.Appended(0, record("a"), 0, 0)
	s.Appended(1, record("a"), time.Second, time.Second)
	assert.Equal(t, int64(1), s.Epoch())
	assert.Equal(t, int64(2), s.End())
}

func TestUnreachableHolderIsWaitedFor(t *testing.T) {
	s := newState("b", false)
	s.Observe(4, record("a"), time.Second)
	assert.Equal(t, time.Second+lease, s.NextAppend(0))
	assert.False(t, s.CanOrder(time.Second))
	fenced := newState("b", true)
	fenced.Observe(4, record("a"), time.Second)
	assert.Equal(t, time.Second+2*lease/3, fenced.NextAppend(0), "two missed renewals are enough if servers check epochs")
}

// During an outage of the log no holder can renew. The recovery of the log must not be taken
// as an expiry of the lease.
func TestHolderGetsAFullLeaseAfterAnOutage(t *testing.T) {
	s := newState("b", false)
	s.Observe(4, record("a"), time.Second)
	s.LogRecovered(9 * time.Second)
	assert.Equal(t, 9*time.Second+lease, s.NextAppend(0))
}

// A process that finds a lease of an earlier process of the same instance claims it
// immediately, because that process has ended.
func TestRestartedHolderClaimsAtOnce(t *testing.T) {
	s := newState("a", true)
	earlier := record("a")
	earlier.Incarnation = "a, earlier"
	s.Observe(4, earlier, time.Second)
	assert.False(t, s.IsHolder())
	assert.Equal(t, time.Second, s.NextAppend(0))
	s.Appended(5, record("a"), time.Second, time.Second)
	assert.Equal(t, int64(6), s.Epoch(), "a new epoch")
}

// The earlier process of an instance was killed while an order was on its way, which reached a server that doesn't check
// epochs after one of the process that had claimed the lease at once.
func TestRestartedHolderWaitsForEarlierOrders(t *testing.T) {
	s := leaderlease.New(leaderlease.Config{Self: record("a"), LeaseDuration: lease, OrderTimeout: 300 * time.Millisecond})
	earlier := record("a")
	earlier.Incarnation = "a, earlier"
	s.Observe(4, earlier, time.Second)
	assert.Equal(t, 1300*time.Millisecond, s.NextAppend(0))
}

func TestHolderThatAnswersIsAlive(t *testing.T) {
	s := newState("b", false)
	s.Observe(4, record("a"), time.Second)
	s.HolderResponded(5, 9*time.Second)
	assert.Equal(t, 9*time.Second+lease, s.NextAppend(0))
	s.HolderResponded(3, 20*time.Second)
	assert.Equal(t, 9*time.Second+lease, s.NextAppend(0), "a response for another epoch is ignored")
}

func TestReleasedLeaseIsClaimedAtOnce(t *testing.T) {
	s := newState("b", true)
	released := record("a")
	released.Released = true
	s.Observe(4, record("a"), 0)
	s.Observe(5, released, time.Second)
	assert.Equal(t, time.Second, s.NextAppend(0))
	s.Appended(6, record("b"), time.Second, time.Second)
	assert.Equal(t, int64(7), s.Epoch(), "a new epoch")
}

func TestHolderThatCantRenew(t *testing.T) {
	strict, fenced := newState("a", false), newState("a", true)
	strict.Appended(0, record("a"), 0, 0)
	fenced.Appended(0, record("a"), 0, 0)
	assert.False(t, strict.CanOrder(lease), "without fencing the lease expires")
	assert.True(t, fenced.CanOrder(lease))
	assert.False(t, fenced.CanOrder(time.Minute))
}

func TestSupersededHolderOrdersNothing(t *testing.T) {
	s := newState("a", true)
	s.Appended(0, record("a"), 0, 0)
	assert.True(t, s.MarkSuperseded())
	assert.False(t, s.MarkSuperseded(), "already known")
	assert.False(t, s.CanOrder(0))
	s.Appended(1, record("a"), 0, 0)
	assert.False(t, s.CanOrder(0), "a renewal doesn't reset it")
	s.Observe(2, record("b"), 0)
	s.Appended(3, record("a"), 0, 0)
	assert.True(t, s.CanOrder(0), "a new epoch does")
}

func TestRecordsReadAgainChangeNothing(t *testing.T) {
	s := newState("a", true)
	s.Observe(0, record("b"), 0)
	s.Observe(1, record("a"), 0)
	s.Observe(0, record("b"), time.Hour)
	assert.True(t, s.IsHolder())
	assert.Equal(t, int64(2), s.Epoch())
}

// A report of a peer stops a holder that the log store rejects, and determines where it
// reports. It doesn't allow the instance to claim or to order.
func TestLeaseReportedByPeers(t *testing.T) {
	s := newState("a", true)
	s.Appended(0, record("a"), 0, 0)
	s.ObservePeer(record("b"), 1)
	assert.True(t, s.IsHolder(), "an epoch that isn't later is ignored")
	s.ObservePeer(record("b"), 7)
	r, epoch, held := s.Holder()
	assert.Equal(t, "b", r.Incarnation)
	assert.Equal(t, int64(7), epoch)
	assert.True(t, held)
	assert.False(t, s.CanOrder(0))
	assert.Equal(t, int64(1), s.End(), "appends are still based on the records that were read")

	other := newState("c", true)
	other.ObservePeer(record("c"), 7)
	assert.False(t, other.IsHolder())
	assert.False(t, other.CanOrder(0))
	s.Observe(6, record("b"), 0)
	s.Observe(9, record("c"), 0)
	r, epoch, _ = s.Holder()
	assert.Equal(t, "c", r.Incarnation, "records of the log override reports of peers")
	assert.Equal(t, int64(10), epoch)
}

// An instance that had started later derived the holder's epoch from a renewal, and told the holder of it: the
// holder didn't take itself for the holder any more, and appended records without end.
func TestHolderHearsOfItsOwnLease(t *testing.T) {
	for _, fenced := range []bool{false, true} {
		s := newState("a", fenced)
		s.Appended(0, record("a"), 0, 0)
		s.Appended(16, record("a"), time.Second, time.Second)
		s.ObservePeer(record("a"), 17)
		assert.True(t, s.IsHolder())
		assert.True(t, s.CanOrder(time.Second))
		assert.Equal(t, int64(1), s.Epoch())
		assert.Equal(t, time.Second+lease/3, s.NextAppend(0))
	}
}

// An instance that is told of a later holder and finds its own record as the last one waits for that holder.
func TestOwnRecordIsNotThatOfAnEarlierProcess(t *testing.T) {
	s := newState("a", false)
	s.Appended(0, record("a"), 0, 0)
	s.ObservePeer(record("b"), 7)
	assert.Equal(t, lease, s.NextAppend(0))
	claim, due := s.Propose(0, lease)
	assert.True(t, due)
	assert.Equal(t, int64(8), claim.Record.Epoch, "later than the one that it was told of")
}

// A later start derives an epoch that is too high from the record of a build that states none. The holder's own
// answer corrects it, and until then it isn't told to others.
func TestDerivedEpochIsCorrectedByTheHolder(t *testing.T) {
	s := newState("c", false)
	s.Observe(16, record("a"), 0)
	assert.False(t, s.IsEpochKnown())
	s.HolderResponded(1, 9*time.Second)
	assert.True(t, s.IsEpochKnown())
	assert.Equal(t, int64(1), s.Epoch())
	assert.Equal(t, 9*time.Second+lease, s.NextAppend(0))

	s.ObservePeer(record("a"), 17)
	s.HolderResponded(1, 10*time.Second)
	_, epoch, _ := s.Holder()
	assert.Equal(t, int64(1), epoch, "told by another instance that had started later")
	assert.Equal(t, 10*time.Second+lease, s.NextAppend(0))
}

// An epoch that was derived from the first record after a drill counted as known, and the holder's answer didn't correct it.
func TestEpochDerivedAfterADrillIsCorrectedByTheHolder(t *testing.T) {
	s := newState("c", false)
	s.Observe(0, record("a"), 0)
	assert.True(t, s.IsEpochKnown(), "the first record of the log is the first one of a run")
	require.True(t, s.BeginHistory(2, 8, time.Second, time.Second))
	s.Observe(8, record("a"), 2*time.Second)
	assert.False(t, s.IsEpochKnown())
	s.HolderResponded(1, 3*time.Second)
	assert.True(t, s.IsEpochKnown())
	assert.Equal(t, int64(1), s.Epoch())
	assert.Equal(t, 3*time.Second+lease, s.NextAppend(0))

	require.True(t, s.BeginHistory(3, 0, 4*time.Second, 4*time.Second))
	s.Observe(0, record("b"), 5*time.Second)
	assert.True(t, s.IsEpochKnown(), "as above, after a drill that lost everything")
}

// An order that was sent just before the lease of its epoch ended reached a server that doesn't check epochs after one
// of the next holder.
func TestNoOrderIsUnderWayWhenTheLeaseEnds(t *testing.T) {
	const timeout = 300 * time.Millisecond
	s := leaderlease.New(leaderlease.Config{Self: record("a"), LeaseDuration: lease, OrderTimeout: timeout})
	s.Appended(0, record("a"), time.Second, time.Second)
	left, allowed := s.BeginOrder(1, 2*time.Second)
	assert.True(t, allowed)
	assert.Equal(t, lease-time.Second, left)
	_, allowed = s.BeginOrder(1, time.Second+lease-timeout)
	assert.False(t, allowed)
	assert.False(t, s.CanOrder(time.Second+lease-timeout))
}

// A holder that loses the lease and claims it anew sent orders of the new epoch beside one of the old epoch.
func TestEpochsOfOneInstanceDoNotOverlap(t *testing.T) {
	s := newState("a", false)
	s.Appended(0, record("a"), 0, 0)
	_, allowed := s.BeginOrder(1, 0)
	require.True(t, allowed)
	s.Observe(1, record("b"), 0)
	s.Appended(2, record("a"), lease, lease)
	_, allowed = s.BeginOrder(3, lease)
	assert.False(t, allowed, "one of epoch 1 is under way")
	s.EndOrder(lease)
	_, allowed = s.BeginOrder(1, lease)
	assert.False(t, allowed, "decided under epoch 1")
	_, allowed = s.BeginOrder(3, lease)
	assert.True(t, allowed)
}
