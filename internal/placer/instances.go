package placer

import (
	"math/rand/v2"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/leaderlease"
)

// instanceTTL is how long an instance is counted after its last report. An instance that is
// unreachable for a while still uses the limits that all instances share.
const instanceTTL = 20 * time.Second

// instanceRegistry tracks the instances that report. It isn't safe for concurrent use.
type instanceRegistry struct {
	byName map[string]*registeredInstance
	// version changes with the addresses. It starts at random, so that instances that have the
	// addresses of another registry don't take them for those of this one.
	version uint64
	// addressList are the addresses of that version.
	addressList []string
}

type registeredInstance struct {
	since, at time.Time
	address   string
	capacity  float64
}

func newInstanceRegistry() *instanceRegistry {
	return &instanceRegistry{byName: map[string]*registeredInstance{}, version: rand.Uint64() | 1}
}

// add records a report of an instance.
func (r *instanceRegistry) add(instance, address string, capacity float64, now time.Time) {
	known := r.byName[instance]
	if known == nil {
		known = &registeredInstance{since: now}
		r.byName[instance] = known
	}
	if known.address != address {
		known.address, r.addressList = address, nil
	}
	known.at, known.capacity = now, capacity
}

// addresses returns the addresses of the instances that have reported within instanceTTL, and
// their version. The caller must not modify them.
func (r *instanceRegistry) addresses(now time.Time) ([]string, uint64) {
	for name, known := range r.byName {
		if now.Sub(known.at) > instanceTTL {
			delete(r.byName, name)
			r.addressList = nil
		}
	}
	if r.addressList == nil {
		r.version++
		r.addressList = make([]string, 0, len(r.byName))
		for _, known := range r.byName {
			r.addressList = append(r.addressList, known.address)
		}
	}
	return r.addressList, r.version
}

// candidates returns the instances as candidates for the lease.
func (r *instanceRegistry) candidates(now time.Time) []leaderlease.Candidate {
	out := make([]leaderlease.Candidate, 0, len(r.byName))
	for name, known := range r.byName {
		out = append(out, leaderlease.Candidate{
			Name: name, Capacity: known.capacity, Known: now.Sub(known.since), Silent: now.Sub(known.at),
		})
	}
	return out
}
