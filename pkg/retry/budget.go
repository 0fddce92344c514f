package retry

import (
	"cmp"
	"sync/atomic"
	"time"
)

// BudgetConfig sets up a Budget. Zero fields but Ratio take the default.
type BudgetConfig struct {
	// Ratio is how many further attempts each first attempt pays for.
	Ratio float64
	// PerSecond is paid in whatever the traffic, so that rare requests can be
	// tried again too.
	PerSecond float64
	// Burst is the most that can be saved up, in attempts.
	Burst float64
}

// The defaults of BudgetConfig.
const (
	DefaultRatio     = 0.1
	DefaultPerSecond = 1
	DefaultBurst     = 20
)

// tokenUnit is one attempt in the budget's counter.
const tokenUnit = 1 << 20

// Budget bounds the attempts beyond the first for one service, so that retries
// can't multiply the load of a service in trouble. It is a token bucket of
// atomics, safe for concurrent use: a refill that races with a withdrawal is
// applied before or after it.
type Budget struct {
	rates  atomic.Pointer[rates]
	tokens atomic.Int64
	// refilled is when PerSecond was last paid in, in nanoseconds since the
	// owner's start.
	refilled atomic.Int64
	denied   atomic.Uint64
}

// rates is a BudgetConfig in the budget's units.
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

// NewBudget returns a full budget.
func NewBudget(cfg BudgetConfig) *Budget {
	b := &Budget{}
	r := ratesOf(cfg)
	b.rates.Store(r)
	b.tokens.Store(r.burst)
	return b
}

// Config returns what is in force, defaults filled in.
func (b *Budget) Config() BudgetConfig { return b.rates.Load().config }

// Configure puts other bounds in force. What is saved up stays, up to the new burst;
// a budget made anew would allow a whole burst once more.
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

// First notes a first attempt. Every now is the time since a fixed moment.
func (b *Budget) First(now time.Duration) {
	b.refill(now)
	b.deposit(b.rates.Load().perFirst)
}

// Take withdraws one further attempt, and reports false if the budget is spent.
func (b *Budget) Take(now time.Duration) bool {
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

// Denied counts the attempts that the budget did not allow.
func (b *Budget) Denied() uint64 { return b.denied.Load() }

// refillStep is the shortest time that is paid in; it keeps concurrent callers
// from losing fractions of a token.
const refillStep = int64(10 * time.Millisecond)

func (b *Budget) refill(now time.Duration) {
	last := b.refilled.Load()
	elapsed := int64(now) - last
	if elapsed < refillStep || !b.refilled.CompareAndSwap(last, int64(now)) {
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
