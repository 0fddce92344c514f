package limit

import (
	"math"
	"time"
)

const (
	// brittleUtilization is the share of a server's capacity that an instance begins with.
	brittleUtilization = 0.35
	// brittleBackoff is the factor by which a rejection lowers the rate, at most once within
	// brittleBackoffInterval, since what is rejected at the same time has one cause.
	brittleBackoff         = 0.7
	brittleBackoffInterval = 300 * time.Millisecond
	// brittleRejections is the share of the tolerated rejections that all instances together cause
	// while they raise their rates.
	brittleRejections = 0.25
	// minBrittleRate is the lowest rate, in requests per second, which finds out that there is
	// room again.
	minBrittleRate = 0.2
	// serviceTimeWeight is the weight of the newest request in the mean service time, and
	// defaultServiceTime is used until one has been answered.
	serviceTimeWeight  = 0.1
	defaultServiceTime = 100 * time.Millisecond
	// brittleBurst is the time whose requests can be sent at once.
	brittleBurst = 30 * time.Millisecond
)

// Brittle paces the requests of one instance to a server that falls over if it has to reject too
// many requests within a second, such that all instances together cause few rejections. The zero
// value is that of a server that isn't brittle. It isn't safe for concurrent use.
type Brittle struct {
	// serviceTime is the mean time for which a request takes a slot.
	serviceTime time.Duration

	brittle bool
	// tolerated is the number of rejections within a second that the server bears.
	tolerated int
	statedAt  time.Time

	rate      float64 // requests per second
	tokens    float64
	filledAt  time.Time
	backedOff time.Time
	// limited means that a request has been held back since filledAt.
	limited bool
}

// BrittleLoad is what the pace depends on: the slots of the server, how many requests waited there
// at its last answer, and the number of instances.
type BrittleLoad struct {
	Slots, Waiting, Instances int
	// ServiceTime is that of the service, for a server that hasn't served a request yet; 0 if it is
	// unknown.
	ServiceTime time.Duration
}

// Served records that a request has been served within a time.
func (b *Brittle) Served(took time.Duration, load BrittleLoad) {
	b.serviceTime = meanServiceTime(b.serviceTime, took, load)
}

func meanServiceTime(before, took time.Duration, load BrittleLoad) time.Duration {
	slots := float64(max(load.Slots, 1))
	// A request that waits takes no slot.
	inSlot := took.Seconds() * slots / (slots + float64(max(load.Waiting, 0)))
	mean := before.Seconds()
	if mean == 0 {
		mean = inSlot
	}
	return time.Duration((mean + serviceTimeWeight*(inSlot-mean)) * float64(time.Second))
}

// Stated records what an answer to a request that was sent at sent states: the rejections within
// a second that the server tolerates, or a negative number if it isn't brittle.
func (b *Brittle) Stated(tolerated int, load BrittleLoad, sent, now time.Time) {
	switch {
	case tolerated >= 0 && !b.brittle:
		b.begin(load, 0, now)
		fallthrough
	case tolerated >= 0:
		b.tolerated, b.statedAt = tolerated, now
	case b.brittle && sent.After(b.statedAt):
		b.brittle = false
	}
}

// begin begins the pace with a part of the first turn.
func (b *Brittle) begin(load BrittleLoad, turn float64, now time.Time) {
	b.rate = max(brittleUtilization*b.capacity(load)/float64(max(load.Instances, 1)), minBrittleRate)
	b.brittle, b.tokens, b.filledAt, b.backedOff, b.limited = true, turn, now, now, false
}

// Rejected records that the server had no room for a request.
func (b *Brittle) Rejected(now time.Time) {
	if !b.brittle {
		return
	}
	b.tokens, b.filledAt, b.limited = 0, now, false
	if now.Sub(b.backedOff) >= brittleBackoffInterval {
		b.rate, b.backedOff = max(b.rate*brittleBackoff, minBrittleRate), now
	}
}

// capacity returns the requests per second that the server can serve.
func (b *Brittle) capacity(load BrittleLoad) float64 {
	serviceTime := b.serviceTime
	if serviceTime <= 0 {
		serviceTime = load.ServiceTime
	}
	if serviceTime <= 0 {
		serviceTime = defaultServiceTime
	}
	return float64(max(load.Slots, 1)) / serviceTime.Seconds()
}

// IsBrittle reports whether the server is brittle.
func (b *Brittle) IsBrittle() bool { return b.brittle }

// Rate returns the requests per second that this instance sends to the server; Unlimited if it
// isn't brittle.
func (b *Brittle) Rate() float64 {
	if !b.brittle {
		return Unlimited
	}
	return b.rate
}

// Usable reports whether a request can be sent now.
func (b *Brittle) Usable(load BrittleLoad, now time.Time) bool {
	if !b.brittle {
		return true
	}
	b.refill(load, now)
	if b.tokens < 1 {
		b.limited = true
		return false
	}
	return true
}

// Take takes the turn of a request that is sent now. Usable must have allowed it.
func (b *Brittle) Take() {
	if b.brittle {
		b.tokens--
	}
}

// refill adds the turns since the last call, and raises the rate if requests were held back: so
// slowly that the rejections that follow stay below what the server tolerates.
func (b *Brittle) refill(load BrittleLoad, now time.Time) {
	elapsed := now.Sub(b.filledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	if b.limited {
		rejections := brittleRejections * float64(b.tolerated) / float64(max(load.Instances, 1))
		b.rate += (1 - brittleBackoff) * b.rate * rejections * elapsed
		b.rate = min(b.rate, b.capacity(load))
	}
	b.tokens = math.Min(b.tokens+b.rate*elapsed, max(1, b.rate*brittleBurst.Seconds()))
	b.filledAt, b.limited = now, false
}
