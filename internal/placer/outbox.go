package placer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/internal/placer/placerpb"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/pause"
)

const (
	// tellBatchDelay is the time for which messages to an instance are collected before they are
	// sent.
	tellBatchDelay = 2 * time.Millisecond
	// tellTimeout limits a call that tells an instance something. The instance may be gone.
	tellTimeout = 300 * time.Millisecond
	// tellRetryDelay is the delay before messages that an instance hasn't received are sent again,
	// and tellRetries how often they are.
	tellRetryDelay = 500 * time.Millisecond
	tellRetries    = 20
)

// outbox sends messages to other instances, several in one call, until each has received them or is
// gone.
type outbox[M any] struct {
	placer *Placer
	// name names the messages in logs.
	name string
	// join returns two messages to one instance as one, and call sends a message.
	join func(first, second M) M
	call func(ctx context.Context, client placerpb.DRPCPlacerClient, m M) error

	mu sync.Mutex
	// pending are the messages to send, by the address of the instance.
	pending map[string]M
	changed chan struct{}
}

func newOutbox[M any](p *Placer, name string, join func(first, second M) M, call func(context.Context, placerpb.DRPCPlacerClient, M) error) *outbox[M] {
	return &outbox[M]{placer: p, name: name, join: join, call: call, pending: map[string]M{}, changed: make(chan struct{}, 1)}
}

// put sends a message to instances, in the background.
func (o *outbox[M]) put(m M, addresses ...string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, address := range addresses {
		if before, found := o.pending[address]; found {
			o.pending[address] = o.join(before, m)
		} else {
			o.pending[address] = m
		}
	}
	signal(o.changed)
}

// run sends what is put until ctx ends.
func (o *outbox[M]) run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-o.changed:
		}
		pause.For(ctx, tellBatchDelay)
		o.mu.Lock()
		batches := o.pending
		o.pending = map[string]M{}
		o.mu.Unlock()
		for address, batch := range batches {
			go o.sendTo(ctx, address, batch)
		}
	}
}

// sendTo sends a message until it is received or the instance is gone.
func (o *outbox[M]) sendTo(ctx context.Context, address string, m M) {
	for range tellRetries {
		err := o.sendOnce(ctx, address, m)
		if err == nil {
			return
		}
		o.placer.log.Debug().Err(err).Str("peer", address).Str("message", o.name).Msg("peer_untold")
		pause.For(ctx, tellRetryDelay)
		if ctx.Err() != nil || !slices.Contains(o.placer.OtherInstances(), address) {
			return
		}
	}
	o.placer.log.Info().Str("peer", address).Str("message", o.name).Msg("peer_given_up")
}

func (o *outbox[M]) sendOnce(ctx context.Context, address string, m M) error {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	return o.call(ctx, o.placer.client(address), m)
}

func (p *Placer) client(address string) placerpb.DRPCPlacerClient {
	return placerpb.NewDRPCPlacerClient(p.peers.Conn(address))
}
