package lease

import (
	"cmp"
	"slices"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fold"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record/recordpb"
)

// result is the outcome of an intent.
type result uint8

const (
	resultNone result = iota
	resultLoaded
	resultFreed
	resultLost
)

func (r result) proto() recordpb.Outcome_Result { return recordpb.Outcome_Result(r) }

// entry is an intent whose processing by the holder isn't complete.
type entry struct {
	intent record.Intent
	// createdSeq is the sequence number of the event at which the entry was created,
	// and index its position among the entries.
	createdSeq, index uint64
	// inherited is set if the intent stems from an earlier lease, whose holder may
	// have sent its order as well.
	inherited bool
	// inLog is set if the log contains the intent as valid.
	inLog bool
	// decided is set if the order can be sent.
	decided bool
	// refused is set if the proposal was refused.
	refused bool

	append  pendingAppend
	outcome pendingAppend

	// copiedTo are the copy holders that have stored a copy; nil if no copy was
	// requested.
	copiedTo      map[port.InstanceID]bool
	copyStartedAt time.Duration
	copyRetryAt   time.Duration

	// ordered is set once an order was sent, inFlight while its result is awaited,
	// and uncertain if an order with unknown result may still take effect.
	ordered, inFlight, uncertain bool
	retryAt                      time.Duration

	result result
}

// pendingAppend is a record whose append isn't complete.
type pendingAppend struct {
	record   *recordpb.Record
	inFlight bool
	retryAt  time.Duration
	// offset is set once the record is known to be in the log.
	offset port.Offset
}

// appendIfDue requests the append of the record unless it is in flight,
// complete, or waiting for its retry.
func (m *Machine) appendIfDue(p *pendingAppend) {
	if m.logUp && !p.inFlight && p.offset == 0 && m.now >= p.retryAt {
		p.inFlight = true
		m.emit(Append{Record: p.record})
	}
}

func (p *pendingAppend) complete(e AppendCompleted, retry time.Duration) bool {
	if p.record == nil || p.record.Id != e.RecordID {
		return false
	}
	p.inFlight = false
	if e.Appended {
		p.offset = e.Offset
	} else {
		p.retryAt = retry
	}
	return true
}

func (m *Machine) handleAppendCompleted(e AppendCompleted) {
	retry := m.now + m.cfg.Retry
	if c := m.claim; c != nil && c.record != nil && c.record.Id == e.RecordID {
		c.inFlight, c.retryAt = false, retry
		if e.Appended {
			c.offset = e.Offset
			if m.state != nil {
				m.updateClaim()
			}
		}
		return
	}
	if m.completeMemberAppend(e, retry) || m.held == nil {
		return
	}
	for _, n := range m.held.entries {
		if n.append.complete(e, retry) || n.outcome.complete(e, retry) {
			break
		}
	}
	m.updateEntries()
}

func (t *heldLease) sorted() []*entry {
	entries := make([]*entry, 0, len(t.entries))
	for _, e := range t.entries {
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b *entry) int { return cmp.Compare(a.index, b.index) })
	return entries
}

// intentsFor returns the open and loaded intents for a model on a server, with
// the results that the log doesn't show yet.
func (m *Machine) intentsFor(s port.ServerID, model port.ModelID) []OpenIntent {
	var found []OpenIntent
	for i := range m.zone.IntentsOn(s) {
		if i.Model == model && !m.isClosed(i.ID) {
			loaded := i.Loaded || m.resultOf(i.ID) == resultLoaded
			found = append(found, OpenIntent{Intent: i.Intent, Loaded: loaded, Decided: true})
		}
	}
	for _, e := range m.held.sorted() {
		i := e.intent
		if i.Server == s && i.Model == model && !e.inLog && !m.isClosed(i.ID) {
			found = append(found, OpenIntent{Intent: i, Loaded: e.result == resultLoaded, Decided: e.decided})
		}
	}
	return found
}

