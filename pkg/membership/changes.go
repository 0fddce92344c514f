package membership

import (
	"container/list"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// Changes lists the servers of a table that have changed since an earlier call of
// Table.Changes.
type Changes struct {
	// Through is the change number to pass as since to the next call.
	Through uint64
	// All means that Servers holds every server of the table. Any other server
	// has been removed.
	All bool
	// Servers holds the changed servers, and Removed the servers that were
	// evicted from the table.
	Servers []ServerView
	Removed []port.ServerID
}

// maxRemoved bounds the evicted servers that a table records for Changes.
const maxRemoved = 1024

// changeLog numbers all changes of servers, for the owner of the table.
type changeLog struct {
	latest uint64
	// order holds the entries, most recently changed first.
	order   *list.List
	removed []removedServer
	// truncatedAt is the number of the last change that was dropped from
	// removed.
	truncatedAt uint64
}

type removedServer struct {
	id     port.ServerID
	change uint64
}

func (c *changeLog) recordChange(e *serverEntry) {
	c.latest++
	e.changeNumber = c.latest
	if e.changeElement == nil {
		e.changeElement = c.order.PushFront(e)
		return
	}
	c.order.MoveToFront(e.changeElement)
}

func (c *changeLog) remove(e *serverEntry) {
	c.order.Remove(e.changeElement)
	c.latest++
	c.removed = append(c.removed, removedServer{id: e.server.ID, change: c.latest})
	if len(c.removed) > maxRemoved {
		c.truncatedAt = c.removed[0].change
		c.removed = append(c.removed[:0], c.removed[1:]...)
	}
}

// checkRoutable records a change if the result of routable differs from that of
// the last check.
func (t *Table) checkRoutable(now time.Time, e *serverEntry) {
	if r := t.routable(now, e); r != e.routable {
		e.routable = r
		t.changes.recordChange(e)
	}
}

func (t *Table) checkAllRoutable(now time.Time) {
	for _, e := range t.servers {
		t.checkRoutable(now, e)
	}
}

// Changes returns the servers that have changed since the call that returned
// since in Through, or all servers if since is zero. A server can be reported
// again without having changed.
//
// The cost is proportional to the number of changes. With expire set, the call
// checks all servers, to find those that have become unroutable with time. Set
// expire about once a second.
func (t *Table) Changes(now time.Time, since uint64, expire bool) Changes {
	if expire {
		t.checkAllRoutable(now)
	}
	c := Changes{Through: t.changes.latest, All: since == 0 || since < t.changes.truncatedAt}
	if c.All {
		since = 0
	}
	for el := t.changes.order.Front(); el != nil; {
		e := el.Value.(*serverEntry)
		if e.changeNumber <= since {
			break
		}
		el = el.Next()
		c.Servers = append(c.Servers, t.serverView(now, e))
		t.checkRoutable(now, e)
	}
	for i := len(t.changes.removed) - 1; i >= 0 && t.changes.removed[i].change > since && !c.All; i-- {
		if id := t.changes.removed[i].id; t.servers[id] == nil {
			c.Removed = append(c.Removed, id)
		}
	}
	return c
}
