package membership

import (
	"slices"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/hash64"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// WatchersPerServer is how many instances of its zone read each server.
const WatchersPerServer = 2

// Watch returns the servers that self reads: each server has the given number of
// watchers among the instances, chosen by rendezvous hashing, so that a change of
// instances moves few servers. The instances include self.
func Watch(self port.InstanceID, servers []port.ServerID, instances []port.InstanceID, watchers int) []port.ServerID {
	own := hash64.String(string(self))
	others := make([]uint64, 0, len(instances))
	for _, id := range instances {
		if id != self {
			others = append(others, hash64.String(string(id)))
		}
	}
	var watched []port.ServerID
	for _, s := range servers {
		if above(hash64.String(string(s)), own, others) < watchers {
			watched = append(watched, s)
		}
	}
	return watched
}

// above counts the others whose weight for a key is above own.
func above(key, own uint64, others []uint64) int {
	n, weight := 0, hash64.Mix(key^own)
	for _, o := range others {
		if hash64.Mix(key^o) > weight {
			n++
		}
	}
	return n
}

// Watched returns the servers of this zone that this instance reads now, in the
// order of their IDs. Leaving instances hand their servers over; a server that has
// vanished is given up once it has been silent for a while.
func (t *Table) Watched(now time.Time) []port.ServerID {
	var others []uint64
	for _, e := range t.instances {
		if e.instance.Zone == t.cfg.Self.Zone && !e.instance.Leaving && t.alive(now, e) {
			others = append(others, e.hash)
		}
	}
	if t.leaving && len(others) >= WatchersPerServer {
		return nil
	}
	var watched []port.ServerID
	for _, e := range t.servers {
		if t.worthReading(now, e) && above(e.hash, t.hash, others) < WatchersPerServer {
			watched = append(watched, e.server.ID)
		}
	}
	slices.Sort(watched)
	return watched
}

func (t *Table) worthReading(now time.Time, e *serverEntry) bool {
	if e.server.Zone != t.cfg.Self.Zone {
		return false
	}
	silent := e.reported() && now.Sub(e.reportAt) > watchSilent
	return e.listed || t.listAt.IsZero() || !silent
}

// watchSilent is how long a server off the live list is read without an answer.
const watchSilent = time.Minute
