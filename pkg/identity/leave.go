package identity

import (
	"context"
	"slices"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// HandOver closes the instance's store and passes what it kept to the owners in
// the current list without the instance. With ok, the record that takes the
// instance off the list may say that it has handed over on the base version.
func (c *Claimer) HandOver(ctx context.Context) (base port.Offset, ok bool) {
	lists := c.Lists(c.Clock.Now())
	kept := c.Store.Close()
	if len(lists.Members) == 0 {
		return 0, false
	}
	others := slices.DeleteFunc(slices.Clone(lists.Members[0]), func(m Member) bool { return m.ID == c.Self })
	perOwner, copies := spread(kept, others)
	taken := make(map[Key]int, len(kept))
	for i := range others {
		batch := perOwner[others[i].ID]
		if len(batch) == 0 {
			continue
		}
		n, err := c.Peers.HandOver(ctx, others[i], batch)
		if err != nil {
			continue
		}
		for _, k := range batch[:min(n, len(batch))] {
			taken[k.Key]++
		}
	}
	for _, k := range kept {
		if copies[k.Key] == 0 || taken[k.Key] <= copies[k.Key]/2 {
			return lists.Version, false
		}
	}
	return lists.Version, lists.Usable
}

// spread lists what each owner gets, and how many owners each identity has.
func spread(kept []Kept, members []Member) (map[port.InstanceID][]Kept, map[Key]int) {
	perOwner := map[port.InstanceID][]Kept{}
	copies := map[Key]int{}
	for _, k := range kept {
		for _, owner := range Owners(k.Key, members) {
			perOwner[owner.ID] = append(perOwner[owner.ID], k)
			copies[k.Key]++
		}
	}
	return perOwner, copies
}
