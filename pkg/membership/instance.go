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
	// farVersion is the table version at which the heartbeat last passed a
	// multiple of Config.FarHeartbeatStride.
	farVersion  uint64
	lastContact time.Time
	// firstSeen is when the entry was added. lastConfirmed is when the instance
	// was last contacted, listed or observed to advance its heartbeat.
	firstSeen, lastConfirmed time.Time
	listed                   bool
	// contactFailedAt is when a contact last failed; zero after a success.
	contactFailedAt time.Time

	changeMark
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
		e.lastConfirmed = now
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
	e := &instanceEntry{instance: i, hash: hash64.String(string(i.ID)), firstSeen: now, lastConfirmed: now}
	t.instances[i.ID] = e
	t.recordInstanceChange(e, true, source)
	return e
}

func (t *Table) recordInstanceChange(e *instanceEntry, state bool, source port.InstanceID) {
	t.recordChange(t.instanceOrder, &e.changeMark, e, state, source)
}

func (t *Table) markInstanceLeaving(e *instanceEntry, source port.InstanceID) {
	if e.instance.Leaving {
		return
	}
	e.instance.Leaving = true
	t.recordInstanceChange(e, true, source)
}

// recordContact records that this instance has received a message directly from
// another instance.
func (t *Table) recordContact(now time.Time, e *instanceEntry) {
	e.lastContact, e.lastConfirmed = now, now
	e.contactFailedAt = time.Time{}
}

// mergeHeartbeat merges a heartbeat counter that was received from the instance
// itself or through another instance.
func (t *Table) mergeHeartbeat(now time.Time, e *instanceEntry, heartbeat uint64, source port.InstanceID) {
	if heartbeat <= e.heartbeat {
		return
	}
	strides := heartbeat/t.cfg.FarHeartbeatStride - e.heartbeat/t.cfg.FarHeartbeatStride
	e.heartbeat = heartbeat
	e.lastContact, e.lastConfirmed = now, now
	if e.instance.Zone != t.cfg.Self.Zone && strides == 0 {
		return
	}
	t.recordInstanceChange(e, false, source)
	if strides > 0 {
		e.farVersion = t.version
	}
}

// ContactFailed records that an instance could not be reached.
func (t *Table) ContactFailed(now time.Time, id port.InstanceID) {
	if e := t.instances[id]; e != nil {
		e.contactFailedAt = now
	}
}

func (t *Table) alive(now time.Time, e *instanceEntry) bool {
	if e.lastContact.IsZero() {
		return e.listed && now.Sub(e.firstSeen) < t.cfg.ListGrace
	}
	limit := t.cfg.DeadAfter
	if e.instance.Zone != t.cfg.Self.Zone {
		limit = t.cfg.FarDeadAfter
	}
	return now.Sub(e.lastContact) < limit
}

// Instances returns the other instances of a zone, or of all zones if zone is
// empty, sorted by ID.
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
		Instance:    e.instance,
		Heartbeat:   e.heartbeat,
		LastContact: e.lastContact,
		Listed:      e.listed,
		Alive:       t.alive(now, e),
	}
}
