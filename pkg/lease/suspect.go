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

// suspectEpoch is an ended epoch whose holder may still decide by copies,
// because no copy holder of the epoch was sealed when it was superseded.
type suspectEpoch struct {
	fold.SuspectEpoch
	// resolvedSeq is the sequence number of the event at which the epoch ceased to
	// be suspect; zero until then. Servers must be read after it.
	resolvedSeq uint64
	// unlistedAt is when the live list first named none of the copy holders.
	unlisted   bool
	unlistedAt time.Duration
	retryAt    time.Duration
}

func newSuspectEpoch(d fold.SuspectEpoch) *suspectEpoch { return &suspectEpoch{SuspectEpoch: d} }

// soleCopyHolder reports whether the epoch's holder was its only copy holder.
// Such a holder can decide without the log, but only on servers that check
// fencing tokens.
func (d *suspectEpoch) soleCopyHolder() bool { return len(d.CopyHolders) == 1 }

func (d *suspectEpoch) updateLive(instances map[port.InstanceID]bool, now time.Duration) {
	for _, o := range d.CopyHolders {
		if instances[o.Instance] {
			d.unlisted = false
			return
		}
	}
	if !d.unlisted {
		d.unlisted, d.unlistedAt = true, now
	}
}

// openSuspects returns the suspect epochs of the zone in order, without those
// that this holder has resolved.
func (m *Machine) openSuspects() []port.Epoch {
	var open []port.Epoch
	for _, d := range m.zone.SuspectEpochs {
		if m.held != nil && m.held.suspects[d.Epoch] != nil && m.held.suspects[d.Epoch].resolvedSeq > 0 {
			continue
		}
		open = append(open, d.Epoch)
	}
	return open
}

// reconcileSuspects resolves the suspect epochs whose wait or server reads are
// complete, and repeats the seal requests of the others.
func (m *Machine) reconcileSuspects() {
	for _, e := range slices.Sorted(maps.Keys(m.held.suspects)) {
		d := m.held.suspects[e]
		if d.resolvedSeq > 0 {
			continue
		}
		if slices.ContainsFunc(d.CopyHolders, m.isSelf) {
			m.resolveSuspect(d, slices.Collect(maps.Values(m.copies)))
			continue
		}
		waited := d.unlisted && m.now >= d.unlistedAt+m.cfg.LiveLag+m.cfg.OrderLifetime
		if waited || d.soleCopyHolder() && m.fencedServersVerified() {
			d.resolvedSeq = m.eventSeq
			continue
		}
		if m.now < d.retryAt {
			continue
		}
		d.retryAt = m.now + m.cfg.Retry
		for _, o := range d.CopyHolders {
			m.emit(SendSeal{To: o, Epoch: e})
		}
	}
}

func (m *Machine) isSelf(o fold.Member) bool { return o.Instance == m.cfg.Self }

// resolveSuspectBySeal resolves a suspect epoch when a copy holder responds late
// to a seal request.
func (m *Machine) resolveSuspectBySeal(e SealReply) {
	if m.held == nil || !e.Sealed {
		return
	}
	d := m.held.suspects[e.Epoch]
	if d == nil || d.resolvedSeq > 0 {
		return
	}
	member := slices.ContainsFunc(d.CopyHolders, func(o fold.Member) bool { return o.Instance == e.From })
	if !member {
		return
	}
	m.resolveSuspect(d, e.Copies)
}

// resolveSuspect resolves a suspect epoch with the copies of a sealed copy
// holder, which can be this instance. The copies become intents of this lease,
// except those on servers that check fencing tokens and have already been fenced
// and read: there the read has found the effects of the copies, and the raised
// token prevents any further effect.
func (m *Machine) resolveSuspect(d *suspectEpoch, copies []record.Intent) {
	d.resolvedSeq = m.eventSeq
	slices.SortFunc(copies, func(a, b record.Intent) int { return cmp.Compare(a.ID, b.ID) })
	for _, i := range copies {
		v := m.held.serverSyncs[i.Server]
		resolved := v != nil && v.verified && v.fenceRaised
		if i.Epoch == d.Epoch && i.Zone == m.cfg.Zone && !resolved {
			m.adopt(i)
		}
	}
}

// adopt adds an intent that was decided, or may have been decided, in an earlier
// epoch to this lease.
func (m *Machine) adopt(i record.Intent) *entry {
	if e, ok := m.held.entries[i.ID]; ok {
		return e
	}
	if _, open := m.zone.Intent(i.ID); open || m.zone.RecentlyClosed(i.ID) {
		return nil
	}
	i.Epoch, i.Zone = m.held.epoch, m.cfg.Zone
	e := &entry{intent: i, createdSeq: m.eventSeq, index: m.nextID(), inherited: true}
	m.held.entries[i.ID] = e
	return e
}
