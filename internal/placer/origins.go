package placer

import (
	"context"
	"sync"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/internal/edge"
	"github.com/cyclamenhoist/cyclamenhoist/internal/placer/placerpb"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/pause"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/streamorigin"
)

const (
	// originCopies is the number of instances that keep the origin of a stream. Several
	// instances can be lost at the same moment.
	originCopies = 3
	// originLookups is the number of instances that are asked for an origin. It is higher than
	// originCopies, because instances know slightly different sets of instances.
	originLookups = 5
	// originBatchDelay is the time for which origins are collected before they are sent. The
	// first event of a stream takes longer.
	originBatchDelay = 3 * time.Millisecond
	// originTimeout limits a call about origins, to an instance that may be gone.
	originTimeout = 150 * time.Millisecond
)

// origins keeps the origins of streams, and exchanges them with other instances.
type origins struct {
	memory *streamorigin.Memory
	// unreported are the streams that began here and that the holder has yet to record.
	unreported unreportedOrigins

	mu sync.Mutex
	// pending are the origins to send, by the address of the instance.
	pending map[string][]*placerpb.StreamOrigin
	changed chan struct{}
}

func newOrigins() *origins {
	return &origins{memory: streamorigin.NewMemory(), pending: map[string][]*placerpb.StreamOrigin{}, changed: make(chan struct{}, 1)}
}

// Began records where a stream begins. If announce is set, other instances get to know it.
func (p *Placer) Began(stream string, origin streamorigin.Origin, announce bool) {
	p.origins.memory.Put(stream, origin, time.Now())
	if !announce {
		return
	}
	p.origins.unreported.add(stream, origin, time.Now())
	record := &placerpb.StreamOrigin{Stream: stream, Service: origin.Service, ServerVersion: origin.Version}
	p.origins.mu.Lock()
	defer p.origins.mu.Unlock()
	for _, address := range p.originKeepers(stream, originCopies) {
		p.origins.pending[address] = append(p.origins.pending[address], record)
	}
	signal(p.origins.changed)
}

// originKeepers returns the addresses of the other instances that keep the origin of a stream.
func (p *Placer) originKeepers(stream string, n int) []string {
	return streamorigin.Keepers(stream, p.OtherInstances(), n)
}

// sendOrigins sends the announced origins until ctx ends.
func (p *Placer) sendOrigins(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-p.origins.changed:
		}
		pause.For(ctx, originBatchDelay)
		p.origins.mu.Lock()
		batches := p.origins.pending
		p.origins.pending = map[string][]*placerpb.StreamOrigin{}
		p.origins.mu.Unlock()
		for address, batch := range batches {
			go p.sendOriginsTo(ctx, address, batch)
		}
	}
}

func (p *Placer) sendOriginsTo(ctx context.Context, address string, batch []*placerpb.StreamOrigin) {
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	if _, err := p.client(address).KeepOrigins(ctx, &placerpb.StreamOrigins{Origins: batch}); err != nil {
		p.log.Debug().Err(err).Str("peer", address).Int("streams", len(batch)).Msg("origins_unsent")
	}
}

// Origin returns where a stream began, as far as this instance or one of its keepers knows. If none of them
// does, it is the only version that the service has had, or what the store says.
func (p *Placer) Origin(ctx context.Context, q edge.OriginQuestion) (streamorigin.Origin, bool) {
	if origin, known := p.origins.memory.Get(q.Stream); known {
		return origin, true
	}
	if origin, known := p.askForOrigin(ctx, q); known {
		return origin, true
	}
	if version, sole := p.views.Load().SoleVersion(q.Service, time.Now()); sole {
		return streamorigin.Origin{Service: q.Service, Version: version}, true
	}
	if q.Stream == "" {
		return streamorigin.Origin{}, false
	}
	return p.originLog.find(ctx, q.Stream)
}

// askForOrigin asks the keepers of a stream where it began, or whether there was one version all the time.
func (p *Placer) askForOrigin(ctx context.Context, q edge.OriginQuestion) (streamorigin.Origin, bool) {
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	keepers := p.originKeepers(q.Stream, originLookups)
	replies := make(chan *placerpb.StreamOrigin, len(keepers))
	query := &placerpb.OriginQuery{Stream: q.Stream, Service: q.Service, WithinMs: milliseconds(streamorigin.TTL)}
	for _, address := range keepers {
		go func() {
			reply, err := p.client(address).FindOrigin(ctx, query)
			if err != nil {
				p.log.Debug().Err(err).Str("peer", address).Msg("origin_unread")
			}
			replies <- reply
		}()
	}
	sole := map[string]bool{}
	for range keepers {
		reply := <-replies
		if reply.GetServerVersion() != "" {
			origin := streamorigin.Origin{Service: reply.Service, Version: reply.ServerVersion}
			p.origins.memory.Put(q.Stream, origin, time.Now())
			return origin, true
		}
		if version := reply.GetSoleVersion(); version != "" && p.views.Load().CanBeSoleVersion(q.Service, version, time.Now()) {
			sole[version] = true
		}
	}
	if len(sole) != 1 {
		return streamorigin.Origin{}, false
	}
	for version := range sole {
		p.log.Info().Str("first_attempt", q.Stream).Str("assumed", version).Msg("stream_version_vouched_for")
		return streamorigin.Origin{Service: q.Service, Version: version}, true
	}
	return streamorigin.Origin{}, false
}

// KeepOrigins handles the call of another instance.
func (s *service) KeepOrigins(_ context.Context, r *placerpb.StreamOrigins) (*placerpb.OriginsKept, error) {
	now := time.Now()
	for _, o := range r.Origins {
		s.placer.origins.memory.Put(o.Stream, streamorigin.Origin{Service: o.Service, Version: o.ServerVersion}, now)
	}
	return &placerpb.OriginsKept{}, nil
}

// FindOrigin handles the call of another instance.
func (s *service) FindOrigin(_ context.Context, r *placerpb.OriginQuery) (*placerpb.StreamOrigin, error) {
	origin, known := s.placer.origins.memory.Get(r.Stream)
	reply := &placerpb.StreamOrigin{Stream: r.Stream, Service: origin.Service, ServerVersion: origin.Version}
	if !known && r.Service != "" {
		reply.SoleVersion, _ = s.placer.views.Load().SoleVersion(r.Service, time.Now())
	}
	return reply, nil
}
