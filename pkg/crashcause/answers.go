package crashcause

import "time"

const (
	// countInterval is the resolution at which the answers of an evidenceTTL are counted, and
	// longCountInterval that of a rareEvidenceTTL.
	countInterval     = 50 * time.Millisecond
	longCountInterval = 10 * time.Second
)

// answerLog remembers when requests were answered, for an evidenceTTL at least unless there are too
// many of them.
type answerLog struct {
	// parts and wholes are kept apart, as nearly each request has a content of its own.
	parts, wholes lastAnswers
	// services are the numbers of answers to requests for each service.
	services map[string]*serviceAnswers
}

// lastAnswers are the times at which requests with a trait were last answered.
type lastAnswers struct {
	// recent and older are those times. Answers are added to recent, which becomes older after an
	// evidenceTTL, or when it is full.
	recent, older map[string]time.Time
	// recentSince and olderSince are the times from which on they have all answers.
	recentSince, olderSince time.Time
}

// serviceAnswers counts the answers of one service.
type serviceAnswers struct{ recent, long *answerCounts }

// answerCounts counts answers over a time.
type answerCounts struct {
	interval time.Duration
	// counts is a ring of the numbers of answers per interval. begun is the time from which
	// on, and counted the newest interval up to which answers are counted.
	counts  []uint32
	begun   time.Time
	counted int64
}

func newAnswerCounts(over, interval time.Duration) *answerCounts {
	return &answerCounts{interval: interval, counts: make([]uint32, int(over/interval)+1)}
}

func newAnswerLog() *answerLog {
	return &answerLog{services: map[string]*serviceAnswers{}}
}

// count counts an answer to a request for a service.
func (l *answerLog) count(service string, now time.Time) {
	counts := l.services[service]
	if counts == nil {
		counts = &serviceAnswers{newAnswerCounts(evidenceTTL, countInterval), newAnswerCounts(rareEvidenceTTL, longCountInterval)}
		l.services[service] = counts
	}
	counts.recent.count(now)
	counts.long.count(now)
}

// since returns the number of answers to requests for a service since a time, less those of the
// interval that it lies in. If the time isn't known, it is that of the last evidenceTTL.
func (l *answerLog) since(service string, at, now time.Time) int64 {
	counts := l.services[service]
	if counts == nil {
		return 0
	}
	if age := now.Sub(at); age > evidenceTTL && age < maxEvidenceAge {
		return max(counts.long.since(at, now), counts.recent.since(at, now))
	}
	return counts.recent.since(at, now)
}

// count counts an answer.
func (l *answerCounts) count(now time.Time) {
	l.advance(now)
	l.counts[l.counted%int64(len(l.counts))]++
}

// advance clears the intervals that have begun since the last answer.
func (l *answerCounts) advance(now time.Time) {
	if l.begun.IsZero() {
		l.begun = now
	}
	slots := int64(len(l.counts))
	current := max(int64(now.Sub(l.begun)/l.interval), l.counted)
	for from := max(l.counted+1, current-slots+1); from <= current; from++ {
		l.counts[from%slots] = 0
	}
	l.counted = current
}

// since returns the number of answers since a time, less those of the interval it lies in.
func (l *answerCounts) since(at, now time.Time) int64 {
	if l.begun.IsZero() {
		return 0
	}
	l.advance(now)
	first := int64(0)
	if at.After(l.begun) {
		first = int64(at.Sub(l.begun)/l.interval) + 1
	}
	n, slots := int64(0), int64(len(l.counts))
	for from := max(first, l.counted-slots+1, 0); from <= l.counted; from++ {
		n += int64(l.counts[from%slots])
	}
	return n
}

// of returns the answers to requests with traits of the same kind.
func (l *answerLog) of(trait string) *lastAnswers {
	if IsWhole(trait) {
		return &l.wholes
	}
	return &l.parts
}

// set records an answer to a request with a trait.
func (l *answerLog) set(trait string, at time.Time) {
	answers := l.of(trait)
	if answers.recent == nil || at.Sub(answers.recentSince) > evidenceTTL || len(answers.recent) >= maxAnswered {
		answers.recent, answers.older = map[string]time.Time{}, answers.recent
		answers.recentSince, answers.olderSince = at, answers.recentSince
	}
	answers.recent[trait] = at
}

// last returns when a request with a trait was last answered; the zero time if it isn't known.
func (l *answerLog) last(trait string) time.Time {
	answers := l.of(trait)
	if at, found := answers.recent[trait]; found {
		return at
	}
	return answers.older[trait]
}

// unansweredSince returns from when on it is known that no request with a trait was answered.
func (l *answerLog) unansweredSince(trait string) time.Time {
	return later(l.last(trait), l.of(trait).olderSince)
}
