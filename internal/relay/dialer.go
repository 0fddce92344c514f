package relay

import (
	"bufio"
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/phuslu/log"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/pause"
)

// DialFunc opens a connection to the address, which is IP:port.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

const (
	// connectTimeout limits a relayed connection, beyond the time to connect to the instance.
	connectTimeout = 600 * time.Millisecond
	// checkInterval is how often the direct path is tried, and the other instances are asked,
	// while no server is reachable.
	checkInterval = 500 * time.Millisecond
	// checkedServers and checkedPeers are the numbers of servers and instances that are tried.
	checkedServers = 8
	checkedPeers   = 24
	// maxRelays is the number of instances through which one connection is tried.
	maxRelays = 3
)

// Errors of a relayed connection. ErrNoRelay means that no other instance reaches the servers.
var (
	ErrNoRelay     = errors.New("no instance reaches the servers")
	errRelayFailed = errors.New("relay failed")
)

// DialerConfig configures a Dialer.
type DialerConfig struct {
	// Zone is the availability zone of the instance.
	Zone string
	// Dial opens a connection to a server directly, and DialPeer one to another instance.
	Dial, DialPeer DialFunc
	// Servers returns the addresses of the listed servers.
	Servers func() []string
	Log     *log.Logger
}

// Dialer opens connections to servers, directly or through other instances. It is safe for
// concurrent use.
type Dialer struct {
	cfg DialerConfig
	// cut is true while no server is reachable directly.
	cut    atomic.Bool
	relays atomic.Pointer[relays]
	// suspected triggers a check whether servers are reachable.
	suspected chan struct{}
	// peers returns the addresses of the other instances.
	peers atomic.Pointer[func() []string]
	// onCut is called when no server is reachable any longer.
	onCut atomic.Pointer[func()]

	mu       sync.Mutex
	failures failures
}

// relays are the instances that reach servers, in the own availability zone and in others.
type relays struct{ sameZone, others []string }

// pick returns up to maxRelays of the instances, in the order in which to try them. Traffic
// between availability zones is billed.
func (r *relays) pick() []string {
	picked := sample(r.sameZone, maxRelays)
	if len(picked) == maxRelays && len(r.others) > 0 {
		// The last one is in another availability zone, in case the own one is cut off.
		picked = picked[:maxRelays-1]
	}
	return append(picked, sample(r.others, maxRelays-len(picked))...)
}

// NewDialer returns a Dialer, which needs Run.
func NewDialer(cfg DialerConfig) *Dialer {
	d := &Dialer{cfg: cfg, suspected: make(chan struct{}, 1)}
	d.relays.Store(&relays{})
	d.SetPeers(func() []string { return nil })
	return d
}

// SetPeers sets the function that returns the addresses of the other instances.
func (d *Dialer) SetPeers(peers func() []string) { d.peers.Store(&peers) }

// Run checks whether servers are reachable, whenever connections fail, until ctx ends.
func (d *Dialer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.suspected:
			d.check(ctx)
		}
	}
}

// OnCut sets the function that is called when no server is reachable directly any longer.
func (d *Dialer) OnCut(f func()) { d.onCut.Store(&f) }

// Reaches reports whether servers are reachable directly.
func (d *Dialer) Reaches() bool { return !d.cut.Load() }

// Dial opens a connection to a server. An error that wraps syscall.ECONNREFUSED means that the
// server's machine has refused it.
func (d *Dialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	if d.cut.Load() {
		return d.dialRelayed(ctx, network, address)
	}
	conn, err := d.cfg.Dial(ctx, network, address)
	switch {
	case err == nil:
		d.succeeded()
	case ctx.Err() == nil:
		d.failed(address)
		if d.cut.Load() {
			return d.dialRelayed(ctx, network, address)
		}
	}
	return conn, err
}

func (d *Dialer) succeeded() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failures.succeeded()
}

// failed records a failed connection. If several servers have failed, Run checks whether any is
// reachable.
func (d *Dialer) failed(address string) {
	d.mu.Lock()
	suspicious := d.failures.failed(address)
	d.mu.Unlock()
	if !suspicious {
		return
	}
	select {
	case d.suspected <- struct{}{}:
	default:
	}
}

