package placer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace/noop"
	"storj.io/drpc/drpcmux"

	"github.com/cyclamenhoist/cyclamenhoist/internal/peer"
	"github.com/cyclamenhoist/cyclamenhoist/internal/placer/placerpb"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/limit"
	"github.com/cyclamenhoist/cyclamenhoist/platform/standin"
)

var quotaAsk = limit.QuotaAsk{Need: 1, Least: 1, Extra: 2, Demand: 3, Fraction: 0.5, Alone: 4, Limit: limit.QuotaLimit{Rate: 1000, Burst: 5000, Version: 7}}

// Guards against a new holder that doesn't grant, and instances that don't learn of fallback shares.
func TestHoldersGrantQuotas(t *testing.T) {
	c := newCluster(t, []string{"a"}, standin.ServerConfig{ID: "s0"})
	first := c.start("i0")
	c.eventually("i0 is the holder", first.elector.placing)
	second := c.start("i1")
	assert.False(t, second.StatesFallbackShares())
	reserve := func() bool {
		grant, err := second.ReserveQuota(t.Context(), "account", quotaAsk)
		return err == nil && grant.Amount >= 1 && grant.Fraction > 0
	}
	c.eventually("i1 gets a grant", reserve)
	c.eventually("i1 knows that shares are stated", second.StatesFallbackShares)
	require.True(t, first.elector.placing(), "it isn't i1 that grants to itself")
	first.stop()
	c.eventually("i1 is the holder", second.elector.placing)
	c.eventually("it grants to itself", reserve)
}

// Guards against a holder that takes instances without requests for silent, and reserves a part of
// each account's rate for them.
func TestHolderHearsWatchingInstances(t *testing.T) {
	c := newCluster(t, []string{"a"}, standin.ServerConfig{ID: "s0"})
	holder := c.start("i0")
	c.eventually("i0 is the holder", holder.elector.placing)
	heard := func() bool {
		holder.quotas.mu.Lock()
		defer holder.quotas.mu.Unlock()
		return holder.quotas.quotas != nil && holder.quotas.quotas.Knows("watching")
	}
	assert.False(t, heard())
	_, err := (&service{placer: holder.Placer}).Watch(t.Context(), &placerpb.WatchRequest{Instance: "watching"})
	require.NoError(t, err)
	assert.True(t, heard())
}

// Guards against fields that are lost on the wire.
func TestQuotaMessages(t *testing.T) {
	assert.Equal(t, quotaAsk, decodeQuotaAsk(encodeQuotaAsk("i", "account", quotaAsk)))
	grant := limit.QuotaGrant{Amount: 5, Retry: time.Millisecond, Fraction: 0.25}
	assert.Equal(t, grant, decodeQuotaGrant(encodeQuotaGrant(grant)))
}

// Guards against a call that hangs at a holder of an older build, which doesn't know it.
func TestHolderWithoutQuotasFailsTheCall(t *testing.T) {
	c := newCluster(t, []string{"a"}, standin.ServerConfig{ID: "s0"})
	i := c.start("i0")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		_ = peer.ServeMux(ctx, listener, drpcmux.New(), noop.NewTracerProvider().Tracer(""), &log.Logger{Level: log.PanicLevel})
	}()
	_, err = i.client(listener.Addr().String()).ReserveQuota(ctx, &placerpb.QuotaRequest{})
	assert.ErrorContains(t, err, "unknown rpc")
}
