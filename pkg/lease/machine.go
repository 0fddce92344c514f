package lease

import (
	"strconv"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fold"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record/recordpb"
)

// Machine is the state machine of the lease protocol for one instance in its
// zone. It is not safe for concurrent use.
type Machine struct {
	cfg      Config
	now      time.Duration
	effects  []Effect
	eventSeq uint64
	lastID   uint64

	// State read from the log.
	state       *fold.State
	zone        fold.ZoneView
	logUp       bool
	epochSeenAt time.Duration // when the zone's current epoch was first read

	// State of the other instances.
	lastContact map[port.InstanceID]time.Duration
	leaving     map[port.InstanceID]bool
	live        liveness

	// State as a copy holder.
	sealed port.Epoch // epoch through which this instance stores no more copies
	copies map[string]record.Intent

	// State as a claimant and a member.
	claim          *claim
	vacantSince    time.Duration
	vacant         bool
	lastClaim      time.Duration
	memberAppendID string // id of the member record whose append is in flight
	memberRetryAt  time.Duration
	memberOffset   port.Offset // offset of the last such record known to be in the log
	removals       map[port.InstanceID]pendingAppend
	stopping       bool
	// identitiesBase is the IdentitiesBase of the HandOver event.
	identitiesBase port.Offset
	stopped        bool

	// held is the lease that this instance holds; nil if it isn't the holder.
	held *heldLease
}

// liveness is the latest response of the live list.
type liveness struct {
	known     bool
	at        time.Time
	instances map[port.InstanceID]bool
	servers   map[port.ServerID]bool
}

// heldLease is the state of a lease that this instance holds. It lasts from the
// takeover on and across renewals.
type heldLease struct {
	epoch port.Epoch
	// takeoverEpoch is the epoch in which this instance became the holder; epoch is
	// that of the latest renewal.
	takeoverEpoch port.Epoch
	heldSince     time.Duration
	entries       map[string]*entry
	// freedLoads are the ids of loads that an unload has freed, or that were lost,
	// and whose outcome the log doesn't show yet.
	freedLoads  map[string]bool
	serverSyncs map[port.ServerID]*serverSync
	suspects    map[port.Epoch]*suspectEpoch
	// releaseID is the id of the release record; empty until its append was
	// requested.
	releaseID string
	// copyRefused is set if a copy holder is sealed against the epoch.
	copyRefused bool
}

// New returns the machine of an instance that has read nothing from the log. The
// log counts as unavailable until LogAvailable.
func New(cfg Config) *Machine {
	return &Machine{
		cfg: cfg.withDefaults(), lastContact: map[port.InstanceID]time.Duration{},
		leaving: map[port.InstanceID]bool{}, copies: map[string]record.Intent{},
		removals: map[port.InstanceID]pendingAppend{},
	}
}

// Step processes one event at the time now and returns the effects to carry out,
// in order. The time must not decrease; it is an offset from any fixed origin.
func (m *Machine) Step(now time.Duration, ev Event) []Effect {
	m.now = max(m.now, now)
	m.eventSeq++
	m.effects = nil
	m.handleEvent(ev)
	if m.state != nil && !m.stopped && !isFrequent(ev) {
		m.reconcile()
	}
	return m.effects
}

// isFrequent reports whether an event arrives many times a second. Such an event
// is recorded at once, and its consequences are evaluated at the next other
// event, at the latest the next Tick.
func isFrequent(ev Event) bool {
	switch e := ev.(type) {
	case PeerAlive:
		return true
	case ServerRead:
		return e.Token == 0
	}
	return false
}

func (m *Machine) handleEvent(ev Event) {
	switch e := ev.(type) {
	case Folded:
		m.handleFolded(e.State)
	case LogAvailable:
		m.logUp = true
	case LogUnavailable:
		m.logUp = false
	case AppendCompleted:
		m.handleAppendCompleted(e)
	case LiveList:
		m.handleLiveList(e)
	case PeerAlive:
		m.lastContact[e.Instance] = m.now
		m.leaving[e.Instance] = e.Leaving
	case SealRequested:
		m.handleSealRequested(e)
	case CopyRequested:
		m.handleCopyRequested(e)
	case SealReply:
		m.handleSealReply(e)
	case SealFailed:
		m.handleSealFailed(e)
	case CopyReply:
		m.handleCopyReply(e)
	case CopyFailed:
		// The copy is sent again after Retry.
	default:
		m.handleHolderEvent(ev)
	}
}

