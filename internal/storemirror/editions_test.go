package storemirror

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
)

// Beside builds that tell by offsets alone, each instance reads the list itself.
func TestListOfBuildsThatTellByOffset(t *testing.T) {
	r := newReplay(2)
	r.heartbeat("s0")
	r.read(0)
	r.read(1)
	r.write("s0", func(s *fleet.Server) { s.Draining = true })
	r.heartbeat("s1")
	r.read(0)
	m := r.mirrors[1]
	news := r.mirrors[0].Tell(Knowledge{ListEnd: fleet.Position{Offset: 1}}, 0)
	assert.Equal(t, int64(1), news.ListEnd.Offset)
	assert.Empty(t, news.Entries)
	assert.Greater(t, news.ListAge, 24*time.Hour)
	assert.False(t, r.mirrors[0].HasNews(Knowledge{}))

	r.now += time.Second
	m.Hear(News{ListEnd: fleet.Position{Offset: 9}, Entries: slices.Concat(r.log, []fleet.Entry{{ID: "s0", At: fleet.Position{Offset: 8}, Removed: true}})}, m.Known())
	assert.LessOrEqual(t, m.ListDelay(), time.Duration(0), "its copy isn't fresher")
	assert.Equal(t, int64(1), m.Known().ListEnd.Offset)
	assert.Len(t, r.servers[1], 1, "what it lacks isn't known")
	assert.True(t, r.servers[1]["s0"].Draining, "a server's own report counts")
}

// A new teller sends nothing to an instance that knows the same servers, from wherever.
func TestSameListIsNotToldAgainAfterATakeover(t *testing.T) {
	r := newReplay(3)
	r.heartbeat("s0")
	r.write("s1", func(s *fleet.Server) { s.Draining = true })
	for i := range r.mirrors {
		r.read(i)
	}
	for _, teller := range []int{0, 2, 0} {
		r.teller = teller
		known := r.mirrors[1].Known()
		assert.False(t, r.mirrors[teller].HasNews(known))
		assert.Empty(t, r.mirrors[teller].Tell(known, 0).Entries)
		r.tell(1, 0)
		r.heartbeat("s0")
		r.read(teller)
	}
	r.teller = 1
	r.write("s0", func(s *fleet.Server) { s.Draining = true })
	r.read(1)
	assert.Len(t, r.mirrors[1].Tell(r.mirrors[0].Known(), 0).Entries, 2, "the lists differ")
}

// A server had come and gone between two reads of the teller, of which the second one compared the complete
// list. An instance that had read it meanwhile was told that nothing was new.
func TestServerThatTheTellerNeverKnew(t *testing.T) {
	r := newReplay(2)
	r.teller = 0
	r.heartbeat("s0")
	r.read(0)
	r.tell(1, 0)
	r.now += time.Second
	r.heartbeat("s1")
	r.read(1)
	require.Contains(t, r.servers[1], fleet.ServerID("s1"))
	r.remove("s1")
	r.next[0].Next = -1
	r.read(0)
	r.now += time.Second
	r.tell(1, 0)
	require.LessOrEqual(t, r.mirrors[1].ListDelay(), time.Duration(0), "the lists differ, so that it reads itself")
	r.read(1)
	assert.NotContains(t, r.servers[1], fleet.ServerID("s1"))
	r.tell(1, 0)
	assert.Positive(t, r.mirrors[1].ListDelay(), "they are the same")
}

// A teller that knows less tells nothing, at its next regular answer: an instance that lacks nothing would ask
// again and again.
func TestTellerThatKnowsLess(t *testing.T) {
	r := newReplay(3)
	r.heartbeat("s0")
	r.read(0)
	r.heartbeat("s1")
	r.read(1)
	for _, teller := range []*Mirror{r.mirrors[0], r.mirrors[2]} {
		known := r.mirrors[1].Known()
		assert.False(t, teller.HasNews(known))
		assert.Zero(t, teller.Tell(known, 0).List.ID)
	}
	assert.Zero(t, r.mirrors[2].Tell(New(drainTimeout).Known(), 0).List.ID, "it has just started")
}

// News that answer a question from before an instance's own read change nothing.
func TestNewsFromBeforeAnOwnRead(t *testing.T) {
	r := newReplay(2)
	r.heartbeat("s0")
	r.read(0)
	known := r.mirrors[1].Known()
	news := r.mirrors[0].Tell(known, 0)
	r.heartbeat("s1")
	r.read(1)
	end := r.mirrors[1].Known().ListEnd
	r.mirrors[1].Hear(news, known)
	assert.Equal(t, end, r.mirrors[1].Known().ListEnd)
	assert.True(t, r.mirrors[1].Known().Editions, "it isn't taken for a difference")
	assert.Len(t, r.servers[1], 2)
}
