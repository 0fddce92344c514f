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

// liveService is the live list. Its answers are older than the actual state by the
// lag in the settings.
type liveService struct {
	settings LiveSettings
	faults   *faultSet

	mu        sync.Mutex
	instances map[port.InstanceID]*instanceEntry
	servers   map[port.ServerID]*serverEntry
}

type instanceEntry struct {
	instance port.Instance
	// The entry is on the list from listedAt (inclusive) to expiresAt (exclusive).
	listedAt, expiresAt time.Time
	// leavingSince is zero if the instance isn't leaving.
	leavingSince time.Time
}

// serverEntry is one server of the list; its times are zero until the server is
// marked as leaving or removed.
type serverEntry struct {
	server       port.Server
	leavingSince time.Time
	removedAt    time.Time
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
	r.Use(injectFaults(faultSource{
		set:     l.faults,
		current: func() CallFaults { return l.faults.current().Live.CallFaults },
		consume: func(c func(*CallFaults) *int) bool {
			return l.faults.consume(func(f *Faults) *int { return c(&f.Live.CallFaults) })
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
		entry = &instanceEntry{listedAt: now}
		l.instances[i.ID] = entry
	}
	if i.Leaving && entry.leavingSince.IsZero() {
		entry.leavingSince = now
	}
	entry.instance = i
	entry.expiresAt = now.Add(ttl)
}

// addServer adds a server to the list. The lag doesn't delay its appearance.
func (l *liveService) addServer(s port.Server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.servers[s.ID] = &serverEntry{server: s}
}

func (l *liveService) markServerLeaving(id port.ServerID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if entry, ok := l.servers[id]; ok && entry.leavingSince.IsZero() {
		entry.leavingSince = time.Now()
	}
}

func (l *liveService) removeServer(id port.ServerID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if entry, ok := l.servers[id]; ok && entry.removedAt.IsZero() {
		entry.removedAt = time.Now()
	}
}

// hasPassed reports whether the moment is set and not after at.
func hasPassed(moment, at time.Time) bool { return !moment.IsZero() && !moment.After(at) }

// list returns the list as it was at a given time, and deletes the instances that
// had expired by then.
func (l *liveService) list(at time.Time) port.LiveSet {
	l.mu.Lock()
	defer l.mu.Unlock()
	set := port.LiveSet{At: at, Instances: []port.Instance{}, Servers: []port.Server{}}
	for id, entry := range l.instances {
		if !entry.expiresAt.After(at) {
			delete(l.instances, id)
			continue
		}
		if entry.listedAt.After(at) {
			continue
		}
		instance := entry.instance
		instance.Leaving = hasPassed(entry.leavingSince, at)
		set.Instances = append(set.Instances, instance)
	}
	for _, entry := range l.servers {
		if hasPassed(entry.removedAt, at) {
			continue
		}
		server := entry.server
		server.Leaving = hasPassed(entry.leavingSince, at)
		set.Servers = append(set.Servers, server)
	}
	sort.Slice(set.Instances, func(i, j int) bool { return set.Instances[i].ID < set.Instances[j].ID })
	sort.Slice(set.Servers, func(i, j int) bool { return set.Servers[i].ID < set.Servers[j].ID })
	return set
}
