package lease

import (
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record"
)

// OpenIntent is an intent that counts as a replica or as reserved memory.
type OpenIntent struct {
	record.Intent
	// Loaded is set if a load is known to be ready.
	Loaded bool
	// Decided is set if the intent is in the log or at every copy holder. Other
	// intents can still be decided, so they count as well.
	Decided bool
}

// Holder returns the zone's holder and epoch in the prefix of the log read so
// far. The holder is empty if there is none.
func (m *Machine) Holder() (port.InstanceID, port.Epoch) {
	if m.zone.Released {
		return "", m.zone.Epoch
	}
	return m.zone.Holder, m.zone.Epoch
}

// IsHolder reports whether this instance holds the lease according to the prefix
// of the log read so far.
func (m *Machine) IsHolder() bool { return m.held != nil }

// Ready reports whether this instance is the holder and can decide on at least
// one server, and no suspect epoch blocks its decisions.
func (m *Machine) Ready() bool {
	if m.held == nil || !m.decisionsAllowed() {
		return false
	}
	for _, v := range m.held.serverSyncs {
		if v.verified {
			return true
		}
	}
	return false
}

// ReadyOn reports whether this instance is the holder and can decide on the
// server.
func (m *Machine) ReadyOn(s port.ServerID) bool {
	if m.held == nil || !m.decisionsAllowed() {
		return false
	}
	v, ok := m.held.serverSyncs[s]
	return ok && v.verified && (v.fenceRaised || !m.fenceRequired(s))
}

// Open returns every intent that counts at this instance: those in the log that
// it has not itself closed, and its own that aren't in the log yet. An open
// unload means that the memory of its load isn't free yet.
func (m *Machine) Open() []OpenIntent {
	var open []OpenIntent
	for i := range m.zone.Intents() {
		if m.isClosed(i.ID) {
			continue
		}
		loaded := i.Loaded || m.resultOf(i.ID) == resultLoaded
		open = append(open, OpenIntent{Intent: i.Intent, Loaded: loaded, Decided: true})
	}
	if m.held == nil {
		return open
	}
	for _, e := range m.held.sorted() {
		if e.inLog || m.isClosed(e.intent.ID) {
			continue
		}
		open = append(open, OpenIntent{
			Intent: e.intent, Loaded: e.result == resultLoaded, Decided: e.decided,
		})
	}
	return open
}

// Through returns the offset of the last record that the machine has processed.
func (m *Machine) Through() port.Offset {
	if m.state == nil {
		return 0
	}
	return m.state.Through()
}
