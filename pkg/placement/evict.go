package placement

import (
	"cmp"
	"slices"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/ledger"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// unit is what is unloaded together: one replica, or a base model after all of
// its adapters.
type unit struct {
	holds []ledger.Hold
	bytes int64
	worth float64
}

func (u *unit) add(v *View, h ledger.Hold) {
	u.holds = append(u.holds, h)
	u.bytes += h.Bytes
	u.worth += v.worth(h.Model)
}

func (u *unit) has(h ledger.Hold) bool {
	return slices.ContainsFunc(u.holds, func(o ledger.Hold) bool { return o.Model == h.Model })
}

// makeRoom chooses what to unload. It returns how much memory is lacking even
// then; zero if the loads fit.
func (v *View) makeRoom(c *candidate, r *Request) int64 {
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
	var chosen []unit
	for _, u := range v.evictable(c.server.ID, r) {
		u.without(chosen)
		if u.bytes == 0 {
			continue
		}
		chosen = append(chosen, u)
		lacking -= u.bytes
		if lacking <= 0 {
			c.evict = v.spare(chosen, -lacking)
			return 0
		}
	}
	return lacking
}

// without takes out of the unit what the chosen ones unload already.
func (u *unit) without(chosen []unit) {
	u.holds = slices.DeleteFunc(u.holds, func(h ledger.Hold) bool {
		taken := slices.ContainsFunc(chosen, func(o unit) bool { return o.has(h) })
		if taken {
			u.bytes -= h.Bytes
		}
		return taken
	})
}

// spare returns what to unload of the chosen units. Those that a larger one,
// chosen later, has made needless are spared, most worth first, unless they are
// adapters of a base model that goes.
func (v *View) spare(chosen []unit, surplus int64) []ledger.Hold {
	goes := func(model port.ModelID) bool {
		return slices.ContainsFunc(chosen, func(u unit) bool { return u.has(ledger.Hold{Model: model}) })
	}
	for i, u := range slices.Backward(chosen) {
		base := v.baseOf(u.holds[len(u.holds)-1].Model)
		if u.bytes <= surplus && (base == "" || !goes(base)) {
			surplus -= u.bytes
			chosen = slices.Delete(chosen, i, i+1)
		}
	}
	var holds []ledger.Hold
	for _, u := range chosen {
		holds = append(holds, u.holds...)
	}
	return holds
}

// evictable returns what may be unloaded of a server, least worth per byte
// first.
func (v *View) evictable(server port.ServerID, r *Request) []unit {
	adapters := map[port.ModelID][]ledger.Hold{}
	for hold := range v.Ledger.Holds(server) {
		if base := v.baseOf(hold.Model); base != "" {
			adapters[base] = append(adapters[base], hold)
		}
	}
	var units []unit
	for hold := range v.Ledger.Holds(server) {
		if hold.Model == r.Model.Base {
			continue
		}
		var u unit
		for _, adapter := range adapters[hold.Model] {
			u.add(v, adapter)
		}
		u.add(v, hold)
		if v.idle(server, u.holds) {
			units = append(units, u)
		}
	}
	slices.SortStableFunc(units, func(a, b unit) int {
		return cmp.Compare(a.worth/float64(max(1, a.bytes)), b.worth/float64(max(1, b.bytes)))
	})
	return units
}

// idle reports whether all of the replicas may be unloaded now.
func (v *View) idle(server port.ServerID, holds []ledger.Hold) bool {
	return !slices.ContainsFunc(holds, func(h ledger.Hold) bool {
		return !h.Loaded || h.Unload != "" || v.busy(server, h.Model)
	})
}
