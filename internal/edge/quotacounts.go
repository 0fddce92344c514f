package edge

import (
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
)

const (
	// maxCountedAccounts limits the accounts that have counters of their own. The others share
	// those of otherAccounts.
	maxCountedAccounts = 64
	otherAccounts      = "other"
	// quotaLogInterval is the minimum interval between two log lines on one account and cause.
	quotaLogInterval = 4 * time.Second
)

// accountCounters count the cost of an account's requests at this instance.
type accountCounters struct {
	asked, granted, refused metrics.Counter
}

// quotaCounters are the counters of the accounts. They aren't safe for concurrent use.
type quotaCounters struct {
	registry  metrics.Registry
	byAccount map[string]*accountCounters
}

// of returns the counters of an account.
func (c *quotaCounters) of(account string) *accountCounters {
	if known := c.byAccount[account]; known != nil {
		return known
	}
	if len(c.byAccount) >= maxCountedAccounts && account != otherAccounts {
		return c.of(otherAccounts)
	}
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("edge_quota_"+name+"_"+account, c.registry)
	}
	c.byAccount[account] = &accountCounters{asked: counter("asked"), granted: counter("granted"), refused: counter("refused")}
	return c.byAccount[account]
}

// quotaEvents limits the log lines on one account.
type quotaEvents struct {
	mu sync.Mutex
	// refusals are those by cause since their last line.
	refusals map[reason]*quotaRefusals
	lostAt   time.Duration
	lost     bool
}

type quotaRefusals struct {
	requests int64
	cost     float64
	loggedAt time.Duration
}

// recordQuotaRefusal counts a refusal.
func (e *Edge) recordQuotaRefusal(s *accountQuota, cost float64, refusal quotaRefusal) {
	s.counters.refused.Inc(int64(cost))
	if refusal.why == reasonQuotaShare {
		e.quotas.refusedAlone.Inc(1)
	} else {
		e.quotas.refused.Inc(1)
	}
	now := e.quotas.clock()
	s.events.mu.Lock()
	defer s.events.mu.Unlock()
	if s.events.refusals == nil {
		s.events.refusals = map[reason]*quotaRefusals{}
	}
	since := s.events.refusals[refusal.why]
	first := since == nil
	if first {
		since = &quotaRefusals{}
		s.events.refusals[refusal.why] = since
	}
	since.requests++
	since.cost += cost
	if !first && now-since.loggedAt < quotaLogInterval {
		return
	}
	e.log.Info().Str("account", s.name).Str("reason", string(refusal.why)).Int64("requests", since.requests).Float64("cost", since.cost).
		Dur("retry_after", refusal.retry).Msg("quota_refused")
	*since = quotaRefusals{loggedAt: now}
}

// logLost logs that the holder doesn't respond.
func (v *quotaEvents) logLost(logger *log.Logger, account string, err error, now time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.lost && now-v.lostAt < quotaLogInterval {
		return
	}
	v.lost, v.lostAt = true, now
	logger.Info().Str("account", account).Err(err).Msg("quota_unreserved")
}
