package storemirror

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/internal/bootclock"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

const (
	// readsPerDrain and tellerReadsPerDrain are the reads of the server list, within the time
	// in which a draining server must stop receiving requests, of an instance that isn't told
	// and of the one that tells the others. The latter and the interval of messages together
	// stay below the interval of the former, so that instances that are told don't read.
	readsPerDrain       = 2
	tellerReadsPerDrain = 5
	// tellsPerDrain is the number of messages to each instance within that time.
	tellsPerDrain = 5
	// checkInterval is how long an instance relies on what it is told before it reads the
	// complete list itself, in case the teller is wrong. It varies by checkSpread.
	checkInterval = 2 * time.Minute
	checkSpread   = time.Minute
	// hintGrace is how long an instance that is told of a newer manifest waits for its long poll to
	// return that. Nearly always it does, as the store answers all polls at once.
	hintGrace = 250 * time.Millisecond
	// maxManifestAge is the age of what an instance has been told of the manifest up to which it
	// waits for a newer one in a single long poll. The teller's own polls take platform.PollWait. The loss
	// of the teller is noticed sooner, by Mirror.LoseTeller.
	maxManifestAge = platform.PollWait + time.Second
	// DefaultApplyWithin is Mirror.SetApplyWithin's time if that isn't called.
	DefaultApplyWithin = 2 * time.Second
	// retriesPerApply is the number of reads of an instance that the store rejects, and that is told of
	// the manifest, within the time in which a manifest must be in force. It has a read of its own again
	// soon after the store serves it, whatever becomes of the teller.
	retriesPerApply = 2
	// confirmDueShare is the part of the time for which the manifest must be confirmed after which the
	// next read isn't a long poll. The rest is for the read itself and for telling the others.
	confirmDueShare = 4
)

// News is what an instance tells others of the store.
type News struct {
	// Teller is the name of the instance that tells.
	Teller string
	// Held is how long the question was held before it was answered.
	Held time.Duration
	// ManifestVersion is the version of the newest manifest, and ManifestAge the time since that
	// was read.
	ManifestVersion int64
	ManifestAge     time.Duration
	// ConfirmationAge is the time since that version was certain to be the newest one.
	ConfirmationAge time.Duration
	// List is the edition of the server list that is known with these news. Its ID is 0 if the list isn't
	// told, or by offsets alone.
	List fleet.Edition
	// ListAge is the time since the server list was read, up to the position ListEnd.
	ListEnd fleet.Position
	ListAge time.Duration
	// Entries are those that changed since the edition that the other instance knows, or all usable
	// servers if Complete is true.
	Entries  []fleet.Entry
	Complete bool
}

// Mirror is an instance's copy. It is safe for concurrent use.
type Mirror struct {
	now   func() time.Duration
	after func(time.Duration, func())
	// drainTimeout is the time within which a draining server stops receiving new requests.
	drainTimeout time.Duration
	// tells reports whether this instance tells the others, and changed is called after there is
	// something new to tell.
	tells   func() bool
	changed func()
	// check is this instance's checkInterval.
	check time.Duration

	mu       sync.Mutex
	list     *serverList
	listRead freshness
	// end is the position up to which the list is known. checkDue means that the next read
	// compares the complete list.
	end      fleet.Position
	checkDue bool
	// listKnown is true once this instance knows the complete list.
	listKnown bool
	bulletin  *fleet.Bulletin
	// told is the edition that this instance was told last. differs means that its list wasn't the same
	// as the teller's then, so that it has to read the complete list.
	told    fleet.Edition
	differs bool

	doubts doubtChecks
	// skippedAt is when this instance was last told of records that it won't read.
	skippedAt time.Duration

	manifestRead freshness
	// manifestTold is what this instance knows of the manifest from others alone. Only these notice
	// that a long poll isn't answered.
	manifestTold    freshness
	manifestVersion int64
	// document is the manifest in force as it was read.
	document        []byte
	documentVersion int64
	// applyWithin is the time within which a published manifest must be in force. manifestFailedAt is when
	// the last read of it failed.
	applyWithin, manifestFailedAt time.Duration
	// confirmWithin is how old the confirmation of the manifest may become; 0 if that doesn't matter.
	confirmWithin time.Duration
	// behind is signaled when this instance is told of a newer manifest that it can't read.
	behind chan struct{}
	// hinted is the highest version that was told. What is told once is looked up once.
	hinted int64
	// heard means that the last message told of the store.
	heard bool
	// interrupt ends a long poll for the manifest.
	interrupt chan struct{}
	// longPoll is true while a long poll relies on what is told.
	longPoll bool

	// confirmedAt is the last time at which the manifest in force was certain to be the newest one.
	// newest is the highest version that this instance knows of, and inForce the one in force. They
	// can be read without the lock.
	confirmedAt     atomic.Int64
	newest, inForce atomic.Int64
}

