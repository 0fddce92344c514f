// Package serverpick chooses the backend server for one request by filtering and scoring a
// list of candidates. Many entry instances choose at the same time from delayed load reports,
// so each instance counts its own requests exactly and those of all others as last reported.
// Requests with the same affinity key go to the same server unless waiting there takes longer
// than reading the shared parts of the prompt again.
package serverpick

import (
	"slices"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/hash64"
)

const (
	// loadMaxAge is the age up to which a load report is used. Requests take a few hundred
	// milliseconds.
	loadMaxAge = 2 * time.Second
	// crossZoneRequests is how many requests more a server of the own zone may have, because
	// traffic between zones is billed and takes longer.
	crossZoneRequests = 1.2
)

// Load is the known load of a server.
type Load struct {
	// InFlight is the number of this instance's requests in flight on the server.
	InFlight int64
	// Reported is the number of requests running and waiting on the server in its last report.
	// InFlightAtReport is how many of these were this instance's.
	Reported, InFlightAtReport int64
	// Age is the age of the report; negative if there is none.
	Age time.Duration
	// Unread is the expected time until the server has read the prompts of this instance's
	// requests. OthersUnread is that of the other requests that waited in the last report.
	Unread, OthersUnread time.Duration
}

// Backlog returns the expected time until the server begins to read another prompt. What others
// had waiting is taken to have been read since.
func (l Load) Backlog() time.Duration {
	if l.Age < 0 || l.Age > loadMaxAge {
		return l.Unread
	}
	return l.Unread + max(l.OthersUnread-l.Age, 0)
}

// Estimate returns the estimated number of requests on the server from all instances.
func (l Load) Estimate() int64 {
	if l.Age < 0 || l.Age > loadMaxAge {
		return l.InFlight
	}
	return l.InFlight + max(l.Reported-l.InFlightAtReport, 0)
}

// Candidate is a server that can receive the request.
type Candidate struct {
	ID       string
	SameZone bool
	Slots    int
	Load     Load
	// Usable is false for a server that outlier detection has ejected.
	Usable bool
	// Tried is true for a server that an earlier attempt of the request was sent to.
	Tried bool
	// NeedsPermit is true for a server that states a rate limit, while the instance has no
	// permit for it.
	NeedsPermit bool
	// Paced is true for a server that isn't to get another request yet.
	Paced bool
}

// Request holds the properties of a request that affect the choice.
type Request struct {
	// Affinity is a key for requests that should go to the same server; empty if there is no
	// preference.
	Affinity string
	// SharedReading is the time to read the parts of the prompt that Affinity stands for.
	SharedReading time.Duration
	// Objective is the latency objective, which the time to read the backlog of a server is
	// compared with; 0 if the backlog doesn't matter.
	Objective time.Duration
	// WaitForSlot requests wait for a free slot rather than join a server's queue.
	WaitForSlot bool
	// WithoutPermit chooses among all servers, also those that NeedsPermit excludes.
	WithoutPermit bool
}

// Pick returns the index of the chosen candidate. It returns -1 if there is no candidate left,
// or if the request waits for a slot and none is free.
func Pick(req Request, candidates []Candidate) int {
	usable := notPaced(candidates, untried(candidates))
	if !req.WithoutPermit {
		usable = withPermit(candidates, usable)
	}
	if req.WaitForSlot {
		usable = withFreeSlot(candidates, usable)
	}
	if len(usable) == 0 {
		return -1
	}
	least := usable[0]
	for _, i := range usable[1:] {
		if req.cost(candidates[i]) < req.cost(candidates[least]) {
			least = i
		}
	}
	if req.Affinity == "" {
		return least
	}
	bound := req.cost(candidates[least]) + req.share(req.SharedReading)
	best, bestWeight := least, uint64(0)
	for _, i := range usable {
		if req.cost(candidates[i]) > bound {
			continue
		}
		if weight := rendezvousHash(req.Affinity, candidates[i].ID); weight >= bestWeight {
			best, bestWeight = i, weight
		}
	}
	return best
}

// notPaced returns the servers that can get a request now.
func notPaced(candidates []Candidate, usable []int) []int {
	return slices.DeleteFunc(usable, func(i int) bool { return candidates[i].Paced })
}

// withPermit returns the servers that can be sent a request within their rate limits.
func withPermit(candidates []Candidate, usable []int) []int {
	return slices.DeleteFunc(usable, func(i int) bool { return candidates[i].NeedsPermit })
}

// withFreeSlot returns the servers that have a free slot.
func withFreeSlot(candidates []Candidate, usable []int) []int {
	return slices.DeleteFunc(usable, func(i int) bool { return utilization(candidates[i]) >= 1 })
}

// untried returns the indexes of the servers without an earlier attempt of the request.
// Ejected servers are included only if there are no others.
func untried(candidates []Candidate) []int {
	var usable, ejected []int
	for i, c := range candidates {
		switch {
		case c.Tried:
		case c.Usable:
			usable = append(usable, i)
		default:
			ejected = append(ejected, i)
		}
	}
	if len(usable) > 0 {
		return usable
	}
	return ejected
}

// utilization returns the estimated number of requests per slot.
func utilization(c Candidate) float64 {
	return float64(c.Load.Estimate()) / float64(max(c.Slots, 1))
}

// cost is the utilization of a server, plus the share of the latency objective that its backlog
// takes, plus a penalty if it is in another zone.
func (r *Request) cost(c Candidate) float64 {
	cost := utilization(c) + r.share(c.Load.Backlog())
	if !c.SameZone {
		cost += crossZoneRequests / float64(max(c.Slots, 1))
	}
	return cost
}

// share returns a time as a share of the latency objective.
func (r *Request) share(t time.Duration) float64 {
	if r.Objective <= 0 {
		return 0
	}
	return t.Seconds() / r.Objective.Seconds()
}

// rendezvousHash returns the weight of a server for a key, for rendezvous hashing.
func rendezvousHash(key, server string) uint64 {
	return hash64.Mix(hash64.String(key) ^ hash64.Mix(hash64.String(server)))
}