func (m *Machine) handleHolderEvent(ev Event) {
	switch e := ev.(type) {
	case Propose:
		m.handlePropose(e.Intent)
	case OrderEnded:
		m.handleOrderEnded(e)
	case FenceRaised:
		m.handleFenceRaised(e)
	case ServerRead:
		m.handleServerRead(e)
	case HandOver:
		m.handleHandOver(e)
	}
}

// reconcile starts all actions that the current state and time require.
func (m *Machine) reconcile() {
	m.reconcileMember()
	m.reconcileClaim()
	if m.held != nil {
		m.reconcileMissingServers()
		m.reconcileSuspects()
		m.reconcileServerSyncs()
		m.reconcileEntries()
		m.reconcileRemovals()
	}
	m.reconcileShutdown()
}

// handleFolded adopts the state of a longer prefix of the log.
func (m *Machine) handleFolded(s *fold.State) {
	if m.state != nil && s.Through() <= m.state.Through() {
		return
	}
	before := m.zone.Epoch
	m.state, m.zone = s, s.Zone(m.cfg.Zone)
	if m.zone.Epoch != before {
		m.epochSeenAt, m.vacant = m.now, false
	}
	m.updateClaim()
	m.updateLease()
	m.pruneCopies()
}

// updateLease begins, renews or ends the lease when the holder in the log has
// changed.
func (m *Machine) updateLease() {
	isHolder := m.zone.Epoch > 0 && m.zone.Holder == m.cfg.Self && !m.zone.Released
	if m.held != nil && m.held.epoch == m.zone.Epoch && isHolder {
		m.updateEntries()
		return
	}
	superseded := m.completeClaim()
	renewed := m.held != nil && isHolder && superseded == m.held.epoch
	if m.held != nil && !renewed {
		m.endLease()
	}
	if !isHolder {
		return
	}
	if renewed {
		m.held.epoch, m.held.copyRefused = m.zone.Epoch, false
		m.renewEntries()
	} else {
		m.held = m.newLease()
	}
	m.lastClaim = m.now
	m.emit(Acquired{Epoch: m.zone.Epoch})
	m.updateEntries()
}

func (m *Machine) newLease() *heldLease {
	t := &heldLease{
		epoch: m.zone.Epoch, takeoverEpoch: m.zone.Epoch, heldSince: m.now,
		entries: map[string]*entry{}, freedLoads: map[string]bool{},
		serverSyncs: map[port.ServerID]*serverSync{}, suspects: map[port.Epoch]*suspectEpoch{},
	}
	for _, d := range m.zone.SuspectEpochs {
		t.suspects[d.Epoch] = newSuspectEpoch(d)
	}
	for i := range m.zone.Intents() {
		if !i.Loaded {
			t.entries[i.ID] = &entry{intent: i.Intent, createdSeq: m.eventSeq, index: m.nextID(), inherited: true, inLog: true}
		}
	}
	return t
}

// endLease ends the lease. Decisions that aren't in the log are retained as
// copies, so that a later seal request finds them.
func (m *Machine) endLease() {
	t := m.held
	m.held = nil
	for _, e := range t.sorted() {
		if !e.inLog && (e.decided || e.copiedTo != nil) {
			m.copies[e.intent.ID] = e.intent
		}
		if !e.decided && !e.inherited && !e.refused {
			m.refuse(e.intent.ID, RefusedNotHolder)
		}
	}
	m.emit(Lost{Epoch: t.epoch})
}

func (m *Machine) emit(e Effect) { m.effects = append(m.effects, e) }

func (m *Machine) refuse(id string, why Refusal) {
	m.emit(Refuse{IntentID: id, Reason: why, RetryAfter: m.cfg.Retry})
}

func (m *Machine) nextID() uint64 {
	m.lastID++
	return m.lastID
}

// newRecord returns a record with a unique id. Instance ids are never reused, so
// the instance id and a counter are unique.
func newRecord[B record.Body](m *Machine, body B) *recordpb.Record {
	id := string(m.cfg.Self) + "/" + strconv.FormatUint(m.nextID(), 10)
	return record.NewWithID(id, m.cfg.Zone, m.cfg.Self, body)
}

func (m *Machine) handleLiveList(e LiveList) {
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
	m.pruneContacts()
	if m.held != nil {
		for _, d := range m.held.suspects {
			d.updateLive(m.live.instances, m.now)
		}
	}
}

// pruneContacts deletes the last contact times of instances that have ended.
// Instance ids are never reused, so the entries would accumulate.
func (m *Machine) pruneContacts() {
	for id, at := range m.lastContact {
		if !m.live.instances[id] && !m.zone.IsMember(id) && m.now >= at+m.cfg.MemberTimeout {
			delete(m.lastContact, id)
			delete(m.leaving, id)
		}
	}
}
