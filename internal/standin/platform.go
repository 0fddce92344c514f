package standin

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/internal/adapter/httpcall"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// ErrListen is returned if a stand-in can't listen on its address.
var ErrListen = errors.New("stand-in can't listen")

// ErrNoServer is returned if no backend server has the given ID.
var ErrNoServer = errors.New("no such server")

const readHeaderTimeout = 10 * time.Second

// Platform is a running set of stand-ins.
type Platform struct {
	// Base URLs of the log service, the weight store, the live list, and the
	// control endpoint for faults and counters.
	LogURL, StoreURL, LiveURL, ControlURL string
	// Servers are the backend servers, in the order of the zones in the settings.
	Servers []port.Server

	faults   *faultSet
	counters *counterSet
	log      *logService
	store    *storeService
	live     *liveService
	engines  map[port.ServerID]*engine
	plain    map[port.ServerID]*plainService
	client   *http.Client
	nextPort int

	mu          sync.Mutex
	httpServers map[string]*http.Server
	closed      bool
}

// Start starts the stand-ins, which run until Close is called. It returns an error
// that wraps ErrListen if an address isn't available.
func Start(s Settings) (*Platform, error) {
	faults := newFaultSet()
	p := &Platform{
		faults: faults, counters: newCounterSet(), client: httpcall.NewClient(), nextPort: s.BasePort,
		log: newLogService(s.Log, faults), store: newStoreService(s, faults), live: newLiveService(s.Live, faults),
		engines: make(map[port.ServerID]*engine), plain: make(map[port.ServerID]*plainService),
		httpServers: make(map[string]*http.Server),
	}
	if err := p.startAll(s); err != nil {
		p.Close()
		return nil, err
	}
	return p, nil
}

func (p *Platform) startAll(s Settings) error {
	services := []struct {
		url     *string
		handler http.Handler
	}{
		{&p.ControlURL, p.control()},
		{&p.LogURL, p.log.handler()},
		{&p.StoreURL, p.store.handler()},
		{&p.LiveURL, p.live.handler()},
	}
	for _, service := range services {
		address, err := p.listen(p.nextAddress(s.Host), service.handler)
		if err != nil {
			return err
		}
		*service.url = "http://" + address
	}
	for _, zone := range s.Zones {
		if err := p.startZone(s, zone); err != nil {
			return err
		}
	}
	return nil
}

func (p *Platform) startZone(s Settings, zone ZoneSettings) error {
	for i := range zone.Engines {
		server := port.Server{
			ID: port.ServerID(fmt.Sprintf("%s-engine-%d", zone.Name, i+1)), Zone: zone.Name,
			Service: s.EngineService, Kind: port.KindEngine,
		}
		if err := p.startEngine(s, server); err != nil {
			return err
		}
	}
	for i := range zone.Plain {
		server := port.Server{
			ID: port.ServerID(fmt.Sprintf("%s-plain-%d", zone.Name, i+1)), Zone: zone.Name,
			Service: s.PlainService, Kind: port.KindPlain,
		}
		if err := p.startPlain(s, server); err != nil {
			return err
		}
	}
	return nil
}

func (p *Platform) startEngine(s Settings, server port.Server) error {
	e := newEngine(server, s.Engine, p.faults, p.counters, p.StoreURL, p.client)
	address, err := p.listen(p.nextAddress(s.Host), e.handler())
	if err != nil {
		return err
	}
	server.Address = address
	p.engines[server.ID] = e
	p.addServer(server)
	return nil
}

func (p *Platform) startPlain(s Settings, server port.Server) error {
	service := &plainService{server: server, faults: p.faults, counters: p.counters}
	address, err := p.listen(p.nextAddress(s.Host), service.handler())
	if err != nil {
		return err
	}
	server.Address = address
	p.plain[server.ID] = service
	p.addServer(server)
	return nil
}

func (p *Platform) addServer(server port.Server) {
	p.Servers = append(p.Servers, server)
	p.live.addServer(server)
}

// nextAddress returns the address for the next listener.
func (p *Platform) nextAddress(host string) string {
	if p.nextPort == 0 {
		return net.JoinHostPort(host, "0")
	}
	address := net.JoinHostPort(host, strconv.Itoa(p.nextPort))
	p.nextPort++
	return address
}

// listen serves the handler on the address and returns the bound address, which
// differs if the port is 0.
func (p *Platform) listen(address string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", fmt.Errorf("%w: %w", ErrListen, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	bound := listener.Addr().String()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = listener.Close()
		return "", ErrListen
	}
	p.httpServers[bound] = server
	go func() { _ = server.Serve(listener) }() // returns when Close or Kill closes the server
	return bound, nil
}

