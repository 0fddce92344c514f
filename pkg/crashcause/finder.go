package crashcause

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minCrashes and minRequests are the crashes, and the different requests under which they
	// happened, that a part is blocked after. A single request reaches several servers by its
	// repeats, and is blocked after minCrashes trials.
	minCrashes  = 3
	minRequests = 3
	// ambiguousCrashes is the number of trials from which on several requests that servers have
	// crashed under together are blocked. With fewer, the next crash is to tell them apart.
	ambiguousCrashes = 5
	// certainCrashes is the number of trials from which on a whole request is blocked, however
	// few others are answered. Only repeats of that request are refused then.
	certainCrashes = 6
	// ownCrashes is the number of a part's crashes that no single request explains, from which on
	// the part is to blame.
	ownCrashes = 2
	// chanceOfError is the accepted chance that what is observed happens with a sound part.
	chanceOfError = 1e-4
	// minCopyTrials and minCopyCrashes are the trials, and the crashes in these, after which a whole
	// request is blocked whose copies crash several servers in each trial.
	minCopyTrials  = 2
	minCopyCrashes = 4
	// evidenceTTL is how long a crash counts that a block explains, how long after a crash the
	// others are asked, and how long the answers to all traits are remembered.
	evidenceTTL = time.Minute
	// rareEvidenceTTL is how long a crash counts that nothing explains, after the last crash under one of
	// its traits.
	rareEvidenceTTL = time.Hour
	// blockTime is the duration of the first block. Each further one lasts twice as long, up to
	// maxBlockTime.
	blockTime    = 5 * time.Minute
	maxBlockTime = 2 * time.Hour
	// retrialTime is how long after a block a single crash blocks the trait again.
	retrialTime = rareEvidenceTTL
	// maxCrashes bounds the crashes that are remembered, of which evictedCrashes are forgotten at a
	// time; maxCrashRequests bounds the requests of each, maxToldRequests those told to a new instance,
	// maxBlocks the blocked traits, and maxAnswered the traits whose answers are remembered within
	// an evidenceTTL.
	maxCrashes       = 256
	evictedCrashes   = 16
	maxCrashRequests = 64
	maxToldRequests  = 1 << 13
	maxBlocks        = 256
	maxAnswered      = 1 << 13
)

// Finder finds the traits to block. It is safe for concurrent use.
type Finder struct {
	// blocked maps the blocked traits to the end of their block; nil if there are none.
	blocked atomic.Pointer[map[string]time.Time]

	mu       sync.Mutex
	crashes  map[Server]*crash
	answered *answerLog
	// suspects are the traits of the remembered crashes.
	suspects map[string]*suspect
	blocks   map[string]Block
	// others are the replies of other instances, by trait.
	others map[string]otherAnswers
}

// crash is a Crash as one instance knows it.
type crash struct {
	at       time.Time
	requests map[string]*crashRequest
}

// service returns the service of the server.
func (c *crash) service() string {
	for _, r := range c.requests {
		return r.Service
	}
	return ""
}

// crashRequest is a request that a crashed server was about to answer.
type crashRequest struct {
	LostRequest

	// own is true if it was a request of this instance.
	own bool
}

// otherAnswers is the number of requests that the other instances have answered since a time, as
// heard at another.
type otherAnswers struct {
	since, heardAt time.Time
	answers        int64
}

// NewFinder returns a Finder without evidence.
func NewFinder() *Finder {
	return &Finder{
		crashes: map[Server]*crash{}, answered: newAnswerLog(), suspects: map[string]*suspect{}, blocks: map[string]Block{}, others: map[string]otherAnswers{},
	}
}

// Blocked returns the blocked trait of a request, and false if it has none.
func (f *Finder) Blocked(r Request, now time.Time) (string, bool) {
	blocked := f.blocked.Load()
	if blocked == nil {
		return "", false
	}
	for _, trait := range r.traits() {
		if until, found := (*blocked)[trait]; found && now.Before(until) {
			return trait, true
		}
	}
	return "", false
}

// Answered records that a server has begun to answer a request. It returns the evidence that
// other instances need to know, which is empty unless it ends a block or clears a suspect.
func (f *Finder) Answered(r Request, now time.Time) Evidence {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answered.count(r.Service, now)
	var tell Evidence
	for _, trait := range r.traits() {
		cleared := f.clears(trait, now)
		if f.setAnswered(trait, now) || cleared {
			tell.Answers = append(tell.Answers, Answer{Trait: trait, At: now})
		}
	}
	return tell
}

// Crashed records a crash that this instance has seen.
func (f *Finder) Crashed(c Crash, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addCrash(c, true, now)
}

