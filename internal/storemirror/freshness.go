package storemirror

import "time"

// freshness is up to when a copy of the store's records is complete. Times are those of a clock
// that includes suspensions.
type freshness struct {
	// knownAt is a time at which nothing was missing, and readAt the last time at which this
	// instance read the store itself.
	knownAt, readAt time.Duration
}

// read records that a read of this instance that began at started has reached the end.
func (f *freshness) read(started time.Duration) {
	f.knownAt, f.readAt = max(f.knownAt, started), max(f.readAt, started)
}

// told records a message of another instance, which knew everything age before it sent the
// message. asked is when this instance asked for it, and held how long the other one held the
// question before it answered. The time on the way counts as age.
func (f *freshness) told(asked, held, age time.Duration) {
	f.knownAt = max(f.knownAt, asked+held-age)
}

func (f *freshness) age(now time.Duration) time.Duration { return now - f.knownAt }

// readIn returns in which time the instance has to read itself: when the copy may be older than
// maxAge, or hasn't been compared with the store for checkInterval.
func (f *freshness) readIn(now, maxAge, checkInterval time.Duration) time.Duration {
	return min(f.knownAt+maxAge, f.readAt+checkInterval) - now
}
