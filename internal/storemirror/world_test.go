package storemirror

import (
	"fmt"
	"slices"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

const (
	worldTick = 50 * time.Millisecond
	// contactTime is how long an instance, and the store, must have been undisturbed for the
	// instance to be bound by what the store has acknowledged.
	contactTime = 3 * time.Second
	// heartbeat is the interval at which servers write to the list. Their entries expire after
	// entryExpiry without.
	heartbeat   = 1200 * time.Millisecond
	entryExpiry = 3 * heartbeat
	// callTimeout is the time after which a call that isn't answered fails, in addition to its long
	// poll, and askTimeout that of a question to the teller.
	callTimeout = 600 * time.Millisecond
	askTimeout  = 1500 * time.Millisecond
	// readRetryDelay and maxReadRetryDelay are the delays after reads that failed.
	readRetryDelay    = 250 * time.Millisecond
	maxReadRetryDelay = time.Second
	askRetryDelay     = 200 * time.Millisecond
)

// world is a store, the servers that write to its server list, and instances that read it or are told
// of it, in virtual time. Faults are set from outside.
type world struct {
	now       time.Duration
	store     worldStore
	servers   []*worldServer
	instances []*worldInstance
	// teller is the instance that tells the others; -1 if none does.
	teller int
	timers []timer
	// grace is how long instances that don't tell the others wait before they check a server.
	grace time.Duration
	// changesOnly means that a report in which nothing but the sequence changes leaves no record.
	changesOnly bool
	// late are reports that the store writes once more.
	late []lateReport
}

type lateReport struct {
	at     time.Duration
	server *worldServer
	report fleet.Server
}

// worldStore is the store's server list.
type worldStore struct {
	era int64
	log []fleet.Entry
	// retained is the first offset whose record hasn't been dropped.
	retained int
	// lengths are the lengths of the list at past ticks, newest last.
	lengths []int
	// awayUntil is until when the store serves nobody, and disturbedUntil when its last disturbance
	// ended or will end.
	awayUntil, disturbedUntil time.Duration
	// lapses means that entries expire while the store is away.
	lapses bool
}

// worldServer is one incarnation of a server.
type worldServer struct {
	id                  fleet.ServerID
	startedAt, sequence int64
	draining, gone      bool
	// removes means that the server, which is gone, removes its entry itself at removeAt.
	removes  bool
	removeAt time.Duration
	nextBeat time.Duration
	written  time.Duration
	// boundFrom is when the store had acknowledged, while it was stable, that the server leaves; 0
	// if it hasn't.
	boundFrom time.Duration
	// listedAt is when the store listed it last, after it hadn't; 0 while it doesn't.
	listedAt time.Duration
	// relisted means that a report from before it left was written afterwards.
	relisted bool
	// leftBy is the position after the record by which it was known to leave first.
	leftBy fleet.Position
}

type worldInstance struct {
	m *Mirror
	// former is set for an instance of a build that tells by offsets alone.
	former *formerBulletin
	used   map[fleet.ServerID]*fleet.Server
	// wasUsed are the incarnations of servers that this process has used, and withdrawn those of
	// leaving servers that it has ceased to use.
	wasUsed, withdrawn map[string]bool

	cursor    platform.Cursor
	recovered bool
	retry     time.Duration
	nextRead  time.Duration
	waits     bool
	poll      *worldPoll

	ask     *worldAsk
	nextAsk time.Duration

	// The faults: until when the store rejects this instance or, if hangs is true, doesn't answer
	// it; answers it late; the instance is paused; it doesn't reach others.
	rejectedUntil, slowUntil, pausedUntil, cutUntil time.Duration
	hangs                                           bool
	// disturbedUntil is when the last fault of the instance or of its way to the store has ended.
	disturbedUntil time.Duration
}

// worldPoll is a read of the list in progress.
type worldPoll struct {
	started, wait time.Duration
	at            platform.Cursor
	// end is the end of the list when the read was started.
	end int64
	// dead means that it won't be answered, and batch is the answer that arrives at arrives.
	dead    bool
	batch   *platform.ServerListBatch
	arrives time.Duration
}

// worldAsk is a question to the teller in progress.
type worldAsk struct {
	asked   time.Duration
	teller  int
	known   Knowledge
	news    *News
	arrives time.Duration
}

func newWorld(instances, servers int) *world {
	w := &world{now: time.Hour, store: worldStore{era: 1}}
	for n := range servers {
		w.startServer(fleet.ServerID(fmt.Sprint("s", n)))
	}
	for range instances {
		w.instances = append(w.instances, &worldInstance{})
		w.restart(len(w.instances) - 1)
	}
	return w
}

// restart starts an instance's process anew.
func (w *world) restart(i int) {
	former := w.instances[i].former != nil
	p := &worldInstance{m: New(drainTimeout), wasUsed: map[string]bool{}, withdrawn: map[string]bool{}, cursor: platform.Cursor{Next: -1}, disturbedUntil: w.now}
	p.m.now = func() time.Duration { return w.now }
	p.m.after = func(d time.Duration, do func()) { w.timers = append(w.timers, timer{w.now + d, do}) }
	p.m.SetTeller(func() bool { return w.teller == i }, func() {})
	p.m.OnServers(func(servers map[fleet.ServerID]*fleet.Server, _ Change) { p.used = servers })
	checks := newDoubtChecks().DoubtChecks
	checks.Check = func(s *fleet.Server, result func(bool)) {
		running := slices.ContainsFunc(w.servers, func(o *worldServer) bool {
			return o.id == s.ID && o.startedAt == s.StartedAt && !o.gone && !o.draining
		})
		w.timers = append(w.timers, timer{w.now + worldTick, func() { result(running) }})
	}
	checks.Grace = func() time.Duration { return w.grace }
	p.m.SetDoubtChecks(checks)
	w.instances[i] = p
	if former {
		p.former = newFormerBulletin()
	}
}

func (w *world) startServer(id fleet.ServerID) {
	for _, s := range w.servers {
		if s.id == id {
			s.gone, s.removes = true, false
		}
	}
	w.servers = append(w.servers, &worldServer{id: id, startedAt: int64(w.now/time.Millisecond) + int64(len(w.servers)), nextBeat: w.now})
}

// bound records that the store acknowledges now that a server leaves.
func (w *world) bound(s *worldServer) {
	if s.boundFrom == 0 {
		s.boundFrom = max(w.now, w.store.disturbedUntil+contactTime)
		s.leftBy = fleet.Position{Era: w.store.era, Offset: int64(len(w.store.log))}
	}
}

func (w *world) append(e fleet.Entry) {
	e.At = fleet.Position{Era: w.store.era, Offset: int64(len(w.store.log))}
	w.store.log = append(w.store.log, e)
}

// newest returns the newest record of each server.
func (s *worldStore) newest() map[fleet.ServerID]fleet.Entry {
	out := map[fleet.ServerID]fleet.Entry{}
	for _, e := range s.log {
		out[e.ID] = e
	}
	return out
}

// lists reports whether the entry is that of an incarnation of a server.
func lists(e fleet.Entry, s *worldServer) bool {
	return e.Server != nil && e.Server.StartedAt == s.startedAt
}

// lapse removes the entries that have expired while the store was away. Their servers register again within two
// seconds.
func (w *world) lapse() {
	newest := w.store.newest()
	for n, s := range w.servers {
		if lists(newest[s.id], s) && w.now-s.written >= entryExpiry {
			w.append(fleet.Entry{ID: s.id, Removed: true})
			s.nextBeat, s.listedAt = w.now+time.Duration(n%4)*heartbeat/4, 0
			if s.gone {
				w.bound(s)
				s.removes = false
			}
		}
	}
	w.store.lapses = false
}

// write lets a server write a report.
func (w *world) write(s *worldServer, newest fleet.Entry) {
	s.sequence++
	s.nextBeat, s.written = w.now+heartbeat, w.now
	if w.changesOnly && lists(newest, s) && newest.Server.Draining == s.draining {
		return
	}
	if !lists(newest, s) {
		s.listedAt = w.now
	}
	w.append(fleet.Entry{ID: s.id, Server: s.report()})
	if s.draining {
		w.bound(s)
	}
}

// report returns the report of a server now.
func (s *worldServer) report() *fleet.Server {
	return &fleet.Server{ID: s.id, Service: "s", Address: "10.0.0.1:1", Slots: 8, StartedAt: s.startedAt, Sequence: s.sequence, Draining: s.draining}
}

func (w *world) writeServers() {
	if w.now < w.store.awayUntil {
		return
	}
	if w.store.lapses {
		w.lapse()
	}
	w.late = slices.DeleteFunc(w.late, func(l lateReport) bool {
		if l.at > w.now {
			return false
		}
		w.append(fleet.Entry{ID: l.server.id, Server: &l.report})
		l.server.written, l.server.relisted = w.now, l.server.relisted || l.server.gone
		return true
	})
	newest := w.store.newest()
	for _, s := range w.servers {
		listed := lists(newest[s.id], s)
		if !listed {
			s.listedAt = 0
		}
		switch {
		case s.gone && listed && (s.removes && w.now >= s.removeAt || w.now-s.written >= entryExpiry):
			w.append(fleet.Entry{ID: s.id, Removed: true})
			w.bound(s)
			s.removes = false
		case s.gone && !listed && newest[s.id].Server != nil:
			w.bound(s) // another incarnation has replaced it
		case !s.gone && w.now >= s.nextBeat:
			w.write(s, newest[s.id])
		case !s.gone && listed && w.now-s.written >= entryExpiry:
			w.append(fleet.Entry{ID: s.id, Removed: true})
			s.listedAt = 0
		}
	}
}

// goBack lets the store come back from a copy of some time ago, in another era.
func (w *world) goBack(age, away time.Duration) {
	past := max(len(w.store.lengths)-1-int(age/worldTick), 0)
	w.store.log = slices.Clone(w.store.log[:w.store.lengths[past]])
	w.store.lengths = w.store.lengths[:past+1]
	w.store.retained = min(w.store.retained, len(w.store.log))
	w.store.era++
	for i := range w.store.log {
		w.store.log[i].At.Era = w.store.era
	}
	w.outage(away)
	newest := w.store.newest()
	for _, s := range w.servers {
		if e := newest[s.id]; lists(e, s) && !e.Server.Draining && s.boundFrom != 0 {
			// It isn't known to leave until that is written again.
			s.boundFrom, s.removes, s.removeAt = 0, s.gone, w.store.awayUntil+heartbeat
		}
	}
}

func (w *world) outage(away time.Duration) {
	w.store.awayUntil = max(w.store.awayUntil, w.now+away)
	w.store.disturbedUntil = max(w.store.disturbedUntil, w.store.awayUntil)
}

// read returns what the store answers at a place; errTrimmed if it doesn't have that.
func (s *worldStore) read(at platform.Cursor) (platform.ServerListBatch, error) {
	b := platform.ServerListBatch{Next: int64(len(s.log)), Era: s.era, AtEnd: true}
	if at.Next < 0 {
		b.Complete = true
		for _, e := range s.newest() {
			if !e.Removed {
				b.Entries = append(b.Entries, e)
			}
		}
		return b, nil
	}
	if at.Next < int64(s.retained) || at.Next > b.Next {
		return b, platform.ErrTrimmed
	}
	b.Entries = slices.Clone(s.log[at.Next:])
	return b, nil
}

// run lets time pass until check fails, and returns its failure.
func (w *world) run(d time.Duration, check func() error) error {
	for end := w.now + d; w.now < end; {
		w.now += worldTick
		w.store.lengths = append(w.store.lengths, len(w.store.log))
		w.writeServers()
		for i, p := range w.instances {
			if w.now >= p.pausedUntil {
				w.readList(p)
				w.askTeller(i, p)
			}
			if p.former != nil {
				p.former.Update(p.m.list.listing(), p.m.end.Offset)
			}
		}
		w.runTimers()
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) runTimers() {
	timers := w.timers
	w.timers = nil
	for _, t := range timers {
		if t.at <= w.now {
			t.do()
		} else {
			w.timers = append(w.timers, t)
		}
	}
}

// readList plays the loop of platform.Store.Follow.
func (w *world) readList(p *worldInstance) {
	if p.poll == nil {
		if w.now < p.nextRead || p.waits && p.m.ListDelay() > 0 {
			return
		}
		p.poll = &worldPoll{started: w.now, wait: p.m.ListWait(), at: p.cursor, end: int64(len(w.store.log))}
		if p.recovered {
			p.poll.wait = 0
		}
		if p.cursor.Next >= 0 {
			p.poll.at = p.m.ListFrom(p.cursor)
		}
	}
	poll := p.poll
	away := w.now < w.store.awayUntil || w.now < p.rejectedUntil
	switch {
	case poll.batch != nil && w.now < poll.arrives:
	case poll.batch != nil:
		w.deliver(p)
	case poll.dead || away:
		poll.dead = true
		if !p.hangs || w.now >= poll.started+poll.wait+callTimeout {
			w.failRead(p)
		}
	default:
		batch, err := w.store.read(poll.at)
		if err != nil {
			poll.at.Next = -1
			batch, _ = w.store.read(poll.at)
		}
		if len(batch.Entries) == 0 && !batch.Complete && w.now < poll.started+poll.wait {
			return
		}
		poll.batch, poll.arrives = &batch, w.now
		switch {
		case w.now >= p.slowUntil:
		case batch.Complete && w.now < poll.started+callTimeout/2:
			poll.batch = nil // its last page is still to come
		case batch.Complete:
			// The pages aren't a snapshot: the end is that of the first one.
			batch.Next = min(batch.Next, poll.end)
		default:
			poll.arrives += callTimeout / 2
		}
	}
}

func (w *world) failRead(p *worldInstance) {
	p.m.ListReadFailed(p.poll.started)
	p.poll, p.recovered, p.waits = nil, true, true
	p.retry = min(max(p.retry*3/2, readRetryDelay), maxReadRetryDelay)
	p.nextRead = w.now + p.retry
}

func (w *world) deliver(p *worldInstance) {
	b, poll := p.poll.batch, p.poll
	at, err := poll.at.Advance(platform.Batch{Next: b.Next, Era: b.Era, Complete: b.Complete})
	if err != nil {
		p.poll = &worldPoll{started: w.now, at: platform.Cursor{Era: poll.at.Era, Next: -1}, end: int64(len(w.store.log))}
		return
	}
	b.CurrentSince = poll.started
	if len(b.Entries) == 0 && w.now >= poll.started+poll.wait {
		b.CurrentSince += poll.wait
	}
	p.poll, p.cursor, p.recovered, p.retry, p.waits = nil, at, false, 0, len(b.Entries) > 0
	p.m.ListRead(*b)
}

// askTeller plays the loop in which instances follow the holder.
func (w *world) askTeller(i int, p *worldInstance) {
	if w.teller < 0 || w.teller == i {
		p.ask = nil
		return
	}
	teller := w.instances[w.teller]
	if p.ask == nil {
		if w.now >= p.nextAsk {
			p.ask = &worldAsk{asked: w.now, teller: w.teller, known: p.m.Known()}
		}
		return
	}
	ask := p.ask
	reached := w.now >= teller.pausedUntil && w.now >= teller.cutUntil && w.now >= p.cutUntil
	switch {
	case ask.teller != w.teller || ask.news == nil && w.now-ask.asked >= askTimeout:
		p.ask, p.nextAsk = nil, w.now+askRetryDelay
	case ask.news != nil && w.now >= ask.arrives:
		p.m.Hear(*ask.news, ask.known)
		p.ask = nil
	case ask.news == nil && reached && (teller.m.HasNews(ask.known) || w.now-ask.asked >= p.m.TellInterval()):
		news := teller.m.Tell(ask.known, w.now-ask.asked)
		if teller.former != nil {
			news = teller.former.tell(news, ask.known)
		}
		ask.news, ask.arrives = &news, w.now
		if w.now < p.slowUntil {
			ask.arrives += askTimeout / 2
		}
	}
}

// disturb records that a fault of an instance lasts until some time.
func (p *worldInstance) disturb(until *time.Duration, end time.Duration) {
	*until = max(*until, end)
	p.disturbedUntil = max(p.disturbedUntil, end)
}
