package lease

import (
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record"
)

// OpenIntent is an intent that counts as a replica or as reserved memory.
type OpenIntent struct {
	record.Intent
	// Loaded says that a load is known to be ready.
	Loaded bool
	// Decided says that the intent is in the log or at every copy holder.
	// Others may yet become so and count as well.
	Decided bool
}

// Holder returns the zone's holder and epoch, as far as the log was read; empty
// if there is none.
func (m *Machine) Holder() (port.InstanceID, port.Epoch) {
	if m.zone.Released {
		return "", m.zone.Epoch
	}
	return m.zone.Holder, m.zone.Epoch
}

// IsHolder reports whether the instance believes that it is the holder.
func (m *Machine) IsHolder() bool { return m.term != nil }

// Ready reports whether the instance is the holder and may decide on at least
// one server, and on no server must wait for another.
func (m *Machine) Ready() bool {
	if m.term == nil || !m.gateOpen() {
		return false
	}
	for _, v := range m.term.vets {
		if v.done {
			return true
		}
	}
	return false
}

// ReadyOn reports whether the instance is the holder and may decide on the
// server.
func (m *Machine) ReadyOn(s port.ServerID) bool {
	if m.term == nil || !m.gateOpen() {
		return false
	}
	v, ok := m.term.vets[s]
	return ok && v.done && (v.raised || !m.mustRaise(s))
}

// Open returns every intent that counts at this instance: those of the log that
// it has not itself closed, and its own that aren't in the log yet. An unload
// among them means that its load's memory isn't free yet.
func (m *Machine) Open() []OpenIntent {
	var open []OpenIntent
	for i := range m.zone.Intents() {
		if m.isClosed(i.ID) {
			continue
		}
		loaded := i.Loaded || m.resultOf(i.ID) == resultLoaded
		open = append(open, OpenIntent{Intent: i.Intent, Loaded: loaded, Decided: true})
	}
	if m.term == nil {
		return open
	}
	for _, e := range m.term.sorted() {
		if e.onLog || m.isClosed(e.intent.ID) {
			continue
		}
		open = append(open, OpenIntent{
			Intent: e.intent, Loaded: e.result == resultLoaded, Decided: e.decided,
		})
	}
	return open
}

// Through is the offset of the last record that the machine knows.
func (m *Machine) Through() port.Offset {
	if m.state == nil {
		return 0
	}
	return m.state.Through()
}
