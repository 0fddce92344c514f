package crashcause

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// maxEvidenceAge bounds the age of crashes, however often others happen under the same traits.
const maxEvidenceAge = 24 * time.Hour

// suspect is a trait of requests under which remembered crashes happened. Its answers are known for
// as long as the crashes are, while those to other traits are forgotten.
type suspect struct {
	// answeredAt is when a request with it was last answered; the zero time if it wasn't since
	// knownSince.
	answeredAt, knownSince time.Time
	// crashes is the number of crashes under it, of which the last was at lastCrash.
	crashes   int
	lastCrash time.Time
}

// suspect records a crash under a request. A crash from a time of which the answers are forgotten doesn't
// count.
func (f *Finder) suspect(r Request, at time.Time) {
	for _, trait := range r.traits() {
		s := f.suspects[trait]
		if s == nil {
			s = &suspect{answeredAt: f.answered.last(trait), knownSince: f.answered.of(trait).olderSince}
			f.suspects[trait] = s
		}
		if at.Before(s.knownSince) {
			s.answeredAt = later(s.answeredAt, s.knownSince)
		}
		s.crashes++
		s.lastCrash = later(s.lastCrash, at)
	}
}

// lastAnswered returns when a request with a trait was last answered; the zero time if it isn't known.
func (f *Finder) lastAnswered(trait string) time.Time {
	if s := f.suspects[trait]; s != nil {
		return s.answeredAt
	}
	return f.answered.last(trait)
}

// clears reports whether an answer is the first since the last of several crashes under a whole request. The
// others are told, as the instance may end while they remember the crashes.
func (f *Finder) clears(trait string, at time.Time) bool {
	s := f.suspects[trait]
	return s != nil && IsWhole(trait) && s.crashes > 1 && !s.answeredAt.After(s.lastCrash) && at.After(s.lastCrash)
}

// unansweredSince returns from when on it is known that no request with a trait was answered.
func (f *Finder) unansweredSince(trait string) time.Time {
	if s := f.suspects[trait]; s != nil {
		return later(s.answeredAt, s.knownSince)
	}
	return f.answered.unansweredSince(trait)
}

// countedSince returns from when on the answers to other requests speak against a trait: since it was last
// answered, but if it comes rarely, since the first crash under it.
func (d *decision) countedSince(e *traitEvidence) time.Time {
	since := d.unansweredSince(e.trait)
	if d.now.Sub(e.first) > evidenceTTL {
		return later(since, e.first)
	}
	return since
}

// crashedUnderCopies reports whether copies of a whole request have crashed several servers, again and
// again.
func (e *traitEvidence) crashedUnderCopies() bool {
	return e.trials >= minCopyTrials && len(e.crashes) >= minCopyCrashes
}

// occurs returns in how many crashes the whole request counts as occurring. Copies on several servers are one trial, as
// they may be sent together; of those of two trials, minCopyCrashes count.
func (e *traitEvidence) occurs() int {
	if e.crashedUnderCopies() {
		return max(e.trials, minCopyCrashes)
	}
	return e.trials
}

// isCertain reports whether a whole request is blocked however few others are answered. If it comes rarely, it has
// to explain most of the service's crashes: one that has few servers left loses many requests.
func (d *decision) isCertain(e *traitEvidence) bool {
	return e.recentTrials >= certainCrashes ||
		e.trials >= certainCrashes && 2*len(e.crashes) > d.crashesSince(e.service, e.first).crashes
}

// expireCrashes removes the crashes that a block explains after an evidenceTTL, and the others when none of
// their traits was seen for a rareEvidenceTTL.
func (f *Finder) expireCrashes(now time.Time) {
	f.removeCrashes(func(_ Server, c *crash) bool {
		age := now.Sub(c.at)
		if age <= evidenceTTL {
			return false
		}
		if age > maxEvidenceAge {
			return true
		}
		seen := c.at
		for _, r := range c.requests {
			for _, trait := range r.traits() {
				if b, found := f.blocks[trait]; found && !c.at.After(b.Until) {
					return true
				}
				if s := f.suspects[trait]; c.at.After(s.answeredAt) {
					seen = later(seen, s.lastCrash)
				}
			}
		}
		return now.Sub(seen) > rareEvidenceTTL
	})
}

// mayMatter reports whether enough crashes happened under a trait for a decision.
func (f *Finder) mayMatter(trait string) bool {
	if f.suspects[trait].crashes >= minCrashes {
		return true
	}
	_, found := f.blocks[trait]
	return found
}

// weights returns how much each crash tells: how many crashes happened under one of its traits that
// wasn't answered since.
func (f *Finder) weights() map[Server]int {
	weight := make(map[Server]int, len(f.crashes))
	for server, c := range f.crashes {
		for _, r := range c.requests {
			for _, trait := range r.traits() {
				if s := f.suspects[trait]; c.at.After(s.answeredAt) {
					weight[server] = max(weight[server], s.crashes)
				}
			}
		}
	}
	return weight
}

// byWeight returns the crashed servers, those whose crashes tell most first, and of these the last ones.
func (f *Finder) byWeight(weight map[Server]int) []Server {
	return slices.SortedFunc(maps.Keys(f.crashes), func(a, b Server) int {
		return cmp.Or(cmp.Compare(weight[b], weight[a]), f.crashes[b].at.Compare(f.crashes[a].at))
	})
}

// evict removes the crashes that tell least.
func (f *Finder) evict() {
	inOrder := f.byWeight(f.weights())
	least := inOrder[len(inOrder)-evictedCrashes:]
	f.removeCrashes(func(server Server, _ *crash) bool { return slices.Contains(least, server) })
}

// hasRoomForBlock reports whether another trait can be blocked. If there are too many, it forgets the one whose block
// ended first.
func (f *Finder) hasRoomForBlock(now time.Time) bool {
	if len(f.blocks) < maxBlocks {
		return true
	}
	first, until := "", now
	for trait, b := range f.blocks {
		if !until.Before(b.Until) {
			first, until = trait, b.Until
		}
	}
	if first == "" {
		return false
	}
	delete(f.blocks, first)
	return true
}

// removeCrashes removes the crashes that match, and what is known of their traits alone.
func (f *Finder) removeCrashes(match func(Server, *crash) bool) {
	maps.DeleteFunc(f.crashes, func(server Server, c *crash) bool {
		if !match(server, c) {
			return false
		}
		for _, r := range c.requests {
			for _, trait := range r.traits() {
				if s := f.suspects[trait]; s.crashes > 1 {
					s.crashes--
				} else {
					delete(f.suspects, trait)
				}
			}
		}
		return true
	})
}
