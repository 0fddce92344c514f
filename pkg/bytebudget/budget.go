// Package bytebudget accounts for the memory that clients of an instance use, and decides which of
// them is dropped when it runs short.
//
// It does no I/O and reads no clock: times are durations since any fixed moment.
package bytebudget

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// Purpose is what bytes are reserved for.
type Purpose uint8

// The purposes.
const (
	Connections Purpose = iota
	Headers
	Bodies
	Responses
	Relay
	purposes
)

// String returns the name of the purpose in metrics and logs.
func (p Purpose) String() string {
	return [purposes]string{"connections", "headers", "bodies", "responses", "relay"}[p]
}

// Purposes lists all purposes.
func Purposes() []Purpose { return []Purpose{Connections, Headers, Bodies, Responses, Relay} }

const (
	// SmallBytes is the size up to which a reservation leaves mediumHeadroom of the budget to those of
	// up to TinyBytes, which may use all of it. Larger ones leave largeHeadroom to both. Otherwise
	// large bodies that keep a pace would fill the budget, and ordinary requests be refused.
	SmallBytes = 64 << 10
	// TinyBytes is the size of most ordinary requests.
	TinyBytes      = 4 << 10
	mediumHeadroom = 1.0 / 16
	largeHeadroom  = 1.0 / 8
	// connectionsShare and headersShare are the parts of the budget for connections and heads.
	connectionsShare = 1.0 / 2
	headersShare     = 1.0 / 4
	// droppingShare is the part of the budget that may be in use beyond it by reservations that were
	// dropped and haven't ended. A single one may be larger.
	droppingShare = 1.0 / 4
	// MinPace is the rate, in bytes per second, below which a reservation is stalled: an eighth of a
	// 1 Mbit/s link.
	MinPace = 16 << 10
	// Pause is the time without progress after which a reservation is stalled, and the age before
	// which none is. It covers a retransmission on a working link.
	Pause = 500 * time.Millisecond
	// paceSpan is the time constant of the recent rate.
	paceSpan = time.Second
)

// ErrShort means that the budget is used up, and that no reservation can be dropped for another.
var ErrShort = errors.New("byte budget used up")

// Holder is told when its reservation is dropped. Dropped must not block or call the budget; the
// holder ends the reservation afterwards.
type Holder interface{ Dropped(p Purpose) }

// Budget is the number of bytes that clients may use. It is safe for concurrent use.
type Budget struct {
	limit int64

	mu sync.Mutex
	// used counts the bytes of all reservations but the dropped ones, which dropping counts.
	used, dropping int64
	// peak is the maximum of their sum since it was last taken.
	peak      int64
	byPurpose [purposes]int64
	// open are the incomplete reservations.
	open              list
	refusals, dropped [purposes]atomic.Int64
}

// New returns a Budget of limit bytes.
func New(limit int64) *Budget {
	b := &Budget{limit: max(limit, 1)}
	b.open.init()
	return b
}

// Limit returns the size of the budget in bytes.
func (b *Budget) Limit() int64 { return b.limit }

// Max returns the part of the budget, in bytes, that a purpose can use.
func (b *Budget) Max(p Purpose) int64 {
	switch p {
	case Connections:
		return int64(connectionsShare * float64(b.limit))
	case Headers:
		return int64(headersShare * float64(b.limit))
	default:
		return b.limit
	}
}

// Used returns the bytes reserved for a purpose, without those of dropped reservations.
func (b *Budget) Used(p Purpose) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.byPurpose[p]
}

// InUse returns the bytes reserved for all purposes, with those of dropped reservations.
func (b *Budget) InUse() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used + b.dropping
}

// TakePeak returns the maximum of InUse since the last call.
func (b *Budget) TakePeak() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	peak := b.peak
	b.peak = b.used + b.dropping
	return peak
}

// Dropping returns the bytes of the reservations that were dropped and haven't ended.
func (b *Budget) Dropping() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dropping
}

// Refused returns the number of refusals to grow.
func (b *Budget) Refused(p Purpose) int64 { return b.refusals[p].Load() }

// Dropped returns the number of dropped reservations.
func (b *Budget) Dropped(p Purpose) int64 { return b.dropped[p].Load() }

// Reservation is what one user of memory has reserved. The zero value holds nothing; Begin starts
// it, and it can be started again after End. Its methods are safe for concurrent use.
type Reservation struct {
	budget  *Budget
	holder  Holder
	purpose Purpose

	// Guarded by budget.mu.
	bytes    int64
	complete bool
	dropped  bool
	progress Progress
	link
}

