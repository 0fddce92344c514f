package membership

import (
	"sort"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/hash64"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// instanceEntry is the table's state for one other instance.
type instanceEntry struct {
	instance  port.Instance
	hash      uint64
	heartbeat uint64
	// far is the table version at which the heartbeat last passed a multiple of
	// the stride for other zones.
	far      uint64
	lastSign time.Time
	// firstSeen and kept bound how long an instance counts without a sign.
	firstSeen, kept time.Time
	listed          bool
	// unreachable is when a contact last failed with no success since.
	unreachable time.Time

	mark
}

func (t *Table) mergeListedInstance(now time.Time, i port.Instance, outdated bool) {
	if i.ID == t.cfg.Self.ID {
		return
	}
	e := t.instances[i.ID]
	if e == nil {
		if outdated {
			return
		}
		if e = t.addInstance(now, i, ""); e == nil {
			return
		}
	}
	if !outdated {
		e.listed = true
		e.kept = now
	}
	if i.Leaving {
		t.markInstanceLeaving(e, "")
	}
}

func (t *Table) addInstance(now time.Time, i port.Instance, source port.InstanceID) *instanceEntry {
	if len(t.instances) >= t.cfg.MaxInstances {
		t.refused++
		return nil
	}
	e := &instanceEntry{instance: i, hash: hash64.String(string(i.ID)), firstSeen: now, kept: now}
	t.instances[i.ID] = e
	t.changedInstance(e, true, source)
	return e
}

func (t *Table) changedInstance(e *instanceEntry, state bool, source port.InstanceID) {
	t.touch(t.instanceOrder, &e.mark, e, state, source)
}

func (t *Table) markInstanceLeaving(e *instanceEntry, source port.InstanceID) {
	if e.instance.Leaving {
		return
	}
	e.instance.Leaving = true
	t.changedInstance(e, true, source)
}

// contact notes that an instance has been heard from directly.
func (t *Table) contact(now time.Time, e *instanceEntry) {
	e.lastSign, e.kept = now, now
	e.unreachable = time.Time{}
}

// mergeHeartbeat takes in a counter that came directly or through others.
func (t *Table) mergeHeartbeat(now time.Time, e *instanceEntry, heartbeat uint64, source port.InstanceID) {
	if heartbeat <= e.heartbeat {
		return
	}
	strides := heartbeat/t.cfg.FarHeartbeatStride - e.heartbeat/t.cfg.FarHeartbeatStride
	e.heartbeat = heartbeat
	e.lastSign, e.kept = now, now
	if e.instance.Zone != t.cfg.Self.Zone && strides == 0 {
		return
	}
	t.changedInstance(e, false, source)
	if strides > 0 {
		e.far = t.version
	}
}

// ContactFailed notes that an instance could not be reached.
func (t *Table) ContactFailed(now time.Time, id port.InstanceID) {
	if e := t.instances[id]; e != nil {
		e.unreachable = now
	}
}

func (t *Table) alive(now time.Time, e *instanceEntry) bool {
	if e.lastSign.IsZero() {
		return e.listed && now.Sub(e.firstSeen) < t.cfg.ListGrace
	}
	limit := t.cfg.DeadAfter
	if e.instance.Zone != t.cfg.Self.Zone {
		limit = t.cfg.FarDeadAfter
	}
	return now.Sub(e.lastSign) < limit
}

// Instances lists the other instances of a zone in the order of their IDs, or of
// every zone if zone is empty.
func (t *Table) Instances(now time.Time, zone port.Zone) []InstanceView {
	views := make([]InstanceView, 0, len(t.instances))
	for _, e := range t.instances {
		if zone == "" || e.instance.Zone == zone {
			views = append(views, t.instanceView(now, e))
		}
	}
	sort.Slice(views, func(i, j int) bool { return views[i].Instance.ID < views[j].Instance.ID })
	return views
}

func (t *Table) instanceView(now time.Time, e *instanceEntry) InstanceView {
	return InstanceView{
		Instance:  e.instance,
		Heartbeat: e.heartbeat,
		LastSign:  e.lastSign,
		Listed:    e.listed,
		Alive:     t.alive(now, e),
	}
}
