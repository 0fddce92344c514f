package crashcause

import "time"

const (
	// countInterval is the resolution at which answers are counted.
	countInterval = 50 * time.Millisecond
	countSlots    = int(evidenceTTL/countInterval) + 1
)

// answerLog remembers when requests were answered, for an evidenceTTL at least.
type answerLog struct {
	// recent and older are when a request with a trait was last answered. Answers are added to
	// recent, which becomes older after an evidenceTTL.
	recent, older map[string]time.Time
	recentSince   time.Time
	// services are the numbers of answers to requests for each service.
	services map[string]*answerCounts
}

// answerCounts counts the answers of an evidenceTTL.
type answerCounts struct {
	// counts is a ring of the numbers of answers per countInterval. begun is the time from which
	// on, and at the newest interval up to which answers are counted.
	counts  [countSlots]uint32
	begun   time.Time
	counted int64
}

func newAnswerLog() *answerLog {
	return &answerLog{recent: map[string]time.Time{}, services: map[string]*answerCounts{}}
}

// count counts an answer to a request for a service.
func (l *answerLog) count(service string, now time.Time) {
	counts := l.services[service]
	if counts == nil {
		counts = &answerCounts{}
		l.services[service] = counts
	}
	counts.count(now)
}

// since returns the number of answers to requests for a service since a time, less those of the
// countInterval that it lies in.
func (l *answerLog) since(service string, at, now time.Time) int64 {
	if counts := l.services[service]; counts != nil {
		return counts.since(at, now)
	}
	return 0
}

// count counts an answer.
func (l *answerCounts) count(now time.Time) {
	l.advance(now)
	l.counts[l.counted%int64(countSlots)]++
}

// advance clears the intervals that have begun since the last answer.
func (l *answerCounts) advance(now time.Time) {
	if l.begun.IsZero() {
		l.begun = now
	}
	current := max(int64(now.Sub(l.begun)/countInterval), l.counted)
	for from := max(l.counted+1, current-int64(countSlots)+1); from <= current; from++ {
		l.counts[from%int64(countSlots)] = 0
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
		first = int64(at.Sub(l.begun)/countInterval) + 1
	}
	n := int64(0)
	for from := max(first, l.counted-int64(countSlots)+1, 0); from <= l.counted; from++ {
		n += int64(l.counts[from%int64(countSlots)])
	}
	return n
}

// set records an answer to a request with a trait.
func (l *answerLog) set(trait string, at time.Time) {
	if at.Sub(l.recentSince) > evidenceTTL || len(l.recent) >= maxAnswered {
		l.recent, l.older, l.recentSince = map[string]time.Time{}, l.recent, at
	}
	l.recent[trait] = at
}

// last returns when a request with a trait was last answered; the zero time if it isn't known.
func (l *answerLog) last(trait string) time.Time {
	if at, found := l.recent[trait]; found {
		return at
	}
	return l.older[trait]
}
