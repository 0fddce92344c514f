package failuretest

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// inside returns the addresses of the zone's servers and instances.
func (c *cluster) inside(zone port.Zone) map[string]bool {
	inside := map[string]bool{}
	for _, s := range c.platform.Servers {
		if s.Zone == zone {
			inside[s.Address] = true
		}
	}
	for _, n := range c.nodes {
		if n.Self().Zone == zone {
			inside[n.Self().PeerAddress] = true
		}
	}
	return inside
}

// cutZone cuts a zone off from everything outside it, and the other zones from
// what is inside.
func (c *cluster) cutZone(zone port.Zone) {
	inside := c.inside(zone)
	for _, n := range c.running() {
		if n.Self().Zone == zone {
			n.links.cutOff(func(address string) bool { return !inside[address] })
		} else {
			n.links.cutOff(func(address string) bool { return inside[address] })
		}
	}
}

func (c *cluster) mend() {
	for _, n := range c.running() {
		n.links.cutOff(nil)
	}
}

func (c *cluster) inForce(version port.Offset, nodes ...*node) func() bool {
	return func() bool {
		for _, n := range nodes {
			if c.status(n).TargetsVersion != version {
				return false
			}
		}
		return true
	}
}

func TestZoneCutOffServesWhatItHas(t *testing.T) {
	t.Parallel()
	c := start(t, platformSettings(), nil, document(t, true, nil), zoneA, zoneA, zoneB, zoneB)
	zone, caller := replicaZone(model), c.caller()
	require.Equal(t, answered, caller.ask(c.nodes[0], model, "before").how)
	var cut, rest []*node
	for _, n := range c.nodes {
		if n.Self().Zone == zone {
			cut = append(cut, n)
		} else {
			rest = append(rest, n)
		}
	}
	c.cutZone(zone)
	c.eventually(func() bool { return c.status(cut[0]).Log.State != "up" }, "zone knows that it is cut off")
	requests := newTally()
	caller.burst(requests, 40, model, cut...)
	assert.Equal(t, 40, requests.wait()[answered], requests.details)
	base := c.status(rest[0]).TargetsVersion
	version := c.publish(rest[0], base, document(t, true, func(d map[string]any) { d["cold_start_weight"] = 0.2 }))
	c.eventually(c.inForce(version, rest...), "in force outside the zone")
	assert.Equal(t, base, c.status(cut[0]).TargetsVersion)
	c.mend()
	c.eventually(c.inForce(version, c.nodes...), "in force everywhere")
	c.settle()
	for _, n := range c.nodes {
		c.eventually(func() bool { return caller.ask(n, model, "after").how == answered }, "served everywhere")
	}
	c.oneLoad(model, 1)
	c.balanced()
}

// cutFromLog cuts the zone's instances off from the log only.
func (c *cluster) cutFromLog(zone port.Zone) {
	address := strings.TrimPrefix(c.platform.LogURL, "http://")
	for _, n := range c.running() {
		if n.Self().Zone == zone {
			n.links.cutOff(func(to string) bool { return to == address })
		}
	}
}

func TestPublishReachesZoneWithoutLogThroughPeers(t *testing.T) {
	t.Parallel()
	c := start(t, platformSettings(), nil, document(t, true, nil), zoneA, zoneA, zoneB, zoneB)
	c.cutFromLog(zoneA)
	c.eventually(func() bool { return c.status(c.nodes[0]).Log.State != "up" }, "zone knows that the log is away")
	base := c.status(c.nodes[3]).TargetsVersion
	for round := range 3 {
		base = c.publish(c.nodes[3], base, document(t, true, func(d map[string]any) { d["cold_start_weight"] = float64(round) / 4 }))
		c.eventually(c.inForce(base, c.nodes...), "in force in the zone without the log")
	}
	assert.NotEqual(t, "up", c.status(c.nodes[0]).Log.State)
}
