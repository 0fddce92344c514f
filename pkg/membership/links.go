package membership

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/hash64"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

const (
	// fullMeshLimit is the number of other instances of the zone up to which an
	// instance exchanges deltas with all of them.
	fullMeshLimit = 8
	// contactBackoff is how long an instance is skipped after a contact with it
	// has failed.
	contactBackoff = 5 * time.Second
)

// Links returns the instances to exchange deltas with in this round. An exchange
// transfers deltas in both directions.
//
// In a small zone, an instance is linked to every other instance of the zone. In a
// larger zone, the instances form a ring with chords: each instance has few links,
// and the number of rounds that a change needs to reach the whole zone is about
// the square root of the zone's size. For each ordered pair of zones, rendezvous
// hashing selects one instance in each of the two zones, and these are linked.
//
// Instances that seem dead are probed again, one per round, so that the two sides
// of a network partition find each other after it has healed.
func (t *Table) Links(now time.Time) []port.Instance {
	t.round++
	zones := t.zones(now)
	links := t.zoneLinks(zones[t.cfg.Self.Zone])
	names := make([]port.Zone, 0, len(zones))
	for zone := range zones {
		if zone != t.cfg.Self.Zone {
			names = append(names, zone)
		}
	}
	slices.Sort(names)
	for _, zone := range names {
		if i, ok := t.crossZoneLink(zone, zones); ok {
			links = append(links, i)
		}
	}
	if i, ok := t.probeLink(now); ok {
		links = append(links, i)
	}
	return links
}

// zones groups the reachable instances by zone.
func (t *Table) zones(now time.Time) map[port.Zone][]*instanceEntry {
	zones := map[port.Zone][]*instanceEntry{t.cfg.Self.Zone: nil}
	for _, e := range t.instances {
		if t.reachable(now, e) {
			zones[e.instance.Zone] = append(zones[e.instance.Zone], e)
		}
	}
	return zones
}

func (t *Table) reachable(now time.Time, e *instanceEntry) bool {
	failed := !e.contactFailedAt.IsZero() && now.Sub(e.contactFailedAt) < contactBackoff
	return t.alive(now, e) && !failed
}

// zoneLinks selects the links within the zone of this instance.
func (t *Table) zoneLinks(others []*instanceEntry) []port.Instance {
	slices.SortFunc(others, byHash)
	var links []port.Instance
	if len(others) <= fullMeshLimit {
		for _, e := range others {
			links = append(links, e.instance)
		}
		return links
	}
	// The position of this instance on the ring.
	position, _ := slices.BinarySearchFunc(others, &instanceEntry{hash: t.hash}, byHash)
	chord := int(math.Ceil(math.Sqrt(float64(len(others) + 1))))
	for _, step := range []int{0, chord - 1} {
		links = append(links, others[(position+step)%len(others)].instance)
	}
	return links
}

func byHash(a, b *instanceEntry) int { return cmp.Compare(a.hash, b.hash) }

// crossZoneLink selects the link to another zone. It returns false if another
// instance of this instance's zone is responsible for that link.
func (t *Table) crossZoneLink(zone port.Zone, zones map[port.Zone][]*instanceEntry) (port.Instance, bool) {
	key := hash64.String(string(t.cfg.Self.Zone) + "\x00" + string(zone))
	var candidates []uint64
	for _, e := range zones[t.cfg.Self.Zone] {
		if !e.instance.Leaving {
			candidates = append(candidates, e.hash)
		}
	}
	if t.leaving && len(candidates) > 0 || countHigherWeights(key, t.hash, candidates) > 0 {
		return port.Instance{}, false
	}
	return highestWeight(key, zones[zone]).instance, true
}

// highestWeight returns the instance with the highest rendezvous weight for a key.
// Instances that aren't leaving are preferred. The list must not be empty.
func highestWeight(key uint64, instances []*instanceEntry) *instanceEntry {
	return slices.MaxFunc(instances, func(a, b *instanceEntry) int {
		if a.instance.Leaving != b.instance.Leaving {
			if b.instance.Leaving {
				return 1
			}
			return -1
		}
		return cmp.Compare(hash64.Mix(key^a.hash), hash64.Mix(key^b.hash))
	})
}

// probeLink selects one of the instances that seem dead or unreachable. The
// selection depends on the hash of this instance, so that the instances don't all
// probe the same one.
func (t *Table) probeLink(now time.Time) (port.Instance, bool) {
	var unreachable []*instanceEntry
	for _, e := range t.instances {
		// The instance has ended if it isn't in a live list received after its
		// last confirmation.
		ended := !e.listed && t.listAt.After(e.lastConfirmed)
		if !t.reachable(now, e) && !e.instance.Leaving && !ended {
			unreachable = append(unreachable, e)
		}
	}
	if len(unreachable) == 0 {
		return port.Instance{}, false
	}
	slices.SortFunc(unreachable, byHash)
	index := hash64.Mix(t.round ^ t.hash)
	return unreachable[index%uint64(len(unreachable))].instance, true
}
