package peer

import (
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/phuslu/log"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"storj.io/drpc"
	"storj.io/drpc/drpcmetadata"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/cyclamenhoist/cyclamenhoist/internal/peer/peerpb"
	"github.com/cyclamenhoist/cyclamenhoist/internal/telemetry"
)

// ErrServe means that serving other instances failed.
var ErrServe = errors.New("serve peers")

// keepAliveInterval is the interval of TCP keep-alive probes. They detect that the
// other end of an idle connection is gone, which no call timeout covers.
const keepAliveInterval = 5 * time.Second

// KeepAlive returns the TCP keep-alive settings for both ends of connections
// between instances.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 3}
}

// Serve handles calls of other instances on the listener until ctx ends.
func Serve(ctx context.Context, l net.Listener, handler peerpb.DRPCPeerServer, tracer trace.Tracer, logger *log.Logger) error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, handler); err != nil {
		return errors.Join(ErrServe, err)
	}
	return ServeMux(ctx, l, mux, tracer, logger)
}

// ServeMux handles calls to the services of mux on the listener until ctx ends.
func ServeMux(ctx context.Context, l net.Listener, mux *drpcmux.Mux, tracer trace.Tracer, logger *log.Logger) error {
	server := drpcserver.NewWithOptions(&tracedHandler{next: mux, tracer: tracer}, drpcserver.Options{
		Log: func(err error) { logger.Debug().Err(err).Msg("peer_connection_failed") },
	})
	if err := server.Serve(ctx, l); err != nil && ctx.Err() == nil {
		return errors.Join(ErrServe, err)
	}
	return nil
}

// tracedHandler starts a span for each call, as a child of the caller's span if
// the call carries a trace context.
type tracedHandler struct {
	next   drpc.Handler
	tracer trace.Tracer
}

// HandleRPC implements drpc.Handler.
func (h *tracedHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	ctx := stream.Context()
	if pairs, ok := drpcmetadata.Get(ctx); ok {
		ctx = telemetry.Propagator.Extract(ctx, propagation.MapCarrier(pairs))
	}
	ctx, span := h.tracer.Start(ctx, "peer answer", trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(attribute.String("rpc", rpc)))
	defer span.End()
	return h.next.HandleRPC(&tracedStream{Stream: stream, ctx: ctx}, rpc)
}

type tracedStream struct {
	drpc.Stream
	ctx context.Context
}

// Context returns the call's context with its span.
func (s *tracedStream) Context() context.Context { return s.ctx }
