package fleetapp

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenhoist/cyclamenhoist/internal/peer"
	"github.com/cyclamenhoist/cyclamenhoist/internal/testnet"
)

// A TCP_USER_TIMEOUT would decide, instead of the count of the probes, when a connection of a
// client or of another instance is given up.
func TestKeepAliveOfConnections(t *testing.T) {
	ofClients, err := listenForClients(t.Context(), "127.0.0.1:0")
	require.NoError(t, err)
	defer ofClients.Close()
	peers := net.ListenConfig{KeepAliveConfig: peer.KeepAlive()}
	ofPeers, err := peers.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ofPeers.Close()
	toPeers := &net.Dialer{KeepAliveConfig: peer.KeepAlive()}
	clients := testnet.KeepAlive{Idle: 2 * time.Second, Interval: 2 * time.Second, Count: 2}
	instances := testnet.KeepAlive{Idle: 5 * time.Second, Interval: 5 * time.Second, Count: 3}
	for name, c := range map[string]struct {
		listener net.Listener
		dial     func(ctx context.Context, network, address string) (net.Conn, error)
		// accepted and opened are the options at both ends; nil for an end that isn't ours.
		accepted, opened *testnet.KeepAlive
	}{
		"client":   {ofClients, (&net.Dialer{}).DialContext, &clients, nil},
		"instance": {ofPeers, toPeers.DialContext, &instances, &instances},
	} {
		t.Run(name, func(t *testing.T) {
			opened, err := c.dial(t.Context(), "tcp", c.listener.Addr().String())
			require.NoError(t, err)
			defer opened.Close()
			accepted, err := c.listener.Accept()
			require.NoError(t, err)
			defer accepted.Close()
			for end, want := range map[net.Conn]*testnet.KeepAlive{accepted: c.accepted, opened: c.opened} {
				if want == nil {
					continue
				}
				options, err := testnet.KeepAliveOf(end)
				require.NoError(t, err)
				assert.Equal(t, *want, options)
			}
		})
	}
}
