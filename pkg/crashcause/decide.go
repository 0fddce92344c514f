package crashcause

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// servers is a set of crashed servers.
type servers map[Server]bool

// without returns the number of servers that aren't in another set.
func (s servers) without(other servers) int {
	n := 0
	for server := range s {
		if !other[server] {
			n++
		}
	}
	return n
}

func (s servers) equal(other servers) bool { return len(s) == len(other) && s.without(other) == 0 }

// traitEvidence is what speaks against one trait: the crashes under it since it was last answered.
type traitEvidence struct {
	trait   string
	service string
	// depth is the position of a part in prompts. Later parts are more specific.
	depth    int
	crashes  servers
	requests map[string]bool
	// trials is the number of the crashes under a request that was sent after the crash before.
	// Servers that crash at one moment, with copies of a request that were sent before, are one
	// trial.
	trials int
	// recentTrials is the number of these within an evidenceTTL.
	recentTrials int
	// example is one of the requests; the only one of a whole request.
	example Request
	// first and last are the times of the first and the last of the crashes.
	first, last time.Time
	// own is true if a request of this instance is among them.
	own bool
}

// serviceCrashes are all crashes of a service's servers.
type serviceCrashes struct {
	// crashes is their number, and requests the sum of the requests under which they happened.
	crashes, requests int
	// wholes is the number of different whole requests among these.
	wholes int
}

// evidence returns what speaks against each trait that may lead to a decision.
func (f *Finder) evidence(now time.Time) []*traitEvidence {
	traits := map[string]*traitEvidence{}
	inOrder := slices.SortedFunc(maps.Keys(f.crashes), func(a, b Server) int { return f.crashes[a].at.Compare(f.crashes[b].at) })
	for _, server := range inOrder {
		c := f.crashes[server]
		service := c.service()
		for key, r := range c.requests {
			for depth, trait := range r.traits() {
				if f.mayMatter(trait) && c.at.After(f.lastAnswered(trait)) {
					addEvidence(traits, trait, service, depth).add(server, c.at, key, r, now)
				}
			}
		}
	}
	return slices.Collect(maps.Values(traits))
}

// crashesSince returns the crashes of a service since a time.
func (f *Finder) crashesSince(service string, since time.Time) serviceCrashes {
	var all serviceCrashes
	wholes := map[string]bool{}
	for _, c := range f.crashes {
		if c.service() != service || c.at.Before(since) {
			continue
		}
		all.crashes++
		all.requests += len(c.requests)
		for _, r := range c.requests {
			if whole := r.whole(); whole != "" && c.at.After(f.lastAnswered(whole)) {
				wholes[whole] = true
			}
		}
	}
	all.wholes = len(wholes)
	return all
}

func addEvidence(traits map[string]*traitEvidence, trait, service string, depth int) *traitEvidence {
	e := traits[trait]
	if e == nil {
		e = &traitEvidence{trait: trait, service: service, crashes: servers{}, requests: map[string]bool{}}
		traits[trait] = e
	}
	e.depth = max(e.depth, depth)
	return e
}

// add adds a request of the next crash in the order of time.
func (e *traitEvidence) add(server Server, at time.Time, key string, r *crashRequest, now time.Time) {
	if len(e.crashes) == 0 || !r.SentAt.Before(e.last) {
		e.trials++
		if now.Sub(at) <= evidenceTTL {
			e.recentTrials++
		}
	}
	if len(e.crashes) == 0 {
		e.first = at
	}
	e.crashes[server], e.requests[key], e.own, e.example = true, true, e.own || r.own, r.Request
	e.last = later(e.last, at)
}

// decision is one run of Decide.
type decision struct {
	*Finder

	now time.Time
	// parts are all that crashes happened under, and wholes the whole requests to decide on.
	parts, wholes []*traitEvidence
	// explained are the crashes of traits that are blocked or about to be, and byWhole those of
	// each whole request among these.
	explained servers
	byWhole   []servers
	newBlocks []Block
	questions []Question
}

// Decide blocks the traits against which there is enough evidence, and returns them, if requests
// of this instance are among those under which servers crashed. It also returns the questions to
// the other instances whose replies may lead to further blocks.
func (f *Finder) Decide(now time.Time) ([]Block, []Question) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expire(now)
	d := &decision{Finder: f, now: now, explained: servers{}}
	for _, e := range f.evidence(now) {
		whole, blocked := IsWhole(e.trait), d.isBlocked(e)
		_, again := d.blocks[e.trait]
		switch {
		case !whole:
			d.parts = append(d.parts, e)
		case !blocked && (again || e.trials >= minCrashes || e.crashedUnderCopies()):
			d.wholes = append(d.wholes, e)
		}
		if blocked {
			d.explain(e.crashes, whole)
		}
	}
	d.decideWholes()
	d.decideParts()
	f.publishBlocks(now)
	return d.newBlocks, d.questions
}

func (d *decision) isBlocked(e *traitEvidence) bool { return d.now.Before(d.blocks[e.trait].Until) }