func (m *Machine) resultOf(id string) result {
	if m.held == nil || m.held.entries[id] == nil {
		return resultNone
	}
	return m.held.entries[id].result
}

// isClosed reports whether the intent no longer counts, although the log may not
// show that yet. Such an intent can't take effect again under a successor that
// doesn't know its result, because the engine has completed the unload or
// rejects orders for its earlier incarnation. A load that was freed in any other
// way counts until the log shows the outcome, since a successor would send its
// order again.
func (m *Machine) isClosed(id string) bool {
	if m.held == nil {
		return false
	}
	if m.held.freedLoads[id] {
		return true
	}
	e := m.held.entries[id]
	if e == nil {
		return false
	}
	if e.intent.Kind == port.OrderUnload {
		return e.result != resultNone
	}
	return e.result == resultLost || m.cfg.faults.freeEarly && e.result == resultFreed
}

// updateEntries updates the entries from the zone's state in the log.
func (m *Machine) updateEntries() {
	if m.held == nil || m.state == nil {
		return
	}
	for i := range m.zone.Intents() {
		if m.held.entries[i.ID] == nil && !i.Loaded && i.Epoch >= m.held.takeoverEpoch {
			m.closeUntracked(i)
		}
	}
	for _, e := range m.held.sorted() {
		m.updateEntry(e)
	}
	for id := range m.held.freedLoads {
		if _, open := m.zone.Intent(id); !open && m.held.entries[id] == nil {
			delete(m.held.freedLoads, id)
		}
	}
}

// closeUntracked closes an intent of this lease that has no entry: a duplicate
// of one that was closed or dropped. Only this holder could have sent its order,
// and an intent without an entry has no order in flight.
func (m *Machine) closeUntracked(i *fold.IntentState) {
	e := m.addEntry(i.Intent)
	e.refused = true
	m.closeWithoutEffect(e)
}

func (m *Machine) updateEntry(e *entry) {
	id := e.intent.ID
	state, open := m.zone.Intent(id)
	through := m.state.Through()
	switch {
	case open:
		e.inLog = true
		if e.result == resultLoaded && state.Loaded {
			delete(m.held.entries, id)
		}
	case e.inLog || m.zone.RecentlyClosed(id):
		delete(m.held.entries, id)
	case e.append.offset > 0 && through >= e.append.offset:
		m.handleVoidIntent(e)
	}
	if e.outcome.offset > 0 && through >= e.outcome.offset {
		e.outcome = pendingAppend{} // the outcome was void, otherwise it would have closed the intent
	}
}

// handleVoidIntent handles an intent of this holder that the log rejected as
// void. No order was sent for it unless it was decided by copies.
func (m *Machine) handleVoidIntent(e *entry) {
	e.append = pendingAppend{}
	if e.decided || e.inherited || e.copiedTo != nil {
		return
	}
	delete(m.held.entries, e.intent.ID)
	if !e.refused {
		m.refuse(e.intent.ID, RefusedVoid)
	}
}

// renewEntries moves the entries to the epoch of a renewed lease. Records of the
// old epoch are by now either in the log or void.
func (m *Machine) renewEntries() {
	for _, e := range m.held.entries {
		e.outcome = pendingAppend{}
		if _, open := m.zone.Intent(e.intent.ID); !open && !e.inLog {
			e.intent.Epoch = m.held.epoch
			e.append, e.copiedTo = pendingAppend{}, nil
		}
	}
}

// closeEntry records the result of an intent.
func (m *Machine) closeEntry(e *entry, r result) {
	e.result = r
	if e.intent.Kind == port.OrderUnload && r != resultLoaded {
		for _, o := range m.intentsFor(e.intent.Server, e.intent.Model) {
			if o.Kind == port.OrderLoad && o.Loaded {
				m.held.freedLoads[o.ID] = true
			}
		}
	}
	m.emit(Closed{IntentID: e.intent.ID, Result: r.proto()})
}
