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

// Lists is every list of members that a claim has to satisfy.
type Lists struct {
	// Version is the offset of the newest record that the lists come from.
	Version port.Offset
	// Members holds the current list first, then those superseded not long ago.
	Members [][]Member
	// HandedOver names the members that have left after handing all that they
	// kept to the owners that follow them.
	HandedOver map[port.InstanceID]bool
	// Usable is false while the lists may be out of date or incomplete. Until is
	// when they get out of date.
	Usable bool
	Until  time.Time
}

// Times sets how long a History goes by what it has heard.
type Times struct {
	// Keep is Limits.Keep of the tables.
	Keep time.Duration
	// MaxRun bounds Ask.RunFor.
	MaxRun time.Duration
	// Stale is how long after the log's end was last read the lists are used.
	Stale time.Duration
	// MinMembers is how many members a list needs for claims to be made by it; 0
	// stands for 1. With 1, all work with an identity stops for a while when the
	// first instance of all dies soon after the second has joined. It must be the
	// same at all instances.
	MinMembers int
}

// window is how long a list counts after it was seen to be superseded.
func (t Times) window() time.Duration { return t.Stale + t.MaxRun + t.Keep }

// list is one list of members and when it was seen to be superseded.
type list struct {
	members    []Member
	superseded time.Time
}

// History is the lists of members that an instance has learnt from the log. It
// isn't safe for concurrent use.
//
// A claim that another instance makes at a time t goes by a list that was the
// newest on the log at t-Stale or later, and its identity is kept until
// t+MaxRun+Keep at most. So a list counts for Stale+MaxRun+Keep after it was seen
// to be superseded.
type History struct {
	times      Times
	version    port.Offset
	current    []Member
	former     []list
	handedOver map[port.InstanceID]bool
	// complete: no list is missing that still counts.
	complete  bool
	started   time.Time
	confirmed time.Time
}

// NewHistory returns an empty history. complete says that the log will be read
// from its very first record; otherwise the history is used only once every list
// that it may have missed has ceased to count, or after Import.
func NewHistory(now time.Time, times Times, complete bool) *History {
	return &History{times: times, complete: complete, started: now, handedOver: map[port.InstanceID]bool{}}
}

// Observe takes the list of members as of a record of the log. Older records
// than the newest known are ignored.
func (h *History) Observe(now time.Time, version port.Offset, members []Member) {
	if version <= h.version {
		return
	}
	if h.version > 0 {
		h.former = append(h.former, list{members: h.current, superseded: now})
	}
	h.version = version
	h.current = slices.Clone(members)
}

// Version is the offset of the newest list.
func (h *History) Version() port.Offset { return h.version }

// Complete reports whether every list that still counts is known.
func (h *History) Complete(now time.Time) bool { return h.settled(now) }

// HandOver notes that a member has handed all that it kept to the owners in the
// list of the base version without it. It is called before Observe for the record
// that takes the member off the list. It is ignored if another change of members
// came between, as the owners may be others then, and if the list without the
// member is too short to count.
func (h *History) HandOver(id port.InstanceID, base port.Offset) {
	if base != h.version || len(h.current)-1 < h.times.MinMembers {
		return
	}
	h.handedOver = maps.Clone(h.handedOver)
	h.handedOver[id] = true
}

// Confirm notes that the log has been read to its end by a read that was sent
// at the time asked: no newer list existed then.
func (h *History) Confirm(asked time.Time) { h.confirmed = asked }

// Past is what a new instance can't read from the log any more.
type Past struct {
	// Former holds the lists that still count, and Ages the times since they were
	// seen to be superseded.
	Former [][]Member
	Ages   []time.Duration
	// HandedOver names the members of these lists that have handed over.
	HandedOver []port.InstanceID
}

// Export returns the past for an instance that wasn't there. ok is false if this
// history is itself incomplete.
func (h *History) Export(now time.Time) (p Past, ok bool) {
	h.prune(now)
	for _, l := range h.former {
		p.Former = append(p.Former, l.members)
		p.Ages = append(p.Ages, now.Sub(l.superseded))
	}
	p.HandedOver = slices.Sorted(maps.Keys(h.handedOver))
	return p, h.settled(now)
}

// Import takes the past from another instance's complete history.
func (h *History) Import(now time.Time, p Past) {
	for i, members := range p.Former {
		h.former = append(h.former, list{members: members, superseded: now.Add(-p.Ages[i])})
	}
	h.handedOver = maps.Clone(h.handedOver)
	for _, id := range p.HandedOver {
		h.handedOver[id] = true
	}
	h.complete = true
}

// Lists returns the lists that a claim has to satisfy now.
func (h *History) Lists(now time.Time) Lists {
	h.prune(now)
	lists := Lists{Version: h.version, HandedOver: h.handedOver}
	lists.Members = append(lists.Members, h.current)
	for _, l := range h.former {
		if len(l.members) >= h.times.MinMembers {
			lists.Members = append(lists.Members, l.members)
		}
	}
	lists.Until = h.confirmed.Add(h.times.Stale)
	fresh := !h.confirmed.IsZero() && now.Before(lists.Until)
	lists.Usable = fresh && h.settled(now) && len(h.current) >= max(h.times.MinMembers, 1)
	return lists
}

func (h *History) settled(now time.Time) bool {
	return h.complete || now.Sub(h.started) > h.times.window()
}

// prune forgets the lists that have ceased to count, and who handed over in them.
func (h *History) prune(now time.Time) {
	before := len(h.former)
	h.former = slices.DeleteFunc(h.former, func(l list) bool {
		return now.Sub(l.superseded) > h.times.window()
	})
	if len(h.former) == before || len(h.handedOver) == 0 {
		return
	}
	kept := map[port.InstanceID]bool{}
	for _, l := range h.former {
		for _, m := range l.members {
			if h.handedOver[m.ID] {
				kept[m.ID] = true
			}
		}
	}
	h.handedOver = kept
}
