package placement

import (
	"cmp"
	"slices"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/ledger"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// evictionUnit is a set of replicas that are unloaded together: a single replica, or a base
// model with all of its adapters, which precede it.
type evictionUnit struct {
	allocations []ledger.Allocation
	bytes       int64
	worth       float64
}

func (u *evictionUnit) add(v *View, a ledger.Allocation) {
	u.allocations = append(u.allocations, a)
	u.bytes += a.Bytes
	u.worth += v.worth(a.Model)
}

func (u *evictionUnit) has(a ledger.Allocation) bool {
	return slices.ContainsFunc(u.allocations, func(o ledger.Allocation) bool { return o.Model == a.Model })
}

// planEviction chooses the replicas to unload for the candidate's loads. It returns how many
// bytes of memory are still lacking after that; zero if the loads fit.
func (v *View) planEviction(c *candidate, r *Request) int64 {
	usage := v.Ledger.Usage(c.server.ID)
	lacking := -usage.Free()
	for _, l := range c.loads {
		lacking += l.Model.Bytes
	}
	if lacking <= 0 {
		return 0
	}
	c.pending = true
	lacking -= usage.Unloading
	if lacking <= 0 {
		return 0
	}
	var chosen []evictionUnit
	for _, u := range v.evictable(c.server.ID, r) {
		u.exclude(chosen)
		if u.bytes == 0 {
			continue
		}
		chosen = append(chosen, u)
		lacking -= u.bytes
		if lacking <= 0 {
			c.evict = v.trimEvictions(chosen, -lacking)
			return 0
		}
	}
	return lacking
}

// exclude removes from the unit the replicas that the chosen units already contain.
func (u *evictionUnit) exclude(chosen []evictionUnit) {
	u.allocations = slices.DeleteFunc(u.allocations, func(a ledger.Allocation) bool {
		contained := slices.ContainsFunc(chosen, func(o evictionUnit) bool { return o.has(a) })
		if contained {
			u.bytes -= a.Bytes
		}
		return contained
	})
}

// trimEvictions returns the replicas of the chosen units without the units that later, larger
// ones made unnecessary. The units with the highest worth per byte are removed from the list
// first. Adapters of a base model that is unloaded stay in the list.
func (v *View) trimEvictions(chosen []evictionUnit, surplus int64) []ledger.Allocation {
	unloaded := func(model port.ModelID) bool {
		return slices.ContainsFunc(chosen, func(u evictionUnit) bool { return u.has(ledger.Allocation{Model: model}) })
	}
	for i, u := range slices.Backward(chosen) {
		base := v.baseOf(u.allocations[len(u.allocations)-1].Model)
		if u.bytes <= surplus && (base == "" || !unloaded(base)) {
			surplus -= u.bytes
			chosen = slices.Delete(chosen, i, i+1)
		}
	}
	var allocations []ledger.Allocation
	for _, u := range chosen {
		allocations = append(allocations, u.allocations...)
	}
	return allocations
}

// evictable returns the units that can be unloaded from a server, lowest worth per byte first.
func (v *View) evictable(server port.ServerID, r *Request) []evictionUnit {
	adapters := map[port.ModelID][]ledger.Allocation{}
	for allocation := range v.Ledger.Allocations(server) {
		if base := v.baseOf(allocation.Model); base != "" {
			adapters[base] = append(adapters[base], allocation)
		}
	}
	var units []evictionUnit
	for allocation := range v.Ledger.Allocations(server) {
		if allocation.Model == r.Model.Base {
			continue
		}
		var u evictionUnit
		for _, adapter := range adapters[allocation.Model] {
			u.add(v, adapter)
		}
		u.add(v, allocation)
		if v.canUnload(server, u.allocations) {
			units = append(units, u)
		}
	}
	slices.SortStableFunc(units, func(a, b evictionUnit) int {
		return cmp.Compare(a.worth/float64(max(1, a.bytes)), b.worth/float64(max(1, b.bytes)))
	})
	return units
}

// canUnload reports whether all of the replicas can be unloaded now.
func (v *View) canUnload(server port.ServerID, allocations []ledger.Allocation) bool {
	return !slices.ContainsFunc(allocations, func(a ledger.Allocation) bool {
		return !a.Loaded || a.Unload != "" || v.busy(server, a.Model)
	})
}
