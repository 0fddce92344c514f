package logclient

import (
	"sync"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fold"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// Limits of the records that are cached for instances that cannot read the log.
const (
	maxCachedRecords = 1024
	maxCachedBytes   = 2 << 20
)

// recordCache holds the newest records that were read. Their offsets are
// consecutive.
type recordCache struct {
	mu      sync.Mutex
	records []port.Record
	bytes   int
}

// add adds a record. If it does not follow the last cached record, all others
// are evicted.
func (r *recordCache) add(record port.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := len(r.records); n > 0 && r.records[n-1].Offset+1 != record.Offset {
		r.records, r.bytes = nil, 0
	}
	r.records = append(r.records, record)
	r.bytes += len(record.Payload)
	for len(r.records) > maxCachedRecords || r.bytes > maxCachedBytes {
		r.bytes -= len(r.records[0].Payload)
		r.records[0] = port.Record{}
		r.records = r.records[1:]
	}
}

// from returns the cached records from an offset on, up to about limit bytes.
// It returns nil if the record at the offset has been evicted.
func (r *recordCache) from(offset port.Offset, limit int) []port.Record {
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

// Recent returns the records of the log from an offset on, up to about limit
// bytes, for an instance that cannot read the log. It returns no records if the
// one at the offset is no longer cached or has not been read yet.
func (c *Client) Recent(from port.Offset, limit int) []port.Record {
	return c.recordCache.from(from, limit)
}

// peerUpdate is what peers returned: either the records that follow this
// instance's state, or a whole state.
type peerUpdate struct {
	records []port.Record
	state   *fold.State
}

func (u *peerUpdate) empty() bool { return len(u.records) == 0 && u.state == nil }

// applyPeerUpdate applies what peers returned and publishes the state if it
// advanced.
func (t *tail) applyPeerUpdate(update peerUpdate) {
	if t.applyPeerRecords(update.records) || update.state != nil && t.adopt(update.state) {
		t.metrics.peerStates.Inc(1)
		t.publishState()
	}
}

// applyPeerRecords folds records that a peer has read, and reports whether the
// state advanced.
func (t *tail) applyPeerRecords(records []port.Record) bool {
	if len(records) == 0 || t.current == nil {
		return false
	}
	before := t.current.Through()
	page := port.Page{Oldest: records[0].Offset, End: records[len(records)-1].Offset + 1, Records: records}
	// The next fetch fills a gap.
	_, _ = t.foldPage(page)
	return t.current.Through() > before
}
