package membership

import (
	"container/list"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// Changes is what has changed in the servers of a table since an earlier call.
type Changes struct {
	// Through is the value to pass to the next call.
	Through uint64
	// All says that Servers holds every server, and that those it doesn't hold
	// are gone.
	All bool
	// Servers are those that have changed, and Gone those that were forgotten.
	Servers []ServerView
	Gone    []port.ServerID
}

// maxGone bounds the forgotten servers that a table remembers for Changes.
const maxGone = 1024

// changeLog orders all changes of servers, for the owner of the table.
type changeLog struct {
	through uint64
	// order holds the entries, latest change first.
	order *list.List
	gone  []goneServer
	// lost is the number of the last change that gone has no room for.
	lost uint64
}

type goneServer struct {
	id port.ServerID
	at uint64
}

func (c *changeLog) touch(e *serverEntry) {
	c.through++
	e.local = c.through
	if e.place == nil {
		e.place = c.order.PushFront(e)
		return
	}
	c.order.MoveToFront(e.place)
}

func (c *changeLog) remove(e *serverEntry) {
	c.order.Remove(e.place)
	c.through++
	c.gone = append(c.gone, goneServer{id: e.server.ID, at: c.through})
	if len(c.gone) > maxGone {
		c.lost = c.gone[0].at
		c.gone = append(c.gone[:0], c.gone[1:]...)
	}
}

// checkRoutable notes a change of what routable says since it was last looked at.
func (t *Table) checkRoutable(now time.Time, e *serverEntry) {
	if r := t.routable(now, e); r != e.routable {
		e.routable = r
		t.changes.touch(e)
	}
}

func (t *Table) checkAllRoutable(now time.Time) {
	for _, e := range t.servers {
		t.checkRoutable(now, e)
	}
}

// Changes returns what has changed since the call that returned since, or every
// server for zero. Its cost follows the changes; but once a second or so it should
// be called with expire set, which goes through all servers for those that have
// become unroutable by the passing of time. A server may be told of once more than
// it has changed.
func (t *Table) Changes(now time.Time, since uint64, expire bool) Changes {
	if expire {
		t.checkAllRoutable(now)
	}
	c := Changes{Through: t.changes.through, All: since == 0 || since < t.changes.lost}
	if c.All {
		since = 0
	}
	for el := t.changes.order.Front(); el != nil; {
		e := el.Value.(*serverEntry)
		if e.local <= since {
			break
		}
		el = el.Next()
		c.Servers = append(c.Servers, t.serverView(now, e))
		t.checkRoutable(now, e)
	}
	for i := len(t.changes.gone) - 1; i >= 0 && t.changes.gone[i].at > since && !c.All; i-- {
		if id := t.changes.gone[i].id; t.servers[id] == nil {
			c.Gone = append(c.Gone, id)
		}
	}
	return c
}
