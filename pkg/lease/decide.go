package lease

import (
	"slices"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fold"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record/recordpb"
)

// propose takes a proposal in or refuses it.
func (m *Machine) propose(i record.Intent) {
	if why, ok := m.refusal(i); !ok {
		m.refuse(i.ID, why)
		return
	}
	i.Epoch, i.Zone = m.term.epoch, m.cfg.Zone
	m.term.entries[i.ID] = &entry{intent: i, seen: m.step, order: m.nextID()}
}

func (m *Machine) refusal(i record.Intent) (Refusal, bool) {
	switch {
	case m.term == nil:
		return RefusedNotHolder, false
	case m.stopping:
		return RefusedStopping, false
	case m.claim != nil || !m.ReadyOn(i.Server):
		return RefusedNotReady, false
	case !m.logUp && m.sealed >= m.term.epoch:
		return RefusedSealed, false
	case !m.logUp && !m.mayDecideAlone(i):
		return RefusedAlone, false
	case m.term.entries[i.ID] != nil:
		return RefusedOccupied, false
	}
	loaded := false
	for _, o := range m.at(i.Server, i.Model) {
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

// others are the copy holders besides the holder itself.
func (m *Machine) others() []fold.Member {
	return slices.DeleteFunc(slices.Clone(m.zone.CopyHolders), func(o fold.Member) bool {
		return o.Instance == m.cfg.Self
	})
}

// mayDecideAlone reports whether copies suffice on the intent's server while
// the log is away: with no other copy holder, only where a claimant's fence
// stops the orders.
func (m *Machine) mayDecideAlone(i record.Intent) bool {
	return len(m.others()) > 0 || m.cfg.ChecksFencing(i.Server) || m.cfg.faults.aloneAnywhere
}

// reconcileEntries moves each entry on: into the log or to the copy holders,
// then to the server, then its outcome into the log.
func (m *Machine) reconcileEntries() {
	for _, e := range m.term.sorted() {
		if !e.onLog {
			m.record(e)
		}
		m.decide(e)
		m.order(e)
		m.report(e)
	}
}

// record brings an intent into the log or, while that is away, to the copy
// holders.
func (m *Machine) record(e *entry) {
	if !m.logUp {
		m.copy(e)
		return
	}
	e.copySince = m.now // the next outage has its own timeout
	if m.term.release != "" || !m.appendable(e) {
		return
	}
	if e.append.record == nil {
		e.append = pending{record: newRecord(m, e.intent.Proto()), retry: e.append.retry}
	}
	m.give(&e.append)
}

// appendable reports whether the log, as read, would take the intent as valid.
// Decisions of an outage about the same model and server go in one by one.
func (m *Machine) appendable(e *entry) bool {
	loaded := false
	for i := range m.zone.On(e.intent.Server) {
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

// copy asks the other copy holders to store the intent.
func (m *Machine) copy(e *entry) {
	if e.decided || e.refused {
		return
	}
	if why := m.copyRefusal(e); why != "" {
		if !e.foreign {
			m.giveUp(e, why)
		}
		return
	}
	if e.copied == nil {
		e.copied, e.copySince = map[port.InstanceID]bool{}, m.now
	}
	if m.now < e.copyRetry {
		return
	}
	e.copyRetry = m.now + m.cfg.Retry
	for _, o := range m.others() {
		if !e.copied[o.Instance] {
			m.emit(SendCopy{To: o, Intent: e.intent})
		}
	}
}

// copyRefusal says why the intent can't be decided by copies.
func (m *Machine) copyRefusal(e *entry) Refusal {
	late := !e.foreign && e.copied != nil && m.now >= e.copySince+m.cfg.CopyTimeout
	switch {
	case m.sealed >= m.term.epoch:
		return RefusedSealed
	case !m.mayDecideAlone(e.intent):
		return RefusedAlone
	case late && !m.allCopied(e):
		return RefusedLogAway
	}
	return ""
}

// giveUp tells the proposer that the intent won't be ordered. Copies and
// appends of it may be about, so it stays reserved until the log has closed it.
func (m *Machine) giveUp(e *entry, why Refusal) {
	e.refused = true
	m.refuse(e.intent.ID, why)
}

func (m *Machine) copyReply(e CopyReply) {
	if m.term == nil || e.Epoch != m.term.epoch {
		return
	}
	m.term.copyRefused = m.term.copyRefused || !e.Acknowledged
	n := m.term.entries[e.IntentID]
	if n == nil || n.copied == nil || !e.Acknowledged || n.intent.Epoch != e.Epoch {
		return
	}
	n.copied[e.From] = true
}

func (m *Machine) allCopied(e *entry) bool {
	if e.copied == nil {
		return false
	}
	for _, o := range m.others() {
		if !e.copied[o.Instance] {
			return false
		}
	}
	return true
}

// decide clears an order: the intent is valid in the log, or it is at every
// copy holder and this instance has not been sealed.
func (m *Machine) decide(e *entry) {
	if e.decided || e.refused {
		if e.refused && !e.decided && e.onLog && e.result == resultNone {
			m.endUnordered(e)
		}
		return
	}
	byCopies := !m.logUp && m.sealed < m.term.epoch && m.allCopied(e) && m.mayDecideAlone(e.intent)
	early := m.cfg.faults.orderBeforeReadBack && e.append.out
	e.decided = e.onLog || byCopies || early
}

// order sends the order of a decided intent, again after an unknown end. An
// older term's order waits until the server has been read.
func (m *Machine) order(e *entry) {
	if !e.decided || e.inFlight || e.result != resultNone || m.now < e.retry || m.term.release != "" {
		return
	}
	if e.foreign && !m.ReadyOn(e.intent.Server) {
		return
	}
	e.inFlight, e.ordered = true, true
	m.emit(Order{Intent: e.intent, Fence: m.term.epoch, NotAfter: m.now + m.cfg.OrderLife})
}

// orderEnded takes the end of an order. A refusal proves an intent dead only if
// no other attempt can still have its effect.
func (m *Machine) orderEnded(ev OrderEnded) {
	if m.term == nil {
		return
	}
	e := m.term.entries[ev.IntentID]
	if e == nil || !e.inFlight {
		return
	}
	e.inFlight = false
	e.retry = m.now + m.cfg.Retry
	if e.result != resultNone {
		return
	}
	load := e.intent.Kind == port.OrderLoad
	switch {
	case ev.Result == OrderDone && load:
		m.end(e, resultLoaded)
	case ev.Result == OrderDone:
		m.end(e, resultFreed)
	case ev.Result == OrderUnknown:
		e.tainted = true
	case (e.tainted || e.foreign) && !m.cfg.faults.trustRefusals:
		if v := m.term.vets[e.intent.Server]; v != nil {
			v.again = true
		}
	default:
		m.endUnordered(e)
	}
}

// endUnordered ends an intent that has had no effect and never will: a load's
// memory is free, an unload's model is still loaded.
func (m *Machine) endUnordered(e *entry) {
	if e.intent.Kind == port.OrderUnload {
		m.end(e, resultLoaded)
		return
	}
	m.end(e, resultFreed)
}

// report brings the outcome of an intent into the log.
func (m *Machine) report(e *entry) {
	if e.result == resultNone || !e.onLog || m.term.release != "" {
		return
	}
	if e.outcome.record == nil {
		e.outcome.record = newRecord(m, &recordpb.Outcome{
			IntentId: e.intent.ID, Epoch: int64(m.term.epoch), Result: e.result.proto(),
		})
	}
	m.give(&e.outcome)
}