// New returns an empty Mirror. drainTimeout is the time within which a draining server stops
// receiving new requests.
func New(drainTimeout time.Duration) *Mirror {
	m := &Mirror{
		now: bootclock.Now, after: func(d time.Duration, do func()) { time.AfterFunc(d, do) }, drainTimeout: drainTimeout, tells: func() bool { return false }, changed: func() {},
		applyWithin: DefaultApplyWithin,
		check:       checkInterval + rand.N(checkSpread), list: newServerList(func(map[fleet.ServerID]*fleet.Server, Change) {}, drainTimeout/readsPerDrain, max(drainTimeout, fleet.MissingGrace)),
		doubts:   newDoubtChecks(),
		bulletin: fleet.NewBulletin(), interrupt: make(chan struct{}, 1), behind: make(chan struct{}, 1),
	}
	m.list.now, m.list.after = m.timeSinceBoot, m.afterFunc
	m.confirmedAt.Store(int64(-NeverConfirmed))
	return m
}

func (m *Mirror) timeSinceBoot() time.Duration { return m.now() }

func (m *Mirror) afterFunc(d time.Duration, do func()) { m.after(d, do) }

// NeverConfirmed is the age of a confirmation that there has never been, or that isn't told.
const NeverConfirmed = 365 * 24 * time.Hour

// neverRead is the age of a list that isn't told. It fits into the 32 bits that older builds read.
const neverRead = 30 * 24 * time.Hour

// OnServers sets what is called with the usable servers when they change. It must be called before
// the mirror is used.
func (m *Mirror) OnServers(publish func(map[fleet.ServerID]*fleet.Server, Change)) {
	m.list.publish = publish
}

// OnDeferral sets what is called after removals of servers were deferred. It must be called before
// the mirror is used.
func (m *Mirror) OnDeferral(deferred func(Deferral)) { m.list.deferred = deferred }

// SetTeller sets how to find out whether this instance tells the others, and what to call when
// there is something new to tell. It must be called before the mirror is used.
func (m *Mirror) SetTeller(tells func() bool, changed func()) { m.tells, m.changed = tells, changed }

// TellInterval returns the maximum interval between two messages to an instance.
func (m *Mirror) TellInterval() time.Duration { return m.drainTimeout / tellsPerDrain }

// ListDelay returns for how long the server list need not be read.
func (m *Mirror) ListDelay() time.Duration {
	tells := m.tells()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	if tells {
		return m.listRead.readAt + m.drainTimeout/tellerReadsPerDrain - now
	}
	m.checkDue = m.differs || now-m.listRead.readAt >= m.check
	return m.listRead.readIn(now, m.drainTimeout/readsPerDrain, m.check)
}

// ListWait returns the duration of the next long poll for the list. Those that are told have to be
// told in time that the list hasn't changed, too.
func (m *Mirror) ListWait() time.Duration {
	if m.tells() {
		return min(m.drainTimeout/tellerReadsPerDrain, platform.PollWait)
	}
	return platform.PollWait
}

// ListFrom returns where to read the list, given the place that the last read ended at.
func (m *Mirror) ListFrom(at platform.Cursor) platform.Cursor {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.checkDue {
		at.Next = -1
		return at
	}
	if (fleet.Position{Era: at.Era, Offset: at.Next}).Before(m.end) {
		return platform.Cursor{Era: m.end.Era, Next: m.end.Offset}
	}
	return at
}

// ListReadFailed records that a read of this instance failed which was started at a time since boot.
func (m *Mirror) ListReadFailed(started time.Duration) { m.list.readFailed(started) }

