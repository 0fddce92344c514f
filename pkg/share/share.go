package share

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// Weight is the weight of a zone in a split, at least 1.
type Weight struct {
	Zone   port.Zone
	Weight int
}

func total(zones []Weight) int {
	sum := 0
	for _, z := range zones {
		sum += z.Weight
	}
	return sum
}

// Integers splits limit by the largest remainder method and returns one share per zone, in the
// order given. The shares add up to limit. Zones with equal remainders are ordered by name, so
// that the result doesn't depend on the order in which the zones are listed.
func Integers(limit int, zones []Weight) []int {
	shares := make([]int, len(zones))
	sum := total(zones)
	if sum <= 0 || limit <= 0 {
		return shares
	}
	remaining := limit
	order := make([]int, len(zones))
	for i, z := range zones {
		order[i] = i
		shares[i] = limit * z.Weight / sum
		remaining -= shares[i]
	}
	slices.SortFunc(order, func(a, b int) int {
		ra, rb := limit*zones[a].Weight%sum, limit*zones[b].Weight%sum
		if ra != rb {
			return rb - ra
		}
		return compareZones(zones[a].Zone, zones[b].Zone)
	})
	for _, i := range order[:remaining] {
		shares[i]++
	}
	return shares
}

// Fractions splits a limit in proportion to the weights, without rounding.
func Fractions(limit float64, zones []Weight) []float64 {
	shares := make([]float64, len(zones))
	sum := total(zones)
	if sum <= 0 || limit <= 0 {
		return shares
	}
	for i, z := range zones {
		shares[i] = limit * float64(z.Weight) / float64(sum)
	}
	return shares
}

// ReplicaZones returns the zones that can hold replicas of the model, best first. The zones
// are ranked by rendezvous hashing, which spreads models over the zones and moves few models
// when a zone is added or removed.
func ReplicaZones(model port.ModelID, limit int, zones []Weight) []port.Zone {
	order := rank(model, zones)
	order = order[:max(0, min(limit, len(order)))]
	names := make([]port.Zone, len(order))
	for position, i := range order {
		names[position] = zones[i].Zone
	}
	return names
}

// ReplicaShare returns how many replicas of the model the zone can hold. The shares of all
// zones add up to limit.
func ReplicaShare(model port.ModelID, limit int, zones []Weight, zone port.Zone) int {
	if limit <= 0 || len(zones) == 0 {
		return 0
	}
	each, remainder := limit/len(zones), limit%len(zones)
	for position, i := range rank(model, zones) {
		if zones[i].Zone != zone {
			continue
		}
		if position < remainder {
			return each + 1
		}
		return each
	}
	return 0
}

// rank returns the indexes of the zones ordered by their hash for the model, best first.
func rank(model port.ModelID, zones []Weight) []int {
	order := make([]int, len(zones))
	scores := make([]uint64, len(zones))
	var digest xxhash.Digest
	for i, z := range zones {
		order[i] = i
		digest.Reset()
		_, _ = digest.WriteString(string(z.Zone))
		_, _ = digest.Write([]byte{0})
		_, _ = digest.WriteString(string(model))
		scores[i] = digest.Sum64()
	}
	slices.SortFunc(order, func(a, b int) int {
		if scores[a] != scores[b] {
			if scores[a] > scores[b] {
				return -1
			}
			return 1
		}
		return compareZones(zones[a].Zone, zones[b].Zone)
	})
	return order
}

func compareZones(a, b port.Zone) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
