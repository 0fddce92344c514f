package lease

import (
	"slices"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fold"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record/recordpb"
)

// handlePropose accepts or refuses a proposal.
func (m *Machine) handlePropose(i record.Intent) {
	if why, ok := m.refusal(i); !ok {
		m.refuse(i.ID, why)
		return
	}
	i.Epoch, i.Zone = m.held.epoch, m.cfg.Zone
	m.held.entries[i.ID] = &entry{intent: i, createdSeq: m.eventSeq, index: m.nextID()}
}

func (m *Machine) refusal(i record.Intent) (Refusal, bool) {
	switch {
	case m.held == nil:
		return RefusedNotHolder, false
	case m.stopping:
		return RefusedStopping, false
	case m.claim != nil || !m.ReadyOn(i.Server):
		return RefusedNotReady, false
	case !m.logUp && m.sealed >= m.held.epoch:
		return RefusedSealed, false
	case !m.logUp && !m.canDecideWithoutLog(i):
		return RefusedSoleCopyHolder, false
	case m.held.entries[i.ID] != nil:
		return RefusedOccupied, false
	}
	loaded := false
	for _, o := range m.intentsFor(i.Server, i.Model) {
		if i.Kind == port.OrderLoad || o.Kind == port.OrderUnload {
			return RefusedOccupied, false
		}
		loaded = loaded || o.Loaded
	}
	if i.Kind == port.OrderUnload && !loaded {
		return RefusedNotLoaded, false
	}
	return "", true
}

// otherCopyHolders returns the copy holders except this instance.
func (m *Machine) otherCopyHolders() []fold.Member {
	return slices.DeleteFunc(slices.Clone(m.zone.CopyHolders), func(o fold.Member) bool {
		return o.Instance == m.cfg.Self
	})
}

// canDecideWithoutLog reports whether the intent can be decided by copies while
// the log is unavailable. A sole copy holder can do so only on servers that
// check fencing tokens, where a claimant's raised token stops its orders.
func (m *Machine) canDecideWithoutLog(i record.Intent) bool {
	return len(m.otherCopyHolders()) > 0 || m.cfg.ChecksFencing(i.Server) || m.cfg.faults.decideAloneAnywhere
}

// reconcileEntries advances each entry: the intent is written to the log or to
// the copy holders, then the order is sent to the server, then the outcome is
// written to the log.
func (m *Machine) reconcileEntries() {
	for _, e := range m.held.sorted() {
		if !e.inLog {
			m.persist(e)
		}
		m.clearOrder(e)
		m.sendOrder(e)
		m.reportOutcome(e)
	}
}

// persist writes an intent to the log or, while the log is unavailable, to the
// copy holders.
func (m *Machine) persist(e *entry) {
	if !m.logUp {
		m.replicate(e)
		return
	}
	e.copyStartedAt = m.now // each outage has its own copy timeout
	if m.held.releaseID != "" || !m.appendable(e) {
		return
	}
	if e.append.record == nil {
		e.append = pendingAppend{record: newRecord(m, e.intent.Proto()), retryAt: e.append.retryAt}
	}
	m.appendIfDue(&e.append)
}

// appendable reports whether the log, as read, would accept the intent as valid.
// Several intents for the same model and server that were decided during an
// outage are appended one after another.
func (m *Machine) appendable(e *entry) bool {
	loaded := false
	for i := range m.zone.IntentsOn(e.intent.Server) {
		if i.Model != e.intent.Model {
			continue
		}
		if e.intent.Kind == port.OrderLoad || i.Kind == port.OrderUnload {
			return false
		}
		loaded = loaded || i.Loaded
	}
	return e.intent.Kind == port.OrderLoad || loaded
}

// replicate requests that the other copy holders store the intent.
func (m *Machine) replicate(e *entry) {
	if e.decided || e.refused {
		return
	}
	if why := m.copyRefusal(e); why != "" {
		if !e.inherited {
			m.abandon(e, why)
		}
		return
	}
	if e.copiedTo == nil {
		e.copiedTo, e.copyStartedAt = map[port.InstanceID]bool{}, m.now
	}
	if m.now < e.copyRetryAt {
		return
	}
	e.copyRetryAt = m.now + m.cfg.Retry
	for _, o := range m.otherCopyHolders() {
		if !e.copiedTo[o.Instance] {
			m.emit(SendCopy{To: o, Intent: e.intent})
		}
	}
}

