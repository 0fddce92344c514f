package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
)

const start = time.Hour

func server(startedAt, sequence int64) *fleet.Server {
	return &fleet.Server{ID: "s", Address: "10.0.0.1:1", StartedAt: startedAt, Sequence: sequence}
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
	put := func(offset, startedAt, sequence int64) fleet.Entry {
		return fleet.Entry{ID: "s", At: fleet.Position{Offset: offset}, Server: server(startedAt, sequence)}
	}
	removed := func(offset int64) fleet.Entry {
		return fleet.Entry{ID: "s", At: fleet.Position{Offset: offset}, Removed: true}
	}
	unreadable := func(offset int64) fleet.Entry { return fleet.Entry{ID: "s", At: fleet.Position{Offset: offset}} }
	for _, c := range []struct {
		name    string
		entries []fleet.Entry
		// want is the sequence of the server that is used at the end; -1 for none. doubted is that of a
		// server that is used only once it is found running.
		want, doubted int64
	}{
		{"newest report wins", []fleet.Entry{put(1, 1, 1), put(2, 1, 2)}, 2, 0},
		{"older report in a newer record is ignored", []fleet.Entry{put(1, 1, 5), put(2, 1, 4)}, 5, 0},
		{"older record is ignored", []fleet.Entry{put(2, 1, 5), put(1, 1, 9)}, 5, 0},
		{"new incarnation wins with a lower sequence", []fleet.Entry{put(1, 1, 5), put(2, 2, 1)}, 1, 0},
		{"earlier incarnation is ignored", []fleet.Entry{put(1, 2, 1), put(2, 1, 9)}, 1, 0},
		{"removed server is not listed", []fleet.Entry{put(1, 1, 1), removed(2)}, -1, 0},
		{"removed server can register again", []fleet.Entry{put(1, 1, 1), removed(2), put(3, 1, 2)}, -1, 2},
		{"older report doesn't restore a removed server", []fleet.Entry{put(1, 1, 4), removed(2), put(3, 1, 3)}, -1, 3},
		{"repeated last report doesn't restore a removed server", []fleet.Entry{put(1, 1, 4), removed(2), put(3, 1, 4)}, -1, 4},
		{"new incarnation restores a removed server", []fleet.Entry{put(1, 1, 4), removed(2), put(3, 2, 1)}, 1, 0},
		{"unreadable entry lists no server", []fleet.Entry{put(1, 1, 1), unreadable(2)}, -1, 0},
		{"readable entry replaces an unreadable one", []fleet.Entry{put(1, 1, 1), unreadable(2), put(3, 1, 2)}, 2, 0},
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
			if c.doubted != 0 {
				confirmDoubts(t, d, c.doubted)
			}
			assert.Empty(t, d.Doubts())
		})
	}
}

func TestEntriesThatExpiredDuringAnOutage(t *testing.T) {
	d := fleet.NewDirectory()
	d.Apply(start, fleet.Entry{ID: "s", At: fleet.Position{Offset: 1}, Server: server(1, 1)})
	d.ListRecovered(start, start+time.Hour, time.Minute)
	assert.False(t, d.Apply(start, fleet.Entry{ID: "s", At: fleet.Position{Offset: 2}, Removed: true}))
	assert.Len(t, d.Servers(), 1, "the removal is deferred")
	assert.False(t, d.Expire(start+fleet.MissingGrace-1))
	assert.True(t, d.Expire(start+fleet.MissingGrace))
	assert.Empty(t, d.Servers(), "the removal takes effect after the grace period")

	d.ListRecovered(start, start+time.Hour, time.Minute)
	d.Apply(start, fleet.Entry{ID: "s", At: fleet.Position{Offset: 3}, Server: server(1, 2)})
	d.Apply(start, fleet.Entry{ID: "s", At: fleet.Position{Offset: 4}, Removed: true})
	d.Apply(start, fleet.Entry{ID: "s", At: fleet.Position{Offset: 5}, Server: server(1, 3)})
	confirmDoubts(t, d, 3)
	assert.False(t, d.Expire(start+time.Hour), "the server registered again")
}

