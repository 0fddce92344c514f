package edge

import (
	"cmp"
	"context"
	"math"
	"time"

	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/hash64"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/limit"
)

// Permits gives out permits for requests to servers that state a rate limit, such that all
// instances together keep within it.
type Permits interface {
	// Reserve reserves permits. It fails if the instance that gives them out doesn't respond.
	Reserve(ctx context.Context, r PermitRequest) (limit.Grant, error)
}

// PermitRequest asks for permits for one incarnation of a server.
type PermitRequest struct {
	Server    fleet.ServerID
	StartedAt int64
	limit.Ask
}

const (
	// permitTimeout limits a reservation. It takes a round trip to another zone.
	permitTimeout = 100 * time.Millisecond
	// permitOutage is how long an instance uses its own share of the rates after a reservation
	// has failed.
	permitOutage = 500 * time.Millisecond
	// permitBatch is the time whose permits are asked for together. Permits that aren't used
	// are lost to the other instances.
	permitBatch = 20 * time.Millisecond
)

var errPermitsDown = errors.New("the last reservation of permits failed")

// askForPermits reserves permits for a server that a request would be sent to if it had one.
// Spare ones are enough if the request has another server. Requests that wait for a slot are
// dispatched when the permit can be used.
func (e *Edge) askForPermits(b *backend, spare bool, now time.Time) {
	stated, begun := b.stats.rateLimit.beginAsking(spare, now)
	if !begun {
		return
	}
	count := max(int(math.Ceil(stated.PerSecond*permitBatch.Seconds())), 1)
	go func() {
		ask := limit.Ask{Stated: stated, Count: count, Spare: spare}
		reply, err := e.reservePermits(b, ask)
		now := time.Now()
		if err != nil {
			e.log.Debug().Str("server", string(b.server.ID)).Err(err).Msg("permits_unavailable")
			b.stats.rateLimit.endAskingAlone(ask, cmp.Or(e.sharingInstances(), assumedInstances), e.phase(b.server.ID), now)
		} else {
			b.stats.rateLimit.endAsking(ask, reply, now)
		}
		if reply.Permits.First > 0 {
			time.AfterFunc(reply.Permits.First, func() { e.dispatchSlots(b.server.Service) })
			return
		}
		e.dispatchSlots(b.server.Service)
	}()
}

func (e *Edge) reservePermits(b *backend, ask limit.Ask) (limit.Grant, error) {
	if e.elapsed() < time.Duration(e.permitsDownUntil.Load()) {
		return limit.Grant{}, errPermitsDown
	}
	ctx, cancel := context.WithTimeout(context.Background(), permitTimeout)
	defer cancel()
	reply, err := e.permits.Reserve(ctx, PermitRequest{Server: b.server.ID, StartedAt: b.server.StartedAt, Ask: ask})
	if err != nil {
		e.permitsDownUntil.Store(int64(e.elapsed() + permitOutage))
	}
	return reply, err
}

// phase returns a number from 0 to 1 that differs between instances and servers.
func (e *Edge) phase(server fleet.ServerID) float64 {
	return float64(hash64.Mix(hash64.String(e.cfg.Name)^hash64.String(string(server)))) / math.MaxUint64
}

// tellLimitEnded lets the other instances know that a server states no limit any longer.
func (e *Edge) tellLimitEnded(b *backend) {
	stated := b.stats.rateLimit.newest()
	go func() {
		if _, err := e.reservePermits(b, limit.Ask{Stated: stated}); err != nil {
			e.log.Debug().Str("server", string(b.server.ID)).Err(err).Msg("permits_unavailable")
		}
	}()
}
