package logclient

import (
	"sync"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fold"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// The bounds of what is kept to be passed on to instances without the log.
const (
	relayRecords = 1024
	relayBytes   = 2 << 20
)

// relay keeps the newest records that were read, next to one another.
type relay struct {
	mu      sync.Mutex
	records []port.Record
	bytes   int
}

// add keeps a record. After a gap the records before it are dropped.
func (r *relay) add(record port.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := len(r.records); n > 0 && r.records[n-1].Offset+1 != record.Offset {
		r.records, r.bytes = nil, 0
	}
	r.records = append(r.records, record)
	r.bytes += len(record.Payload)
	for len(r.records) > relayRecords || r.bytes > relayBytes {
		r.bytes -= len(r.records[0].Payload)
		r.records[0] = port.Record{}
		r.records = r.records[1:]
	}
}

// from returns the records from an offset on, up to about limit bytes; nil if
// the first isn't kept.
func (r *relay) from(offset port.Offset, limit int) []port.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.records) == 0 || offset < r.records[0].Offset {
		return nil
	}
	var out []port.Record
	for _, record := range r.records[min(int(offset-r.records[0].Offset), len(r.records)):] {
		limit -= len(record.Payload)
		if limit < 0 && len(out) > 0 {
			break
		}
		out = append(out, record)
	}
	return out
}

// Recent returns records as they stand on the log, from an offset on and up to
// about limit bytes, for an instance that can't read the log. It returns nil if
// the first isn't kept any more, or isn't known yet.
func (c *Client) Recent(from port.Offset, limit int) []port.Record {
	return c.relay.from(from, limit)
}

// answerOfPeers is what peers have told: the records after the own state, or a
// whole state.
type answerOfPeers struct {
	records []port.Record
	state   *fold.State
}

func (a *answerOfPeers) empty() bool { return len(a.records) == 0 && a.state == nil }

// take goes on from what peers have told, if that is news.
func (t *tail) take(told answerOfPeers) {
	if t.takeRecords(told.records) || told.state != nil && t.adopt(told.state) {
		t.metrics.peerStates.Inc(1)
		t.publishWork()
	}
}

// takeRecords folds records that a peer has read, and reports whether the state
// went on.
func (t *tail) takeRecords(records []port.Record) bool {
	if len(records) == 0 || t.work == nil {
		return false
	}
	before := t.work.Through()
	page := port.Page{Oldest: records[0].Offset, End: records[len(records)-1].Offset + 1, Records: records}
	// A gap is filled by the next question.
	_, _ = t.foldPage(page)
	return t.work.Through() > before
}
