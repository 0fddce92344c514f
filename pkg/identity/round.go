package identity

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// ownersPerKey is how many instances keep each identity.
const ownersPerKey = 3

// typicalZones and typicalIDBytes size buffers; more of either only costs time.
const (
	typicalZones   = 18
	typicalIDBytes = 64
)

// scored is a member with its rank for one identity.
type scored struct {
	member *Member
	score  uint64
}

// higher orders members by rank; IDs settle a tie, so that all agree.
func higher(a, b scored) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.member.ID, b.member.ID))
}

// Owners returns the instances that keep an identity, the first to be asked
// first: the highest by rendezvous hash, in different zones as far as possible.
func Owners(key Key, members []Member) []Member {
	best := make([]scored, 0, typicalZones)
	buffer := make([]byte, 0, KeySize+typicalIDBytes)
	for i := range members {
		m := &members[i]
		buffer = append(append(buffer[:0], key[:]...), m.ID...)
		s := scored{m, xxhash.Sum64(buffer)}
		at := slices.IndexFunc(best, func(b scored) bool { return b.member.Zone == m.Zone })
		switch {
		case at < 0:
			best = append(best, s)
		case higher(s, best[at]) < 0:
			best[at] = s
		}
	}
	slices.SortFunc(best, higher)
	owners := make([]Member, 0, ownersPerKey)
	for _, s := range best[:min(len(best), ownersPerKey)] {
		owners = append(owners, *s.member)
	}
	if len(owners) < ownersPerKey && len(owners) < len(members) {
		owners = fill(key, members, owners)
	}
	return owners
}

// fill adds the highest of the members that aren't owners yet, where there are
// fewer zones than owners.
func fill(key Key, members, owners []Member) []Member {
	var rest []scored
	for i := range members {
		m := &members[i]
		if slices.ContainsFunc(owners, func(o Member) bool { return o.ID == m.ID }) {
			continue
		}
		rest = append(rest, scored{m, xxhash.Sum64(append(key[:len(key):len(key)], m.ID...))})
	}
	slices.SortFunc(rest, higher)
	for _, s := range rest[:min(len(rest), ownersPerKey-len(owners))] {
		owners = append(owners, *s.member)
	}
	return owners
}

// quorum is the owners of one list, of which so many have to grant.
type quorum struct {
	owners []Member
	need   int
}

// Round is the state of one claim: whom to ask next, given the answers so far.
type Round struct {
	quorums []quorum
	// answers holds Unavailable for an owner that didn't answer: it may have
	// granted the identity nevertheless.
	answers map[port.InstanceID]Answer
	asked   []Member
	verdict Answer
	decided bool
}

// NewRound returns the round of a claim under the given lists. It needs a
// majority in the current list, and in each former one as many as leave no
// majority to others. Of two claims, that by the older list has its majority there.
func NewRound(key Key, lists Lists) *Round {
	r := &Round{answers: map[port.InstanceID]Answer{}}
	if !lists.Usable {
		r.decide(Answer{Verdict: Unavailable})
		return r
	}
	for i, members := range lists.Members {
		owners := Owners(key, members)
		majority := len(owners)/2 + 1
		need := majority
		if i > 0 {
			need = len(owners) - majority + 1
		}
		r.addQuorum(owners, need, lists.HandedOver)
	}
	return r
}

// addQuorum counts an owner that has handed over as one that granted: what it
// kept is known to a majority of the owners in the list without it.
func (r *Round) addQuorum(owners []Member, need int, handedOver map[port.InstanceID]bool) {
	var left []Member
	for _, owner := range owners {
		if handedOver[owner.ID] {
			need--
		} else {
			left = append(left, owner)
		}
	}
	r.quorums = append(r.quorums, quorum{owners: left, need: need})
}

// Next returns the owner to ask now. ok is false once the round is decided.
func (r *Round) Next() (owner Member, ok bool) {
	if r.decided {
		return Member{}, false
	}
	for _, q := range r.quorums {
		granted, candidate := r.count(q)
		if granted >= q.need {
			continue
		}
		if candidate == nil {
			r.decide(Answer{Verdict: Unavailable})
			return Member{}, false
		}
		return *candidate, true
	}
	r.decide(Answer{Verdict: Run})
	return Member{}, false
}

// count returns how many owners have granted and the first not asked yet.
func (r *Round) count(q quorum) (granted int, candidate *Member) {
	for i, owner := range q.owners {
		answer, asked := r.answers[owner.ID]
		switch {
		case !asked && candidate == nil:
			candidate = &q.owners[i]
		case asked && answer.Verdict == Run:
			granted++
		}
	}
	return granted, candidate
}

// Answer takes the answer of an owner; Unavailable if there was none. Any
// answer but these two ends the round.
func (r *Round) Answer(owner Member, a Answer) {
	r.answers[owner.ID] = a
	r.asked = append(r.asked, owner)
	if a.Verdict != Run && a.Verdict != Unavailable {
		r.decide(a)
	}
}

func (r *Round) decide(a Answer) {
	r.decided = true
	r.verdict = a
}

// Verdict returns how a decided round ended.
func (r *Round) Verdict() Answer { return r.verdict }

// Holders returns the owners that have, or may have, granted the identity to
// this round. They have to be told how it ended.
func (r *Round) Holders() []Member {
	var holders []Member
	for _, owner := range r.asked {
		switch r.answers[owner.ID].Verdict {
		case Run, Unavailable:
			holders = append(holders, owner)
		default:
		}
	}
	return holders
}
