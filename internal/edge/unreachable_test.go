package edge_test

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/assert"

	"github.com/cyclamenhoist/cyclamenhoist/internal/edge"
	"github.com/cyclamenhoist/cyclamenhoist/internal/relay"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
	"github.com/cyclamenhoist/cyclamenhoist/platform/standin"
)

const (
	// detectedAfter is the time after which an instance that reaches no server is to serve its
	// clients through others, and servedLikeOthers the least part of the share that they serve.
	detectedAfter    = 3 * time.Second
	servedLikeOthers = 2.0 / 3
	// directDialTimeout is the time after which a connection that hangs is given up.
	directDialTimeout = 300 * time.Millisecond
)

// pathState is the state of an instance's network path to the servers.
type pathState int

const (
	pathOpen pathState = iota
	// pathHangs drops the packets of all connections.
	pathHangs
	// pathRefuses resets open connections and refuses new ones.
	pathRefuses
)

// paths are the network paths of instances to the servers, which they can lose, and their relays.
type paths struct {
	*virtualFleet

	mu      sync.Mutex
	states  map[string]pathState
	dialers map[string]*relay.Dialer
	// stops end the relays of the instances.
	stops map[string]context.CancelFunc
	// sources are the names by which servers know the instances. They change at a restart.
	sources map[string]string
	// deaf are the instances of an earlier build, whose relays neither read nor check anything.
	deaf map[string]bool
}

func newPaths(f *virtualFleet) *paths {
	return &paths{virtualFleet: f, states: map[string]pathState{}, dialers: map[string]*relay.Dialer{}, stops: map[string]context.CancelFunc{}, sources: map[string]string{}, deaf: map[string]bool{}}
}

// addInstance starts an instance with a relay.
func (f *paths) addInstance(n, instances int, views *edge.Views) {
	name := instanceName(n)
	dialer := f.addRelay(name, fmt.Sprintf("zone-%d", n%3), views)
	servers := platform.NewServersWithDial(dialer.Dial)
	dialer.OnCut(servers.CloseAllIdle)
	f.instances = append(f.instances, f.newInstanceWith(name, views, instances, servers))
}

// connectRelays lets all instances use the relays of the others.
func (f *paths) connectRelays() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, dialer := range f.dialers {
		dialer.SetPeers(func() []string {
			f.mu.Lock()
			defer f.mu.Unlock()
			return slices.DeleteFunc(slices.Collect(maps.Keys(f.dialers)), func(other string) bool { return other == name })
		})
	}
}

// pathFleet is a set of instances that can lose their paths to the servers.
type pathFleet struct {
	*crashFleet

	paths *paths
}

func newPathFleet(t *testing.T, instances int) *pathFleet {
	crashes := newCrashFleet(t, 0, 12)
	f := &pathFleet{crashFleet: crashes, paths: newPaths(crashes.virtualFleet)}
	for n := range instances {
		views := crashes.newViews(f.manifest)
		f.views = append(f.views, views)
		f.paths.addInstance(n, instances, views)
	}
	f.paths.connectRelays()
	return f
}

// addRelay starts the relay of an instance, at its name as the address, and returns its dialer.
func (f *paths) addRelay(name, zone string, views *edge.Views) *relay.Dialer {
	logger := &log.Logger{Level: log.PanicLevel}
	source := f.source(name)
	direct := func(ctx context.Context, _, address string) (net.Conn, error) {
		return f.dialFrom(ctx, name, source, address)
	}
	dialer := relay.NewDialer(relay.DialerConfig{
		Zone: zone, Dial: direct, DialPeer: f.dial, Log: logger,
		Servers: views.ServerAddresses,
	})
	ctx, stop := context.WithCancel(f.Context())
	f.mu.Lock()
	f.dialers[name], f.stops[name] = dialer, stop
	f.mu.Unlock()
	recorder := edge.NewStandingRecorder(views, f.standings.of(name), logger)
	server := relay.NewServer(relay.ServerConfig{
		Zone: zone, Dial: direct, Accepts: views.AcceptsRequests, Reaches: dialer.Reaches, Log: logger,
		Follow: func(address string) relay.Exchanges {
			if f.isDeaf(name) {
				return unfollowed{}
			}
			return recorder.FollowRelayed(address)
		},
	})
	listener := prefixListener{f.listeners.listen(name)}
	f.Cleanup(func() { _ = listener.Close() })
	go func() { _ = server.Serve(ctx, listener) }()
	go dialer.Run(ctx)
	return dialer
}

// unfollowed are the exchanges on a connection that nobody follows.
type unfollowed struct{}

func (unfollowed) Requests(from io.Reader) io.Reader { return from }
func (unfollowed) Answers(from io.Reader) io.Reader  { return from }
func (unfollowed) RequestBytes() int64               { return -1 }

func (f *paths) setDeaf(name string, deaf bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deaf[name] = deaf
}