// Close stops all stand-ins and closes the connections to them.
func (p *Platform) Close() {
	p.mu.Lock()
	p.closed = true
	for _, server := range p.httpServers {
		_ = server.Close()
	}
	p.mu.Unlock()
	for _, e := range p.engines {
		e.shutdown()
	}
	p.client.CloseIdleConnections()
}

// Server returns the backend server with the ID, and whether it exists.
func (p *Platform) Server(id port.ServerID) (port.Server, bool) {
	for _, server := range p.Servers {
		if server.ID == id {
			return server, true
		}
	}
	return port.Server{}, false
}

// Faults returns a copy of the faults in force.
func (p *Platform) Faults() Faults { return *p.faults.current().clone() }

// SetFaults changes the faults in force.
func (p *Platform) SetFaults(change func(*Faults)) { p.faults.update(change) }

// SetServerFaults changes the faults of one server.
func (p *Platform) SetServerFaults(id port.ServerID, change func(*ServerFaults)) {
	p.faults.update(func(f *Faults) {
		server := f.Servers[id]
		change(&server)
		f.Servers[id] = server
	})
}

// RestartEngine starts a new incarnation of an engine, which has no replicas.
// Orders and answers in progress end with a connection reset. It returns
// ErrNoServer if no engine has the ID.
func (p *Platform) RestartEngine(id port.ServerID) error {
	e, ok := p.engines[id]
	if !ok {
		return ErrNoServer
	}
	e.restart()
	return nil
}

// Leave marks a server as leaving: immediately in its own reports, and in the live
// list after the lag of the list. It returns ErrNoServer if no server has the ID.
func (p *Platform) Leave(id port.ServerID) error {
	if _, ok := p.Server(id); !ok {
		return ErrNoServer
	}
	if e, ok := p.engines[id]; ok {
		e.markLeaving()
	}
	if s, ok := p.plain[id]; ok {
		s.leaving.Store(true)
	}
	p.live.markServerLeaving(id)
	return nil
}

// Kill stops a server without draining it: its connections are closed, new ones
// are refused, its replicas are lost, and the live list omits it after the lag of
// the list. It returns ErrNoServer if no server has the ID.
func (p *Platform) Kill(id port.ServerID) error {
	server, ok := p.Server(id)
	if !ok {
		return ErrNoServer
	}
	p.mu.Lock()
	if running, ok := p.httpServers[server.Address]; ok {
		_ = running.Close()
		delete(p.httpServers, server.Address)
	}
	p.mu.Unlock()
	if e, ok := p.engines[id]; ok {
		e.restart()
	}
	p.live.removeServer(id)
	return nil
}

// Revive restarts a killed server on its former address, as a new incarnation. It
// returns ErrNoServer if no server has the ID, and an error that wraps ErrListen if
// the address isn't available.
func (p *Platform) Revive(id port.ServerID) error {
	server, ok := p.Server(id)
	if !ok {
		return ErrNoServer
	}
	handler := http.Handler(nil)
	if e, ok := p.engines[id]; ok {
		handler = e.handler()
	}
	if s, ok := p.plain[id]; ok {
		handler = s.handler()
	}
	if _, err := p.listen(server.Address, handler); err != nil {
		return err
	}
	p.live.addServer(server)
	return nil
}

// TruncateLog drops all records of the log before an offset.
func (p *Platform) TruncateLog(before port.Offset) { p.log.truncateBefore(before) }

// AppendToLog appends records, bypassing faults and rate limits, and returns the
// offset of the first one.
func (p *Platform) AppendToLog(payloads ...[]byte) port.Offset { return p.log.append(payloads) }

// Counters returns a snapshot of the counters of all stand-ins.
func (p *Platform) Counters() Counters {
	c := p.counters.snapshot()
	p.store.addCounters(&c)
	p.log.addCounters(&c)
	return c
}

// LoadsSeen returns how many loads of a model engines have begun.
func (p *Platform) LoadsSeen(model port.ModelID) int { return p.Counters().Loads[model] }

// LoadedNow returns how many replicas of a model are loading or ready.
func (p *Platform) LoadedNow(model port.ModelID) int { return p.Counters().LoadedNow[model] }

// MaxReplicasSeen returns the highest number of concurrent replicas of a model.
func (p *Platform) MaxReplicasSeen(model port.ModelID) int { return p.Counters().MaxReplicas[model] }

// Overcommits returns how many load orders exceeded the free memory of an
// accelerator.
func (p *Platform) Overcommits() int { return p.Counters().Overcommits }

// PlainRuns returns how many requests with the Idempotency-Key plain services have
// executed.
func (p *Platform) PlainRuns(key string) int { return p.Counters().PlainRuns[key] }

// StoreMaxAtOnce returns the highest number of concurrent transfers from the weight
// store.
func (p *Platform) StoreMaxAtOnce() int { return p.Counters().StoreMaxAtOnce }