// Merge adds the evidence of another instance. It returns the traits that are blocked by it, and
// the evidence that speaks against it.
func (f *Finder) Merge(e Evidence, now time.Time) (blocks []Block, tell Evidence) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range e.Answers {
		if a.At.After(f.lastAnswered(a.Trait)) && now.Sub(a.At) < evidenceTTL {
			f.setAnswered(a.Trait, earlier(a.At, now))
		}
	}
	for _, c := range e.Crashes {
		f.addCrash(c, false, now)
	}
	for _, b := range e.Blocks {
		if at := f.lastAnswered(b.Trait); at.After(b.LastCrash) {
			tell.Answers = append(tell.Answers, Answer{Trait: b.Trait, At: at})
			continue
		}
		known, found := f.blocks[b.Trait]
		if found && !b.Until.After(known.Until) || !now.Before(b.Until) || !found && !f.hasRoomForBlock(now) {
			continue
		}
		b.Until = earlier(b.Until, now.Add(maxBlockTime))
		f.blocks[b.Trait] = b
		if !now.Before(known.Until) {
			blocks = append(blocks, b)
		}
	}
	f.publishBlocks(now)
	return blocks, tell
}

// setAnswered records an answer, and reports whether it ends a block, or the trial after it.
func (f *Finder) setAnswered(trait string, at time.Time) bool {
	f.answered.set(trait, at)
	if s := f.suspects[trait]; s != nil {
		s.answeredAt = later(s.answeredAt, at)
	}
	b, found := f.blocks[trait]
	if !found || !at.After(b.LastCrash) {
		return false
	}
	delete(f.blocks, trait)
	f.publishBlocks(at)
	return true
}

// Evidence returns what this instance knows, for one that has just started: what tells most if it is much.
func (f *Finder) Evidence(now time.Time) Evidence {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expire(now)
	var e Evidence
	weight, told := f.weights(), 0
	for _, server := range f.byWeight(weight) {
		c := f.crashes[server]
		if told += len(c.requests); told > maxToldRequests {
			break
		}
		known := Crash{Server: server, At: c.at}
		for _, r := range c.requests {
			known.Requests = append(known.Requests, r.LostRequest)
		}
		e.Crashes = append(e.Crashes, known)
	}
	for _, b := range f.blocks {
		if now.Before(b.Until) {
			e.Blocks = append(e.Blocks, b)
		}
	}
	return e
}

func (f *Finder) addCrash(c Crash, own bool, now time.Time) {
	if now.Sub(c.At) > maxEvidenceAge {
		return
	}
	known := f.crashes[c.Server]
	if known == nil {
		if len(f.crashes) >= maxCrashes {
			f.evict()
		}
		known = &crash{at: c.At, requests: map[string]*crashRequest{}}
		f.crashes[c.Server] = known
	}
	known.at = earlier(known.at, c.At)
	for _, r := range c.Requests {
		key := r.key()
		if known.requests[key] == nil && len(known.requests) < maxCrashRequests {
			known.requests[key] = &crashRequest{LostRequest: r}
			f.suspect(r.Request, c.At)
		}
		if lost := known.requests[key]; lost != nil {
			lost.own = lost.own || own
			lost.SentAt = later(lost.SentAt, r.SentAt)
		}
	}
}

// expire removes what is too old to count.
func (f *Finder) expire(now time.Time) {
	f.expireCrashes(now)
	maps.DeleteFunc(f.others, func(_ string, o otherAnswers) bool { return now.Sub(o.heardAt) > evidenceTTL })
	maps.DeleteFunc(f.blocks, func(_ string, b Block) bool { return now.Sub(b.Until) > retrialTime })
}

// Reply replies to the questions of another instance.
func (f *Finder) Reply(questions []Question, now time.Time) []Reply {
	f.mu.Lock()
	defer f.mu.Unlock()
	replies := make([]Reply, 0, len(questions))
	for _, q := range questions {
		replies = append(replies, Reply{Trait: q.Trait, Answers: f.answered.since(q.Service, q.Since, now), AnsweredAt: f.lastAnswered(q.Trait)})
	}
	return replies
}

// Hear records the replies of the other instances to questions.
func (f *Finder) Hear(questions []Question, replies []Reply, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, q := range questions {
		heard := otherAnswers{since: q.Since, heardAt: now}
		for _, r := range replies {
			if r.Trait != q.Trait {
				continue
			}
			heard.answers += max(r.Answers, 0)
			if r.AnsweredAt.After(f.lastAnswered(q.Trait)) {
				f.setAnswered(q.Trait, r.AnsweredAt)
			}
		}
		f.others[q.Trait] = heard
	}
}

// publishBlocks publishes the blocked parts for Blocked.
func (f *Finder) publishBlocks(now time.Time) {
	blocked := map[string]time.Time{}
	for trait, b := range f.blocks {
		if now.Before(b.Until) {
			blocked[trait] = b.Until
		}
	}
	if len(blocked) == 0 {
		f.blocked.Store(nil)
		return
	}
	f.blocked.Store(&blocked)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