// copyRefusal returns why the intent can't be decided by copies; empty if it
// can.
func (m *Machine) copyRefusal(e *entry) Refusal {
	late := !e.inherited && e.copiedTo != nil && m.now >= e.copyStartedAt+m.cfg.CopyTimeout
	switch {
	case m.sealed >= m.held.epoch:
		return RefusedSealed
	case !m.canDecideWithoutLog(e.intent):
		return RefusedSoleCopyHolder
	case late && !m.allCopied(e):
		return RefusedLogUnavailable
	}
	return ""
}

// abandon refuses the proposal of an intent. Copies and appends of the intent
// may still be in flight, so its memory stays reserved until the log has closed
// it.
func (m *Machine) abandon(e *entry, why Refusal) {
	e.refused = true
	m.refuse(e.intent.ID, why)
}

func (m *Machine) handleCopyReply(e CopyReply) {
	if m.held == nil || e.Epoch != m.held.epoch {
		return
	}
	m.held.copyRefused = m.held.copyRefused || !e.Acknowledged
	n := m.held.entries[e.IntentID]
	if n == nil || n.copiedTo == nil || !e.Acknowledged || n.intent.Epoch != e.Epoch {
		return
	}
	n.copiedTo[e.From] = true
}

func (m *Machine) allCopied(e *entry) bool {
	if e.copiedTo == nil {
		return false
	}
	for _, o := range m.otherCopyHolders() {
		if !e.copiedTo[o.Instance] {
			return false
		}
	}
	return true
}

// clearOrder allows the order to be sent once the intent is valid in the log, or
// is stored at every copy holder while this instance isn't sealed.
func (m *Machine) clearOrder(e *entry) {
	if e.decided || e.refused {
		if e.refused && !e.decided && e.inLog && e.result == resultNone {
			m.closeWithoutEffect(e)
		}
		return
	}
	byCopies := !m.logUp && m.sealed < m.held.epoch && m.allCopied(e) && m.canDecideWithoutLog(e.intent)
	early := m.cfg.faults.orderBeforeReadBack && e.append.inFlight
	e.decided = e.inLog || byCopies || early
}

// sendOrder sends the order of a decided intent, and sends it again after an
// unknown result. An inherited order waits until the server has been read.
func (m *Machine) sendOrder(e *entry) {
	if !e.decided || e.inFlight || e.result != resultNone || m.now < e.retryAt || m.held.releaseID != "" {
		return
	}
	if e.inherited && !m.ReadyOn(e.intent.Server) {
		return
	}
	e.inFlight, e.ordered = true, true
	m.emit(Order{Intent: e.intent, Fence: m.held.epoch, NotAfter: m.now + m.cfg.OrderLifetime})
}

// handleOrderEnded handles the result of an order. A rejected order proves that
// its intent has no effect only if no other attempt can still take effect.
func (m *Machine) handleOrderEnded(ev OrderEnded) {
	if m.held == nil {
		return
	}
	e := m.held.entries[ev.IntentID]
	if e == nil || !e.inFlight {
		return
	}
	e.inFlight = false
	e.retryAt = m.now + m.cfg.Retry
	if e.result != resultNone {
		return
	}
	load := e.intent.Kind == port.OrderLoad
	switch {
	case ev.Result == OrderDone && load:
		m.closeEntry(e, resultLoaded)
	case ev.Result == OrderDone:
		m.closeEntry(e, resultFreed)
	case ev.Result == OrderUnknown:
		e.uncertain = true
	case (e.uncertain || e.inherited) && !m.cfg.faults.trustRefusals:
		if v := m.held.serverSyncs[e.intent.Server]; v != nil {
			v.rereadNeeded = true
		}
	default:
		m.closeWithoutEffect(e)
	}
}

// closeWithoutEffect closes an intent that has not taken effect and never will:
// a load's memory is free, an unload's model is still loaded.
func (m *Machine) closeWithoutEffect(e *entry) {
	if e.intent.Kind == port.OrderUnload {
		m.closeEntry(e, resultLoaded)
		return
	}
	m.closeEntry(e, resultFreed)
}

// reportOutcome writes the outcome of an intent to the log.
func (m *Machine) reportOutcome(e *entry) {
	if e.result == resultNone || !e.inLog || m.held.releaseID != "" {
		return
	}
	if e.outcome.record == nil {
		e.outcome.record = newRecord(m, &recordpb.Outcome{
			IntentId: e.intent.ID, Epoch: int64(m.held.epoch), Result: e.result.proto(),
		})
	}
	m.appendIfDue(&e.outcome)
}
