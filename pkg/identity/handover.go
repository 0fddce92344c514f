package identity

import (
	"time"
)

// RetainedIdentity is one identity in the form in which an owner that shuts
// down hands it over to another owner.
type RetainedIdentity struct {
	Key         Key
	Fingerprint Fingerprint
	Attempt     string
	// Running is set while the run hasn't ended, and Finished if Result is its
	// answer. If neither is set, the outcome of the run is unknown.
	Running, Finished bool
	// LapsesIn is the time from the hand-over until a run without a result no
	// longer counts as running. ExpiresIn is the time from the hand-over until
	// the identity is evicted.
	LapsesIn, ExpiresIn time.Duration
	Result              Result
}

// Close stops the table from granting or importing identities and returns all
// identities that it holds.
func (t *Table) Close(now time.Time) []RetainedIdentity {
	t.Expire(now)
	t.closed = true
	retained := make([]RetainedIdentity, 0, len(t.expiryQueue))
	for _, e := range t.expiryQueue {
		retained = append(retained, RetainedIdentity{
			Key:         e.key,
			Fingerprint: e.fingerprint,
			Attempt:     e.attempt,
			Running:     e.state == entryRunning,
			Finished:    e.state == entryFinished,
			LapsesIn:    e.runDeadline.Sub(now),
			ExpiresIn:   e.expires.Sub(now),
			Result:      e.result,
		})
	}
	return retained
}

// Import adds an identity handed over by an owner that shuts down. It returns
// false if the table is closed or full, or if it holds the identity for another
// attempt. The hand-over of this identity then failed at this owner.
func (t *Table) Import(now time.Time, retained RetainedIdentity) bool {
	t.Expire(now)
	if t.closed {
		return false
	}
	if e, ok := t.entries[retained.Key]; ok {
		return t.merge(e, retained)
	}
	if len(t.entries) >= t.limits.Entries {
		return false
	}
	e := &entry{
		key:         retained.Key,
		fingerprint: retained.Fingerprint,
		attempt:     retained.Attempt,
		state:       entryUnknown,
		runDeadline: now.Add(retained.LapsesIn),
		expires:     now.Add(retained.ExpiresIn),
	}
	switch {
	case retained.Running:
		e.state = entryRunning
	case retained.Finished:
		e.state = entryFinished
		e.result = t.limitBody(retained.Result)
	}
	t.insert(e)
	return true
}

// merge adds the result of a handed-over run to an entry that has none. It
// returns false if the entry belongs to another attempt.
func (t *Table) merge(e *entry, retained RetainedIdentity) bool {
	if e.attempt != retained.Attempt {
		return false
	}
	if retained.Finished && e.state != entryFinished {
		e.state = entryFinished
		e.result = t.limitBody(retained.Result)
	}
	return true
}
