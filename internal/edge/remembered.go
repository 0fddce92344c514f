package edge

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/retry"
)

const (
	// statsTTL is how long it is remembered what is known of an incarnation of a server that isn't
	// listed. An entry that was lost can be written again.
	statsTTL = 10 * time.Minute
	// maxUnlistedStats bounds the number of these incarnations. The one that was listed last is kept.
	maxUnlistedStats = 1 << 12
)

// listedStats returns what is known of the incarnation of a listed server.
func (v *Views) listedStats(server *fleet.Server, now time.Time) *stats {
	key := statsKey{server.ID, server.StartedAt}
	known := v.stats[key]
	switch {
	case known == nil:
		known = &stats{group: v.group(server.Service), standing: v.standingOf(key, now)}
		known.brittle.service, known.brittle.listedAt = v.brittleService(server.Service), now
		v.stats[key] = known
	case !known.unlistedAt.IsZero():
		known.unlistedAt = time.Time{}
		known.brittle.resume(rand.Float64(), now)
	}
	return known
}

// forgetStats removes what is known of the incarnations that haven't been listed for a time.
func (v *Views) forgetStats(now time.Time) {
	type incarnation struct {
		key        statsKey
		unlistedAt time.Time
	}
	var unlisted []incarnation
	for key, known := range v.stats {
		if server := v.servers[key.id]; server != nil && server.StartedAt == key.startedAt {
			continue
		}
		// A request that ends later can eject the server again.
		known.health.Forget(known.group)
		if known.unlistedAt.IsZero() {
			known.unlistedAt = now
		}
		if now.Sub(known.unlistedAt) >= statsTTL {
			delete(v.stats, key)
			continue
		}
		unlisted = append(unlisted, incarnation{key, known.unlistedAt})
	}
	if len(unlisted) <= maxUnlistedStats {
		return
	}
	slices.SortFunc(unlisted, func(a, b incarnation) int {
		return cmp.Or(a.unlistedAt.Compare(b.unlistedAt), cmp.Compare(a.key.id, b.key.id), cmp.Compare(a.key.startedAt, b.key.startedAt))
	})
	for _, oldest := range unlisted[:len(unlisted)-maxUnlistedStats] {
		delete(v.stats, oldest.key)
	}
}

func (v *Views) group(service string) *retry.Group {
	group := v.groups[service]
	if group == nil {
		group = retry.NewGroup(retry.EjectConfig{Failures: ejectFailures, MaxShare: ejectMaxShare, Max: ejectMax})
		v.groups[service] = group
	}
	return group
}

const (
	// ejectFailures is the number of consecutive failures that ejects a server. It is low
	// because a request waits until its timeout for a server that does not answer.
	ejectFailures = 3
	// ejectMaxShare is the maximum share of a service's servers that can be ejected, so
	// that most servers stay in use whatever they answer.
	ejectMaxShare = 0.4
	// ejectMax is the maximum duration of one ejection; disturbances last some seconds.
	ejectMax = 4 * time.Second
)
