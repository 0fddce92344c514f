package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
)

var start = time.Unix(1_800_000_000, 0)

func server(born, sequence int64) *fleet.Server {
	return &fleet.Server{ID: "s", Address: "10.0.0.1:1", Born: born, Sequence: sequence}
}

func TestRouteIsTheLongestPrefixOfItsHost(t *testing.T) {
	m := fleet.NewManifest(1, []fleet.Route{
		{Name: "short", Host: "a.example", PathPrefix: "/x/"},
		{Name: "long", Host: "a.example", PathPrefix: "/x/y/"},
		{Name: "other", Host: "b.example", PathPrefix: "/x/y/z/"},
	}, nil, fleet.CallerLimits{})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"a.example", "/x/y/z/1", "long"},
		{"b.example", "/x/y/z/", "other"},
		{"a.example", "/x", ""},
		{"a.example", "//x/1", ""},
		{"c.example", "/x/1", ""},
	} {
		got := ""
		if route := m.Route(c.host, c.path); route != nil {
			got = route.Name
		}
		assert.Equal(t, c.want, got, "%s%s", c.host, c.path)
	}
}

func TestIdempotence(t *testing.T) {
	for _, c := range []struct {
		route fleet.Route
		want  bool
	}{
		{fleet.Route{Kind: fleet.KindSafe}, true},
		{fleet.Route{Kind: fleet.KindUnsafe, CanResume: true}, false},
		{fleet.Route{Kind: fleet.KindStream}, false},
		{fleet.Route{Kind: fleet.KindStream, CanResume: true}, true},
	} {
		assert.Equal(t, c.want, c.route.Idempotent(), "%+v", c.route)
	}
}

func TestDirectory(t *testing.T) {
	put := func(offset, born, sequence int64) fleet.Entry {
		return fleet.Entry{ID: "s", Offset: offset, Server: server(born, sequence)}
	}
	removed := func(offset int64) fleet.Entry { return fleet.Entry{ID: "s", Offset: offset, Removed: true} }
	unreadable := func(offset int64) fleet.Entry { return fleet.Entry{ID: "s", Offset: offset} }
	for _, c := range []struct {
		name    string
		entries []fleet.Entry
		// sequence of the server that is listed in the end; -1 for none.
		want int64
	}{
		{"the newest counts", []fleet.Entry{put(1, 1, 1), put(2, 1, 2)}, 2},
		{"an older report that comes late doesn't", []fleet.Entry{put(1, 1, 5), put(2, 1, 4)}, 5},
		{"an older record doesn't", []fleet.Entry{put(2, 1, 5), put(1, 1, 9)}, 5},
		{"a new life counts though its sequence is lower", []fleet.Entry{put(1, 1, 5), put(2, 2, 1)}, 1},
		{"an earlier life doesn't", []fleet.Entry{put(1, 2, 1), put(2, 1, 9)}, 1},
		{"a removed server is gone", []fleet.Entry{put(1, 1, 1), removed(2)}, -1},
		{"and may come back", []fleet.Entry{put(1, 1, 1), removed(2), put(3, 1, 2)}, 2},
		{"but not by an older report", []fleet.Entry{put(1, 1, 4), removed(2), put(3, 1, 3)}, -1},
		{"nor by the last one once more", []fleet.Entry{put(1, 1, 4), removed(2), put(3, 1, 4)}, -1},
		{"though by a new life", []fleet.Entry{put(1, 1, 4), removed(2), put(3, 2, 1)}, 1},
		{"an unreadable entry names no server", []fleet.Entry{put(1, 1, 1), unreadable(2)}, -1},
		{"until it is readable again", []fleet.Entry{put(1, 1, 1), unreadable(2), put(3, 1, 2)}, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := fleet.NewDirectory()
			for _, e := range c.entries {
				d.Apply(start, e)
			}
			got := int64(-1)
			if s := d.Servers()["s"]; s != nil {
				got = s.Sequence
			}
			assert.Equal(t, c.want, got)
		})
	}
}

func TestEntriesThatLapsedWhileTheListWasAway(t *testing.T) {
	d := fleet.NewDirectory()
	d.Apply(start, fleet.Entry{ID: "s", Offset: 1, Server: server(1, 1)})
	d.Regained(start, time.Minute)
	assert.False(t, d.Apply(start, fleet.Entry{ID: "s", Offset: 2, Removed: true}))
	assert.Len(t, d.Servers(), 1, "it may still come back")
	assert.False(t, d.Expire(start.Add(fleet.MissingGrace-1)))
	assert.True(t, d.Expire(start.Add(fleet.MissingGrace)))
	assert.Empty(t, d.Servers(), "what is missing after that is gone")

	d.Regained(start, time.Minute)
	d.Apply(start, fleet.Entry{ID: "s", Offset: 3, Server: server(1, 2)})
	d.Apply(start, fleet.Entry{ID: "s", Offset: 4, Removed: true})
	d.Apply(start, fleet.Entry{ID: "s", Offset: 5, Server: server(1, 3)})
	assert.False(t, d.Expire(start.Add(time.Hour)), "it came back")
}

// One lost read is no outage: a server that was removed gets no request for two
// seconds more.
func TestRemovalHoldsAfterALostRead(t *testing.T) {
	d := fleet.NewDirectory()
	d.Apply(start, fleet.Entry{ID: "s", Offset: 1, Server: server(1, 1)})
	d.Regained(start, 600*time.Millisecond)
	assert.True(t, d.Apply(start, fleet.Entry{ID: "s", Offset: 2, Removed: true}))
	assert.Empty(t, d.Servers())
}

func TestLeavingServerIsGoneAtOnceThoughTheListWasAway(t *testing.T) {
	d := fleet.NewDirectory()
	leaving := server(1, 1)
	leaving.Draining = true
	d.Apply(start, fleet.Entry{ID: "s", Offset: 1, Server: leaving})
	d.Regained(start, time.Minute)
	assert.True(t, d.Apply(start, fleet.Entry{ID: "s", Offset: 2, Removed: true}))
}

func TestReplaceRemovesWhatIsMissing(t *testing.T) {
	d := fleet.NewDirectory()
	d.Apply(start, fleet.Entry{ID: "s", Offset: 1, Server: server(1, 1)})
	d.Apply(start, fleet.Entry{ID: "u", Offset: 2, Server: server(1, 1)})
	assert.True(t, d.Replace(start, []fleet.Entry{{ID: "u", Offset: 2, Server: server(1, 1)}}))
	assert.Contains(t, d.Servers(), fleet.ServerID("u"))
	assert.NotContains(t, d.Servers(), fleet.ServerID("s"))
}

// Whatever order and however often records are read, the directory ends where
// the newest readable one leaves it.
func TestDirectoryNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "records")
		records := make([]fleet.Entry, n)
		for i := range records {
			records[i] = fleet.Entry{ID: "s", Offset: int64(i), Server: server(1, int64(i))}
		}
		d := fleet.NewDirectory()
		newest := int64(-1)
		for _, i := range rapid.SliceOfN(rapid.IntRange(0, n-1), 1, 20).Draw(t, "reads") {
			d.Apply(start, records[i])
			newest = max(newest, int64(i))
			if got := d.Servers()["s"].Sequence; got != newest {
				t.Fatalf("sequence %d after %d", got, newest)
			}
		}
	})
}
