package decider

import (
	"math"
	"slices"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/share"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/targets"
)

// limits is this zone's part of the limits over all zones. While zones may have
// different versions of the targets in force, the zone uses the least share that
// it has had since the oldest of them.
type limits struct {
	targets *targets.Compiled
	// splits are the splits of replicas that another zone may still follow, oldest
	// first; the last one is the present.
	splits    []split
	weights   []share.Weight
	zone      port.Zone
	perSecond share.Window
	atOnce    share.Window
}

// split is how replicas are split since a version.
type split struct {
	since   port.Offset
	limit   int
	weights []share.Weight
}

func (s *split) same(other *split) bool {
	return s.limit == other.limit && slices.Equal(s.weights, other.weights)
}

// adopt takes in newer targets.
func (l *limits) adopt(t *targets.Compiled, zone port.Zone) {
	l.targets, l.zone = t, zone
	l.weights = t.Document.ZoneWeights()
	next := split{since: t.Version, limit: t.Document.Limits.ReplicasPerModel, weights: l.weights}
	if n := len(l.splits); n == 0 || !l.splits[n-1].same(&next) {
		l.splits = append(l.splits, next)
	}
	l.perSecond.Push(t.Version, l.part(t.Document.Limits.StoreLoadsPerSecond))
	atOnce := 0
	if at := l.index(); at >= 0 {
		atOnce = share.Integers(t.Document.Limits.StoreLoadsAtOnce, l.weights)[at]
	}
	l.atOnce.Push(t.Version, float64(atOnce))
}

// confirm takes in the lowest version that the other zones are known to follow.
func (l *limits) confirm(lowest port.Offset) {
	l.perSecond.Confirm(lowest)
	l.atOnce.Confirm(lowest)
	for len(l.splits) > 1 && l.splits[1].since <= lowest {
		l.splits = l.splits[1:]
	}
}

func (l *limits) index() int {
	for i, w := range l.weights {
		if w.Zone == l.zone {
			return i
		}
	}
	return -1
}

// part is this zone's part of a limit over all zones.
func (l *limits) part(limit float64) float64 {
	at := l.index()
	if at < 0 {
		return 0
	}
	return share.Fractions(limit, l.weights)[at]
}

// replicas is how many replicas of a model the zone may hold.
func (l *limits) replicas(model port.ModelID) int {
	allowed := math.MaxInt
	for i := range l.splits {
		allowed = min(allowed, share.ReplicaShare(model, l.splits[i].limit, l.splits[i].weights, l.zone))
	}
	return allowed
}

// adoptTargets puts the newest limits in force in this zone. Until there are
// any, there is no account of the weight store and nothing is decided.
func (d *Decider) adoptTargets() {
	t := d.deps.Config.Targets()
	if t == nil {
		return
	}
	if d.limits.targets == nil || t.Version > d.limits.targets.Version {
		d.limits.adopt(t, d.cfg.Self.Zone)
		d.ledger.SetShare(t.Document.Limits.MemoryShare)
		d.tracker.SetWeight(t.Document.ColdStartWeight)
	}
	d.limits.confirm(d.lowestInForce())
	perSecond, atOnce := d.limits.perSecond.Share(), int(math.Floor(d.limits.atOnce.Share()))
	if d.store == nil {
		d.newStore(perSecond, atOnce)
		return
	}
	d.store.SetShare(perSecond, atOnce)
}

// lowestInForce is the lowest version that the instances of other zones are
// known to follow. A zone that hasn't told follows none.
func (d *Decider) lowestInForce() port.Offset {
	lowest := map[port.Zone]port.Offset{}
	for _, i := range d.deps.Observer.View().Instances {
		version := d.deps.Observer.InForce(i.Instance.ID)
		if version == 0 {
			continue
		}
		if known, ok := lowest[i.Instance.Zone]; !ok || version < known {
			lowest[i.Instance.Zone] = version
		}
	}
	return share.Lowest(d.limits.weights, d.cfg.Self.Zone, lowest)
}

// replicaShare returns how many replicas of a model may be decided here. What
// other zones are known to hold beyond their share counts against this one.
func (d *Decider) replicaShare() func(port.ModelID) int {
	limit := d.limits.targets.Document.Limits.ReplicasPerModel
	var elsewhere map[port.ModelID]int
	return func(model port.ModelID) int {
		if elsewhere == nil {
			elsewhere = d.replicasElsewhere()
		}
		return max(0, min(d.limits.replicas(d.shareOf(model)), limit-elsewhere[model]))
	}
}

// shareOf names the model by which the share of replicas goes: an adapter is
// loaded where its base model may be.
func (d *Decider) shareOf(model port.ModelID) port.ModelID {
	if info, _ := d.deps.Config.Model(model); info.Base != "" {
		return info.Base
	}
	return model
}

func (d *Decider) replicasElsewhere() map[port.ModelID]int {
	count := map[port.ModelID]int{}
	for _, v := range d.deps.Observer.View().Servers {
		if v.Server.Zone == d.cfg.Self.Zone || !v.Routable {
			continue
		}
		for _, replica := range v.Report.Replicas {
			count[replica.Model]++
		}
	}
	return count
}

// aboveShare lists what the zone holds beyond its share of replicas, as after a
// change of the limit or of the zones.
func (d *Decider) aboveShare() []surplus {
	var list []surplus
	held := map[port.ModelID]int{}
	for _, v := range d.zoneEngines() {
		for hold := range d.ledger.Holds(v.Server.ID) {
			held[hold.Model]++
			if held[hold.Model] > d.limits.replicas(d.shareOf(hold.Model)) && !d.hasAdapters(v.Server.ID, hold.Model) {
				list = append(list, surplus{v.Server.ID, hold.Model, "above this zone's share of replicas"})
			}
		}
	}
	return list
}
