package identity

import (
	"time"
)

// Kept is one identity as an owner that leaves hands it over.
type Kept struct {
	Key         Key
	Fingerprint Fingerprint
	Attempt     string
	// Running and Finished; with neither, how the run ended isn't known.
	Running, Finished bool
	// LapsesIn and ExpiresIn are counted from the hand-over.
	LapsesIn, ExpiresIn time.Duration
	Result              Result
}

// Close makes the table grant nothing more and returns all that it keeps.
func (t *Table) Close(now time.Time) []Kept {
	t.Expire(now)
	t.closed = true
	kept := make([]Kept, 0, len(t.order))
	for _, e := range t.order {
		kept = append(kept, Kept{
			Key:         e.key,
			Fingerprint: e.fingerprint,
			Attempt:     e.attempt,
			Running:     e.state == entryRunning,
			Finished:    e.state == entryFinished,
			LapsesIn:    e.lapses.Sub(now),
			ExpiresIn:   e.expires.Sub(now),
			Result:      e.result,
		})
	}
	return kept
}

// Import takes an identity over from an owner that leaves. It returns false if
// there is no room, or if the table itself has granted the identity to another
// attempt; then the hand-over isn't complete.
func (t *Table) Import(now time.Time, k Kept) bool {
	t.Expire(now)
	if t.closed {
		return false
	}
	if e, ok := t.entries[k.Key]; ok {
		return t.merge(e, k)
	}
	if len(t.entries) >= t.limits.Entries {
		return false
	}
	e := &entry{
		key:         k.Key,
		fingerprint: k.Fingerprint,
		attempt:     k.Attempt,
		state:       entryUnknown,
		lapses:      now.Add(k.LapsesIn),
		expires:     now.Add(k.ExpiresIn),
	}
	switch {
	case k.Running:
		e.state = entryRunning
	case k.Finished:
		e.state = entryFinished
		e.result = t.fit(k.Result)
	}
	t.insert(e)
	return true
}

// merge takes the end of a run that this table hasn't heard of.
func (t *Table) merge(e *entry, k Kept) bool {
	if e.attempt != k.Attempt {
		return false
	}
	if k.Finished && e.state != entryFinished {
		e.state = entryFinished
		e.result = t.fit(k.Result)
	}
	return true
}
