package peer

import (
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmetadata"
	"storj.io/drpc/drpcpool"

	"github.com/cyclamenhoist/cyclamenhoist/internal/peer/peerpb"
	"github.com/cyclamenhoist/cyclamenhoist/internal/telemetry"
)

var (
	// ErrUnreachable means that no connection could be opened. The call had no
	// effect.
	ErrUnreachable = errors.New("peer unreachable")
	// ErrOutcomeUnknown means that it isn't known whether the call took effect.
	ErrOutcomeUnknown = errors.New("peer call lost")
)

// Limits and timeouts of the connection pool and its calls.
const (
	poolExpiration      = 2 * time.Minute
	poolCapacity        = 256
	poolCapacityPerPeer = 8
	dialTimeout         = time.Second
	defaultTimeout      = 5 * time.Second
)

// Dialer opens a connection to another instance.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Client calls other instances. It is safe for concurrent use.
type Client struct {
	dial   Dialer
	tracer trace.Tracer
	pool   *drpcpool.Pool[string, *drpcconn.Conn]
}

// NewClient returns a client that opens connections with dial.
func NewClient(dial Dialer, tracer trace.Tracer) *Client {
	return &Client{
		dial:   dial,
		tracer: tracer,
		pool: drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{
			Expiration: poolExpiration, Capacity: poolCapacity, KeyCapacity: poolCapacityPerPeer,
		}),
	}
}

// Close closes all idle connections.
func (c *Client) Close() error { return c.pool.Close() }

// To returns a client for the instance at the address. Its calls fail with
// ErrUnreachable or ErrOutcomeUnknown.
func (c *Client) To(address string) peerpb.DRPCPeerClient {
	return peerpb.NewDRPCPeerClient(c.Conn(address))
}

// Conn returns a connection to the instance at the address for any service. Each
// call uses its own pooled connection and fails with the errors documented at To.
func (c *Client) Conn(address string) drpc.Conn {
	return &conn{client: c, address: address}
}

// conn is a drpc.Conn that uses a pooled connection for each call.
type conn struct {
	client  *Client
	address string
}

func (c *conn) Close() error            { return nil }
func (c *conn) Closed() <-chan struct{} { return nil }

func (c *conn) NewStream(context.Context, string, drpc.Encoding) (drpc.Stream, error) {
	return nil, errors.Wrap(ErrUnreachable, "streams aren't used between instances")
}

func (c *conn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	if _, bounded := ctx.Deadline(); !bounded {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultTimeout)
		defer cancel()
	}
	ctx, span := c.client.tracer.Start(ctx, "peer call", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("rpc", rpc), attribute.String("peer", c.address)))
	defer span.End()
	dialFailed := false
	pooled := c.client.pool.Get(ctx, c.address, func(ctx context.Context, address string) (*drpcconn.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		raw, err := c.client.dial(ctx, address)
		if err != nil {
			dialFailed = true
			return nil, err
		}
		return drpcconn.New(raw), nil
	})
	defer func() { _ = pooled.Close() }()
	err := pooled.Invoke(withTraceContext(ctx), rpc, enc, in, out)
	switch {
	case err == nil:
		return nil
	case dialFailed:
		return errors.Join(ErrUnreachable, err)
	default:
		return errors.Join(ErrOutcomeUnknown, err)
	}
}

func withTraceContext(ctx context.Context) context.Context {
	carrier := propagation.MapCarrier{}
	telemetry.Propagator.Inject(ctx, carrier)
	if len(carrier) == 0 {
		return ctx
	}
	return drpcmetadata.AddPairs(ctx, carrier)
}
