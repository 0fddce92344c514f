package placer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/internal/bootclock"
	"github.com/cyclamenhoist/cyclamenhoist/internal/placer/placerpb"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/limit"
)

// quotaIssuer grants the quotas of client accounts while this instance is the holder.
type quotaIssuer struct {
	name string
	// canOrder returns the epoch of this instance, and whether it is the holder.
	canOrder func() (epoch int64, allowed bool)
	// instances returns the number of instances that the former holder knew.
	instances func() int
	tolerance limit.QuotaTolerance
	// statesShares is true if the last holder that has responded states fallback shares.
	statesShares atomic.Bool

	mu     sync.Mutex
	epoch  int64
	quotas *limit.Quotas
}

func newQuotaIssuer(name string, canOrder func() (int64, bool), instances func() int, tolerance limit.QuotaTolerance) *quotaIssuer {
	return &quotaIssuer{name: name, canOrder: canOrder, instances: instances, tolerance: tolerance}
}

// current returns the quotas of the current epoch; nil if this instance isn't the holder. The
// caller holds the lock.
func (i *quotaIssuer) current(now time.Duration) *limit.Quotas {
	epoch, allowed := i.canOrder()
	if !allowed {
		return nil
	}
	if i.quotas == nil || epoch != i.epoch {
		// Another instance may have granted in the meantime.
		i.epoch, i.quotas = epoch, limit.NewQuotas(i.instances(), now)
		i.quotas.Tolerate(i.tolerance)
	}
	i.quotas.Heard(i.name, now)
	return i.quotas
}

// heard records any message of an instance.
func (i *quotaIssuer) heard(instance string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := bootclock.Now()
	if quotas := i.current(now); quotas != nil {
		quotas.Heard(instance, now)
	}
}

// reserve grants a part of an account's quota. It reports false if this instance isn't the holder.
func (i *quotaIssuer) reserve(instance, account string, ask limit.QuotaAsk) (limit.QuotaGrant, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := bootclock.Now()
	quotas := i.current(now)
	if quotas == nil {
		return limit.QuotaGrant{}, false
	}
	return quotas.Reserve(instance, account, ask, now), true
}

// ReserveQuota asks the holder for a part of an account's quota. It fails if the holder is unknown,
// doesn't respond, or is of a build without quotas.
func (p *Placer) ReserveQuota(ctx context.Context, account string, ask limit.QuotaAsk) (limit.QuotaGrant, error) {
	if grant, placing := p.quotas.reserve(p.name, account, ask); placing {
		return grant, nil
	}
	holder, _, held := p.elector.holder()
	if !held || holder.Address == p.address {
		return limit.QuotaGrant{}, errNoHolder
	}
	reply, err := p.client(holder.Address).ReserveQuota(ctx, encodeQuotaAsk(p.name, account, ask))
	if err != nil {
		return limit.QuotaGrant{}, err
	}
	if !reply.Placing {
		p.elector.receiveLease(reply.Tenure)
		return limit.QuotaGrant{}, errNoHolder
	}
	return decodeQuotaGrant(reply), nil
}

// StatesFallbackShares reports whether the last holder that has responded states fallback shares.
func (p *Placer) StatesFallbackShares() bool { return p.quotas.statesShares.Load() }

// ReserveQuota handles the call of another instance.
func (s *service) ReserveQuota(_ context.Context, r *placerpb.QuotaRequest) (*placerpb.QuotaReply, error) {
	grant, placing := s.placer.quotas.reserve(r.Instance, r.Account, decodeQuotaAsk(r))
	if !placing {
		return &placerpb.QuotaReply{Tenure: s.placer.elector.leaseForPeers()}, nil
	}
	return encodeQuotaGrant(grant), nil
}

func encodeQuotaAsk(instance, account string, a limit.QuotaAsk) *placerpb.QuotaRequest {
	return &placerpb.QuotaRequest{
		Instance: instance, Account: account, Need: a.Need, Least: a.Least, Extra: a.Extra,
		RatePerSecond: a.Limit.Rate, Burst: a.Limit.Burst, ManifestVersion: a.Limit.Version, Fraction: a.Fraction, Alone: a.Alone,
		DemandPerSecond: a.Demand,
	}
}

// decodeQuotaAsk leaves it to limit.Quotas to bound the numbers.
func decodeQuotaAsk(r *placerpb.QuotaRequest) limit.QuotaAsk {
	return limit.QuotaAsk{
		Need: r.Need, Least: r.Least, Extra: r.Extra, Fraction: r.Fraction, Alone: r.Alone, Demand: r.DemandPerSecond,
		Limit: limit.QuotaLimit{Rate: r.RatePerSecond, Burst: r.Burst, Version: r.ManifestVersion},
	}
}

func encodeQuotaGrant(g limit.QuotaGrant) *placerpb.QuotaReply {
	return &placerpb.QuotaReply{Placing: true, Amount: g.Amount, RetryUs: uint64(max(g.Retry, 0).Microseconds()), Fraction: g.Fraction}
}

// maxQuotaRetry bounds the delay that a faulty peer could state.
const maxQuotaRetry = 10 * time.Second

func decodeQuotaGrant(r *placerpb.QuotaReply) limit.QuotaGrant {
	return limit.QuotaGrant{
		Amount: r.Amount, Fraction: r.Fraction,
		Retry: time.Duration(min(r.RetryUs, uint64(maxQuotaRetry.Microseconds()))) * time.Microsecond,
	}
}
