package crashcause

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minCrashes and minPrompts are the crashes, and the different prompts under which they
	// happened, that a part is blocked after. A single request reaches several servers by its
	// repeats.
	minCrashes = 3
	minPrompts = 3
	// chanceOfError is the accepted chance that what is observed happens with a sound part.
	chanceOfError = 1e-4
	// evidenceTTL is how long a crash counts, and how long answers are remembered.
	evidenceTTL = time.Minute
	// blockTime is the duration of the first block. Each further one lasts twice as long, up to
	// maxBlockTime.
	blockTime    = 5 * time.Minute
	maxBlockTime = 2 * time.Hour
	// retrialTime is how long after a block a single crash blocks the part again.
	retrialTime = 10 * time.Minute
	// maxCrashes bounds the crashes that are remembered, maxCrashPrompts the prompts of each,
	// maxBlocks the blocked parts, and maxAnswered the parts whose answers are remembered within
	// an evidenceTTL.
	maxCrashes      = 256
	maxCrashPrompts = 64
	maxBlocks       = 256
	maxAnswered     = 1 << 13
)

// Finder finds the parts to block. It is safe for concurrent use.
type Finder struct {
	// blocked maps the blocked parts to the end of their block; nil if there are none.
	blocked atomic.Pointer[map[string]time.Time]

	mu       sync.Mutex
	crashes  map[Server]*crash
	answered *answerLog
	blocks   map[string]Block
	// others are the replies of other instances, by part.
	others map[string]otherAnswers
}

// crash is a Crash as one instance knows it.
type crash struct {
	at      time.Time
	prompts map[string]*crashPrompt
}

// crashPrompt is the prompt of a request that a crashed server was about to answer.
type crashPrompt struct {
	Prompt

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
	return &Finder{crashes: map[Server]*crash{}, answered: newAnswerLog(), blocks: map[string]Block{}, others: map[string]otherAnswers{}}
}

// Blocked returns the blocked part of a prompt, and false if it has none.
func (f *Finder) Blocked(p Prompt, now time.Time) (string, bool) {
	blocked := f.blocked.Load()
	if blocked == nil {
		return "", false
	}
	for _, part := range p.shared() {
		if until, found := (*blocked)[part]; found && now.Before(until) {
			return part, true
		}
	}
	return "", false
}

