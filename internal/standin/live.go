package standin

import (
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/cyclamenhoist/cyclamenhoist/internal/adapter/httplive"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// liveService is the live list. It answers with the truth as of a lag ago.
type liveService struct {
	settings LiveSettings
	faults   *faultSet

	mu        sync.Mutex
	instances map[port.InstanceID]*instanceEntry
	servers   map[port.ServerID]*serverEntry
}

type instanceEntry struct {
	instance port.Instance
	// from and until bound the time in which the entry is on the list.
	from, until time.Time
	// leavingFrom is zero while the instance isn't leaving.
	leavingFrom time.Time
}

type serverEntry struct {
	server      port.Server
	leavingFrom time.Time
	goneFrom    time.Time
}

func newLiveService(s LiveSettings, faults *faultSet) *liveService {
	return &liveService{
		settings: s, faults: faults,
		instances: make(map[port.InstanceID]*instanceEntry),
		servers:   make(map[port.ServerID]*serverEntry),
	}
}

func (l *liveService) handler() http.Handler {
	r := chi.NewRouter()
	r.Use(inject(faultsOf{
		set:  l.faults,
		look: func() CallFaults { return l.faults.current().Live.CallFaults },
		take: func(c func(*CallFaults) *int) bool {
			return l.faults.take(func(f *Faults) *int { return c(&f.Live.CallFaults) })
		},
	}))
	r.Get("/v1/live", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, l.list(time.Now().Add(-l.settings.Lag.D())))
	})
	r.Put("/v1/live/instances/{id}", l.serveAnnounce)
	return r
}

func (l *liveService) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	var a httplive.Announcement
	if !readJSON(w, r, &a) {
		return
	}
	if a.Instance.ID == "" || string(a.Instance.ID) != pathParam(r, "id") || a.TTLMS <= 0 {
		writeError(w, http.StatusBadRequest, "malformed")
		return
	}
	l.announce(a.Instance, time.Now(), time.Duration(a.TTLMS)*time.Millisecond)
	writeJSON(w, http.StatusOK, struct{}{})
}

func (l *liveService) announce(i port.Instance, now time.Time, ttl time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry, ok := l.instances[i.ID]
	if !ok {
		entry = &instanceEntry{from: now}
		l.instances[i.ID] = entry
	}
	if i.Leaving && entry.leavingFrom.IsZero() {
		entry.leavingFrom = now
	}
	entry.instance = i
	entry.until = now.Add(ttl)
}

// addServer puts a server on the list from the beginning of time.
func (l *liveService) addServer(s port.Server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.servers[s.ID] = &serverEntry{server: s}
}

func (l *liveService) leaveServer(id port.ServerID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if entry, ok := l.servers[id]; ok && entry.leavingFrom.IsZero() {
		entry.leavingFrom = time.Now()
	}
}

func (l *liveService) removeServer(id port.ServerID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if entry, ok := l.servers[id]; ok && entry.goneFrom.IsZero() {
		entry.goneFrom = time.Now()
	}
}

// reached reports whether the moment is set and not after at.
func reached(moment, at time.Time) bool { return !moment.IsZero() && !moment.After(at) }

// list returns the list as it was at a moment.
func (l *liveService) list(at time.Time) port.LiveSet {
	l.mu.Lock()
	defer l.mu.Unlock()
	set := port.LiveSet{At: at, Instances: []port.Instance{}, Servers: []port.Server{}}
	for id, entry := range l.instances {
		if !entry.until.After(at) {
			delete(l.instances, id)
			continue
		}
		if entry.from.After(at) {
			continue
		}
		instance := entry.instance
		instance.Leaving = reached(entry.leavingFrom, at)
		set.Instances = append(set.Instances, instance)
	}
	for _, entry := range l.servers {
		if reached(entry.goneFrom, at) {
			continue
		}
		server := entry.server
		server.Leaving = reached(entry.leavingFrom, at)
		set.Servers = append(set.Servers, server)
	}
	sort.Slice(set.Instances, func(i, j int) bool { return set.Instances[i].ID < set.Instances[j].ID })
	sort.Slice(set.Servers, func(i, j int) bool { return set.Servers[i].ID < set.Servers[j].ID })
	return set
}