// check tries the servers, and stays until one of them is reachable. Meanwhile connections are
// relayed.
func (d *Dialer) check(ctx context.Context) {
	if d.anyReachable(ctx) {
		d.succeeded()
		return
	}
	started := time.Now()
	d.findRelays(ctx)
	d.cut.Store(true)
	found := d.relays.Load()
	d.cfg.Log.Warn().Int("relays_same_zone", len(found.sameZone)).Int("relays_others", len(found.others)).Msg("servers_unreachable")
	if onCut := d.onCut.Load(); onCut != nil {
		(*onCut)()
	}
	for pause.For(ctx, checkInterval) && !d.anyReachable(ctx) {
		d.findRelays(ctx)
	}
	d.cut.Store(false)
	d.succeeded()
	d.cfg.Log.Info().Dur("for", time.Since(started)).Msg("servers_reachable")
}

// anyReachable reports whether one of several servers accepts a connection, or none is listed.
func (d *Dialer) anyReachable(ctx context.Context) bool {
	servers := sample(d.cfg.Servers(), checkedServers)
	if len(servers) == 0 {
		return true
	}
	reachable := make(chan bool, len(servers))
	for _, address := range servers {
		go func() {
			conn, err := d.cfg.Dial(ctx, "tcp", address)
			if err == nil {
				_ = conn.Close()
			}
			reachable <- err == nil
		}()
	}
	for range servers {
		if <-reachable {
			return true
		}
	}
	return false
}

// findRelays asks other instances whether they reach servers.
func (d *Dialer) findRelays(ctx context.Context) {
	type reply struct {
		address, zone string
		err           error
	}
	peers := sample((*d.peers.Load())(), checkedPeers)
	replies := make(chan reply, len(peers))
	for _, address := range peers {
		go func() {
			conn, zone, err := d.request(ctx, address, "")
			if err == nil {
				_ = conn.Close()
			}
			replies <- reply{address, zone, err}
		}()
	}
	found := &relays{}
	for range peers {
		r := <-replies
		switch {
		case r.err != nil:
			d.cfg.Log.Debug().Err(r.err).Str("relay", r.address).Msg("relay_unusable")
		case r.zone == d.cfg.Zone:
			found.sameZone = append(found.sameZone, r.address)
		default:
			found.others = append(found.others, r.address)
		}
	}
	d.relays.Store(found)
}

// dialRelayed opens a connection through another instance.
func (d *Dialer) dialRelayed(ctx context.Context, _, address string) (net.Conn, error) {
	err := ErrNoRelay
	for _, relay := range d.relays.Load().pick() {
		var conn net.Conn
		conn, _, err = d.request(ctx, relay, address)
		if err == nil {
			return conn, nil
		}
		if errors.Is(err, syscall.ECONNREFUSED) || ctx.Err() != nil {
			return nil, err
		}
		d.cfg.Log.Debug().Err(err).Str("relay", relay).Str("server", address).Msg("relay_failed")
	}
	return nil, err
}

// request connects to another instance and asks it for a connection to a server, or only for its
// status if the address is empty. It returns the availability zone of the instance.
func (d *Dialer) request(ctx context.Context, relay, address string) (net.Conn, string, error) {
	raw, err := d.cfg.DialPeer(ctx, "tcp", relay)
	if err != nil {
		return nil, "", errors.Wrap(err, "connect to relay")
	}
	if tcp, ok := raw.(interface{ SetLinger(sec int) error }); ok {
		if err := tcp.SetLinger(0); err != nil {
			reset(raw)
			return nil, "", errors.Wrap(err, "set linger")
		}
	}
	stop := context.AfterFunc(ctx, func() { reset(raw) })
	defer stop()
	reader := bufio.NewReader(raw)
	var reply string
	err = withTimeout(raw, connectTimeout, func() error {
		if _, err := raw.Write([]byte(Prefix + address + "\n")); err != nil {
			return errors.Wrap(err, "write request")
		}
		var err error
		reply, err = readLine(reader)
		return err
	})
	if err == nil && reply == "" {
		err = errRelayFailed
	}
	if err != nil {
		reset(raw)
		return nil, "", err
	}
	switch result := status(reply[0]); result {
	case statusConnected:
		return &conn{Conn: raw, frames: &frameReader{conn: reader}, server: serverAddress(address), relay: relay}, reply[1:], nil
	case statusRefused:
		reset(raw)
		return nil, "", errors.Wrap(syscall.ECONNREFUSED, "relayed")
	default:
		reset(raw)
		return nil, "", errors.Wrapf(errRelayFailed, "status %c", result)
	}
}

// sample returns up to n of the addresses in random order.
func sample(addresses []string, n int) []string {
	out := make([]string, 0, min(n, len(addresses)))
	for _, i := range rand.Perm(len(addresses))[:min(n, len(addresses))] {
		out = append(out, addresses[i])
	}
	return out
}
