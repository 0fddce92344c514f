package streamorigin

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// journalSegments is the number of segments whose keys differ. Later ones replace earlier ones, so
	// that the journal doesn't grow. One page of the store has 500 records.
	journalSegments = 480
	// maxSegmentStreams is the maximum number of streams in a segment, which fits into one record of the
	// store.
	maxSegmentStreams = 1000
)

// MaxStreamBytes is the length of the name of a stream above which it isn't recorded. Clients choose the
// names.
const MaxStreamBytes = 128

// Entry is a stream with its origin.
type Entry struct {
	Stream string
	Origin
}

// Segment is a part of the journal, which is stored under a key.
type Segment struct {
	Key     string
	Entries []Entry
}

// ErrSegment means that a segment can't be read.
var ErrSegment = errors.New("segment of the journal of streams unreadable")

// segmentGroup are the streams of a segment that began at the same version.
type segmentGroup struct {
	Service string   `json:"service"`
	Version string   `json:"version"`
	Streams []string `json:"streams"`
}

// Encode returns the segment as it is stored.
func (s Segment) Encode() ([]byte, error) {
	streams := map[Origin][]string{}
	for _, e := range s.Entries {
		streams[e.Origin] = append(streams[e.Origin], e.Stream)
	}
	groups := make([]segmentGroup, 0, len(streams))
	for _, origin := range slices.SortedFunc(maps.Keys(streams), func(a, b Origin) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	}) {
		groups = append(groups, segmentGroup{Service: origin.Service, Version: origin.Version, Streams: streams[origin]})
	}
	value, err := json.Marshal(groups)
	if err != nil {
		return nil, errors.Wrap(err, "encode segment of the journal of streams")
	}
	return value, nil
}

// DecodeSegment returns the entries of a stored segment, or ErrSegment.
func DecodeSegment(value []byte) ([]Entry, error) {
	var groups []segmentGroup
	if err := json.Unmarshal(value, &groups); err != nil {
		return nil, errors.Join(ErrSegment, err)
	}
	var out []Entry
	for _, g := range groups {
		for _, stream := range g.Streams {
			out = append(out, Entry{Stream: stream, Origin: Origin{Service: g.Service, Version: g.Version}})
		}
	}
	return out, nil
}

// Journal collects the origins of streams for the store. Its segments together hold all streams of the
// last TTL, unless there are very many. It is safe for concurrent use.
type Journal struct {
	mu sync.Mutex
	// next is the number of the next segment.
	next int
	// Streams are added to recent, which becomes older after a TTL, or if there are very many. pending are
	// those that aren't written yet.
	recent, older map[string]timedOrigin
	recentSince   time.Time
	pending       []Entry
}

type timedOrigin struct {
	Origin

	at time.Time
}

// NewJournal returns an empty journal.
func NewJournal() *Journal { return &Journal{recent: map[string]timedOrigin{}} }

// Add adds streams. Those that are known with the same origin aren't written again.
func (j *Journal) Add(entries []Entry, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, e := range entries {
		known, found := j.get(e.Stream)
		if found && known.Origin == e.Origin || len(e.Stream) > MaxStreamBytes || len(j.pending) >= maxOrigins {
			continue
		}
		j.put(e, now)
		j.pending = append(j.pending, e)
	}
}

func (j *Journal) get(stream string) (timedOrigin, bool) {
	if origin, known := j.recent[stream]; known {
		return origin, true
	}
	origin, known := j.older[stream]
	return origin, known
}

func (j *Journal) put(e Entry, now time.Time) {
	if now.Sub(j.recentSince) > TTL || len(j.recent) >= maxOrigins {
		j.recent, j.older, j.recentSince = map[string]timedOrigin{}, j.recent, now
	}
	j.recent[e.Stream] = timedOrigin{e.Origin, now}
}

// Continue makes the journal go on after the newest segment that is stored, which has the key; empty if
// there is none. entries are the streams of all stored segments.
func (j *Journal) Continue(key string, entries []Entry, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if last, err := strconv.Atoi(key); err == nil {
		j.next = (last + 1) % journalSegments
	}
	for _, e := range entries {
		if _, known := j.get(e.Stream); !known {
			j.put(e, now)
		}
	}
}

// Rewrite makes the journal write all streams of the last TTL again, as the store may have lost them.
func (j *Journal) Rewrite(now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.pending = nil
	for _, generation := range []map[string]timedOrigin{j.older, j.recent} {
		for stream, o := range generation {
			// A stream whose origin has changed is in both.
			if newest, _ := j.get(stream); newest == o && now.Sub(o.at) <= TTL {
				j.pending = append(j.pending, Entry{stream, o.Origin})
			}
		}
	}
}

// Next returns the segment to write next, and false if there is nothing to write. Until it is written,
// the next call returns the same streams under the same key.
func (j *Journal) Next() (Segment, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.pending) == 0 {
		return Segment{}, false
	}
	return Segment{
		Key:     strconv.Itoa(j.next),
		Entries: slices.Clone(j.pending[:min(len(j.pending), maxSegmentStreams)]),
	}, true
}

// Written records that the segment that Next returned is written.
func (j *Journal) Written(s Segment) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.pending = slices.Delete(j.pending, 0, len(s.Entries))
	j.next = (j.next + 1) % journalSegments
}
