package lease

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

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

// writeKey writes all that decides the machine's further behaviour: times as
// distances from now, and steps as comparisons.
func (m *Machine) writeKey(w io.Writer) {
	left := func(t time.Duration) time.Duration { return max(0, t-m.now) }
	fmt.Fprint(w, "|M", m.Through(), m.logUp, m.now-m.epochAt, m.sealed, m.vacant, m.now-m.vacantSince,
		m.now-m.lastClaim, m.memberOut != "", left(m.memberRetry), m.memberAt, m.stopping, m.stopped, len(m.live.instances))
	writeCopies(w, m.copies)
	if c := m.claim; c != nil {
		fmt.Fprint(w, "|C", c.supersedes, c.waiting, left(c.deadline), c.sealedOne, c.out, left(c.retry), c.offset)
		writeCopies(w, c.copies)
		writeRecord(w, c.record)
	}
	if t := m.term; t != nil {
		fmt.Fprint(w, "|T", t.epoch, t.first, m.now-t.since, t.gone, t.release != "")
		for _, e := range t.sorted() {
			m.writeEntry(w, e)
		}
		for _, s := range sortedKeys(t.vets) {
			v := t.vets[s]
			fmt.Fprint(w, "|V", s, v.raised, v.raiseToken != 0, v.readToken != 0, v.readThrough, v.done, v.again, v.seenIncarnation, left(v.retry))
		}
		for _, e := range sortedKeys(t.doubts) {
			d := t.doubts[e]
			fmt.Fprint(w, "|D", e, d.settled > 0, d.gone, m.now-d.goneAt, left(d.retry))
		}
	}
}

func (m *Machine) writeEntry(w io.Writer, e *entry) {
	fmt.Fprint(w, "|E", e.intent.ID, e.intent.Epoch, e.foreign, e.onLog, e.decided, e.refused, e.copied != nil, e.copied,
		m.now-e.copySince, e.ordered, e.inFlight, e.tainted, e.result)
	if v := m.term.vets[e.intent.Server]; v != nil {
		fmt.Fprint(w, e.seen <= v.readStep)
	}
	for _, p := range []pending{e.append, e.outcome} {
		fmt.Fprint(w, p.out, p.offset)
		writeRecord(w, p.record)
	}
}

func writeCopies(w io.Writer, copies map[string]record.Intent) {
	for _, id := range sortedKeys(copies) {
		fmt.Fprint(w, "|c", id, copies[id].Epoch)
	}
}

// writeRecord writes a record without its id.
func writeRecord(w io.Writer, r *recordpb.Record) {
	if r == nil {
		fmt.Fprint(w, "-")
		return
	}
	c := proto.CloneOf(r)
	c.Id = ""
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(c)
	if err != nil {
		panic(err)
	}
	_, _ = w.Write(b)
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
