package fleet

import (
	"fmt"
	"math/rand/v2"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/hash64"
)

// Bulletin keeps a server list in the form in which an instance tells it to others. Entries that
// differ in their sequence or in their models alone count as unchanged: servers write them about
// every second, and the placement tells the models. It isn't safe for concurrent use.
type Bulletin struct {
	id       uint64
	revision int64
	told     map[ServerID]toldEntry
	digest   uint64
}

type toldEntry struct {
	entry Entry
	// changedAt is the revision in which the entry last changed.
	changedAt int64
}

// Edition is a state of a bulletin, as one that was told of it knows it.
type Edition struct {
	// ID identifies the bulletin; 0 if none was told.
	ID uint64
	// Revision counts the changes of that bulletin.
	Revision int64
	// Digest is that of the usable servers that are known, from whomever. Lists in which requests
	// are routed alike have the same; that of an empty list is 0.
	Digest uint64
}

// NewBulletin returns an empty bulletin with an ID of its own.
func NewBulletin() *Bulletin {
	return &Bulletin{id: rand.Uint64() | 1, told: map[ServerID]toldEntry{}}
}

// Update records the newest entry of each server, and reports whether there is something new to tell.
func (b *Bulletin) Update(listing []Entry) bool {
	news := false
	for _, e := range listing {
		before, known := b.told[e.ID]
		// Another instance can know a server that was listed and removed between two updates.
		if known && !differs(before.entry, e) {
			continue
		}
		if !news {
			news = true
			b.revision++
		}
		b.digest += entryDigest(e) - entryDigest(before.entry)
		b.told[e.ID] = toldEntry{entry: e, changedAt: b.revision}
	}
	return news
}

// differs reports whether an entry differs from an earlier one in what requests are routed by, or in that the
// server was removed and restored since, which others may not know.
func differs(before, after Entry) bool {
	if before.Removed || after.Removed {
		return before.Removed != after.Removed || before.doubted != after.doubted
	}
	x, y := before.Server, after.Server
	return x.Service != y.Service || x.Address != y.Address || x.Zone != y.Zone || x.Version != y.Version ||
		x.StartedAt != y.StartedAt || x.Slots != y.Slots || x.Draining != y.Draining ||
		before.restoredAt != after.restoredAt
}

// entryDigest returns the part of an entry in the digest of a list; 0 if it has no usable server.
func entryDigest(e Entry) uint64 {
	s := e.Server
	if s == nil {
		return 0
	}
	return hash64.Mix(hash64.String(fmt.Sprintf("%q %q %q %q %q %d %d %t", s.ID, s.Service, s.Address, s.Zone, s.Version, s.StartedAt, s.Slots, s.Draining)))
}

// Edition returns the current state.
func (b *Bulletin) Edition() Edition {
	return Edition{ID: b.id, Revision: b.revision, Digest: b.digest}
}

// Since returns the entries that one who knows an edition lacks: those that have changed since, if it is
// of this bulletin, and nothing if its list is the same. Otherwise complete is true, and the entries
// are all usable servers, and the removals of those in doubt, which aren't removed up to the end of the list.
func (b *Bulletin) Since(known Edition) (changed []Entry, complete bool) {
	if known.ID != b.id && known.Digest == b.digest {
		return nil, false
	}
	complete = known.ID != b.id
	for _, told := range b.told {
		if complete && (!told.entry.Removed || told.entry.doubted) || !complete && told.changedAt > known.Revision {
			changed = append(changed, told.entry)
		}
	}
	return changed, complete
}

// HasNews reports whether one who knows an edition lacks something.
func (b *Bulletin) HasNews(known Edition) bool {
	if known.ID != b.id {
		return known.Digest != b.digest
	}
	return known.Revision < b.revision
}
