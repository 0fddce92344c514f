package identity

import (
	"container/heap"
	"time"
)

// Limits bounds what one Table keeps.
type Limits struct {
	// Entries bounds the identities, BodyBytes the answers kept with them.
	Entries   int
	BodyBytes int64
	// Keep is how long an identity is kept after the latest moment at which its
	// run may have ended.
	Keep time.Duration
}

// Ask is one claim as an owner receives it.
type Ask struct {
	Key         Key
	Fingerprint Fingerprint
	// Attempt names the claim; asking again with the same name is harmless.
	Attempt string
	// RunFor bounds the time until the claimant's run has ended.
	RunFor time.Duration
}

// Answer is an owner's answer to an Ask.
type Answer struct {
	Verdict Verdict
	Result  Result
}

type entryState int

const (
	entryRunning entryState = iota
	entryFinished
	entryUnknown
)

type entry struct {
	key         Key
	fingerprint Fingerprint
	attempt     string
	state       entryState
	// lapses is when a run that nobody has reported the end of stops counting
	// as running; expires is when the identity is forgotten.
	lapses, expires time.Time
	result          Result
	index           int
}

// expiry orders entries by the time at which they are forgotten.
type expiry []*entry

func (h expiry) Len() int           { return len(h) }
func (h expiry) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }

func (h expiry) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *expiry) Push(x any) {
	e := x.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *expiry) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

// Table is the identities of one owner. It isn't safe for concurrent use. An
// identity leaves it only by time, or when its claimant reports that nothing
// ran; a full table grants nothing new.
type Table struct {
	limits    Limits
	entries   map[Key]*entry
	order     expiry
	bodyBytes int64
	closed    bool
}

// NewTable returns an empty table.
func NewTable(limits Limits) *Table {
	return &Table{limits: limits, entries: map[Key]*entry{}}
}

// Len returns the number of identities kept.
func (t *Table) Len() int { return len(t.entries) }

// Claim grants an identity, or says what became of it.
func (t *Table) Claim(now time.Time, a Ask) Answer {
	t.Expire(now)
	if t.closed {
		return Answer{Verdict: Unavailable}
	}
	e, ok := t.entries[a.Key]
	if !ok {
		return t.grant(now, a)
	}
	if e.fingerprint != a.Fingerprint {
		return Answer{Verdict: Mismatch}
	}
	if e.state == entryRunning && !now.Before(e.lapses) {
		e.state = entryUnknown
	}
	switch {
	case e.state == entryFinished:
		return Answer{Verdict: Finished, Result: e.result}
	case e.state == entryUnknown:
		return Answer{Verdict: Unknown}
	case e.attempt == a.Attempt:
		return Answer{Verdict: Run}
	default:
		return Answer{Verdict: Running}
	}
}

func (t *Table) grant(now time.Time, a Ask) Answer {
	if len(t.entries) >= t.limits.Entries {
		return Answer{Verdict: Full}
	}
	lapses := now.Add(a.RunFor)
	t.insert(&entry{
		key:         a.Key,
		fingerprint: a.Fingerprint,
		attempt:     a.Attempt,
		lapses:      lapses,
		expires:     lapses.Add(t.limits.Keep),
	})
	return Answer{Verdict: Run}
}

func (t *Table) insert(e *entry) {
	t.entries[e.key] = e
	heap.Push(&t.order, e)
}

// Finish notes the end of a run. Only the attempt that holds the identity can
// end it, and what has ended once stays as it is.
func (t *Table) Finish(now time.Time, key Key, attempt string, r Result) {
	t.Expire(now)
	e, ok := t.entries[key]
	if !ok || e.attempt != attempt || e.state == entryFinished {
		return
	}
	if r.NotRun {
		t.remove(e)
		return
	}
	if !r.Known {
		// The run may still be going on, until it lapses.
		e.state = entryUnknown
		return
	}
	e.state = entryFinished
	e.result = t.fit(r)
	e.expires = now.Add(t.limits.Keep)
	heap.Fix(&t.order, e.index)
}

// fit drops the body of a result that there is no room for.
func (t *Table) fit(r Result) Result {
	if t.bodyBytes+int64(len(r.Body)) > t.limits.BodyBytes {
		r.Body, r.BodyGone = nil, true
	}
	t.bodyBytes += int64(len(r.Body))
	return r
}

// Expire forgets the identities whose time is over.
func (t *Table) Expire(now time.Time) {
	for len(t.order) > 0 && !now.Before(t.order[0].expires) {
		t.remove(t.order[0])
	}
}

func (t *Table) remove(e *entry) {
	heap.Remove(&t.order, e.index)
	delete(t.entries, e.key)
	t.bodyBytes -= int64(len(e.result.Body))
}
