package bytebudget_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/bytebudget"
)

const (
	kb = int64(1 << 10)
	mb = int64(1 << 20)
)

// client is a holder that reserves for one body.
type client struct {
	bytebudget.Reservation
	dropped bool
}

func (c *client) Dropped(bytebudget.Purpose) { c.dropped = true }

func begin(b *bytebudget.Budget, now time.Duration) *client {
	c := &client{}
	b.Begin(&c.Reservation, bytebudget.Bodies, c, now)
	return c
}

// receive reserves and receives n bytes.
func (c *client) receive(t require.TestingT, n int64, now time.Duration) {
	require.NoError(t, c.Grow(n, now))
	c.Advance(n, now)
}

// A caller on a slow link that sends steadily is older and has a lower rate than clients that sent a
// megabyte at once and stopped. They are dropped, it never is.
func TestSteadyCallerOnSlowLinkOutlastsStalledOnes(t *testing.T) {
	b := bytebudget.New(8 * mb)
	steady := begin(b, 0)
	var stalled []*client
	now := time.Duration(0)
	for now < 20*time.Second {
		now += 100 * time.Millisecond
		require.NoError(t, steady.Grow(3*kb, now), now)
		steady.Advance(3*kb, now)
		one := begin(b, now)
		if one.Grow(mb, now) == nil {
			one.Advance(mb, now)
			stalled = append(stalled, one)
		} else {
			one.End()
		}
		for _, c := range stalled {
			if c.dropped {
				c.End()
			}
		}
	}
	assert.False(t, steady.dropped)
	assert.Greater(t, b.Dropped(bytebudget.Bodies), int64(20), "the stalled ones make room for one another")
	assert.LessOrEqual(t, b.Used(bytebudget.Bodies), b.Limit())
}

// Of several stalled clients the one that has made the least of its bytes goes first, not the one
// with the fewest bytes per second.
func TestSlowestRelativeToItsBytesGoesFirst(t *testing.T) {
	b := bytebudget.New(8 * mb)
	large, small := begin(b, 0), begin(b, 0)
	require.NoError(t, large.Grow(4*mb, 0))
	large.Advance(40*kb, 0)
	require.NoError(t, small.Grow(20*kb, 0))
	small.Advance(10*kb, 0)
	next := begin(b, 10*time.Second)
	require.NoError(t, next.Grow(6*mb, 10*time.Second))
	assert.True(t, large.dropped)
	assert.False(t, small.dropped)
	require.ErrorIs(t, large.Grow(1, 10*time.Second), bytebudget.ErrShort)
	assert.False(t, large.Complete())
}

// Bodies that have arrived whole are never dropped, however many others want their bytes.
func TestCompleteBodyIsKept(t *testing.T) {
	b := bytebudget.New(8 * mb)
	whole := begin(b, 0)
	whole.receive(t, 6*mb, 0)
	require.True(t, whole.Complete())
	other := begin(b, time.Minute)
	require.ErrorIs(t, other.Grow(2*mb, time.Minute), bytebudget.ErrShort)
	assert.False(t, whole.dropped)
	whole.End()
	require.NoError(t, other.Grow(2*mb, time.Minute))
}

// Bodies that keep their pace, and those that have just begun with their first buffer, fill the budget
// and aren't dropped, but small requests are still admitted.
func TestSmallRequestsFitBesideLargeOnes(t *testing.T) {
	b := bytebudget.New(8 * mb)
	for range 7 {
		begin(b, 0).receive(t, mb, 0)
	}
	require.ErrorIs(t, begin(b, 0).Grow(mb, 0), bytebudget.ErrShort)
	for begin(b, 0).Grow(bytebudget.SmallBytes, 0) == nil {
	}
	for range 100 {
		require.NoError(t, begin(b, 0).Grow(bytebudget.TinyBytes, 0))
	}
}

// Dropped bytes are in use until their holders have ended: not more than a quarter of the budget may
// be.
func TestDroppedBytesAreBounded(t *testing.T) {
	b := bytebudget.New(8 * mb)
	for range 7 {
		begin(b, 0).receive(t, mb, 0)
	}
	now, admitted := time.Minute, 0
	for range 7 {
		if begin(b, now).Grow(mb, now) == nil {
			admitted++
		}
	}
	assert.Equal(t, 2, admitted)
	assert.Equal(t, 2*mb, b.Dropping())
}

// The bytes in use stay within the budget and its quarter for dropped ones, and return to 0, whatever
// the order of calls. No reservation that is complete, or has lately begun, is dropped.
func TestAccount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := bytebudget.New(mb)
		var clients []*client
		complete, began := map[*client]bool{}, map[*client]time.Duration{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			was := map[*client]bool{}
			for _, c := range clients {
				was[c] = c.dropped
			}
			if len(clients) == 0 || rapid.Bool().Draw(t, "new") {
				c := begin(b, now)
				began[c] = now
				clients = append(clients, c)
			}
			i := rapid.IntRange(0, len(clients)-1).Draw(t, "client")
			c := clients[i]
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0, 1:
				if n := rapid.Int64Range(1, mb/4).Draw(t, "n"); !complete[c] && c.Grow(n, now) == nil {
					c.Advance(n/2, now)
				}
			case 2:
				complete[c] = complete[c] || c.Complete()
			case 3:
				c.End()
				clients = append(clients[:i], clients[i+1:]...)
			}
			for _, c := range clients {
				if c.dropped && !was[c] {
					require.False(t, complete[c])
					require.GreaterOrEqual(t, now-began[c], bytebudget.Pause)
				}
			}
			require.LessOrEqual(t, b.Used(bytebudget.Bodies), mb)
			ending := 0
			for _, c := range clients {
				if c.dropped {
					ending++
				}
			}
			require.True(t, ending <= 1 || b.Dropping() <= mb/4, "%d bytes of %d dropped ones", b.Dropping(), ending)
		}
		for _, c := range clients {
			c.End()
			c.End()
		}
		require.Zero(t, b.Used(bytebudget.Bodies))
		require.Zero(t, b.Dropping())
	})
}

// BenchmarkBody measures what the account costs a body that arrives with its head.
func BenchmarkBody(b *testing.B) {
	budget := bytebudget.New(64 * mb)
	c := &client{}
	b.ReportAllocs()
	for b.Loop() {
		budget.Begin(&c.Reservation, bytebudget.Bodies, c, 0)
		_ = c.Grow(kb, 0)
		c.Advance(kb, 0)
		c.Complete()
		c.End()
	}
}
