package identity

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// ownersPerKey is the number of instances that hold each identity.
const ownersPerKey = 3

// typicalZones and typicalIDBytes are initial buffer capacities. Larger inputs
// only cost a reallocation.
const (
	typicalZones   = 18
	typicalIDBytes = 64
)

// scored is a member with its rendezvous hash for one identity.
type scored struct {
	member *Member
	score  uint64
}

// compareScore orders members by descending score. Ties are broken by ID, so that
// all instances compute the same order.
func compareScore(a, b scored) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.member.ID, b.member.ID))
}

// Owners returns the instances that hold an identity, in the order in which a
// claim queries them. They are the members with the highest rendezvous hashes, in
// different zones as far as possible.
func Owners(key Key, members []Member) []Member {
	bestPerZone := make([]scored, 0, typicalZones)
	buffer := make([]byte, 0, KeySize+typicalIDBytes)
	for i := range members {
		m := &members[i]
		buffer = append(append(buffer[:0], key[:]...), m.ID...)
		s := scored{m, xxhash.Sum64(buffer)}
		at := slices.IndexFunc(bestPerZone, func(b scored) bool { return b.member.Zone == m.Zone })
		switch {
		case at < 0:
			bestPerZone = append(bestPerZone, s)
		case compareScore(s, bestPerZone[at]) < 0:
			bestPerZone[at] = s
		}
	}
	slices.SortFunc(bestPerZone, compareScore)
	owners := make([]Member, 0, ownersPerKey)
	for _, s := range bestPerZone[:min(len(bestPerZone), ownersPerKey)] {
		owners = append(owners, *s.member)
	}
	if len(owners) < ownersPerKey && len(owners) < len(members) {
		owners = fillRemaining(key, members, owners)
	}
	return owners
}

// fillRemaining completes the owners with the members of the highest scores that
// aren't owners yet. It is used if there are fewer zones than owners.
func fillRemaining(key Key, members, owners []Member) []Member {
	var rest []scored
	for i := range members {
		m := &members[i]
		if slices.ContainsFunc(owners, func(o Member) bool { return o.ID == m.ID }) {
			continue
		}
		rest = append(rest, scored{m, xxhash.Sum64(append(key[:len(key):len(key)], m.ID...))})
	}
	slices.SortFunc(rest, compareScore)
	for _, s := range rest[:min(len(rest), ownersPerKey-len(owners))] {
		owners = append(owners, *s.member)
	}
	return owners
}

// quorum is the set of owners in one member list and the number of grants that a
// claim needs from them.
type quorum struct {
	owners   []Member
	required int
}

// Round is the state machine of one claim. It selects the owner to query next
// from the answers so far.
type Round struct {
	quorums []quorum
	// answers holds Unavailable for an owner that didn't answer. Such an owner
	// can nevertheless have granted the identity.
	answers map[port.InstanceID]Answer
	queried []Member
	verdict Answer
	decided bool
}

// NewRound returns the round of a claim with the given member lists. The claim
// needs a majority of the owners in the current list. In each former list it needs
// just enough owners that no other claim can get a majority there. A claim of an
// instance whose current list is that former list needs a majority of its owners,
// so the two claims can't both succeed.
func NewRound(key Key, lists Lists) *Round {
	r := &Round{answers: map[port.InstanceID]Answer{}}
	if !lists.Usable {
		r.decide(Answer{Verdict: Unavailable})
		return r
	}
	for i, members := range lists.Members {
		owners := Owners(key, members)
		majority := len(owners)/2 + 1
		required := majority
		if i > 0 {
			required = len(owners) - majority + 1
		}
		r.addQuorum(owners, required, lists.HandedOver)
	}
	return r
}

// addQuorum adds the quorum of one list. An owner that has handed over counts as
// granted, because a majority of the owners in the list without it holds its
// identities.
func (r *Round) addQuorum(owners []Member, required int, handedOver map[port.InstanceID]bool) {
	var remaining []Member
	for _, owner := range owners {
		if handedOver[owner.ID] {
			required--
		} else {
			remaining = append(remaining, owner)
		}
	}
	r.quorums = append(r.quorums, quorum{owners: remaining, required: required})
}

// Next returns the owner to query next. ok is false once the round is decided.
func (r *Round) Next() (owner Member, ok bool) {
	if r.decided {
		return Member{}, false
	}
	for _, q := range r.quorums {
		granted, candidate := r.count(q)
		if granted >= q.required {
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

// count returns the number of owners that have granted the identity, and the
// first owner that hasn't been queried yet, or nil.
func (r *Round) count(q quorum) (granted int, candidate *Member) {
	for i, owner := range q.owners {
		answer, answered := r.answers[owner.ID]
		switch {
		case !answered && candidate == nil:
			candidate = &q.owners[i]
		case answered && answer.Verdict == Run:
			granted++
		}
	}
	return granted, candidate
}

// Answer records the answer of an owner. Pass Unavailable if the owner didn't
// answer. Any verdict other than Run and Unavailable decides the round.
func (r *Round) Answer(owner Member, a Answer) {
	r.answers[owner.ID] = a
	r.queried = append(r.queried, owner)
	if a.Verdict != Run && a.Verdict != Unavailable {
		r.decide(a)
	}
}

func (r *Round) decide(a Answer) {
	r.decided = true
	r.verdict = a
}

// Verdict returns the outcome of a decided round.
func (r *Round) Verdict() Answer { return r.verdict }

// Holders returns the owners that have or can have granted the identity to this
// round. The result of the run must be reported to them.
func (r *Round) Holders() []Member {
	var holders []Member
	for _, owner := range r.queried {
		switch r.answers[owner.ID].Verdict {
		case Run, Unavailable:
			holders = append(holders, owner)
		default:
		}
	}
	return holders
}
