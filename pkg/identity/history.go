package identity

import (
	"maps"
	"slices"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// Member is one eligible instance.
type Member struct {
	ID          port.InstanceID
	Zone        port.Zone
	PeerAddress string
}

// Lists holds all member lists in which a claim needs grants.
type Lists struct {
	// Version is the log offset of the record that the current list is from.
	Version port.Offset
	// Members holds the current list first, then the former lists that still
	// count.
	Members [][]Member
	// HandedOver holds the members that have shut down after they handed all
	// their identities over to the new owners.
	HandedOver map[port.InstanceID]bool
	// Usable is false while the lists can be out of date or incomplete. Until is
	// the time at which they become out of date.
	Usable bool
	Until  time.Time
}

// Times configures how long a History uses member lists.
type Times struct {
	// Retention is the retention of identities and equals Limits.Retention.
	Retention time.Duration
	// MaxRun bounds the duration of a run, see ClaimRequest.RunFor.
	MaxRun time.Duration
	// MaxListAge is how long the lists are used after the last read that
	// reached the end of the log.
	MaxListAge time.Duration
	// MinMembers is the number of members that a list needs before claims use
	// it; 0 means 1. With 1, no request with an identity can run for a while if
	// the very first instance dies soon after the second has joined. All
	// instances must use the same value.
	MinMembers int
}

// listLifetime is how long a list still counts after this instance has observed
// that it was superseded.
func (t Times) listLifetime() time.Duration { return t.MaxListAge + t.MaxRun + t.Retention }

// memberList is a former member list and the time at which this instance
// observed that it was superseded.
type memberList struct {
	members      []Member
	supersededAt time.Time
}

// History holds the member lists that an instance has read from the log. It is
// not safe for concurrent use.
//
// A claim that another instance makes at time t uses a list that was the newest
// in the log at t-MaxListAge or later. The owners retain its identity until
// t+MaxRun+Retention at most. A list therefore counts for
// MaxListAge+MaxRun+Retention after this instance has observed that it was
// superseded.
type History struct {
	times      Times
	version    port.Offset
	current    []Member
	former     []memberList
	handedOver map[port.InstanceID]bool
	// complete is set if no list that still counts is missing.
	complete    bool
	startedAt   time.Time
	confirmedAt time.Time
}

// NewHistory returns an empty history. Set complete if the log will be read from
// its very first record. Otherwise the history becomes usable after Import, or
// once no list that it can have missed still counts.
func NewHistory(now time.Time, times Times, complete bool) *History {
	return &History{times: times, complete: complete, startedAt: now, handedOver: map[port.InstanceID]bool{}}
}

// Observe adds the member list that is valid from the log record at the offset
// version. Records that aren't newer than the current list are ignored.
func (h *History) Observe(now time.Time, version port.Offset, members []Member) {
	if version <= h.version {
		return
	}
	if h.version > 0 {
		h.former = append(h.former, memberList{members: h.current, supersededAt: now})
	}
	h.version = version
	h.current = slices.Clone(members)
}

// Version returns the log offset of the newest list.
func (h *History) Version() port.Offset { return h.version }

// Complete reports whether every list that still counts is known.
func (h *History) Complete(now time.Time) bool { return h.isComplete(now) }

// HandOver records that a member has handed all its identities over to the
// owners in the list at version base without the member itself. It must be called
// before Observe for the record that removes the member.
//
// The hand-over is ignored if the member list has changed since base, because the
// owners can then be others, and if the list without the member is shorter than
// MinMembers.
func (h *History) HandOver(id port.InstanceID, base port.Offset) {
	if base != h.version || len(h.current)-1 < h.times.MinMembers {
		return
	}
	h.handedOver = maps.Clone(h.handedOver)
	h.handedOver[id] = true
}

// Confirm records that a read sent at readStart reached the end of the log: no
// newer list existed at that time.
func (h *History) Confirm(readStart time.Time) { h.confirmedAt = readStart }

// FormerLists is the part of a History that a new instance can no longer read
// from the log.
type FormerLists struct {
	// Former holds the former lists that still count, and Ages the time since
	// each of them was observed to be superseded.
	Former [][]Member
	Ages   []time.Duration
	// HandedOver holds the members of these lists that have handed over their
	// identities.
	HandedOver []port.InstanceID
}

// Export returns the former lists for a new instance. ok is false if this history
// is incomplete itself.
func (h *History) Export(now time.Time) (lists FormerLists, ok bool) {
	h.prune(now)
	for _, l := range h.former {
		lists.Former = append(lists.Former, l.members)
		lists.Ages = append(lists.Ages, now.Sub(l.supersededAt))
	}
	lists.HandedOver = slices.Sorted(maps.Keys(h.handedOver))
	return lists, h.isComplete(now)
}

// Import adds the former lists of another instance's complete history and marks
// this history as complete.
func (h *History) Import(now time.Time, lists FormerLists) {
	for i, members := range lists.Former {
		h.former = append(h.former, memberList{members: members, supersededAt: now.Add(-lists.Ages[i])})
	}
	h.handedOver = maps.Clone(h.handedOver)
	for _, id := range lists.HandedOver {
		h.handedOver[id] = true
	}
	h.complete = true
}

// Lists returns the lists in which a claim made now needs grants.
func (h *History) Lists(now time.Time) Lists {
	h.prune(now)
	lists := Lists{Version: h.version, HandedOver: h.handedOver}
	lists.Members = append(lists.Members, h.current)
	for _, l := range h.former {
		if len(l.members) >= h.times.MinMembers {
			lists.Members = append(lists.Members, l.members)
		}
	}
	lists.Until = h.confirmedAt.Add(h.times.MaxListAge)
	fresh := !h.confirmedAt.IsZero() && now.Before(lists.Until)
	lists.Usable = fresh && h.isComplete(now) && len(h.current) >= max(h.times.MinMembers, 1)
	return lists
}

func (h *History) isComplete(now time.Time) bool {
	return h.complete || now.Sub(h.startedAt) > h.times.listLifetime()
}

// prune removes the former lists that no longer count, and the hand-overs of
// members that are in none of the remaining former lists.
func (h *History) prune(now time.Time) {
	before := len(h.former)
	h.former = slices.DeleteFunc(h.former, func(l memberList) bool {
		return now.Sub(l.supersededAt) > h.times.listLifetime()
	})
	if len(h.former) == before || len(h.handedOver) == 0 {
		return
	}
	remaining := map[port.InstanceID]bool{}
	for _, l := range h.former {
		for _, m := range l.members {
			if h.handedOver[m.ID] {
				remaining[m.ID] = true
			}
		}
	}
	h.handedOver = remaining
}
