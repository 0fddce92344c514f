package placer

import (
	"context"
	"sync"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/internal/edge"
	"github.com/cyclamenhoist/cyclamenhoist/internal/placer/placerpb"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/limit"
)

// limitTTL is how long the rate limit of a server is kept after an instance has asked for
// permits.
const limitTTL = 30 * time.Second

// permitIssuer gives out the permits for servers that state a rate limit, while this instance is
// the holder.
type permitIssuer struct {
	mu     sync.Mutex
	limits map[incarnation]*issuedLimit
}

// incarnation identifies one run of a server's process.
type incarnation struct {
	id        fleet.ServerID
	startedAt int64
}

type issuedLimit struct {
	*limit.Shared

	usedAt time.Time
}

func newPermitIssuer() *permitIssuer { return &permitIssuer{limits: map[incarnation]*issuedLimit{}} }

// reserve reserves permits for an instance.
func (i *permitIssuer) reserve(instance string, r edge.PermitRequest, now time.Time) limit.Grant {
	i.mu.Lock()
	defer i.mu.Unlock()
	server := incarnation{r.Server, r.StartedAt}
	shared := i.limits[server]
	if shared == nil {
		for other, l := range i.limits {
			if now.Sub(l.usedAt) > limitTTL {
				delete(i.limits, other)
			}
		}
		shared = &issuedLimit{Shared: limit.NewShared(now)}
		i.limits[server] = shared
	}
	shared.usedAt = now
	return shared.Reserve(instance, r.Ask, now)
}

// rateLimit returns the limit that a server states, as far as instances have told it.
func (i *permitIssuer) rateLimit(server *fleet.Server, now time.Time) (perSecond float64, limited bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	known := i.limits[incarnation{server.ID, server.StartedAt}]
	if known == nil || now.Sub(known.usedAt) > limitTTL {
		return limit.Unlimited, false
	}
	perSecond = known.PerSecond()
	return perSecond, perSecond != limit.Unlimited
}

// Reserve reserves permits at the holder. It fails if the holder is unknown or doesn't respond.
func (p *Placer) Reserve(ctx context.Context, r edge.PermitRequest) (limit.Grant, error) {
	if p.elector.placing() {
		return p.permits.reserve(p.name, r, time.Now()), nil
	}
	holder, _, held := p.elector.holder()
	if !held || holder.Address == p.address {
		return limit.Grant{}, errNoHolder
	}
	reply, err := p.client(holder.Address).Reserve(ctx, encodePermitRequest(p.name, r, time.Now()))
	if err != nil {
		return limit.Grant{}, err
	}
	if !reply.Placing {
		p.elector.receiveLease(reply.Tenure)
		return limit.Grant{}, errNoHolder
	}
	return decodeGrant(reply, time.Now()), nil
}

// Reserve handles the call of another instance.
func (s *service) Reserve(_ context.Context, r *placerpb.PermitRequest) (*placerpb.PermitReply, error) {
	if !s.placer.elector.placing() {
		return &placerpb.PermitReply{Tenure: s.placer.elector.leaseForPeers()}, nil
	}
	now := time.Now()
	return encodeGrant(s.placer.permits.reserve(r.Instance, decodePermitRequest(r, now), now), now), nil
}

func encodePermitRequest(instance string, r edge.PermitRequest, now time.Time) *placerpb.PermitRequest {
	return &placerpb.PermitRequest{
		Instance: instance, Server: string(r.Server), Born: r.StartedAt, Limit: encodeRateLimit(r.Stated, now), Count: uint32(max(r.Count, 0)), Spare: r.Spare,
	}
}

func decodePermitRequest(r *placerpb.PermitRequest, now time.Time) edge.PermitRequest {
	return edge.PermitRequest{
		Server: fleet.ServerID(r.Server), StartedAt: r.Born,
		Ask: limit.Ask{Stated: decodeRateLimit(r.Limit, now), Count: int(r.Count), Spare: r.Spare},
	}
}

func encodeGrant(g limit.Grant, now time.Time) *placerpb.PermitReply {
	return &placerpb.PermitReply{
		Placing: true, Limit: encodeRateLimit(g.Limit, now), Count: uint32(g.Permits.Count), FirstUs: g.Permits.First.Microseconds(),
		IntervalUs: uint64(g.Permits.Interval.Microseconds()), RetryUs: uint64(g.Permits.Retry.Microseconds()), Instances: uint32(g.Instances),
	}
}

func decodeGrant(r *placerpb.PermitReply, now time.Time) limit.Grant {
	return limit.Grant{
		Limit: decodeRateLimit(r.Limit, now), Instances: int(r.Instances),
		Permits: limit.Permits{
			Count: int(r.Count), First: time.Duration(r.FirstUs) * time.Microsecond,
			Interval: time.Duration(r.IntervalUs) * time.Microsecond, Retry: time.Duration(r.RetryUs) * time.Microsecond,
		},
	}
}

func encodeRateLimit(s limit.Statement, now time.Time) *placerpb.RateLimit {
	return &placerpb.RateLimit{PerSecond: s.PerSecond, AgeUs: uint64(max(now.Sub(s.At), 0).Microseconds())}
}

// maxStatementAge bounds the age of a statement, which a faulty peer could exaggerate.
const maxStatementAge = time.Hour

// decodeRateLimit returns the zero statement, which changes nothing, if there is no limit or it
// isn't a number.
func decodeRateLimit(l *placerpb.RateLimit, now time.Time) limit.Statement {
	if l == nil || !(l.PerSecond >= 0) {
		return limit.Statement{}
	}
	age := time.Duration(min(l.AgeUs, uint64(maxStatementAge.Microseconds()))) * time.Microsecond
	return limit.Statement{PerSecond: l.PerSecond, At: now.Add(-age)}
}