// explain records that the crashes have an explanation.
func (d *decision) explain(crashes servers, whole bool) {
	maps.Copy(d.explained, crashes)
	if whole {
		d.byWhole = append(d.byWhole, crashes)
	}
}

// decideWholes decides on whole requests, those with the most crashes first.
func (d *decision) decideWholes() {
	slices.SortFunc(d.wholes, func(a, b *traitEvidence) int {
		return cmp.Or(cmp.Compare(len(b.crashes), len(a.crashes)), strings.Compare(a.trait, b.trait))
	})
	for left := d.wholes; len(left) > 0; {
		var together, others []*traitEvidence
		for _, e := range left {
			if e.crashes.equal(left[0].crashes) {
				together = append(together, e)
			} else {
				others = append(others, e)
			}
		}
		d.decideTogether(together)
		left = others
	}
}

// decideTogether decides on whole requests that the same servers have crashed under.
func (d *decision) decideTogether(wholes []*traitEvidence) {
	crashes := wholes[0].crashes
	unexplained := crashes.without(d.explained)
	explains := false
	for _, e := range wholes {
		before, again := d.blocks[e.trait]
		switch {
		case unexplained == 0:
			continue
		case again: // one crash is enough
		case e.trials <= minCrashes && unexplained < minCrashes:
			continue // other traits explain some of them
		case e.trials < ambiguousCrashes && d.hasRivalPart(e):
			continue
		}
		explains = true
		if again || len(wholes) == 1 || e.trials >= ambiguousCrashes {
			d.block(e, before, again || d.isCertain(e))
		}
	}
	if explains {
		d.explain(crashes, true)
	}
}

// hasRivalPart reports whether a part that the request doesn't have may explain its crashes.
func (d *decision) hasRivalPart(e *traitEvidence) bool {
	return slices.ContainsFunc(d.parts, func(part *traitEvidence) bool {
		return len(part.requests) >= minRequests && !e.example.Has(part.trait) && e.crashes.without(part.crashes) == 0
	})
}

// decideParts decides on parts of prompts, the most specific ones first.
func (d *decision) decideParts() {
	slices.SortFunc(d.parts, func(a, b *traitEvidence) int {
		return cmp.Or(cmp.Compare(b.depth, a.depth), cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(a.trait, b.trait))
	})
	explained := servers{}
	for _, e := range d.parts {
		if slices.ContainsFunc(d.byWhole, func(w servers) bool { return e.crashes.without(w) < ownCrashes }) {
			continue
		}
		maps.DeleteFunc(e.crashes, func(s Server, _ bool) bool { return explained[s] })
		before, again := d.blocks[e.trait]
		if d.isBlocked(e) {
			maps.Copy(explained, e.crashes)
			continue
		}
		if again && len(e.crashes) == 0 || !again && (len(e.crashes) < minCrashes || len(e.requests) < minRequests) {
			continue
		}
		maps.Copy(explained, e.crashes)
		d.block(e, before, false)
	}
}

// block blocks a trait if what has been answered speaks against it, or if that doesn't matter,
// because the crashes are certain evidence. The other instances are always asked first: one of them
// may have answered a request with the trait between the crashes.
func (d *decision) block(e *traitEvidence, before Block, certain bool) {
	if !e.own || before.Blocks == 0 && !d.hasRoomForBlock(d.now) {
		return // an instance whose requests crashed the servers decides
	}
	since := d.countedSince(e)
	others, heard := d.others[e.trait]
	heard = heard && others.since.Equal(since) && !others.heardAt.Before(e.last)
	if !heard || !certain && d.chanceIfSound(e, d.answered.since(e.service, since, d.now)+others.answers) > chanceOfError {
		if d.now.Sub(e.last) > evidenceTTL {
			return // the next crash decides
		}
		d.questions = append(d.questions, Question{Trait: e.trait, Service: e.service, Since: since})
		return
	}
	b := Block{
		Trait: e.trait, Blocks: before.Blocks + 1, Crashes: len(e.crashes), LastCrash: e.last,
		Until: d.now.Add(min(blockTime<<min(before.Blocks, maxBlockDoublings), maxBlockTime)),
	}
	d.blocks[e.trait] = b
	d.newBlocks = append(d.newBlocks, b)
}

// chanceIfSound returns the highest chance that what is observed happens with a sound trait. Of many
// whole requests, the one that looks worst is observed.
func (d *decision) chanceIfSound(e *traitEvidence, answers int64) float64 {
	all := d.crashesSince(e.service, earlier(e.first, d.now.Add(-evidenceTTL)))
	requestsPerCrash := float64(all.requests) / float64(all.crashes)
	if IsWhole(e.trait) {
		return float64(all.wholes) * chanceIfSound(e.occurs(), all.crashes, requestsPerCrash, answers)
	}
	return chanceIfSound(len(e.crashes), all.crashes, requestsPerCrash, answers)
}

// maxBlockDoublings bounds how often the duration of a block doubles.
const maxBlockDoublings = 8
