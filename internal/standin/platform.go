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

// ErrListen says that a stand-in could not listen on its address.
var ErrListen = errors.New("stand-in can't listen")

// ErrNoServer says that no stand-in server has the ID.
var ErrNoServer = errors.New("no such server")

const readHeaderTimeout = 10 * time.Second

// Platform is a running platform.
type Platform struct {
	// The URLs of the platform's services and of the faults and counters.
	LogURL, StoreURL, LiveURL, ControlURL string
	// Servers are the backend servers, in the order of the settings' zones.
	Servers []port.Server

	faults   *faultSet
	tally    *tally
	log      *logService
	store    *storeService
	live     *liveService
	engines  map[port.ServerID]*engine
	plain    map[port.ServerID]*plainService
	client   *http.Client
	nextPort int

	mu        sync.Mutex
	listening map[string]*http.Server
	closed    bool
}

// Start runs the stand-ins until Close.
func Start(s Settings) (*Platform, error) {
	faults := newFaultSet()
	p := &Platform{
		faults: faults, tally: newTally(), client: httpcall.NewClient(), nextPort: s.BasePort,
		log: newLogService(s.Log, faults), store: newStoreService(s, faults), live: newLiveService(s.Live, faults),
		engines: make(map[port.ServerID]*engine), plain: make(map[port.ServerID]*plainService),
		listening: make(map[string]*http.Server),
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
	e := newEngine(server, s.Engine, p.faults, p.tally, p.StoreURL, p.client)
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
	service := &plainService{server: server, faults: p.faults, tally: p.tally}
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

func (p *Platform) nextAddress(host string) string {
	if p.nextPort == 0 {
		return net.JoinHostPort(host, "0")
	}
	address := net.JoinHostPort(host, strconv.Itoa(p.nextPort))
	p.nextPort++
	return address
}

// listen serves the handler and returns the address that it got.
func (p *Platform) listen(address string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", fmt.Errorf("%w: %w", ErrListen, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	got := listener.Addr().String()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = listener.Close()
		return "", ErrListen
	}
	p.listening[got] = server
	go func() { _ = server.Serve(listener) }() // ends with Close
	return got, nil
}

// Close ends every stand-in and the connections to it.
func (p *Platform) Close() {
	p.mu.Lock()
	p.closed = true
	for _, server := range p.listening {
		_ = server.Close()
	}
	p.mu.Unlock()
	for _, e := range p.engines {
		e.shutdown()
	}
	p.client.CloseIdleConnections()
}

// Server returns the backend server with the ID.
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

// RestartEngine starts a new incarnation of an engine, which forgets its loads.
// Orders and answers in progress are cut off.
func (p *Platform) RestartEngine(id port.ServerID) error {
	e, ok := p.engines[id]
	if !ok {
		return ErrNoServer
	}
	e.restart()
	return nil
}

// Leave marks a server as leaving: in its own reports at once, on the live list
// after its lag.
func (p *Platform) Leave(id port.ServerID) error {
	if _, ok := p.Server(id); !ok {
		return ErrNoServer
	}
	if e, ok := p.engines[id]; ok {
		e.leave()
	}
	if s, ok := p.plain[id]; ok {
		s.leaving.Store(true)
	}
	p.live.leaveServer(id)
	return nil
}

// Kill ends a server without warning: its connections are cut, further ones are
// refused, its loads are gone, and after its lag the live list leaves it out.
func (p *Platform) Kill(id port.ServerID) error {
	server, ok := p.Server(id)
	if !ok {
		return ErrNoServer
	}
	p.mu.Lock()
	if running, ok := p.listening[server.Address]; ok {
		_ = running.Close()
		delete(p.listening, server.Address)
	}
	p.mu.Unlock()
	if e, ok := p.engines[id]; ok {
		e.restart()
	}
	p.live.removeServer(id)
	return nil
}

// Revive brings a killed server back on its address, as a new incarnation.
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

// TruncateLog makes the log forget every record before an offset.
func (p *Platform) TruncateLog(before port.Offset) { p.log.truncateBefore(before) }

// AppendToLog appends records as another writer would, past faults and limits.
func (p *Platform) AppendToLog(payloads ...[]byte) port.Offset { return p.log.append(payloads) }

// Counters returns what the stand-ins have seen.
func (p *Platform) Counters() Counters {
	c := p.tally.snapshot()
	p.store.count(&c)
	p.log.count(&c)
	return c
}

// LoadsSeen returns how many loads of a model engines began.
func (p *Platform) LoadsSeen(model port.ModelID) int { return p.Counters().Loads[model] }

// LoadedNow returns how many replicas of a model are loading or ready.
func (p *Platform) LoadedNow(model port.ModelID) int { return p.Counters().LoadedNow[model] }

// MaxReplicasSeen returns the most replicas of a model at one time.
func (p *Platform) MaxReplicasSeen(model port.ModelID) int { return p.Counters().MaxReplicas[model] }

// Overcommits returns how many load orders an accelerator had no room for.
func (p *Platform) Overcommits() int { return p.Counters().Overcommits }

// PlainRuns returns how often plain services ran a request with the key.
func (p *Platform) PlainRuns(key string) int { return p.Counters().PlainRuns[key] }

// StoreMaxAtOnce returns the most transfers from the weight store at one time.
func (p *Platform) StoreMaxAtOnce() int { return p.Counters().StoreMaxAtOnce }
