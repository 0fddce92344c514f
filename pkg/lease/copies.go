package lease

import (
	"cmp"
	"slices"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record"
)

// handleSealRequested stops storing copies of the epoch and returns those stored
// here. If this instance is the holder, its own intents of the epoch that aren't
// in the log yet are included.
func (m *Machine) handleSealRequested(e SealRequested) {
	if e.Epoch <= 0 {
		m.emit(ReplySeal{Request: e.Request})
		return
	}
	m.sealed = max(m.sealed, e.Epoch)
	var found []record.Intent
	for _, i := range m.copies {
		if i.Epoch == e.Epoch {
			found = append(found, i)
		}
	}
	if m.held != nil {
		for _, n := range m.held.entries {
			if !n.inLog && n.intent.Epoch == e.Epoch && (n.decided || n.copiedTo != nil) {
				found = append(found, n.intent)
			}
		}
	}
	slices.SortFunc(found, func(a, b record.Intent) int { return cmp.Compare(a.ID, b.ID) })
	m.emit(ReplySeal{Request: e.Request, Sealed: true, Copies: found})
}

// handleCopyRequested stores a copy unless its epoch is sealed or has ended.
func (m *Machine) handleCopyRequested(e CopyRequested) {
	i := e.Intent
	refuse := i.Zone != m.cfg.Zone || i.Epoch <= m.sealed || i.Epoch < m.zone.Epoch ||
		i.Epoch == m.zone.Epoch && e.Holder != m.zone.Holder ||
		len(m.copies) >= record.MaxCopies
	if refuse {
		m.emit(ReplyCopy{Request: e.Request, Sealed: m.sealed})
		return
	}
	m.copies[i.ID] = i
	m.emit(ReplyCopy{Request: e.Request, Acknowledged: true, Sealed: m.sealed})
}

// pruneCopies deletes the copies whose intents are in the log, and those of
// epochs that have ended and aren't suspect: the claim that ended such an epoch
// carries all copies that count.
func (m *Machine) pruneCopies() {
	for id, i := range m.copies {
		_, open := m.zone.Intent(id)
		if open || m.zone.RecentlyClosed(id) || i.Epoch < m.zone.Epoch && !m.isSuspect(i.Epoch) {
			delete(m.copies, id)
		}
	}
}

func (m *Machine) isSuspect(e port.Epoch) bool {
	for _, d := range m.zone.SuspectEpochs {
		if d.Epoch == e {
			return true
		}
	}
	return false
}
