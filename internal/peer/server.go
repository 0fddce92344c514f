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

// ErrServe means that the listener for other instances failed.
var ErrServe = errors.New("serve peers")

// peerProbe is the interval of the probes on idle connections: one end may be gone
// without a word, and calls are bounded only while they run.
const peerProbe = 5 * time.Second

// KeepAlive is the probing of connections between instances, for both ends.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: peerProbe, Interval: peerProbe, Count: 3}
}

// Serve answers other instances on the listener until ctx ends.
func Serve(ctx context.Context, l net.Listener, handler peerpb.DRPCPeerServer, tracer trace.Tracer, logger *log.Logger) error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, handler); err != nil {
		return errors.Join(ErrServe, err)
	}
	return ServeMux(ctx, l, mux, tracer, logger)
}

// ServeMux answers calls of any services on the listener until ctx ends.
func ServeMux(ctx context.Context, l net.Listener, mux *drpcmux.Mux, tracer trace.Tracer, logger *log.Logger) error {
	server := drpcserver.NewWithOptions(&tracedHandler{next: mux, tracer: tracer}, drpcserver.Options{
		Log: func(err error) { logger.Debug().Err(err).Msg("peer_connection_failed") },
	})
	if err := server.Serve(ctx, l); err != nil && ctx.Err() == nil {
		return errors.Join(ErrServe, err)
	}
	return nil
}

// tracedHandler makes a span for each call, under the caller's if it sent one.
type tracedHandler struct {
	next   drpc.Handler
	tracer trace.Tracer
}

// HandleRPC serves one call.
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
