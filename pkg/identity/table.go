package identity

import (
	"container/heap"
	"time"
)

// Limits bounds the contents of a Table.
type Limits struct {
	// Entries bounds the number of identities, and BodyBytes the total size of
	// the response bodies stored with them.
	Entries   int
	BodyBytes int64
	// Retention is how long an identity is retained after the latest time at
	// which its run can have ended.
	Retention time.Duration
}

// ClaimRequest is a request to one owner to grant an identity.
type ClaimRequest struct {
	Key         Key
	Fingerprint Fingerprint
	// Attempt identifies the claim. Repeating a request with the same attempt is
	// idempotent.
	Attempt string
	// RunFor bounds the time from the grant until the claimant's run has ended.
	RunFor time.Duration
}

// Answer is an owner's answer to a ClaimRequest.
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
	// runDeadline is when a run without a reported result no longer counts as
	// running. expires is when the identity is evicted.
	runDeadline, expires time.Time
	result               Result
	heapIndex            int
}

// expiryHeap is a heap of entries ordered by the time of their eviction.
type expiryHeap []*entry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	e := x.(*entry)
	e.heapIndex = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

// Table holds the identities of one owner. It is not safe for concurrent use. An
// identity is removed only when it expires or when its claimant reports that
// nothing ran. A full table grants no new identities.
type Table struct {
	limits      Limits
	entries     map[Key]*entry
	expiryQueue expiryHeap
	bodyBytes   int64
	closed      bool
	// ended are the attempts whose end was reported before their claim arrived, and endedQueue
	// when they are forgotten, in this order.
	ended      map[string]bool
	endedQueue []endedAttempt
}

// endedAttempt is an attempt to which the table grants nothing any more.
type endedAttempt struct {
	attempt string
	expires time.Time
}

// NewTable returns an empty table.
func NewTable(limits Limits) *Table {
	return &Table{limits: limits, entries: map[Key]*entry{}, ended: map[string]bool{}}
}

// Len returns the number of identities in the table.
func (t *Table) Len() int { return len(t.entries) }

// Claim grants an identity to an attempt, or returns the state of the attempt that
// already has it.
func (t *Table) Claim(now time.Time, r ClaimRequest) Answer {
	t.Expire(now)
	if t.closed || t.ended[r.Attempt] {
		return Answer{Verdict: Unavailable}
	}
	e, ok := t.entries[r.Key]
	if !ok {
		return t.grant(now, r)
	}
	if e.fingerprint != r.Fingerprint {
		return Answer{Verdict: Mismatch}
	}
	if e.state == entryRunning && !now.Before(e.runDeadline) {
		e.state = entryUnknown
	}
	switch {
	case e.state == entryFinished:
		return Answer{Verdict: Finished, Result: e.result}
	case e.state == entryUnknown:
		return Answer{Verdict: Unknown}
	case e.attempt == r.Attempt:
		return Answer{Verdict: Run}
	default:
		return Answer{Verdict: Running}
	}
}

func (t *Table) grant(now time.Time, r ClaimRequest) Answer {
	if len(t.entries) >= t.limits.Entries {
		return Answer{Verdict: Full}
	}
	runDeadline := now.Add(r.RunFor)
	t.insert(&entry{
		key:         r.Key,
		fingerprint: r.Fingerprint,
		attempt:     r.Attempt,
		runDeadline: runDeadline,
		expires:     runDeadline.Add(t.limits.Retention),
	})
	return Answer{Verdict: Run}
}

func (t *Table) insert(e *entry) {
	t.entries[e.key] = e
	heap.Push(&t.expiryQueue, e)
}

// Finish records the result of a run. The result is ignored if the attempt doesn't
// hold the identity, or if a known result has already been recorded. A claim of the attempt that
// arrives later is refused: the claimant has given it up, and nobody would report its end.
func (t *Table) Finish(now time.Time, key Key, attempt string, r Result) {
	t.Expire(now)
	e, ok := t.entries[key]
	if !ok || e.attempt != attempt {
		t.recordEnd(now, attempt)
		return
	}
	if e.state == entryFinished {
		return
	}
	if r.NotRun {
		t.remove(e)
		return
	}
	if !r.Known {
		// The run can still be in progress until its deadline.
		e.state = entryUnknown
		return
	}
	e.state = entryFinished
	e.result = t.limitBody(r)
	e.expires = now.Add(t.limits.Retention)
	heap.Fix(&t.expiryQueue, e.heapIndex)
}

// recordEnd remembers the end of an attempt that holds no identity.
func (t *Table) recordEnd(now time.Time, attempt string) {
	if t.ended[attempt] || len(t.ended) >= t.limits.Entries {
		return
	}
	t.ended[attempt] = true
	t.endedQueue = append(t.endedQueue, endedAttempt{attempt, now.Add(t.limits.Retention)})
}

// limitBody drops the body of a result if it would exceed Limits.BodyBytes.
func (t *Table) limitBody(r Result) Result {
	if t.bodyBytes+int64(len(r.Body)) > t.limits.BodyBytes {
		r.Body, r.BodyGone = nil, true
	}
	t.bodyBytes += int64(len(r.Body))
	return r
}

// Expire evicts the identities, and forgets the ended attempts, whose retention has ended.
func (t *Table) Expire(now time.Time) {
	for len(t.expiryQueue) > 0 && !now.Before(t.expiryQueue[0].expires) {
		t.remove(t.expiryQueue[0])
	}
	for len(t.endedQueue) > 0 && !now.Before(t.endedQueue[0].expires) {
		delete(t.ended, t.endedQueue[0].attempt)
		t.endedQueue = t.endedQueue[1:]
	}
}

func (t *Table) remove(e *entry) {
	heap.Remove(&t.expiryQueue, e.heapIndex)
	delete(t.entries, e.key)
	t.bodyBytes -= int64(len(e.result.Body))
}
