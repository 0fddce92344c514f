package fleet

// Bulletin keeps a server list in the form in which an instance tells it to others. Entries that
// differ in their sequence or in their models alone count as unchanged: servers write them about
// every second, and the placement tells the models. It isn't safe for concurrent use.
type Bulletin struct {
	// since is the offset of the list from which on all changes are known; -1 if none are.
	since, end int64
	told       map[ServerID]toldEntry
}

type toldEntry struct {
	entry Entry
	// changedAt is the end of the list when the entry last changed.
	changedAt int64
}

// NewBulletin returns an empty bulletin.
func NewBulletin() *Bulletin {
	return &Bulletin{since: -1, end: -1, told: map[ServerID]toldEntry{}}
}

// Update records the newest entries of the list up to an offset, and reports whether there is
// something new to tell.
func (b *Bulletin) Update(listing []Entry, end int64) bool {
	if b.since < 0 {
		b.since = end
	}
	last, news := b.end, false
	b.end = max(b.end, end)
	for _, e := range listing {
		before, known := b.told[e.ID]
		if !known && e.Removed || known && !differs(before.entry, e) {
			continue
		}
		if b.end == last {
			// Others have been told up to this offset without the change.
			b.end++
		}
		b.told[e.ID] = toldEntry{entry: e, changedAt: b.end}
		news = true
	}
	return news
}

// differs reports whether an entry differs from an earlier one in what requests are routed by.
func differs(before, after Entry) bool {
	if before.Removed || after.Removed {
		return before.Removed != after.Removed
	}
	x, y := before.Server, after.Server
	return x.Service != y.Service || x.Address != y.Address || x.Zone != y.Zone || x.Version != y.Version ||
		x.StartedAt != y.StartedAt || x.Slots != y.Slots || x.Draining != y.Draining
}

// End returns the highest offset up to which the list was known; -1 if it wasn't. It doesn't fall
// if the store comes back from an older copy of the list, and can be higher than the list's end by
// the changes that were found without a new record.
func (b *Bulletin) End() int64 { return b.end }

// Since returns the entries that have changed since an offset of the list, up to which the
// recipient knows it. If the recipient may hold servers whose removal isn't known here, complete
// is true and the entries are all usable servers.
func (b *Bulletin) Since(offset int64) (changed []Entry, complete bool) {
	complete = offset < b.since
	for _, told := range b.told {
		if complete && !told.entry.Removed || !complete && told.changedAt > offset {
			changed = append(changed, told.entry)
		}
	}
	return changed, complete
}

// HasNews reports whether an entry has changed since an offset of the list.
func (b *Bulletin) HasNews(offset int64) bool {
	for _, told := range b.told {
		if told.changedAt > offset {
			return true
		}
	}
	return false
}
