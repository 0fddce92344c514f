package lease

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fold"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record"
)

// doubt is an ended epoch whose holder may still decide by copies.
type doubt struct {
	fold.Doubt
	// settled is the step at which the doubt ended; zero until then. Servers
	// must be read after it.
	settled uint64
	// goneAt is when the live list first named none of the copy holders.
	gone   bool
	goneAt time.Duration
	retry  time.Duration
}

func newDoubt(d fold.Doubt) *doubt { return &doubt{Doubt: d} }

// alone reports whether the epoch's holder could decide without copies, and so
// only on servers that check fencing numbers.
func (d *doubt) alone() bool { return len(d.CopyHolders) == 1 }

func (d *doubt) observeLive(instances map[port.InstanceID]bool, now time.Duration) {
	for _, o := range d.CopyHolders {
		if instances[o.Instance] {
			d.gone = false
			return
		}
	}
	if !d.gone {
		d.gone, d.goneAt = true, now
	}
}

// openDoubts returns the epochs in doubt, in order: the zone's, without those
// that this holder has settled.
func (m *Machine) openDoubts() []port.Epoch {
	var open []port.Epoch
	for _, d := range m.zone.Doubts {
		if m.term != nil && m.term.doubts[d.Epoch] != nil && m.term.doubts[d.Epoch].settled > 0 {
			continue
		}
		open = append(open, d.Epoch)
	}
	return open
}

// reconcileDoubts settles what time and reads have settled, and asks the copy
// holders again.
func (m *Machine) reconcileDoubts() {
	for _, e := range slices.Sorted(maps.Keys(m.term.doubts)) {
		d := m.term.doubts[e]
		if d.settled > 0 {
			continue
		}
		if slices.ContainsFunc(d.CopyHolders, m.isSelf) {
			m.settleDoubt(d, slices.Collect(maps.Values(m.copies)))
			continue
		}
		waited := d.gone && m.now >= d.goneAt+m.cfg.LiveLag+m.cfg.OrderLife
		if waited || d.alone() && m.checkingVetted() {
			d.settled = m.step
			continue
		}
		if m.now < d.retry {
			continue
		}
		d.retry = m.now + m.cfg.Retry
		for _, o := range d.CopyHolders {
			m.emit(SendSeal{To: o, Epoch: e})
		}
	}
}

func (m *Machine) isSelf(o fold.Member) bool { return o.Instance == m.cfg.Self }

// doubtSealReply settles a doubt by a late seal.
func (m *Machine) doubtSealReply(e SealReply) {
	if m.term == nil || !e.Sealed {
		return
	}
	d := m.term.doubts[e.Epoch]
	if d == nil || d.settled > 0 {
		return
	}
	member := slices.ContainsFunc(d.CopyHolders, func(o fold.Member) bool { return o.Instance == e.From })
	if !member {
		return
	}
	m.settleDoubt(d, e.Copies)
}

// settleDoubt ends a doubt with the copies of a sealed copy holder, which the
// instance itself may be. They become intents of this term, but for those of
// servers that check and were fenced and read already: what a copy did there was
// found, and what it didn't do it never will.
func (m *Machine) settleDoubt(d *doubt, copies []record.Intent) {
	d.settled = m.step
	slices.SortFunc(copies, func(a, b record.Intent) int { return cmp.Compare(a.ID, b.ID) })
	for _, i := range copies {
		v := m.term.vets[i.Server]
		resolved := v != nil && v.done && v.raised
		if i.Epoch == d.Epoch && i.Zone == m.cfg.Zone && !resolved {
			m.adopt(i)
		}
	}
}

// adopt takes an intent that an older epoch decided, or may have decided, into
// this term.
func (m *Machine) adopt(i record.Intent) *entry {
	if e, ok := m.term.entries[i.ID]; ok {
		return e
	}
	if _, open := m.zone.Intent(i.ID); open || m.zone.Closed(i.ID) {
		return nil
	}
	i.Epoch, i.Zone = m.term.epoch, m.cfg.Zone
	e := &entry{intent: i, seen: m.step, order: m.nextID(), foreign: true}
	m.term.entries[i.ID] = e
	return e
}
