package lease

import (
	"cmp"
	"slices"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record"
)

// sealRequested stops copies of the epoch and hands over those that are here,
// the holder's own among them.
func (m *Machine) sealRequested(e SealRequested) {
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
	if m.term != nil {
		for _, n := range m.term.entries {
			if !n.onLog && n.intent.Epoch == e.Epoch && (n.decided || n.copied != nil) {
				found = append(found, n.intent)
			}
		}
	}
	slices.SortFunc(found, func(a, b record.Intent) int { return cmp.Compare(a.ID, b.ID) })
	m.emit(ReplySeal{Request: e.Request, Sealed: true, Copies: found})
}

// copyRequested stores a copy unless its epoch is sealed or over.
func (m *Machine) copyRequested(e CopyRequested) {
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

// dropCopies forgets the copies that the log has, and those of epochs that are
// over and not in doubt: the claim that ended them carries all that count.
func (m *Machine) dropCopies() {
	for id, i := range m.copies {
		_, open := m.zone.Intent(id)
		if open || m.zone.Closed(id) || i.Epoch < m.zone.Epoch && !m.inDoubt(i.Epoch) {
			delete(m.copies, id)
		}
	}
}

func (m *Machine) inDoubt(e port.Epoch) bool {
	for _, d := range m.zone.Doubts {
		if d.Epoch == e {
			return true
		}
	}
	return false
}
