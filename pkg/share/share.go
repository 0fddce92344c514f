package share

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// Weight is a zone's part in a split. Weights are at least 1.
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

// Integers splits limit by the largest remainder and returns one share for each
// zone, in the order given. The shares add up to limit. Of zones with equal
// remainders the one with the smaller name goes first, so that the order in
// which zones are listed has no influence.
func Integers(limit int, zones []Weight) []int {
	shares := make([]int, len(zones))
	sum := total(zones)
	if sum <= 0 || limit <= 0 {
		return shares
	}
	left := limit
	order := make([]int, len(zones))
	for i, z := range zones {
		order[i] = i
		shares[i] = limit * z.Weight / sum
		left -= shares[i]
	}
	slices.SortFunc(order, func(a, b int) int {
		ra, rb := limit*zones[a].Weight%sum, limit*zones[b].Weight%sum
		if ra != rb {
			return rb - ra
		}
		return compare(zones[a].Zone, zones[b].Zone)
	})
	for _, i := range order[:left] {
		shares[i]++
	}
	return shares
}

// Fractions splits a limit that need not be whole.
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

// ReplicaZones returns the zones that may hold replicas of the model, best
// first. The zones are ranked by rendezvous hashing, so that models spread over
// the zones, and a model keeps its zones when others come or go.
func ReplicaZones(model port.ModelID, limit int, zones []Weight) []port.Zone {
	order := rank(model, zones)
	order = order[:max(0, min(limit, len(order)))]
	names := make([]port.Zone, len(order))
	for place, i := range order {
		names[place] = zones[i].Zone
	}
	return names
}

// ReplicaShare returns how many replicas of the model the zone may hold. Over
// all zones the shares add up to limit.
func ReplicaShare(model port.ModelID, limit int, zones []Weight, zone port.Zone) int {
	if limit <= 0 || len(zones) == 0 {
		return 0
	}
	each, left := limit/len(zones), limit%len(zones)
	for place, i := range rank(model, zones) {
		if zones[i].Zone != zone {
			continue
		}
		if place < left {
			return each + 1
		}
		return each
	}
	return 0
}

// rank orders the zones' indexes by their score for the model, best first.
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
		return compare(zones[a].Zone, zones[b].Zone)
	})
	return order
}

func compare(a, b port.Zone) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
