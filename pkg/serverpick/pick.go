// Package serverpick chooses the backend server for one request by filtering a list of candidates
// and estimating for each the time until its answer begins. Many entry instances choose at the
// same time from delayed load reports, so each instance counts its own requests exactly and those
// of all others as last reported, fading to the usual number.
// Requests with the same affinity key go to the same server unless waiting there takes longer
// than reading the shared parts of the prompt again.
package serverpick

import (
	"math"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/hash64"
)

// crossZoneRequests is how many requests more a server of the own zone may have, because
// traffic between zones is billed and takes longer.
const crossZoneRequests = 1.2

// Candidate is a server that can receive the request.
type Candidate struct {
	ID string
	// Hash is HashID(ID), or 0 if it hasn't been computed.
	Hash     uint64
	SameZone bool
	Slots    int
	Load     Load
	// Slowness is how many times as long work takes on the server now as on the mean of its
	// service; 0 counts as 1.
	Slowness float64
	// Usable is false for a server that outlier detection has ejected.
	Usable bool
	// Tried is true for a server that an earlier attempt of the request was sent to.
	Tried bool
	// NeedsPermit is true for a server that states a rate limit, while the instance has no
	// permit for it.
	NeedsPermit bool
	// Paced is true for a server that isn't to get another request yet.
	Paced bool

	// cost is set by Pick; it is negative if the candidate can't be picked.
	cost float64
}

func (c *Candidate) slowness() float64 {
	if c.Slowness <= 0 {
		return 1
	}
	return c.Slowness
}

// Request holds the properties of a request that affect the choice.
type Request struct {
	// Affinity is a key for requests that should go to the same server; empty if there is no
	// preference.
	Affinity string
	// SharedReading is the time to read the parts of the prompt that Affinity stands for.
	SharedReading time.Duration
	// Reading is the time to read the whole prompt at a server of normal speed.
	Reading time.Duration
	// Objective is the latency objective, which the time to read the backlog of a server is
	// compared with; 0 if the backlog doesn't matter.
	Objective time.Duration
	// WaitForSlot requests wait for a free slot rather than join a server's queue.
	WaitForSlot bool
	// Spread is how many requests more a server may have than the best one and count as equal to
	// it, because the loads are known with a delay; 0 if they are known exactly. The better one of
	// two servers drawn by Random among these is picked, so that instances that choose at the same
	// time don't all choose the same server.
	Spread float64
	Random uint64
	// WithoutPermit chooses among all servers, also those that NeedsPermit excludes.
	WithoutPermit bool
}

// Pick returns the index of the chosen candidate. It returns -1 if there is no candidate left,
// or if the request waits for a slot and none is free. It overwrites unexported fields of the
// candidates and doesn't allocate.
func Pick(req Request, candidates []Candidate) int {
	least := req.setCosts(candidates, false)
	if least < 0 && !req.hasUsable(candidates) {
		least = req.setCosts(candidates, true)
	}
	if least < 0 {
		return -1
	}
	if req.Affinity != "" {
		return req.pickByAffinity(candidates, least)
	}
	if req.Spread > 0 {
		return req.pickOfTwo(candidates, least)
	}
	return least
}

