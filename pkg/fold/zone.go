package fold

import (
	"iter"
	"slices"
	"strings"
	"unique"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/btree"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record"
)

// Bounds on the state of a zone.
const (
	// MaxMembers bounds the members of one zone.
	MaxMembers = 1024
	// closedKept is how many closed intents a zone remembers.
	closedKept = 256
)

// Member is an instance that may claim its zone and hold copies.
type Member struct {
	Instance    port.InstanceID
	PeerAddress string
	// Since is the offset of the record that made it a member.
	Since port.Offset
}

// IntentState is an intent that counts as a replica or as reserved memory. It
// is never changed in place.
type IntentState struct {
	record.Intent
	// Offset is where the intent, or the claim that carried it, was recorded.
	Offset port.Offset
	// Loaded says that a load is known to be ready.
	Loaded bool
}

// Doubt is an ended epoch whose holder may still decide by copies that no later
// claimant has seen.
type Doubt struct {
	Epoch       port.Epoch
	CopyHolders []Member
}

// ZoneView is the state of one zone. It shares memory with the State and must
// not be changed.
type ZoneView struct {
	Epoch    port.Epoch
	Holder   port.InstanceID
	Released bool
	// Members are the eligible instances in the order of their ids.
	Members []Member
	// CopyHolders are the members when the epoch began; nil before any claim.
	CopyHolders []Member
	// Doubts are the ended epochs that the current claim names as doubtful, in
	// their order.
	Doubts []Doubt

	zone *zone
}

// Intents yields the open and the loaded intents in the order of their ids.
func (v ZoneView) Intents() iter.Seq[*IntentState] {
	return func(yield func(*IntentState) bool) {
		if v.zone != nil {
			v.zone.byID.Scan(yield)
		}
	}
}

// IntentCount is the number of open and loaded intents.
func (v ZoneView) IntentCount() int {
	if v.zone == nil {
		return 0
	}
	return v.zone.byID.Len()
}

// Intent returns the open or loaded intent with the id.
func (v ZoneView) Intent(id string) (*IntentState, bool) {
	if v.zone == nil {
		return nil, false
	}
	return v.zone.intent(id)
}

// On yields the intents of one backend server in the order of models.
func (v ZoneView) On(server port.ServerID) iter.Seq[*IntentState] {
	return func(yield func(*IntentState) bool) {
		if v.zone == nil {
			return
		}
		pivot := &IntentState{Intent: record.Intent{Server: server}}
		v.zone.byPlace.Ascend(pivot, func(i *IntentState) bool {
			return i.Server == server && yield(i)
		})
	}
}

// Closed reports whether the intent with the id was closed lately.
func (v ZoneView) Closed(id string) bool {
	return v.zone != nil && v.zone.isClosed(id)
}

// IsMember reports whether the instance is eligible.
func (v ZoneView) IsMember(id port.InstanceID) bool { return contains(v.Members, id) }

// IsCopyHolder reports whether the instance holds the current epoch's copies.
func (v ZoneView) IsCopyHolder(id port.InstanceID) bool { return contains(v.CopyHolders, id) }

func contains(members []Member, id port.InstanceID) bool {
	_, found := search(members, id)
	return found
}

func search(members []Member, id port.InstanceID) (int, bool) {
	return slices.BinarySearchFunc(members, id, func(m Member, id port.InstanceID) int {
		return strings.Compare(string(m.Instance), string(id))
	})
}

// zone is the mutable state behind a ZoneView. Slices are replaced, never
// changed in place; the trees are copied on write by clone.
type zone struct {
	epoch       port.Epoch
	holder      port.InstanceID
	released    bool
	members     []Member
	copyHolders []Member
	doubts      []Doubt
	closed      []uint64
	byID        *btree.BTreeG[*IntentState]
	byPlace     *btree.BTreeG[*IntentState]
}

func lessID(a, b *IntentState) bool { return a.ID < b.ID }

func lessPlace(a, b *IntentState) bool {
	if a.Server != b.Server {
		return a.Server < b.Server
	}
	if a.Model != b.Model {
		return a.Model < b.Model
	}
	return a.ID < b.ID
}

func newZone() *zone {
	options := btree.Options{NoLocks: true}
	return &zone{
		byID:    btree.NewBTreeGOptions(lessID, options),
		byPlace: btree.NewBTreeGOptions(lessPlace, options),
	}
}

func (z *zone) clone() *zone {
	c := *z
	c.byID, c.byPlace = z.byID.Copy(), z.byPlace.Copy()
	return &c
}

func (z *zone) view() ZoneView {
	return ZoneView{
		Epoch: z.epoch, Holder: z.holder, Released: z.released,
		Members: z.members, CopyHolders: z.copyHolders, Doubts: z.doubts, zone: z,
	}
}

func (z *zone) intent(id string) (*IntentState, bool) {
	return z.byID.Get(&IntentState{Intent: record.Intent{ID: id}})
}

func (z *zone) put(i *IntentState) {
	z.byID.Set(i)
	z.byPlace.Set(i)
}

func (z *zone) open(i record.Intent, at port.Offset) {
	z.put(&IntentState{Intent: intern(i), Offset: at})
}

func (z *zone) setLoaded(i *IntentState) {
	loaded := *i
	loaded.Loaded = true
	z.put(&loaded)
}

func (z *zone) close(i *IntentState) {
	z.byID.Delete(i)
	z.byPlace.Delete(i)
	start := max(0, len(z.closed)+1-closedKept)
	kept := make([]uint64, 0, len(z.closed)+1-start)
	kept = append(kept, z.closed[start:]...)
	z.closed = append(kept, xxhash.Sum64String(i.ID))
}

func (z *zone) isClosed(id string) bool { return slices.Contains(z.closed, xxhash.Sum64String(id)) }

// at returns the intents of one model on one server.
func (z *zone) at(server port.ServerID, model port.ModelID) []*IntentState {
	var found []*IntentState
	pivot := &IntentState{Intent: record.Intent{Server: server, Model: model}}
	z.byPlace.Ascend(pivot, func(i *IntentState) bool {
		if i.Server != server || i.Model != model {
			return false
		}
		found = append(found, i)
		return true
	})
	return found
}

// intern shares the strings that many intents have in common.
func intern(i record.Intent) record.Intent {
	i.Zone = unique.Make(i.Zone).Value()
	i.Model = unique.Make(i.Model).Value()
	i.Base = unique.Make(i.Base).Value()
	i.Server = unique.Make(i.Server).Value()
	i.Reason = unique.Make(i.Reason).Value()
	i.Incarnation = unique.Make(i.Incarnation).Value()
	return i
}
