package membership

import (
	"slices"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/hash64"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// WatchersPerServer is the number of instances that read the reports of each
// server. They are in the zone of the server.
const WatchersPerServer = 2

// Watch returns the servers whose reports self reads. Rendezvous hashing assigns
// each server to the given number of watchers among the instances, so that a change
// of the instances reassigns few servers. The instances include self.
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
		if countHigherWeights(hash64.String(string(s)), own, others) < watchers {
			watched = append(watched, s)
		}
	}
	return watched
}

// countHigherWeights returns how many of the others have a higher rendezvous
// weight for a key than own. All instances are given by their hashes.
func countHigherWeights(key, own uint64, others []uint64) int {
	n, weight := 0, hash64.Mix(key^own)
	for _, o := range others {
		if hash64.Mix(key^o) > weight {
			n++
		}
	}
	return n
}

// Watched returns the servers of this zone whose reports this instance reads now,
// sorted by ID. A leaving instance reads none if enough others can do so. A server
// that is no longer in the live list is read until its newest report is older than
// unlistedReadTimeout.
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
		if t.shouldRead(now, e) && countHigherWeights(e.hash, t.hash, others) < WatchersPerServer {
			watched = append(watched, e.server.ID)
		}
	}
	slices.Sort(watched)
	return watched
}

func (t *Table) shouldRead(now time.Time, e *serverEntry) bool {
	if e.server.Zone != t.cfg.Self.Zone {
		return false
	}
	stale := e.reported() && now.Sub(e.reportAt) > unlistedReadTimeout
	return e.listed || t.listAt.IsZero() || !stale
}

// unlistedReadTimeout is the age of the newest report at which a server that isn't
// in the live list is no longer read.
const unlistedReadTimeout = time.Minute
