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

// result is how an intent ended.
type result uint8

const (
	resultNone result = iota
	resultLoaded
	resultFreed
	resultLost
)

func (r result) proto() recordpb.Outcome_Result { return recordpb.Outcome_Result(r) }

// entry is an intent that the holder still has to do something about.
type entry struct {
	intent record.Intent
	// seen is the step at which the machine came to know the intent, and order
	// its place among the entries.
	seen, order uint64
	// foreign says that an older term decided the intent: others may have
	// ordered it as well.
	foreign bool
	// onLog says that the log shows the intent as valid.
	onLog bool
	// decided says that the order may be sent.
	decided bool
	// refused says that the proposer was told that it won't be.
	refused bool

	append  pending
	outcome pending

	// copied are the copy holders that stored a copy; nil if none was asked.
	copied    map[port.InstanceID]bool
	copySince time.Duration
	copyRetry time.Duration

	// ordered says that an order was given, inFlight that it hasn't ended, and
	// tainted that an ended one may still have its effect.
	ordered, inFlight, tainted bool
	retry                      time.Duration

	result result
}

// pending is a record on its way into the log.
type pending struct {
	record *recordpb.Record
	out    bool
	retry  time.Duration
	// offset is set once the record is known to be in the log.
	offset port.Offset
}

// give asks for the record to be appended, if that is due.
func (m *Machine) give(p *pending) {
	if m.logUp && !p.out && p.offset == 0 && m.now >= p.retry {
		p.out = true
		m.emit(Append{Record: p.record})
	}
}

func (p *pending) settle(e AppendSettled, retry time.Duration) bool {
	if p.record == nil || p.record.Id != e.RecordID {
		return false
	}
	p.out = false
	if e.Appended {
		p.offset = e.Offset
	} else {
		p.retry = retry
	}
	return true
}

func (m *Machine) appendSettled(e AppendSettled) {
	retry := m.now + m.cfg.Retry
	if c := m.claim; c != nil && c.record != nil && c.record.Id == e.RecordID {
		c.out, c.retry = false, retry
		if e.Appended {
			c.offset = e.Offset
			if m.state != nil {
				m.foldedClaim()
			}
		}
		return
	}
	if m.memberSettled(e, retry) || m.term == nil {
		return
	}
	for _, n := range m.term.entries {
		if n.append.settle(e, retry) || n.outcome.settle(e, retry) {
			break
		}
	}
	m.foldedEntries()
}

func (t *term) sorted() []*entry {
	entries := make([]*entry, 0, len(t.entries))
	for _, e := range t.entries {
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b *entry) int { return cmp.Compare(a.order, b.order) })
	return entries
}

// at returns the intents that count for a model on a server, in the holder's
// own view.
func (m *Machine) at(s port.ServerID, model port.ModelID) []OpenIntent {
	var found []OpenIntent
	for i := range m.zone.On(s) {
		if i.Model == model && !m.isClosed(i.ID) {
			loaded := i.Loaded || m.resultOf(i.ID) == resultLoaded
			found = append(found, OpenIntent{Intent: i.Intent, Loaded: loaded, Decided: true})
		}
	}
	for _, e := range m.term.sorted() {
		i := e.intent
		if i.Server == s && i.Model == model && !e.onLog && !m.isClosed(i.ID) {
			found = append(found, OpenIntent{Intent: i, Loaded: e.result == resultLoaded, Decided: e.decided})
		}
	}
	return found
}

func (m *Machine) resultOf(id string) result {
	if m.term == nil || m.term.entries[id] == nil {
		return resultNone
	}
	return m.term.entries[id].result
}

// isClosed reports whether the intent counts no longer, though the log may not
// show it yet: its effect is over, and a successor that knows nothing of that
// can't bring it back, as the engine has done the unload or refuses orders for
// its earlier incarnation. A load that was freed in any other way counts until
// the log shows it, since a successor would order it again.
func (m *Machine) isClosed(id string) bool {
	if m.term == nil {
		return false
	}
	if m.term.gone[id] {
		return true
	}
	e := m.term.entries[id]
	if e == nil {
		return false
	}
	if e.intent.Kind == port.OrderUnload {
		return e.result != resultNone
	}
	return e.result == resultLost || m.cfg.faults.freeEarly && e.result == resultFreed
}

// foldedEntries follows what the log shows of the entries.
func (m *Machine) foldedEntries() {
	if m.term == nil || m.state == nil {
		return
	}
	for i := range m.zone.Intents() {
		if m.term.entries[i.ID] == nil && !i.Loaded && i.Epoch >= m.term.first {
			m.closePhantom(i)
		}
	}
	for _, e := range m.term.sorted() {
		m.foldedEntry(e)
	}
	for id := range m.term.gone {
		if _, open := m.zone.Intent(id); !open && m.term.entries[id] == nil {
			delete(m.term.gone, id)
		}
	}
}

// closePhantom closes an intent of this term that has no entry: a duplicate of
// one that was closed or dropped. Only this holder could have ordered it, and
// it has ended or never ordered what has no entry.
func (m *Machine) closePhantom(i *fold.IntentState) {
	e := m.track(i.Intent)
	e.refused = true
	m.endUnordered(e)
}

func (m *Machine) foldedEntry(e *entry) {
	id := e.intent.ID
	state, open := m.zone.Intent(id)
	through := m.state.Through()
	switch {
	case open:
		e.onLog = true
		if e.result == resultLoaded && state.Loaded {
			delete(m.term.entries, id)
		}
	case e.onLog || m.zone.Closed(id):
		delete(m.term.entries, id)
	case e.append.offset > 0 && through >= e.append.offset:
		m.voided(e)
	}
	if e.outcome.offset > 0 && through >= e.outcome.offset {
		e.outcome = pending{} // void, or it would have closed the intent
	}
}

// voided handles an own intent that the log holds as void. Unless it was
// decided by copies nobody ever ordered it.
func (m *Machine) voided(e *entry) {
	e.append = pending{}
	if e.decided || e.foreign || e.copied != nil {
		return
	}
	delete(m.term.entries, e.intent.ID)
	if !e.refused {
		m.refuse(e.intent.ID, RefusedVoid)
	}
}

// renewEntries moves the entries to a renewed claim's epoch. Records of the old
// epoch are in the log by now or void.
func (m *Machine) renewEntries() {
	for _, e := range m.term.entries {
		e.outcome = pending{}
		if _, open := m.zone.Intent(e.intent.ID); !open && !e.onLog {
			e.intent.Epoch = m.term.epoch
			e.append, e.copied = pending{}, nil
		}
	}
}

// end records how an intent ended.
func (m *Machine) end(e *entry, r result) {
	e.result = r
	if e.intent.Kind == port.OrderUnload && r != resultLoaded {
		for _, o := range m.at(e.intent.Server, e.intent.Model) {
			if o.Kind == port.OrderLoad && o.Loaded {
				m.term.gone[o.ID] = true
			}
		}
	}
	m.emit(Closed{IntentID: e.intent.ID, Result: r.proto()})
}
