package lease

import (
	"strconv"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fold"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record/recordpb"
)

// Machine is the decision protocol of one instance in its zone. It is not safe
// for concurrent use.
type Machine struct {
	cfg  Config
	now  time.Duration
	out  []Effect
	step uint64
	ids  uint64

	// What is known of the log.
	state   *fold.State
	zone    fold.ZoneView
	logUp   bool
	epochAt time.Duration // when the zone's epoch was first seen

	// What is known of others.
	heard   map[port.InstanceID]time.Duration
	leaving map[port.InstanceID]bool
	live    liveness

	// As a copy holder.
	sealed port.Epoch // no copies of this epoch or an older one are stored
	copies map[string]record.Intent

	// As a claimant and a member.
	claim       *claim
	vacantSince time.Duration
	vacant      bool
	lastClaim   time.Duration
	memberOut   string // id of the record that was last given
	memberRetry time.Duration
	memberAt    port.Offset // of the last such record known to be in the log
	removals    map[port.InstanceID]pending
	stopping    bool
	// identitiesBase is that of the HandOver.
	identitiesBase port.Offset
	stopped        bool

	// As the holder; nil otherwise.
	term *term
}

// liveness is the newest answer of the live list.
type liveness struct {
	known     bool
	at        time.Time
	instances map[port.InstanceID]bool
	servers   map[port.ServerID]bool
}

// term is the time from a takeover on, over renewals of the claim.
type term struct {
	epoch port.Epoch
	// first is the epoch of the takeover.
	first   port.Epoch
	since   time.Duration
	entries map[string]*entry
	// gone holds loads that an unload has freed, or that were lost, before the
	// log shows it.
	gone   map[string]bool
	vets   map[port.ServerID]*vet
	doubts map[port.Epoch]*doubt
	// release is the id of the release record once it was given.
	release string
	// copyRefused says that a copy holder is sealed against the epoch.
	copyRefused bool
}

// New returns the machine of an instance that knows nothing yet. The log counts
// as away until LogUp.
func New(cfg Config) *Machine {
	return &Machine{
		cfg: cfg.withDefaults(), heard: map[port.InstanceID]time.Duration{},
		leaving: map[port.InstanceID]bool{}, copies: map[string]record.Intent{},
		removals: map[port.InstanceID]pending{},
	}
}

// Step takes one event at the time now, which must not go back, and returns
// what is to be done, in order.
func (m *Machine) Step(now time.Duration, ev Event) []Effect {
	m.now = max(m.now, now)
	m.step++
	m.out = nil
	m.take(ev)
	if m.state != nil && !m.stopped && !isFrequent(ev) {
		m.reconcile()
	}
	return m.out
}

// isFrequent reports whether the event comes many times a second. What follows
// from such an event waits for the next Tick.
func isFrequent(ev Event) bool {
	switch e := ev.(type) {
	case PeerAlive:
		return true
	case ServerRead:
		return e.Token == 0
	}
	return false
}

func (m *Machine) take(ev Event) {
	switch e := ev.(type) {
	case Folded:
		m.folded(e.State)
	case LogUp:
		m.logUp = true
	case LogDown:
		m.logUp = false
	case AppendSettled:
		m.appendSettled(e)
	case LiveList:
		m.liveList(e)
	case PeerAlive:
		m.heard[e.Instance] = m.now
		m.leaving[e.Instance] = e.Leaving
	case SealRequested:
		m.sealRequested(e)
	case CopyRequested:
		m.copyRequested(e)
	case SealReply:
		m.sealReply(e)
	case SealFailed:
		m.sealFailed(e)
	case CopyReply:
		m.copyReply(e)
	case CopyFailed:
		// The copy is sent again after Retry.
	default:
		m.takeAsHolder(ev)
	}
}

func (m *Machine) takeAsHolder(ev Event) {
	switch e := ev.(type) {
	case Propose:
		m.propose(e.Intent)
	case OrderEnded:
		m.orderEnded(e)
	case FenceRaised:
		m.fenceRaised(e)
	case ServerRead:
		m.serverRead(e)
	case HandOver:
		m.handOver(e)
	}
}

