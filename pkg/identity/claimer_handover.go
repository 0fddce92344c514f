package identity

import (
	"context"
	"slices"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// HandOver closes the instance's store and sends its identities to their owners
// in the current list without this instance. ok reports whether a majority of the
// owners accepted each identity. Only then can the record that removes the
// instance from the member list declare a hand-over at version base.
func (c *Claimer) HandOver(ctx context.Context) (base port.Offset, ok bool) {
	lists := c.Lists(c.Clock.Now())
	retained := c.Store.Close()
	if len(lists.Members) == 0 {
		return 0, false
	}
	others := slices.DeleteFunc(slices.Clone(lists.Members[0]), func(m Member) bool { return m.ID == c.Self })
	perOwner, ownerCounts := assignToOwners(retained, others)
	accepted := make(map[Key]int, len(retained))
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
			accepted[k.Key]++
		}
	}
	for _, k := range retained {
		if ownerCounts[k.Key] == 0 || accepted[k.Key] <= ownerCounts[k.Key]/2 {
			return lists.Version, false
		}
	}
	return lists.Version, lists.Usable
}

// assignToOwners groups the identities by owner. It also returns the number of
// owners of each identity.
func assignToOwners(retained []RetainedIdentity, members []Member) (map[port.InstanceID][]RetainedIdentity, map[Key]int) {
	perOwner := map[port.InstanceID][]RetainedIdentity{}
	ownerCounts := map[Key]int{}
	for _, k := range retained {
		for _, owner := range Owners(k.Key, members) {
			perOwner[owner.ID] = append(perOwner[owner.ID], k)
			ownerCounts[k.Key]++
		}
	}
	return perOwner, ownerCounts
}