// Answered records that a server has begun to answer a request. It returns the evidence that
// other instances need to know, which is empty unless it ends a block.
func (f *Finder) Answered(p Prompt, now time.Time) Evidence {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answered.count(now)
	var tell Evidence
	for _, part := range p.shared() {
		if f.setAnswered(part, now) {
			tell.Answers = append(tell.Answers, Answer{Part: part, At: now})
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

// Merge adds the evidence of another instance. It returns the parts that are blocked by it, and
// the evidence that speaks against it.
func (f *Finder) Merge(e Evidence, now time.Time) (blocks []Block, tell Evidence) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range e.Answers {
		if a.At.After(f.answered.last(a.Part)) && now.Sub(a.At) < evidenceTTL {
			f.setAnswered(a.Part, earlier(a.At, now))
		}
	}
	for _, c := range e.Crashes {
		f.addCrash(c, false, now)
	}
	for _, b := range e.Blocks {
		if at := f.answered.last(b.Part); at.After(b.LastCrash) {
			tell.Answers = append(tell.Answers, Answer{Part: b.Part, At: at})
			continue
		}
		known, found := f.blocks[b.Part]
		if found && !b.Until.After(known.Until) || !now.Before(b.Until) || len(f.blocks) >= maxBlocks && !found {
			continue
		}
		b.Until = earlier(b.Until, now.Add(maxBlockTime))
		f.blocks[b.Part] = b
		if !now.Before(known.Until) {
			blocks = append(blocks, b)
		}
	}
	f.publishBlocks(now)
	return blocks, tell
}

// setAnswered records an answer, and reports whether it ends a block.
func (f *Finder) setAnswered(part string, at time.Time) bool {
	f.answered.set(part, at)
	b, found := f.blocks[part]
	if !found || !at.After(b.LastCrash) {
		return false
	}
	delete(f.blocks, part)
	f.publishBlocks(at)
	return at.Before(b.Until)
}

// Evidence returns all that this instance knows, for one that has just started.
func (f *Finder) Evidence(now time.Time) Evidence {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expire(now)
	var e Evidence
	for server, c := range f.crashes {
		known := Crash{Server: server, At: c.at}
		for _, p := range c.prompts {
			known.Prompts = append(known.Prompts, p.Prompt)
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
	if now.Sub(c.At) > evidenceTTL {
		return
	}
	known := f.crashes[c.Server]
	if known == nil {
		if len(f.crashes) >= maxCrashes {
			return
		}
		known = &crash{at: c.At, prompts: map[string]*crashPrompt{}}
		f.crashes[c.Server] = known
	}
	known.at = earlier(known.at, c.At)
	for _, p := range c.Prompts {
		key := p.key()
		if known.prompts[key] == nil && len(known.prompts) < maxCrashPrompts {
			known.prompts[key] = &crashPrompt{Prompt: p}
		}
		if own && known.prompts[key] != nil {
			known.prompts[key].own = true
		}
	}
}

// expire removes what is too old to count.
func (f *Finder) expire(now time.Time) {
	maps.DeleteFunc(f.crashes, func(_ Server, c *crash) bool { return now.Sub(c.at) > evidenceTTL })
	maps.DeleteFunc(f.others, func(_ string, o otherAnswers) bool { return now.Sub(o.heardAt) > evidenceTTL })
	maps.DeleteFunc(f.blocks, func(_ string, b Block) bool { return now.Sub(b.Until) > retrialTime })
}

// partEvidence is what speaks against one part: the crashes under it since it was last answered.
type partEvidence struct {
	part string
	// depth is the position of the part in prompts. Later parts are more specific.
	depth   int
	crashes map[Server]bool
	prompts map[string]bool
	// last is the time of the last of the crashes.
	last time.Time
	// own is true if a request of this instance is among them.
	own bool
}

// evidence returns what speaks against each part, the most specific part first, and the mean
// number of prompts under which a server has crashed.
func (f *Finder) evidence() ([]*partEvidence, float64) {
	parts, prompts := map[string]*partEvidence{}, 0
	for server, c := range f.crashes {
		prompts += len(c.prompts)
		for key, p := range c.prompts {
			for depth, part := range p.shared() {
				if c.at.After(f.answered.last(part)) {
					addEvidence(parts, part, depth).add(server, c.at, key, p.own)
				}
			}
		}
	}
	return slices.SortedFunc(maps.Values(parts), func(a, b *partEvidence) int {
		return cmp.Or(cmp.Compare(b.depth, a.depth), cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(a.part, b.part))
	}), float64(prompts) / float64(max(len(f.crashes), 1))
}

func addEvidence(parts map[string]*partEvidence, part string, depth int) *partEvidence {
	e := parts[part]
	if e == nil {
		e = &partEvidence{part: part, crashes: map[Server]bool{}, prompts: map[string]bool{}}
		parts[part] = e
	}
	e.depth = max(e.depth, depth)
	return e
}

func (e *partEvidence) add(server Server, at time.Time, prompt string, own bool) {
	e.crashes[server], e.prompts[prompt], e.own = true, true, e.own || own
	e.last = later(e.last, at)
}

// recurs reports whether servers have crashed under the part often enough to block it. again
// means that the part was blocked before.
func (e *partEvidence) recurs(again bool) bool {
	if again {
		return len(e.crashes) > 0
	}
	return len(e.crashes) >= minCrashes && len(e.prompts) >= minPrompts
}

// Decide blocks the parts against which there is enough evidence, and returns them, if requests
// of this instance are among those under which servers crashed. It also returns the questions to
// the other instances whose replies may lead to further blocks.
func (f *Finder) Decide(now time.Time) (blocks []Block, questions []Question) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expire(now)
	all, promptsPerCrash := f.evidence()
	explained := map[Server]bool{}
	for _, e := range all {
		maps.DeleteFunc(e.crashes, func(s Server, _ bool) bool { return explained[s] })
		before, found := f.blocks[e.part]
		if now.Before(before.Until) {
			maps.Copy(explained, e.crashes)
			continue
		}
		if !e.recurs(found) || len(f.blocks) >= maxBlocks && !found {
			continue
		}
		maps.Copy(explained, e.crashes)
		if !e.own {
			continue // an instance whose requests crashed the servers decides
		}
		since := f.answered.last(e.part)
		answers := f.answered.since(since, now)
		if others, heard := f.others[e.part]; heard && others.since.Equal(since) {
			answers += others.answers
		}
		if chanceIfSound(len(e.crashes), len(f.crashes), promptsPerCrash, answers) > chanceOfError {
			questions = append(questions, Question{Part: e.part, Since: since})
			continue
		}
		b := Block{
			Part: e.part, Blocks: before.Blocks + 1, Crashes: len(e.crashes), LastCrash: e.last,
			Until: now.Add(min(blockTime<<min(before.Blocks, maxBlockDoublings), maxBlockTime)),
		}
		f.blocks[e.part] = b
		blocks = append(blocks, b)
	}
	f.publishBlocks(now)
	return blocks, questions
}

// maxBlockDoublings bounds how often the duration of a block doubles.
const maxBlockDoublings = 8

// Reply replies to the questions of another instance.
func (f *Finder) Reply(questions []Question, now time.Time) []Reply {
	f.mu.Lock()
	defer f.mu.Unlock()
	replies := make([]Reply, 0, len(questions))
	for _, q := range questions {
		replies = append(replies, Reply{Part: q.Part, Answers: f.answered.since(q.Since, now), AnsweredAt: f.answered.last(q.Part)})
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
			if r.Part != q.Part {
				continue
			}
			heard.answers += max(r.Answers, 0)
			if r.AnsweredAt.After(f.answered.last(q.Part)) {
				f.setAnswered(q.Part, r.AnsweredAt)
			}
		}
		f.others[q.Part] = heard
	}
}

// publishBlocks publishes the blocked parts for Blocked.
func (f *Finder) publishBlocks(now time.Time) {
	blocked := map[string]time.Time{}
	for part, b := range f.blocks {
		if now.Before(b.Until) {
			blocked[part] = b.Until
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