// reconcile does whatever the state and the time call for now.
func (m *Machine) reconcile() {
	m.reconcileMember()
	m.reconcileClaim()
	if m.term != nil {
		m.reconcileGone()
		m.reconcileDoubts()
		m.reconcileVets()
		m.reconcileEntries()
		m.reconcileRemovals()
	}
	m.reconcileStop()
}

// folded takes a longer prefix.
func (m *Machine) folded(s *fold.State) {
	if m.state != nil && s.Through() <= m.state.Through() {
		return
	}
	before := m.zone.Epoch
	m.state, m.zone = s, s.Zone(m.cfg.Zone)
	if m.zone.Epoch != before {
		m.epochAt, m.vacant = m.now, false
	}
	m.foldedClaim()
	m.foldedTerm()
	m.dropCopies()
}

// foldedTerm follows changes of the holder.
func (m *Machine) foldedTerm() {
	mine := m.zone.Epoch > 0 && m.zone.Holder == m.cfg.Self && !m.zone.Released
	if m.term != nil && m.term.epoch == m.zone.Epoch && mine {
		m.foldedEntries()
		return
	}
	superseded := m.lastSuperseded()
	renewed := m.term != nil && mine && superseded == m.term.epoch
	if m.term != nil && !renewed {
		m.lose()
	}
	if !mine {
		return
	}
	if renewed {
		m.term.epoch, m.term.copyRefused = m.zone.Epoch, false
		m.renewEntries()
	} else {
		m.term = m.newTerm()
	}
	m.lastClaim = m.now
	m.emit(Held{Epoch: m.zone.Epoch})
	m.foldedEntries()
}

func (m *Machine) newTerm() *term {
	t := &term{
		epoch: m.zone.Epoch, first: m.zone.Epoch, since: m.now,
		entries: map[string]*entry{}, gone: map[string]bool{},
		vets: map[port.ServerID]*vet{}, doubts: map[port.Epoch]*doubt{},
	}
	for _, d := range m.zone.Doubts {
		t.doubts[d.Epoch] = newDoubt(d)
	}
	for i := range m.zone.Intents() {
		if !i.Loaded {
			t.entries[i.ID] = &entry{intent: i.Intent, seen: m.step, order: m.nextID(), foreign: true, onLog: true}
		}
	}
	return t
}

// lose ends the term. Decisions that aren't in the log stay with the copies, so
// that a later seal finds them.
func (m *Machine) lose() {
	t := m.term
	m.term = nil
	for _, e := range t.sorted() {
		if !e.onLog && (e.decided || e.copied != nil) {
			m.copies[e.intent.ID] = e.intent
		}
		if !e.decided && !e.foreign && !e.refused {
			m.refuse(e.intent.ID, RefusedNotHolder)
		}
	}
	m.emit(Lost{Epoch: t.epoch})
}

func (m *Machine) emit(e Effect) { m.out = append(m.out, e) }

func (m *Machine) refuse(id string, why Refusal) {
	m.emit(Refuse{IntentID: id, Reason: why, RetryAfter: m.cfg.Retry})
}

func (m *Machine) nextID() uint64 {
	m.ids++
	return m.ids
}

// newRecord gives the record an id of its own: instance ids are never used
// again.
func newRecord[B record.Body](m *Machine, body B) *recordpb.Record {
	id := string(m.cfg.Self) + "/" + strconv.FormatUint(m.nextID(), 10)
	return record.NewWithID(id, m.cfg.Zone, m.cfg.Self, body)
}

func (m *Machine) liveList(e LiveList) {
	if m.live.known && !e.At.After(m.live.at) {
		return
	}
	m.live = liveness{
		known: true, at: e.At,
		instances: map[port.InstanceID]bool{}, servers: map[port.ServerID]bool{},
	}
	for _, i := range e.Instances {
		m.live.instances[i] = true
	}
	for _, s := range e.Servers {
		m.live.servers[s] = true
	}
	m.forget()
	if m.term != nil {
		for _, d := range m.term.doubts {
			d.observeLive(m.live.instances, m.now)
		}
	}
}

// forget drops the heartbeats of instances that are gone. Ids are never used
// again, so they would pile up.
func (m *Machine) forget() {
	for id, at := range m.heard {
		if !m.live.instances[id] && !m.zone.IsMember(id) && m.now >= at+m.cfg.MemberTimeout {
			delete(m.heard, id)
			delete(m.leaving, id)
		}
	}
}
