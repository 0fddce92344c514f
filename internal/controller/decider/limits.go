package decider

import (
	"math"
	"slices"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/share"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/targets"
)

// limits is this zone's share of the limits that apply to all zones together.
// While zones may follow different versions of the targets, this zone uses the
// smallest share that any version since the oldest of them grants it.
type limits struct {
	targets *targets.Compiled
	// splits holds the replica splits that another zone may still follow,
	// oldest first. The last one is the current split.
	splits          []replicaSplit
	weights         []share.Weight
	zone            port.Zone
	loadsPerSecond  share.Window
	concurrentLoads share.Window
}

// replicaSplit is the division of replicas among the zones that applies from
// one version of the targets on.
type replicaSplit struct {
	since   port.Offset
	limit   int
	weights []share.Weight
}

func (s *replicaSplit) equal(other *replicaSplit) bool {
	return s.limit == other.limit && slices.Equal(s.weights, other.weights)
}

// update applies a newer version of the targets.
func (l *limits) update(t *targets.Compiled, zone port.Zone) {
	l.targets, l.zone = t, zone
	l.weights = t.Document.ZoneWeights()
	next := replicaSplit{since: t.Version, limit: t.Document.Limits.ReplicasPerModel, weights: l.weights}
	if n := len(l.splits); n == 0 || !l.splits[n-1].equal(&next) {
		l.splits = append(l.splits, next)
	}
	l.loadsPerSecond.Push(t.Version, l.zoneShare(t.Document.Limits.StoreLoadsPerSecond))
	concurrentLoads := 0
	if at := l.zoneIndex(); at >= 0 {
		concurrentLoads = share.Integers(t.Document.Limits.StoreLoadsAtOnce, l.weights)[at]
	}
	l.concurrentLoads.Push(t.Version, float64(concurrentLoads))
}

// confirm records the lowest version of the targets that the other zones are
// known to follow, and discards the shares of older versions.
func (l *limits) confirm(lowest port.Offset) {
	l.loadsPerSecond.Confirm(lowest)
	l.concurrentLoads.Confirm(lowest)
	for len(l.splits) > 1 && l.splits[1].since <= lowest {
		l.splits = l.splits[1:]
	}
}

func (l *limits) zoneIndex() int {
	for i, w := range l.weights {
		if w.Zone == l.zone {
			return i
		}
	}
	return -1
}

// zoneShare returns this zone's share of a limit over all zones; zero if the
// zone has no weight.
func (l *limits) zoneShare(limit float64) float64 {
	at := l.zoneIndex()
	if at < 0 {
		return 0
	}
	return share.Fractions(limit, l.weights)[at]
}

// maxReplicas returns how many replicas of a model the zone is allowed to hold.
func (l *limits) maxReplicas(model port.ModelID) int {
	allowed := math.MaxInt
	for i := range l.splits {
		allowed = min(allowed, share.ReplicaShare(model, l.splits[i].limit, l.splits[i].weights, l.zone))
	}
	return allowed
}

// updateLimits applies the newest targets to this zone. Before the first
// targets there is no queue for the weight store, so nothing can be decided.
func (d *Decider) updateLimits() {
	t := d.deps.Config.Targets()
	if t == nil {
		return
	}
	if d.limits.targets == nil || t.Version > d.limits.targets.Version {
		d.limits.update(t, d.cfg.Self.Zone)
		d.ledger.SetShare(t.Document.Limits.MemoryShare)
		d.tracker.SetWeight(t.Document.ColdStartWeight)
	}
	d.limits.confirm(d.lowestTargetsVersion())
	loadsPerSecond, concurrentLoads := d.limits.loadsPerSecond.Share(), int(math.Floor(d.limits.concurrentLoads.Share()))
	if d.storeQueue == nil {
		d.newStoreQueue(loadsPerSecond, concurrentLoads)
		return
	}
	d.storeQueue.SetShare(loadsPerSecond, concurrentLoads)
}

// lowestTargetsVersion returns the lowest version of the targets that the other
// zones are known to follow. A zone that has reported no version counts as
// following none.
func (d *Decider) lowestTargetsVersion() port.Offset {
	lowest := map[port.Zone]port.Offset{}
	for _, i := range d.deps.Observer.View().Instances {
		version := d.deps.Observer.TargetsVersionAt(i.Instance.ID)
		if version == 0 {
			continue
		}
		if known, ok := lowest[i.Instance.Zone]; !ok || version < known {
			lowest[i.Instance.Zone] = version
		}
	}
	return share.LowestVersion(d.limits.weights, d.cfg.Self.Zone, lowest)
}

// replicaLimit returns a function that tells how many replicas of a model this
// zone can decide on. Replicas that other zones hold beyond their share are
// deducted.
func (d *Decider) replicaLimit() func(port.ModelID) int {
	limit := d.limits.targets.Document.Limits.ReplicasPerModel
	var elsewhere map[port.ModelID]int
	return func(model port.ModelID) int {
		if elsewhere == nil {
			elsewhere = d.replicasElsewhere()
		}
		return max(0, min(d.limits.maxReplicas(d.shareModel(model)), limit-elsewhere[model]))
	}
}

// shareModel returns the model that determines the replica share. For an
// adapter that is its base model, because an adapter is loaded in a zone that
// has the base model.
func (d *Decider) shareModel(model port.ModelID) port.ModelID {
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

// replicasAboveShare lists the replicas that exceed the zone's share. They
// appear when the limit or the set of zones changes.
func (d *Decider) replicasAboveShare() []excessReplica {
	var list []excessReplica
	held := map[port.ModelID]int{}
	for _, v := range d.zoneEngines() {
		for allocation := range d.ledger.Allocations(v.Server.ID) {
			held[allocation.Model]++
			if held[allocation.Model] > d.limits.maxReplicas(d.shareModel(allocation.Model)) && !d.hasAdapters(v.Server.ID, allocation.Model) {
				list = append(list, excessReplica{v.Server.ID, allocation.Model, "above this zone's share of replicas"})
			}
		}
	}
	return list
}