// setCosts sets the costs of the candidates that can be picked: the time until the first event of an
// answer in seconds, plus the utilization of the server as a part of the latency objective, plus a
// penalty if it is in another zone. Without an objective the times don't count. It returns the
// index of the one with the lowest cost, or -1. Ejected servers can be picked only if there are no others.
func (r *Request) setCosts(candidates []Candidate, ejected bool) int {
	least, lowest := -1, math.Inf(1)
	unit, timed, reading := r.unit(), r.Objective > 0, float64(r.Reading)
	// Servers of a service have nearly always these in common, which saves divisions.
	slots, perRequest := 0, 0.0
	holding, rate := time.Duration(0), 0.0
	for i := range candidates {
		c := &candidates[i]
		if c.Tried || c.Usable == ejected || c.Paced || c.NeedsPermit && !r.WithoutPermit {
			c.cost = -1
			continue
		}
		if n := max(c.Slots, 1); n != slots {
			slots, perRequest = n, unit/float64(n)
		}
		if h := c.Load.holding(); h != holding {
			holding, rate = h, fadeRate(h)
		}
		requests := c.Load.requestsAt(rate)
		free := float64(slots) - requests
		if r.WaitForSlot && free <= minFree {
			c.cost = -1
			continue
		}
		cost := requests * perRequest
		if timed {
			// As in FirstEvent; a call takes longer than the calculation.
			wait := reading + float64(c.Load.backlog())
			if free < 1 {
				wait += c.Load.slotWait(free, slots)
			}
			cost += wait * secondsPerNanosecond
		}
		cost *= c.slowness()
		if !c.SameZone {
			cost += crossZoneRequests * perRequest
		}
		c.cost = cost
		if cost < lowest {
			least, lowest = i, cost
		}
	}
	return least
}

// minFree is the number of free slots from which a slot counts as free; the number of requests is
// an estimate and isn't whole.
const minFree = 0.5

// hasUsable reports whether a server is left that isn't ejected, though it may have no room now.
func (r *Request) hasUsable(candidates []Candidate) bool {
	for i := range candidates {
		if c := &candidates[i]; c.Usable && !c.Tried {
			return true
		}
	}
	return false
}

// pickOfTwo returns the better one of two candidates drawn from those whose costs are equal to the
// lowest one as far as is known. In another zone than the best one there is no such tolerance.
func (r *Request) pickOfTwo(candidates []Candidate, least int) int {
	best := &candidates[least]
	bound := best.cost + best.slowness()*r.unit()/float64(max(best.Slots, 1))*r.Spread
	near := 0
	for i := range candidates {
		if candidates[i].near(best, bound) {
			near++
		}
	}
	if near < 2 {
		return least
	}
	random := hash64.Mix(r.Random)
	first, second := int(random%uint64(near)), int((random>>32)%uint64(near-1))
	if second >= first {
		second++
	}
	one, n := -1, 0
	for i := range candidates {
		if !candidates[i].near(best, bound) {
			continue
		}
		if n == first || n == second {
			if one >= 0 {
				// Without the random bit, the first of equal servers would be preferred.
				if tie := candidates[i].cost == candidates[one].cost; candidates[i].cost < candidates[one].cost || tie && random>>63 == 1 {
					return i
				}
				return one
			}
			one = i
		}
		n++
	}
	return least
}

// near reports whether a candidate costs as much as the best one as far as is known.
func (c *Candidate) near(best *Candidate, bound float64) bool {
	return c.cost >= 0 && c.cost <= bound && (c.SameZone == best.SameZone || c.cost <= best.cost)
}

// pickByAffinity returns the server that rendezvous hashing names for the affinity, among those
// whose cost exceeds the lowest one by no more than the shared parts of the prompt are worth.
func (r *Request) pickByAffinity(candidates []Candidate, least int) int {
	bound := candidates[least].cost
	if r.Objective > 0 {
		bound += r.SharedReading.Seconds()
	}
	key := hash64.String(r.Affinity)
	best, bestWeight := least, uint64(0)
	for i := range candidates {
		c := &candidates[i]
		if c.cost < 0 || c.cost > bound {
			continue
		}
		hash := c.Hash
		if hash == 0 {
			hash = HashID(c.ID)
		}
		if weight := hash64.Mix(key ^ hash); weight >= bestWeight {
			best, bestWeight = i, weight
		}
	}
	return best
}

// unit is the cost of a server whose slots are all in use.
func (r *Request) unit() float64 {
	if r.Objective <= 0 {
		return 1
	}
	return float64(r.Objective) * secondsPerNanosecond
}

// HashID returns the hash of a server for rendezvous hashing.
func HashID(id string) uint64 { return hash64.Mix(hash64.String(id)) }
