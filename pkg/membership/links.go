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
	// fullMesh is up to how many others of its zone an instance talks to each.
	fullMesh = 8
	// unreachableFor is how long an instance is passed over after a contact
	// with it has failed.
	unreachableFor = 5 * time.Second
)

// Links returns the instances to exchange with in this round; an exchange goes
// both ways. Within a small zone that is every other instance. In a larger one the
// instances form a ring with chords, so that each talks to a few and news crosses
// the zone in about the root of its size. Two zones are linked by one instance
// each for either direction, chosen by rendezvous hashing.
//
// Instances that seem dead are tried again in turn, one a round, so that two sides
// of a healed cut find each other.
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
		if i, ok := t.farLink(zone, zones); ok {
			links = append(links, i)
		}
	}
	if i, ok := t.lostLink(now); ok {
		links = append(links, i)
	}
	return links
}

// zones groups the instances that can be talked to.
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
	failed := !e.unreachable.IsZero() && now.Sub(e.unreachable) < unreachableFor
	return t.alive(now, e) && !failed
}

// zoneLinks picks the links within the zone.
func (t *Table) zoneLinks(others []*instanceEntry) []port.Instance {
	slices.SortFunc(others, byHash)
	var links []port.Instance
	if len(others) <= fullMesh {
		for _, e := range others {
			links = append(links, e.instance)
		}
		return links
	}
	// The place on the ring where this instance stands.
	place, _ := slices.BinarySearchFunc(others, &instanceEntry{hash: t.hash}, byHash)
	chord := int(math.Ceil(math.Sqrt(float64(len(others) + 1))))
	for _, step := range []int{0, chord - 1} {
		links = append(links, others[(place+step)%len(others)].instance)
	}
	return links
}

func byHash(a, b *instanceEntry) int { return cmp.Compare(a.hash, b.hash) }

// farLink picks the link to another zone, if this instance is the one to hold it.
func (t *Table) farLink(zone port.Zone, zones map[port.Zone][]*instanceEntry) (port.Instance, bool) {
	key := hash64.String(string(t.cfg.Self.Zone) + "\x00" + string(zone))
	var near []uint64
	for _, e := range zones[t.cfg.Self.Zone] {
		if !e.instance.Leaving {
			near = append(near, e.hash)
		}
	}
	if t.leaving && len(near) > 0 || above(key, t.hash, near) > 0 {
		return port.Instance{}, false
	}
	return first(key, zones[zone]).instance, true
}

// first is the instance with the highest weight for a key; those that stay go
// before those that leave. The list isn't empty.
func first(key uint64, instances []*instanceEntry) *instanceEntry {
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

// lostLink picks one of the instances that seem dead or out of reach. The turns of
// instances differ, so that they don't all try the same one.
func (t *Table) lostLink(now time.Time) (port.Instance, bool) {
	var lost []*instanceEntry
	for _, e := range t.instances {
		// A list that came after the last sign and doesn't name the instance
		// shows that it has ended.
		ended := !e.listed && t.listAt.After(e.kept)
		if !t.reachable(now, e) && !e.instance.Leaving && !ended {
			lost = append(lost, e)
		}
	}
	if len(lost) == 0 {
		return port.Instance{}, false
	}
	slices.SortFunc(lost, byHash)
	turn := hash64.Mix(t.round ^ t.hash)
	return lost[turn%uint64(len(lost))].instance, true
}
