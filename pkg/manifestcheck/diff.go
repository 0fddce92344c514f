package manifestcheck

import "github.com/cyclamenhoist/cyclamenhoist/pkg/account"

// Entry is an entry of a manifest for a comparison.
type Entry struct {
	// Kind and Name identify the entry, such as "route" and the route's name.
	Kind, Name string
	// Values are the entry's fields. Entries of one kind have the same fields in the same order.
	Values []Value
	// Keys are the digests of an account's keys.
	Keys []account.Digest
}

// Value is the value of a field, in the document's format.
type Value struct{ Name, Value string }

// Action is what happened to an entry.
type Action string

// The actions.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// Change is a difference between two manifests.
type Change struct {
	Action     Action
	Kind, Name string
	// Fields are the values that differ; empty for entries that were added or removed.
	Fields []FieldChange
	// KeysAdded and KeysRemoved count keys of an account. A key that was given twice counts once.
	KeysAdded, KeysRemoved int
}

// FieldChange is a value that differs.
type FieldChange struct{ Name, Old, New string }

// identity identifies an entry. Count tells entries of one kind and name apart.
type identity struct {
	kind, name string
	count      int
}

func identities(entries []Entry) []identity {
	out := make([]identity, len(entries))
	counts := map[identity]int{}
	for i, e := range entries {
		id := identity{kind: e.Kind, name: e.Name}
		counts[id]++
		id.count = counts[id]
		out[i] = id
	}
	return out
}

// Diff returns what differs between the entries of the manifest in effect and those of the next one:
// first what was added or changed, in the order of the next one, then what was removed. The order of
// entries doesn't count.
func Diff(inEffect, next []Entry) []Change {
	old := map[identity]*Entry{}
	oldIDs := identities(inEffect)
	for i, id := range oldIDs {
		old[id] = &inEffect[i]
	}
	var changes []Change
	for i, id := range identities(next) {
		e := &next[i]
		before, known := old[id]
		if !known {
			changes = append(changes, Change{Action: Added, Kind: e.Kind, Name: e.Name, KeysAdded: countMissing(e.Keys, nil)})
			continue
		}
		delete(old, id)
		change := Change{
			Action: Changed, Kind: e.Kind, Name: e.Name,
			KeysAdded: countMissing(e.Keys, before.Keys), KeysRemoved: countMissing(before.Keys, e.Keys),
		}
		for k, value := range e.Values {
			if was := before.Values[k]; was != value {
				change.Fields = append(change.Fields, FieldChange{Name: value.Name, Old: was.Value, New: value.Value})
			}
		}
		if len(change.Fields) > 0 || change.KeysAdded > 0 || change.KeysRemoved > 0 {
			changes = append(changes, change)
		}
	}
	for i, id := range oldIDs {
		if _, removed := old[id]; removed {
			e := &inEffect[i]
			changes = append(changes, Change{Action: Removed, Kind: e.Kind, Name: e.Name, KeysRemoved: countMissing(e.Keys, nil)})
		}
	}
	return changes
}

// countMissing returns how many different keys are not among others.
func countMissing(keys, others []account.Digest) int {
	known := make(map[account.Digest]bool, len(others)+len(keys))
	for _, k := range others {
		known[k] = true
	}
	missing := 0
	for _, k := range keys {
		if !known[k] {
			known[k] = true
			missing++
		}
	}
	return missing
}
