package storemirror

import "github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"

// formerBulletin is the bulletin of builds that tell by offsets of the list alone.
type formerBulletin struct {
	since, end int64
	told       map[fleet.ServerID]formerEntry
}

type formerEntry struct {
	entry     fleet.Entry
	changedAt int64
}

func newFormerBulletin() *formerBulletin {
	return &formerBulletin{since: -1, end: -1, told: map[fleet.ServerID]formerEntry{}}
}

func (b *formerBulletin) Update(listing []fleet.Entry, end int64) {
	if b.since < 0 {
		b.since = end
	}
	last := b.end
	b.end = max(b.end, end)
	for _, e := range listing {
		before, known := b.told[e.ID]
		same := before.entry.Removed == e.Removed && (e.Removed || before.entry.Server != nil &&
			before.entry.Server.StartedAt == e.Server.StartedAt && before.entry.Server.Draining == e.Server.Draining)
		if !known && e.Removed || known && same {
			continue
		}
		if b.end == last {
			b.end++
		}
		b.told[e.ID] = formerEntry{entry: e, changedAt: b.end}
	}
}

// tell returns what such a build tells in place of some news.
func (b *formerBulletin) tell(n News, known Knowledge) News {
	out := News{Held: n.Held, ListEnd: fleet.Position{Offset: b.end}, ListAge: n.ListAge, Complete: known.ListEnd.Offset < b.since}
	for _, told := range b.told {
		if out.Complete && !told.entry.Removed || !out.Complete && told.changedAt > known.ListEnd.Offset {
			out.Entries = append(out.Entries, told.entry)
		}
	}
	return out
}
