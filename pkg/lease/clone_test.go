package lease

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/record"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record/recordpb"
)

// clone returns an independent copy of the machine.
func (m *Machine) clone() *Machine {
	c := *m
	c.out = nil
	c.heard, c.leaving = maps.Clone(m.heard), maps.Clone(m.leaving)
	c.copies, c.removals = maps.Clone(m.copies), maps.Clone(m.removals)
	if m.claim != nil {
		k := *m.claim
		k.copies, k.waiting = maps.Clone(k.copies), maps.Clone(k.waiting)
		c.claim = &k
	}
	if m.term != nil {
		t := *m.term
		t.entries = cloneAll(t.entries, func(e *entry) { e.copied = maps.Clone(e.copied) })
		t.gone = maps.Clone(t.gone)
		t.vets = cloneAll(t.vets, func(*vet) {})
		t.doubts = cloneAll(t.doubts, func(*doubt) {})
		c.term = &t
	}
	return &c
}

func cloneAll[K comparable, V any](from map[K]*V, deepen func(*V)) map[K]*V {
	to := make(map[K]*V, len(from))
	for k, v := range from {
		c := *v
		deepen(&c)
		to[k] = &c
	}
	return to
}

// keyer collects what identifies a state.
type keyer struct{ b []byte }

func (k *keyer) ints(vs ...int64) {
	for _, v := range vs {
		k.b = binary.AppendVarint(k.b, v)
	}
}

func (k *keyer) bools(vs ...bool) {
	for _, v := range vs {
		if v {
			k.b = append(k.b, 1)
			continue
		}
		k.b = append(k.b, 0)
	}
}

func (k *keyer) text(s string) {
	k.ints(int64(len(s)))
	k.b = append(k.b, s...)
}

func (k *keyer) sum() uint64 { return xxhash.Sum64(k.b) }

func keySet[T ~string](k *keyer, set map[T]bool) {
	k.bools(set != nil)
	k.ints(int64(len(set)))
	if len(set) == 0 {
		return
	}
	for _, s := range sortedKeys(set) {
		k.text(string(s))
		k.bools(set[s])
	}
}

func (k *keyer) copies(copies map[string]record.Intent) {
	k.ints(int64(len(copies)))
	if len(copies) == 0 {
		return
	}
	for _, id := range sortedKeys(copies) {
		k.text(id)
		k.ints(int64(copies[id].Epoch))
	}
}

// record writes a record without its id.
func (k *keyer) record(r *recordpb.Record) {
	if r == nil {
		k.ints(0)
		return
	}
	if at := r.WallMs; at != 0 {
		k.ints(at) // the hash, see recordKey
		return
	}
	k.ints(recordKey(r))
}

// recordKey hashes a record without its id. The machine makes records without a
// wall clock, so the hash is kept there.
func recordKey(r *recordpb.Record) int64 {
	if r.WallMs == 0 {
		c := proto.CloneOf(r)
		c.Id = ""
		b, err := proto.MarshalOptions{Deterministic: true}.Marshal(c)
		if err != nil {
			panic(err)
		}
		r.WallMs = int64(xxhash.Sum64(b)>>1) | 1
	}
	return r.WallMs
}

// key hashes all that decides the machine's further behaviour: times as
// distances from now, and steps as comparisons.
func (m *Machine) key() uint64 {
	k := &keyer{b: make([]byte, 0, 512)}
	left := func(t time.Duration) int64 { return int64(max(0, t-m.now)) }
	ago := func(t time.Duration) int64 { return int64(m.now - t) }
	k.ints(int64(m.Through()), ago(m.epochAt), int64(m.sealed), ago(m.vacantSince), ago(m.lastClaim),
		left(m.memberRetry), int64(m.memberAt), int64(len(m.live.instances)))
	k.bools(m.logUp, m.vacant, m.memberOut != "", m.stopping, m.stopped, m.claim != nil, m.term != nil)
	k.copies(m.copies)
	if c := m.claim; c != nil {
		k.ints(int64(c.supersedes), left(c.deadline), left(c.retry), int64(c.offset))
		k.bools(c.sealedOne, c.out)
		keySet(k, c.waiting)
		k.copies(c.copies)
		k.record(c.record)
	}
	if m.term != nil {
		m.keyTerm(k, left, ago)
	}
	return k.sum()
}

func (m *Machine) keyTerm(k *keyer, left, ago func(time.Duration) int64) {
	t := m.term
	k.ints(int64(t.epoch), int64(t.first), ago(t.since), int64(len(t.entries)), int64(len(t.vets)), int64(len(t.doubts)))
	k.bools(t.release != "", t.copyRefused)
	keySet(k, t.gone)
	for _, e := range t.sorted() {
		k.text(e.intent.ID)
		k.ints(int64(e.intent.Epoch), ago(e.copySince), left(e.retry), left(e.copyRetry), int64(e.result))
		k.bools(e.foreign, e.onLog, e.decided, e.refused, e.ordered, e.inFlight, e.tainted)
		keySet(k, e.copied)
		if v := t.vets[e.intent.Server]; v != nil {
			k.bools(e.seen <= v.readStep)
		}
		for _, p := range []pending{e.append, e.outcome} {
			k.bools(p.out)
			k.ints(int64(p.offset))
			k.record(p.record)
		}
	}
	for _, s := range sortedKeys(t.vets) {
		v := t.vets[s]
		k.text(string(s) + "," + v.seenIncarnation)
		k.bools(v.raised, v.raiseToken != 0, v.readToken != 0, v.done, v.again, v.missing)
		k.ints(int64(v.readThrough), left(v.retry), ago(v.missingAt))
	}
	for _, e := range sortedKeys(t.doubts) {
		d := t.doubts[e]
		k.bools(d.settled > 0, d.gone)
		k.ints(int64(e), ago(d.goneAt), left(d.retry))
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
