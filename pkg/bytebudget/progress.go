package bytebudget

import (
	"math"
	"time"
)

// Progress is the progress of a client that sends or receives bytes.
type Progress struct {
	began, last time.Duration
	bytes       int64
	// recent is the rate of the last paceSpan, in bytes per second, as it was at the time at.
	recent float64
	at     time.Duration
}

// NewProgress returns the progress of a client that begins now.
func NewProgress(now time.Duration) Progress { return Progress{began: now, last: now, at: now} }

// Add records that n bytes were received or sent.
func (p *Progress) Add(n int64, now time.Duration) {
	if n <= 0 {
		return
	}
	p.recent = p.recentAt(now) + float64(n)/paceSpan.Seconds()
	p.bytes, p.last, p.at = p.bytes+n, now, now
}

// Bytes returns the number of bytes so far.
func (p *Progress) Bytes() int64 { return p.bytes }

// Began returns when the client began, and Last when it last made progress.
func (p *Progress) Began() time.Duration { return p.began }

// Last returns when the client last made progress.
func (p *Progress) Last() time.Duration { return p.last }

// Rate returns the bytes per second of the whole age.
func (p *Progress) Rate(now time.Duration) float64 {
	return float64(p.bytes) / max(now-p.began, time.Millisecond).Seconds()
}

func (p *Progress) recentAt(now time.Duration) float64 {
	return p.recent * math.Exp(-float64(now-p.at)/float64(paceSpan))
}

// pace returns the recent rate. It corrects for an age of less than paceSpan, at which a steady client
// hasn't sent paceSpan's bytes yet.
func (p *Progress) pace(now time.Duration) float64 {
	return p.recentAt(now) / -math.Expm1(-float64(max(now-p.began, time.Millisecond))/float64(paceSpan))
}

// Stalled reports whether the client doesn't keep a pace: it has begun at least Pause ago, and has
// made no progress for as long, or less than MinPace lately.
func (p *Progress) Stalled(now time.Duration) bool {
	return now-p.began >= Pause && (now-p.last >= Pause || p.pace(now) < MinPace)
}