// ListRead applies a batch that this instance has read.
func (m *Mirror) ListRead(b platform.ServerListBatch) {
	m.mu.Lock()
	known, end := m.listRead.knownAt, fleet.Position{Era: b.Era, Offset: b.Next}
	if b.AtEnd {
		m.listRead.read(b.CurrentSince)
	}
	if b.Complete && b.Era < m.end.Era {
		m.list.forgetPositions()
	}
	m.list.apply(b, gap{known, max(known, b.CurrentSince), m.listKnown && b.Era != m.end.Era})
	m.end, m.checkDue, m.listKnown = end, false, m.listKnown || b.AtEnd
	if b.Complete {
		m.differs = false
	}
	news := m.bulletin.Update(m.list.listing())
	m.mu.Unlock()
	if news {
		m.changed()
	}
	m.checkDoubts()
}

// ManifestReading is the result of a read of the manifest topic.
type ManifestReading struct {
	// InForce is the version of the manifest in force, and Newest that of the newest one that this
	// instance has read from the store. It is lower if the store has come back from an older copy, or
	// if the manifest in force was received from another instance.
	InForce, Newest int64
	// CurrentSince is a time since boot at which there was no newer manifest, if the read has reached
	// the end of the topic.
	CurrentSince time.Duration
	AtEnd        bool
}

// ManifestRead records that this instance has read the manifest topic.
func (m *Mirror) ManifestRead(r ManifestReading) {
	m.mu.Lock()
	m.manifestRead.read(m.now())
	news := m.setVersion(r.InForce)
	if r.AtEnd && r.Newest >= m.manifestVersion {
		m.confirm(r.CurrentSince)
	}
	m.mu.Unlock()
	if news {
		m.changed()
	}
}

// ManifestFetched records that the manifest in force, with the version, was received from another
// instance.
func (m *Mirror) ManifestFetched(version int64) {
	m.mu.Lock()
	news := m.setVersion(version)
	m.mu.Unlock()
	if news {
		m.changed()
	}
}

// setVersion records the version of the manifest in force, and reports whether it has changed. The
// caller may have looked it up before another one put a newer manifest into force.
func (m *Mirror) setVersion(version int64) bool {
	version = max(version, m.manifestVersion)
	news := version != m.manifestVersion
	m.manifestVersion = version
	m.inForce.Store(version)
	m.newest.Store(max(m.newest.Load(), version))
	return news
}

// confirm records a time at which the manifest in force was the newest one, unless a newer one is known.
func (m *Mirror) confirm(at time.Duration) {
	if m.manifestVersion >= m.hinted && int64(at) > m.confirmedAt.Load() {
		m.confirmedAt.Store(int64(at))
	}
}

// SetConfirmWithin makes the instance read the store so often that, while the store responds, the
// confirmation of the manifest doesn't become older. It must be called before the mirror is used.
func (m *Mirror) SetConfirmWithin(d time.Duration) { m.confirmWithin = d }

// ConfirmationAge returns the time since the manifest in force was last certain to be the newest.
// It is safe to call for each request.
func (m *Mirror) ConfirmationAge() time.Duration {
	return m.now() - time.Duration(m.confirmedAt.Load())
}

// IsBehind reports whether this instance knows of a newer manifest than the one in force. It is safe
// to call for each request.
func (m *Mirror) IsBehind() bool { return m.inForce.Load() < m.newest.Load() }

// Behind returns the channel that is signaled when this instance is told of a newer manifest that it
// can't read.
func (m *Mirror) Behind() <-chan struct{} { return m.behind }

// Knowledge is what an instance that asks for news knows already.
type Knowledge struct {
	// At is the time since boot at which it asks, by its own clock.
	At time.Duration
	// Editions is false if it can't be told of the server list: it knows that by its offset alone, or has
	// to read it itself.
	Editions bool
	// List is the edition of the server list that it was told last, with the digest of its own list.
	List fleet.Edition
	// ListEnd is the position up to which it knows the server list.
	ListEnd fleet.Position
	// ManifestVersion is the highest version of the manifest that it knows of.
	ManifestVersion int64
}

// Known returns what this instance knows.
func (m *Mirror) Known() Knowledge {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := m.told
	list.Digest = m.bulletin.Edition().Digest
	return Knowledge{At: m.now(), Editions: !m.differs, List: list, ListEnd: m.end, ManifestVersion: max(m.manifestVersion, m.hinted)}
}

