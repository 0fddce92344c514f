// Package serverpick chooses the backend server for one request: filter, score,
// pick over an immutable list of candidates. It answers the load of many entry
// instances that choose at the same moment from lagging reports: each counts its
// own requests exactly and everybody else's as last reported, and requests that
// share a prompt go to the same server unless that is clearly busier.
package serverpick

import (
	"slices"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/hash64"
)

const (
	// loadFresh is how long what a server said of its load is believed. Requests
	// last some hundred milliseconds.
	loadFresh = 2 * time.Second
	// affinitySlack is the part of its slots by which the server that keeps a
	// prompt may be busier than the least loaded one: reading a short prompt anew
	// costs less than queueing.
	affinitySlack = 0.15
	// zoneCost is the part of its slots by which a server of the own zone may be busier
	// than another: what goes between zones is paid for and takes longer.
	zoneCost = 0.2
)

// Load is what is known of a server's load.
type Load struct {
	// Own is how many requests of this instance are under way there.
	Own int64
	// Reported is the number of requests running and waiting there, as last
	// said, OwnThen how many of these were this instance's.
	Reported, OwnThen int64
	// Age is the age of the report; negative if there is none.
	Age time.Duration
}

// Estimate returns the number of requests that the server has, all instances'
// together.
func (l Load) Estimate() int64 {
	if l.Age < 0 || l.Age > loadFresh {
		return l.Own
	}
	return l.Own + max(l.Reported-l.OwnThen, 0)
}

// Candidate is a server that may take the request.
type Candidate struct {
	ID       string
	SameZone bool
	Slots    int
	Load     Load
	// Usable is false for a server that was ejected for its failures.
	Usable bool
	// Tried is true for a server that the request was sent to before.
	Tried bool
}

// Request is what of a request matters to the choice.
type Request struct {
	// Affinity names what requests share that should meet at one server; empty
	// if nothing.
	Affinity string
	// Patient requests wait for a free slot rather than join a server's queue.
	Patient bool
}

// Pick returns the index of the chosen candidate, or -1 if the request should
// wait: every usable server is full.
func Pick(req Request, candidates []Candidate) int {
	usable := filter(candidates)
	if req.Patient {
		usable = withRoom(candidates, usable)
	}
	if len(usable) == 0 {
		return -1
	}
	least := usable[0]
	for _, i := range usable[1:] {
		if better(candidates[i], candidates[least]) {
			least = i
		}
	}
	if req.Affinity == "" {
		return least
	}
	bound := cost(candidates[least]) + affinitySlack
	best, bestWeight := least, uint64(0)
	for _, i := range usable {
		if cost(candidates[i]) > bound {
			continue
		}
		if weight := rendezvous(req.Affinity, candidates[i].ID); weight >= bestWeight {
			best, bestWeight = i, weight
		}
	}
	return best
}

// withRoom keeps servers with a free slot.
func withRoom(candidates []Candidate, usable []int) []int {
	return slices.DeleteFunc(usable, func(i int) bool { return fill(candidates[i]) >= 1 })
}

// filter keeps servers that weren't tried and aren't ejected. Servers that fail
// are still better than none.
func filter(candidates []Candidate) []int {
	var fresh, untried []int
	for i, c := range candidates {
		switch {
		case c.Tried:
		case c.Usable:
			fresh = append(fresh, i)
		default:
			untried = append(untried, i)
		}
	}
	if len(fresh) > 0 {
		return fresh
	}
	return untried
}

func fill(c Candidate) float64 {
	return float64(c.Load.Estimate()) / float64(max(c.Slots, 1))
}

// cost is how full a server is, and more in another zone.
func cost(c Candidate) float64 {
	if c.SameZone {
		return fill(c)
	}
	return fill(c) + zoneCost
}

func better(a, b Candidate) bool { return cost(a) < cost(b) }

// rendezvous weighs a server for a key, so that each key prefers its own servers.
func rendezvous(key, server string) uint64 {
	return hash64.Mix(hash64.String(key) ^ hash64.Mix(hash64.String(server)))
}
