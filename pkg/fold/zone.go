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
	// MaxMembers bounds the number of members of one zone.
	MaxMembers = 1024
	// maxClosed is the number of closed intents that a zone retains.
	maxClosed = 256
)

// Member is an instance that can claim the lease of its zone and store copies.
type Member struct {
	Instance    port.InstanceID
	PeerAddress string
	// Since is the offset of the record that added the member.
	Since port.Offset
}

// IntentState is an intent that counts as a replica or as reserved memory. It is
// never modified in place.
type IntentState struct {
	record.Intent
	// Offset is the offset of the intent, or of the claim that carried it.
	Offset port.Offset
	// Loaded is set if a load is known to be ready.
	Loaded bool
}

// SuspectEpoch is an ended epoch whose holder may still decide by copies that no
// later claimant has received.
type SuspectEpoch struct {
	Epoch       port.Epoch
	CopyHolders []Member
}

// ZoneView is the state of one zone. It shares memory with the State and must
// not be modified.
type ZoneView struct {
	Epoch    port.Epoch
	Holder   port.InstanceID
	Released bool
	// Members are the eligible instances, sorted by id.
	Members []Member
	// CopyHolders are the members at the beginning of the epoch; nil before any
	// claim.
	CopyHolders []Member
	// SuspectEpochs are the ended epochs that the current claim names as doubtful,
	// in ascending order.
	SuspectEpochs []SuspectEpoch

	zone *zone
}

// Intents yields the open and the loaded intents, sorted by id.
func (v ZoneView) Intents() iter.Seq[*IntentState] {
	return func(yield func(*IntentState) bool) {
		if v.zone != nil {
			v.zone.byID.Scan(yield)
		}
	}
}

// IntentCount returns the number of open and loaded intents.
func (v ZoneView) IntentCount() int {
	if v.zone == nil {
		return 0
	}
	return v.zone.byID.Len()
}

// Intent returns the open or loaded intent with the given id.
func (v ZoneView) Intent(id string) (*IntentState, bool) {
	if v.zone == nil {
		return nil, false
	}
	return v.zone.intent(id)
}

// IntentsOn yields the intents of one backend server, sorted by model.
func (v ZoneView) IntentsOn(server port.ServerID) iter.Seq[*IntentState] {
	return func(yield func(*IntentState) bool) {
		if v.zone == nil {
			return
		}
		pivot := &IntentState{Intent: record.Intent{Server: server}}
		v.zone.byServer.Ascend(pivot, func(i *IntentState) bool {
			return i.Server == server && yield(i)
		})
	}
}

// RecentlyClosed reports whether the intent with the given id is among the
// retained closed intents.
func (v ZoneView) RecentlyClosed(id string) bool {
	return v.zone != nil && v.zone.isClosed(id)
}

// IsMember reports whether the instance is an eligible member.
func (v ZoneView) IsMember(id port.InstanceID) bool { return contains(v.Members, id) }

// IsCopyHolder reports whether the instance is a copy holder of the current
// epoch.
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

// zone is the mutable state behind a ZoneView. Slices are replaced and never
// modified in place. The trees are copied on write after clone.
type zone struct {
	epoch       port.Epoch
	holder      port.InstanceID
	released    bool
	members     []Member
	copyHolders []Member
	suspects    []SuspectEpoch
	closed      []uint64
	byID        *btree.BTreeG[*IntentState]
	byServer    *btree.BTreeG[*IntentState]
}

func lessByID(a, b *IntentState) bool { return a.ID < b.ID }

func lessByServer(a, b *IntentState) bool {
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
		byID:     btree.NewBTreeGOptions(lessByID, options),
		byServer: btree.NewBTreeGOptions(lessByServer, options),
	}
}

func (z *zone) clone() *zone {
	c := *z
	c.byID, c.byServer = z.byID.Copy(), z.byServer.Copy()
	return &c
}

func (z *zone) view() ZoneView {
	return ZoneView{
		Epoch: z.epoch, Holder: z.holder, Released: z.released,
		Members: z.members, CopyHolders: z.copyHolders, SuspectEpochs: z.suspects, zone: z,
	}
}

func (z *zone) intent(id string) (*IntentState, bool) {
	return z.byID.Get(&IntentState{Intent: record.Intent{ID: id}})
}

func (z *zone) insert(i *IntentState) {
	z.byID.Set(i)
	z.byServer.Set(i)
}

func (z *zone) openIntent(i record.Intent, at port.Offset) {
	z.insert(&IntentState{Intent: intern(i), Offset: at})
}

func (z *zone) setLoaded(i *IntentState) {
	loaded := *i
	loaded.Loaded = true
	z.insert(&loaded)
}

func (z *zone) closeIntent(i *IntentState) {
	z.byID.Delete(i)
	z.byServer.Delete(i)
	start := max(0, len(z.closed)+1-maxClosed)
	kept := make([]uint64, 0, len(z.closed)+1-start)
	kept = append(kept, z.closed[start:]...)
	z.closed = append(kept, xxhash.Sum64String(i.ID))
}

func (z *zone) isClosed(id string) bool { return slices.Contains(z.closed, xxhash.Sum64String(id)) }

// intentsFor returns the intents for one model on one server.
func (z *zone) intentsFor(server port.ServerID, model port.ModelID) []*IntentState {
	var found []*IntentState
	pivot := &IntentState{Intent: record.Intent{Server: server, Model: model}}
	z.byServer.Ascend(pivot, func(i *IntentState) bool {
		if i.Server != server || i.Model != model {
			return false
		}
		found = append(found, i)
		return true
	})
	return found
}

// intern deduplicates the strings that many intents share.
func intern(i record.Intent) record.Intent {
	i.Zone = unique.Make(i.Zone).Value()
	i.Model = unique.Make(i.Model).Value()
	i.Base = unique.Make(i.Base).Value()
	i.Server = unique.Make(i.Server).Value()
	i.Reason = unique.Make(i.Reason).Value()
	i.Incarnation = unique.Make(i.Incarnation).Value()
	return i
}
