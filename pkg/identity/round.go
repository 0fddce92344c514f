package identity

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// ownersPerKey is how many instances keep each identity.
const ownersPerKey = 3

// Owners returns the instances that keep an identity, the first to be asked
// first: the highest by rendezvous hash, in different zones as far as possible.
func Owners(key Key, members []Member) []Member {
	ranked := rank(key, members)
	owners := make([]Member, 0, ownersPerKey)
	var rest []Member
	for _, m := range ranked {
		if slices.ContainsFunc(owners, func(o Member) bool { return o.Zone == m.Zone }) {
			rest = append(rest, m)
			continue
		}
		if owners = append(owners, m); len(owners) == ownersPerKey {
			return owners
		}
	}
	return append(owners, rest[:min(len(rest), ownersPerKey-len(owners))]...)
}

func rank(key Key, members []Member) []Member {
	type scored struct {
		member Member
		score  uint64
	}
	all := make([]scored, len(members))
	for i, m := range members {
		var digest xxhash.Digest
		digest.Reset()
		_, _ = digest.Write(key[:])
		_, _ = digest.WriteString(string(m.ID))
		all[i] = scored{m, digest.Sum64()}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.member.ID, b.member.ID))
	})
	ranked := make([]Member, len(all))
	for i, s := range all {
		ranked[i] = s.member
	}
	return ranked
}

// quorum is the owners of one list, of which a majority has to grant.
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

// NewRound returns the round of a claim under the given lists.
func NewRound(key Key, lists Lists) *Round {
	r := &Round{answers: map[port.InstanceID]Answer{}}
	if !lists.Usable {
		r.decide(Answer{Verdict: Unavailable})
		return r
	}
	for _, members := range lists.Members {
		r.addQuorum(Owners(key, members), lists.HandedOver)
	}
	return r
}

// addQuorum counts an owner that has handed over as one that granted: what it
// kept is known to a majority of the owners in the list without it.
func (r *Round) addQuorum(owners []Member, handedOver map[port.InstanceID]bool) {
	need := len(owners)/2 + 1
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