func (f *paths) isDeaf(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.deaf[name]
}

// prefixListener strips the prefix of each connection.
type prefixListener struct{ net.Listener }

func (l prefixListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		reader := bufio.NewReader(conn)
		if _, err := reader.Discard(len(relay.Prefix)); err == nil {
			return readConn{conn, reader}, nil
		}
		// The client has gone.
		_ = conn.Close()
	}
}

type readConn struct {
	net.Conn

	reader *bufio.Reader
}

func (c readConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// source returns the name by which servers know an instance.
func (f *paths) source(name string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return cmp.Or(f.sources[name], name)
}

// end ends the relay of an instance that is about to restart.
func (f *paths) end(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stops[name]()
	f.sources[name] = cmp.Or(f.sources[name], name) + "'"
}

func (f *paths) path(name string) pathState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.states[name]
}

func (f *paths) setPaths(state pathState, instances ...int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range instances {
		f.states[instanceName(n)] = state
	}
}

func (f *paths) dialFrom(ctx context.Context, name, source, address string) (net.Conn, error) {
	switch f.path(name) {
	case pathRefuses:
		return nil, syscall.ECONNREFUSED
	case pathHangs:
		ctx, cancel := context.WithTimeout(ctx, directDialTimeout)
		defer cancel()
		<-ctx.Done()
		return nil, ctx.Err()
	default:
	}
	conn, err := f.listeners.dialFrom(ctx, source, address)
	if err != nil {
		return nil, err
	}
	return pathConn{conn.(addressedConn), f, name}, nil
}

// pathConn is a connection over the path of an instance.
type pathConn struct {
	addressedConn

	paths *paths
	name  string
}

func (c pathConn) Write(p []byte) (int, error) {
	switch c.paths.path(c.name) {
	case pathHangs:
		return len(p), nil
	case pathRefuses:
		return 0, syscall.ECONNRESET
	default:
		return c.Conn.Write(p)
	}
}

// TestInstanceWithoutServersServesFewerClients: clients of instances that had lost their network
// path to the servers were served far less often than those of the others.
func TestInstanceWithoutServersServesFewerClients(t *testing.T) {
	for name, c := range map[string]struct {
		state pathState
		cut   []int
	}{
		"most hang":     {pathHangs, []int{0, 1, 2, 3}},
		"some hang":     {pathHangs, []int{5}},
		"most refuse":   {pathRefuses, []int{0, 1, 2, 3}},
		"a zone refuse": {pathRefuses, []int{0, 3}},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				f := newPathFleet(t, 6)
				cut, others := &outcomes{}, &outcomes{}
				start := time.Now()
				time.AfterFunc(2*time.Second, func() { f.paths.setPaths(c.state, c.cut...) })
				time.AfterFunc(12*time.Second, func() { f.paths.setPaths(pathOpen, c.cut...) })
				f.sendToAll(15*time.Second, func(n int) *outcomes {
					if slices.Contains(c.cut, n) {
						return cut
					}
					return others
				})
				from, to := start.Add(2*time.Second+detectedAfter), start.Add(12*time.Second)
				servedByCut, n := cut.share(from, to)
				servedByOthers, _ := others.share(from, to)
				assert.Greater(t, n, 20)
				assert.GreaterOrEqual(t, servedByCut, servedLikeOthers*servedByOthers)
				for _, n := range c.cut {
					assert.True(t, f.paths.dialers[instanceName(n)].Reaches(), "the path is used again")
				}
			})
		})
	}
}

// sendToAll sends requests to all instances for a time, and records their outcomes.
func (f *pathFleet) sendToAll(duration time.Duration, record func(instance int) *outcomes) {
	random := rand.New(rand.NewPCG(1, 2))
	var group sync.WaitGroup
	for end, n := time.Now().Add(duration), 0; time.Now().Before(end); n++ {
		time.Sleep(10 * time.Millisecond)
		instance := random.IntN(len(f.instances))
		group.Go(func() {
			sent := time.Now()
			header := map[string]string{standin.HeaderModel: "m"}
			record(instance).add(sent, f.served(f.instances[instance], fmt.Sprint("id", n), header))
		})
	}
	group.Wait()
}

// An instance without a path refuses at once, as not run, what no other instance can relay.
func TestNoInstanceReachesTheServers(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newPathFleet(t, 2)
		f.paths.setPaths(pathRefuses, 0, 1)
		f.sendToAll(2*time.Second, func(int) *outcomes { return &outcomes{} })
		got := f.send(t.Context(), f.instances[0], "id", "/stream/x", map[string]string{standin.HeaderModel: "m"})
		assert.Equal(t, http.StatusServiceUnavailable, got.Code)
		f.paths.setPaths(pathOpen, 0, 1)
		time.Sleep(2 * time.Second)
		assert.True(t, f.served(f.instances[0], "again", map[string]string{standin.HeaderModel: "m"}))
	})
}