// Begin starts a reservation of no bytes. holder may be nil for one that is never dropped.
func (b *Budget) Begin(r *Reservation, p Purpose, holder Holder, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.budget, r.holder, r.purpose = b, holder, p
	r.bytes, r.dropped, r.complete, r.progress = 0, false, holder == nil, NewProgress(now)
	if holder != nil {
		b.open.add(r)
	}
}

// Grow reserves n more bytes. If the budget is short, stalled reservations are dropped. It fails with
// ErrShort, without effect, if that doesn't suffice or the reservation itself was dropped.
func (r *Reservation) Grow(n int64, now time.Duration) error {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.dropped || !b.makeRoom(r, n, now) {
		b.refusals[r.purpose].Add(1)
		return ErrShort
	}
	r.bytes += n
	b.used += n
	b.byPurpose[r.purpose] += n
	b.peak = max(b.peak, b.used+b.dropping)
	return nil
}

// makeRoom drops stalled reservations until n more bytes fit for r.
func (b *Budget) makeRoom(r *Reservation, n int64, now time.Duration) bool {
	limit := b.limit
	if r.purpose != Connections { // each of them is small, though a listener reserves for all
		limit -= int64(headroom(r.bytes+n) * float64(b.limit))
	}
	for {
		ofPurpose := b.byPurpose[r.purpose]+n > b.Max(r.purpose)
		if !ofPurpose && b.used+n <= limit {
			return true
		}
		victim := b.victim(r, now, ofPurpose)
		if victim == nil || b.dropping > 0 && float64(b.dropping+victim.bytes) > droppingShare*float64(b.limit) {
			return false
		}
		b.drop(victim)
	}
}

// headroom is the part of the budget that a reservation of a size leaves to smaller ones.
func headroom(size int64) float64 {
	switch {
	case size <= TinyBytes:
		return 0
	case size <= SmallBytes:
		return mediumHeadroom
	default:
		return largeHeadroom
	}
}

// victim returns the stalled reservation with the slowest progress relative to its bytes; nil if
// there is none. samePurpose limits the choice to reservations with the purpose of r.
func (b *Budget) victim(r *Reservation, now time.Duration, samePurpose bool) *Reservation {
	var slowest *Reservation
	least := math.Inf(1)
	for c := range b.open.all() {
		if c == r || c.bytes == 0 || samePurpose && c.purpose != r.purpose || !c.progress.Stalled(now) {
			continue
		}
		if relative := c.progress.Rate(now) / float64(c.bytes); relative < least {
			slowest, least = c, relative
		}
	}
	return slowest
}

func (b *Budget) drop(r *Reservation) {
	r.dropped = true
	b.open.remove(r)
	b.release(r)
	b.dropping += r.bytes
	b.dropped[r.purpose].Add(1)
	r.holder.Dropped(r.purpose)
}

func (b *Budget) release(r *Reservation) {
	b.used -= r.bytes
	b.byPurpose[r.purpose] -= r.bytes
}

// Advance records that n bytes were received or sent.
func (r *Reservation) Advance(n int64, now time.Duration) {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.progress.Add(n, now)
}

// Progress returns a copy of the reservation's progress.
func (r *Reservation) Progress() Progress {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	return r.progress
}

// Complete records that all bytes have arrived, and reports false if the reservation was dropped
// before. A complete reservation is never dropped.
func (r *Reservation) Complete() bool {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if r.dropped {
		return false
	}
	if !r.complete {
		r.complete = true
		r.budget.open.remove(r)
	}
	return true
}

// Bytes returns the reserved bytes.
func (r *Reservation) Bytes() int64 {
	if r.budget == nil {
		return 0
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	return r.bytes
}

// End releases the reservation. It has no effect on one that hasn't begun or has ended.
func (r *Reservation) End() {
	b := r.budget
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.dropped {
		b.dropping -= r.bytes
	} else {
		b.release(r)
		b.open.remove(r)
	}
	r.budget, r.holder, r.bytes = nil, nil, 0
}

// Expose makes a reservation without a holder one that can be dropped. Its progress begins now.
func (r *Reservation) Expose(holder Holder, now time.Duration) {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.holder != nil {
		return
	}
	r.holder, r.complete, r.progress = holder, false, NewProgress(now)
	b.open.add(r)
}

// Shrink releases n bytes of a reservation.
func (r *Reservation) Shrink(n int64) {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	n = min(n, r.bytes)
	r.bytes -= n
	if r.dropped {
		b.dropping -= n
		return
	}
	b.used -= n
	b.byPurpose[r.purpose] -= n
}
