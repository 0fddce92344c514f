package leaderlease

import (
	"cmp"
	"slices"
	"time"
)

// Candidate is an instance that can hold the lease.
type Candidate struct {
	// Name is the name of the instance.
	Name string
	// Capacity is how much of a holder's work the instance can do. See Capacity.
	Capacity float64
	// Known is how long the holder has known the instance, and Silent the time since its last
	// report.
	Known, Silent time.Duration
}

const (
	// holderCores and holderLink (in Mbit/s) are what a holder uses in a deployment of 300
	// instances and 130 servers.
	holderCores = 0.5
	holderLink  = 100.0
)

// Capacity returns how much of a holder's work in a large deployment an instance can do: 1 if it
// can do all of it. cores is its share of processor cores, and linkMbps the bandwidth of its
// network link in Mbit/s; 0 if unknown. The scarcer of the two determines the capacity.
func Capacity(cores, linkMbps float64) float64 {
	capacity := 1.0
	if cores > 0 {
		capacity = min(capacity, cores/holderCores)
	}
	if linkMbps > 0 {
		capacity = min(capacity, linkMbps/holderLink)
	}
	return capacity
}

const (
	// maxSuccessors is how many instances are told their turn after a holder fails. An
	// availability zone can be lost with the holder, so the turn has to reach others.
	maxSuccessors = 12
	// maxSilence is how long an instance is considered alive after its last report. Instances
	// without demand report every three seconds.
	maxSilence = 4 * time.Second
	// minKnown is how long an instance must have been known to follow a holder. One that has
	// just started is still connecting to the servers.
	minKnown = 5 * time.Second
	// claimInterval separates the claims of successors. A claim is read by the others within
	// some 10 ms.
	claimInterval = 40 * time.Millisecond
	// claimSpread is the range over which the claims of equal instances without a turn are spread.
	claimSpread = 500 * time.Millisecond
	// smallClaimDelay is how long the smallest instances leave others the time to claim the lease.
	// An instance that follows an empty log learns of the first claim only when its long poll of
	// two seconds ends.
	smallClaimDelay = 3 * time.Second
)

func (c Candidate) isFit() bool { return c.Known >= minKnown && c.Silent <= maxSilence }

// Successors returns the names of the instances that should claim the lease if the holder fails,
// in that order: those with the highest capacity first, and among equal ones those known longest.
func Successors(holder string, candidates []Candidate) []string {
	fit := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.Name == holder || !c.isFit() })
	slices.SortFunc(fit, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(b.Known, a.Known), cmp.Compare(a.Name, b.Name))
	})
	names := make([]string, 0, min(len(fit), maxSuccessors))
	for _, c := range fit[:min(len(fit), maxSuccessors)] {
		names = append(names, c.Name)
	}
	return names
}

// ClaimDelay returns how long an instance waits before it claims a lease that has become free.
// successors are those that the last holder named; the others wait until these have had their
// turn. Without a turn the delay falls with the capacity. random is between 0 and 1 and spreads
// the claims of equal instances.
//
// The load pattern it answers: hundreds of instances lose the holder at the same moment. If the
// first claim wins, it is most likely one of the many that are too small to be the holder.
func ClaimDelay(self string, capacity float64, successors []string, random float64) time.Duration {
	if turn := slices.Index(successors, self); turn >= 0 {
		return time.Duration(turn) * claimInterval
	}
	capacity = min(max(capacity, 0), 1)
	delay := time.Duration((1-capacity)*float64(smallClaimDelay) + random*float64(claimSpread))
	return time.Duration(len(successors))*claimInterval + delay
}

// handoverRatio is how many times the capacity of the holder another instance must have to be
// handed the lease. Hysteresis keeps the lease from moving between nearly equal instances.
const handoverRatio = 2

// HandoverTo returns the instance that a holder in calm should release the lease to: the first
// of the successors if it has several times the holder's capacity; "" to keep the lease. heldFor
// is how long the lease has been held.
func HandoverTo(holder string, capacity float64, heldFor time.Duration, candidates []Candidate) string {
	if heldFor < minKnown {
		return ""
	}
	successors := Successors(holder, candidates)
	if len(successors) == 0 {
		return ""
	}
	best := slices.IndexFunc(candidates, func(c Candidate) bool { return c.Name == successors[0] })
	if candidates[best].Capacity <= handoverRatio*capacity {
		return ""
	}
	return successors[0]
}
