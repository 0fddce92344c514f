package retry

import (
	"cmp"
	"sync/atomic"
	"time"
)

// BudgetConfig configures a Budget. Zero fields except Ratio select the defaults.
type BudgetConfig struct {
	// Ratio is the number of retries that each first attempt adds to the budget.
	Ratio float64
	// PerSecond is the number of retries added per second regardless of traffic, so that
	// rare requests can be retried too.
	PerSecond float64
	// Burst is the maximum number of retries that can accumulate.
	Burst float64
}

// The defaults of the BudgetConfig fields.
const (
	DefaultRatio     = 0.1
	DefaultPerSecond = 1
	DefaultBurst     = 20
)

// tokenUnit is the value of one retry in Budget.tokens.
const tokenUnit = 1 << 20

// Budget limits the attempts beyond the first for one service, so that retries and hedged
// requests cannot multiply the load of a failing service. It is a token bucket built from
// atomics and safe for concurrent use: a refill that races with a withdrawal is applied
// before or after it.
type Budget struct {
	rates  atomic.Pointer[rates]
	tokens atomic.Int64
	// refilled is the time of the last refill by PerSecond, in nanoseconds of the clock
	// that the callers use.
	refilled atomic.Int64
	denied   atomic.Uint64
}

// rates is a BudgetConfig converted to token units.
type rates struct {
	config                     BudgetConfig
	perFirst, perSecond, burst int64
}

func ratesOf(cfg BudgetConfig) *rates {
	cfg.PerSecond = cmp.Or(cfg.PerSecond, DefaultPerSecond)
	cfg.Burst = cmp.Or(cfg.Burst, DefaultBurst)
	return &rates{
		config:    cfg,
		perFirst:  int64(cfg.Ratio * tokenUnit),
		perSecond: int64(cfg.PerSecond * tokenUnit),
		burst:     int64(cfg.Burst * tokenUnit),
	}
}

// NewBudget returns a full Budget.
func NewBudget(cfg BudgetConfig) *Budget {
	b := &Budget{}
	r := ratesOf(cfg)
	b.rates.Store(r)
	b.tokens.Store(r.burst)
	return b
}

// Config returns the current configuration, including the defaults of zero fields.
func (b *Budget) Config() BudgetConfig { return b.rates.Load().config }

// Configure changes the configuration. Accumulated retries are retained up to the new
// burst, whereas a new Budget would allow another full burst.
func (b *Budget) Configure(cfg BudgetConfig) {
	r := ratesOf(cfg)
	b.rates.Store(r)
	for {
		old := b.tokens.Load()
		if old <= r.burst || b.tokens.CompareAndSwap(old, r.burst) {
			return
		}
	}
}

// RecordFirstAttempt adds the share of a first attempt to the budget. The argument now is the
// time since a fixed moment, here and in Withdraw.
func (b *Budget) RecordFirstAttempt(now time.Duration) {
	b.refill(now)
	b.deposit(b.rates.Load().perFirst)
}

// Withdraw withdraws one retry from the budget, and reports false if the budget is exhausted.
func (b *Budget) Withdraw(now time.Duration) bool {
	b.refill(now)
	for {
		tokens := b.tokens.Load()
		if tokens < tokenUnit {
			b.denied.Add(1)
			return false
		}
		if b.tokens.CompareAndSwap(tokens, tokens-tokenUnit) {
			return true
		}
	}
}

// Refund returns a retry that was withdrawn for an attempt that reached no server.
func (b *Budget) Refund() { b.deposit(tokenUnit) }

// Left returns the retries that the budget holds.
func (b *Budget) Left(now time.Duration) float64 {
	b.refill(now)
	return float64(b.tokens.Load()) / tokenUnit
}

// Denied returns the number of retries that the budget did not allow.
func (b *Budget) Denied() uint64 { return b.denied.Load() }

// minRefillInterval is the minimum time between refills. Without it, concurrent callers
// would lose fractions of a token to rounding.
const minRefillInterval = int64(10 * time.Millisecond)

func (b *Budget) refill(now time.Duration) {
	last := b.refilled.Load()
	elapsed := int64(now) - last
	if elapsed < minRefillInterval || !b.refilled.CompareAndSwap(last, int64(now)) {
		return
	}
	r := b.rates.Load()
	seconds := time.Duration(elapsed).Seconds()
	b.deposit(int64(min(seconds*float64(r.perSecond), float64(r.burst))))
}

func (b *Budget) deposit(tokens int64) {
	for {
		old := b.tokens.Load()
		next := min(old+tokens, max(old, b.rates.Load().burst))
		if next == old || b.tokens.CompareAndSwap(old, next) {
			return
		}
	}
}