// A single failed read isn't an outage: a removal right after it applies immediately. If it
// were deferred, requests would be sent to the removed server for two more seconds.
func TestRemovalHoldsAfterALostRead(t *testing.T) {
	d := fleet.NewDirectory()
	d.Apply(start, fleet.Entry{ID: "s", At: fleet.Position{Offset: 1}, Server: server(1, 1)})
	d.ListRecovered(start, start+time.Hour, 600*time.Millisecond)
	assert.True(t, d.Apply(start, fleet.Entry{ID: "s", At: fleet.Position{Offset: 2}, Removed: true}))
	assert.Empty(t, d.Servers())
}

func TestDrainingServerIsRemovedAtOnceAfterAnOutage(t *testing.T) {
	d := fleet.NewDirectory()
	draining := server(1, 1)
	draining.Draining = true
	d.Apply(start, fleet.Entry{ID: "s", At: fleet.Position{Offset: 1}, Server: draining})
	d.ListRecovered(start, start+time.Hour, time.Minute)
	assert.True(t, d.Apply(start, fleet.Entry{ID: "s", At: fleet.Position{Offset: 2}, Removed: true}))
}

func TestReplaceRemovesWhatIsMissing(t *testing.T) {
	d := fleet.NewDirectory()
	d.Apply(start, fleet.Entry{ID: "s", At: fleet.Position{Offset: 1}, Server: server(1, 1)})
	d.Apply(start, fleet.Entry{ID: "u", At: fleet.Position{Offset: 2}, Server: server(1, 1)})
	assert.True(t, d.Replace(start, fleet.Listing{Entries: []fleet.Entry{{ID: "u", At: fleet.Position{Offset: 2}, Server: server(1, 1)}}, End: fleet.Position{Offset: 4}}))
	assert.Contains(t, d.Servers(), fleet.ServerID("u"))
	assert.NotContains(t, d.Servers(), fleet.ServerID("s"))
}

