package streamorigin

import (
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Whatever writes fail, whoever holds the lease and whatever the store loses in a drill, the store has all
// streams of the last TTL once there is nothing left to write, and doesn't grow.
func TestJournalHoldsTheStreamsOfTheLastTTL(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_800_000_000, 0)
		type begun struct {
			Entry
			at time.Time
		}
		var all []begun
		store, copied, newest := map[string][]byte{}, map[string][]byte{}, ""
		j := NewJournal()
		write := func(s Segment) {
			value, err := s.Encode()
			assert.NoError(t, err)
			store[s.Key], newest = value, s.Key
		}
		read := func() (out []Entry) {
			for _, value := range store {
				entries, err := DecodeSegment(value)
				assert.NoError(t, err)
				out = append(out, entries...)
			}
			return out
		}
		flush := func() {
			for s, due := j.Next(); due; s, due = j.Next() {
				write(s)
				j.Written(s)
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.SampledFrom([]string{"begin", "begin", "begin", "flush", "lost answer", "new holder", "copy", "drill"}).Draw(t, "step") {
			case "begin":
				for range rapid.IntRange(1, 30).Draw(t, "streams") {
					e := Entry{fmt.Sprint(len(all)), Origin{"s", fmt.Sprint("v", rapid.IntRange(1, 3).Draw(t, "version"))}}
					all = append(all, begun{e, now})
					j.Add([]Entry{e, e}, now)
				}
			case "flush":
				flush()
			case "lost answer":
				if s, due := j.Next(); due {
					write(s)
				}
			case "new holder":
				flush()
				j = NewJournal()
				j.Continue(newest, read(), now)
			case "copy":
				copied = maps.Clone(store)
			case "drill":
				store = maps.Clone(copied)
				j.Rewrite(now)
			}
		}
		flush()
		found := map[string]Origin{}
		for _, e := range read() {
			found[e.Stream] = e.Origin
		}
		for _, b := range all {
			if now.Sub(b.at) < TTL {
				require.Equal(t, b.Origin, found[b.Stream], "stream %s", b.Stream)
			}
		}
		assert.LessOrEqual(t, len(store), journalSegments)
	})
}

// Names that clients choose don't make a segment larger than a record of the store.
func TestSegmentsFitIntoARecord(t *testing.T) {
	j, now := NewJournal(), time.Unix(1_800_000_000, 0)
	j.Add([]Entry{{strings.Repeat("x", MaxStreamBytes+1), Origin{"s", "v"}}}, now)
	_, due := j.Next()
	assert.False(t, due)
	for n := range 3 * maxSegmentStreams {
		j.Add([]Entry{{fmt.Sprintf("%0*d", MaxStreamBytes, n), Origin{"s", "v"}}}, now)
	}
	segments := 0
	for s, due := j.Next(); due; s, due = j.Next() {
		value, err := s.Encode()
		assert.NoError(t, err)
		assert.Less(t, len(value), 262144)
		j.Written(s)
		segments++
	}
	assert.Equal(t, 3, segments)
}

// At the size to design for, 15,000 streams a second can begin: the memory is bounded, and the newest streams are
// written.
func TestJournalOfVeryManyStreams(t *testing.T) {
	j, now := NewJournal(), time.Unix(1_800_000_000, 0)
	const perStep = 7500
	for step := range 60 {
		var entries []Entry
		for n := range perStep {
			entries = append(entries, Entry{fmt.Sprint(step, "/", n), Origin{"s", "v"}})
		}
		now = now.Add(500 * time.Millisecond)
		j.Add(entries, now)
		written := 0
		for s, due := j.Next(); due; s, due = j.Next() {
			written += len(s.Entries)
			j.Written(s)
		}
		require.Equal(t, perStep, written)
	}
	assert.LessOrEqual(t, len(j.recent)+len(j.older), 2*maxOrigins)
	j.Rewrite(now)
	assert.LessOrEqual(t, len(j.pending), 2*maxOrigins)
	assert.GreaterOrEqual(t, len(j.pending), maxOrigins)
}

func FuzzDecodeSegment(f *testing.F) {
	f.Add([]byte(`[{"service":"s","version":"v1","streams":["a","b"]}]`))
	f.Add([]byte(`{}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		entries, err := DecodeSegment(value)
		if err != nil {
			return
		}
		again, err := Segment{Entries: entries}.Encode()
		assert.NoError(t, err)
		back, err := DecodeSegment(again)
		assert.NoError(t, err)
		assert.ElementsMatch(t, entries, back)
	})
}

// BenchmarkJournal is a holder's work, and the bytes that it writes, for each stream that begins while its service
// has several versions.
func BenchmarkJournal(b *testing.B) {
	j, now := NewJournal(), time.Unix(1_800_000_000, 0)
	size := 0
	for n := range b.N {
		j.Add([]Entry{{fmt.Sprintf("%016x", n), Origin{"service", fmt.Sprint("v", n%2)}}}, now)
		if n%maxSegmentStreams != maxSegmentStreams-1 {
			continue
		}
		now = now.Add(100 * time.Millisecond)
		for s, due := j.Next(); due; s, due = j.Next() {
			value, err := s.Encode()
			if err != nil {
				b.Fatal(err)
			}
			size += len(value)
			j.Written(s)
		}
	}
	b.ReportMetric(float64(size)/float64(b.N), "B/stream")
}