// Tell returns the news for an instance. held is how long its question was held.
func (m *Mirror) Tell(known Knowledge, held time.Duration) News {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	n := News{
		Held: held, ManifestVersion: m.manifestVersion, ManifestAge: m.manifestRead.age(now), ConfirmationAge: m.ConfirmationAge(),
		List: m.bulletin.Edition(), ListEnd: m.end, ListAge: m.listRead.age(now),
	}
	if !known.Editions || !m.listKnown || m.isBehind(known) {
		// The other one has to read the list itself. An offset alone doesn't say what it lacks.
		n.List, n.ListEnd, n.ListAge = fleet.Edition{}, known.ListEnd, neverRead
		return n
	}
	n.Entries, n.Complete = m.bulletin.Since(known.List)
	return n
}

// isBehind reports whether an instance knows the list further than this one, which then has nothing
// to tell it.
func (m *Mirror) isBehind(known Knowledge) bool { return m.end.Before(known.ListEnd) }

// HasNews reports whether there is something to tell to an instance with this knowledge.
func (m *Mirror) HasNews(known Knowledge) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return known.ManifestVersion < m.manifestVersion || known.Editions && m.listKnown && !m.isBehind(known) && m.bulletin.HasNews(known.List)
}

// Hear applies the news that another instance has told, given what this one knew when it asked.
func (m *Mirror) Hear(n News, known Knowledge) {
	if len(n.Entries) > 0 {
		defer m.checkDoubts()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heard = true
	asked := known.At
	m.hearList(n, known)
	switch n.ManifestVersion {
	case m.manifestVersion:
		m.manifestRead.told(asked, n.Held, n.ManifestAge)
		m.manifestTold.told(asked, n.Held, n.ManifestAge)
		m.confirm(asked + n.Held - n.ConfirmationAge)
	default:
		m.hint(n.ManifestVersion)
	}
}

// hearList applies the news of the server list. They make this copy as fresh as the teller's only if the
// two are the same then; else this instance reads the list itself. A build that tells by offsets alone
// can leave out what this instance lacks.
func (m *Mirror) hearList(n News, known Knowledge) {
	change := Change{Source: SourceInstance, Teller: n.Teller, ListEnd: n.ListEnd, Age: m.now() - (known.At + n.Held - n.ListAge)}
	if n.List.ID == 0 {
		m.list.applyReports(n.Entries, change)
		m.bulletin.Update(m.list.listing())
		return
	}
	if n.ListEnd.Before(m.end) {
		return // this instance has read the list meanwhile
	}
	fresh := m.listRead
	fresh.told(known.At, n.Held, n.ListAge)
	m.list.applyTold(n.Entries, n.Complete, gap{m.listRead.knownAt, fresh.knownAt, m.listKnown && n.ListEnd.Era != m.end.Era}, change)
	m.bulletin.Update(m.list.listing())
	if m.bulletin.Edition().Digest != n.List.Digest {
		m.told, m.differs, m.checkDue = fleet.Edition{}, true, true
		return
	}
	if m.end.Before(n.ListEnd) {
		m.skippedAt = m.now()
	}
	m.listRead, m.told, m.end, m.listKnown = fresh, n.List, n.ListEnd, true
}

// HearOfManifest records that another instance knows a manifest of this version.
func (m *Mirror) HearOfManifest(version int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hint(version)
}

// hint looks up a manifest that is told of, if it is newer than all that are known.
func (m *Mirror) hint(version int64) {
	if version <= max(m.manifestVersion, m.hinted) {
		return
	}
	m.hinted = version
	m.newest.Store(max(m.newest.Load(), m.hinted))
	m.after(hintGrace, m.lookUpHint)
}

// lookUpHint ends a long poll that hasn't returned the manifest that was told of.
func (m *Mirror) lookUpHint() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.manifestVersion < m.hinted {
		m.endLongPoll()
		select {
		case m.behind <- struct{}{}:
		default:
		}
	}
}

// LoseTeller records that the instance that tells the others doesn't respond. What relied on it, a long
// poll or the wait after a read that failed, ends.
func (m *Mirror) LoseTeller() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.heard {
		m.heard = false
		m.endLongPoll()
	}
}

// HearNothing records that the instance that should tell the others tells nothing of the store.
func (m *Mirror) HearNothing() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heard = false
}