// Whatever the order and number of reads of each record, the directory holds the newest record
// that was read.
func TestDirectoryNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "records")
		records := make([]fleet.Entry, n)
		for i := range records {
			records[i] = fleet.Entry{ID: "s", At: fleet.Position{Offset: int64(i)}, Server: server(1, int64(i))}
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

// The store came back from an older copy, which lists a server that was removed since. What the copy says
// doesn't bring it back; what the server writes afterwards does.
func TestCopyDoesNotRestoreARemovedServer(t *testing.T) {
	at := func(era, offset int64) fleet.Position { return fleet.Position{Era: era, Offset: offset} }
	d := fleet.NewDirectory()
	d.Apply(start, fleet.Entry{ID: "s", At: at(1, 50), Server: server(1, 4)})
	d.Apply(start, fleet.Entry{ID: "s", At: at(1, 90), Removed: true})
	copied := fleet.Entry{ID: "s", At: at(2, 80), Server: server(1, 7)}
	d.Replace(start, fleet.Listing{Entries: []fleet.Entry{copied}, End: at(2, 81)})
	assert.Empty(t, d.Servers())
	d.Apply(start, copied)
	assert.Empty(t, d.Servers(), "read or told again")
	d.Apply(start, fleet.Entry{ID: "s", At: at(2, 85), Server: server(1, 8)})
	assert.Empty(t, d.Servers(), "it may have been written late")
	confirmDoubts(t, d, 8)

	d.Replace(start, fleet.Listing{End: at(3, 70)})
	assert.Empty(t, d.Servers())
	d.Apply(start, fleet.Entry{ID: "s", At: at(3, 60), Server: server(1, 9)})
	assert.Empty(t, d.Servers(), "it was removed by the end of the list")
	d.Apply(start, fleet.Entry{ID: "s", At: at(3, 71), Server: server(1, 9)})
	assert.Empty(t, d.Servers(), "it may have been written late")
	confirmDoubts(t, d, 9)
}

// confirmDoubts requires that the server is in doubt by a report of a sequence alone, and is used once it is confirmed.
func confirmDoubts(t *testing.T, d *fleet.Directory, sequence int64) {
	t.Helper()
	doubts := d.Doubts()
	require.Len(t, doubts, 1)
	require.Equal(t, sequence, doubts[0].Server.Sequence)
	require.True(t, d.Confirm(doubts[0]))
	require.Len(t, d.Servers(), 1)
	require.Empty(t, d.Doubts())
	require.False(t, d.Confirm(doubts[0]), "a doubt ends once")
}

// Reports in which only the sequence changes leave no record. One of them that was written after the server's removal
// brought it back, at instances that had read every record too.
func TestLateReportDoesNotRestoreARemovedServer(t *testing.T) {
	put := func(offset, sequence int64) fleet.Entry {
		return fleet.Entry{ID: "s", At: fleet.Position{Offset: offset}, Server: server(1, sequence)}
	}
	for _, told := range []bool{false, true} {
		d := fleet.NewDirectory()
		d.Apply(start, put(1, 1))
		removed := fleet.Entry{ID: "s", At: fleet.Position{Offset: 9}, Removed: true}
		if told {
			removed.LastReport = fleet.LastReport{StartedAt: 1, Sequence: 7, Exact: true}
		}
		d.Apply(start, removed)
		d.Apply(start, put(10, 6))
		assert.Empty(t, d.Servers(), "told: %v", told)
		before := d.Doubts()
		d.Apply(start+time.Second, put(11, 6))
		assert.Empty(t, d.Servers(), "the same report")
		assert.Equal(t, before, d.Doubts())
		d.Apply(start, put(12, 8))
		assert.Empty(t, d.Servers(), "told: %v", told)
		confirmDoubts(t, d, 8)

		d.Apply(start, fleet.Entry{ID: "s", At: fleet.Position{Offset: 13}, Removed: true})
		d.Apply(start, put(14, 9))
		doubts := d.Doubts()
		d.Apply(start, fleet.Entry{ID: "s", At: fleet.Position{Offset: 15}, Removed: true})
		assert.False(t, d.Confirm(doubts[0]), "it was removed while it was asked")
		d.Apply(start, fleet.Entry{ID: "s", At: fleet.Position{Offset: 16}, Server: server(2, 1)})
		assert.Len(t, d.Servers(), 1, "it has started again")
	}
}

// A report that repeats the last one doesn't end the deferral of a removal, and a teller that has found the
// server running again is believed.
func TestDeferredRemovalEndsWithANewerReport(t *testing.T) {
	put := func(offset, sequence int64) fleet.Entry {
		return fleet.Entry{ID: "s", At: fleet.Position{Offset: offset}, Server: server(1, sequence)}
	}
	d := fleet.NewDirectory()
	d.Apply(start, put(1, 4))
	d.ListRecovered(start, start+time.Hour, time.Minute)
	d.Apply(start, fleet.Entry{ID: "s", At: fleet.Position{Offset: 2}, Removed: true})
	d.Apply(start, put(3, 4))
	assert.True(t, d.Expire(start+fleet.MissingGrace))
	assert.Empty(t, d.Servers())

	d.Apply(start, put(4, 5))
	confirmDoubts(t, d, 5)
	d.Apply(start+time.Minute, fleet.Entry{ID: "s", At: fleet.Position{Offset: 5}, Removed: true})
	back := put(6, 8)
	back.Restored = true
	d.Apply(start+time.Minute, back)
	assert.Len(t, d.Servers(), 1)
}

// A teller that doubted a server told the others that it was removed by the end of the list. They didn't believe then that
// it had registered again before.
func TestServerInDoubtIsToldAsRemovedBefore(t *testing.T) {
	d := fleet.NewDirectory()
	d.Apply(start, fleet.Entry{ID: "s", At: fleet.Position{Offset: 1}, Server: server(1, 1)})
	d.Apply(start, fleet.Entry{ID: "s", At: fleet.Position{Offset: 2}, Removed: true})
	b := fleet.NewBulletin()
	b.Update(d.Listing())
	told := b.Edition()
	d.Apply(start, fleet.Entry{ID: "s", At: fleet.Position{Offset: 5}, Server: server(1, 4)})
	require.True(t, b.Update(d.Listing()))
	for _, known := range []fleet.Edition{told, {Digest: 1}} {
		entries, complete := b.Since(known)
		assert.Equal(t, known.ID == 0, complete)
		require.Len(t, entries, 1)
		assert.True(t, entries[0].Removed)
		assert.Equal(t, fleet.Position{Offset: 2}, entries[0].At)
		assert.Equal(t, int64(1), entries[0].LastReport.Sequence, "the newest report before the removal")
	}
	confirmDoubts(t, d, 4)
	require.True(t, b.Update(d.Listing()))
	entries, _ := b.Since(told)
	require.Len(t, entries, 1)
	assert.True(t, entries[0].Restored)
}
