package placer

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"github.com/cyclamenhoist/cyclamenhoist/internal/bootclock"
	"github.com/cyclamenhoist/cyclamenhoist/internal/placer/placerpb"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/leaderlease"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/pause"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

const (
	// leaseKey is the key of the lease records in their topic.
	leaseKey = "holder"
	// leaseReadInterval is the minimum interval between two reads of the lease, because each
	// read is billed. leaseReadIntervalHealthy applies while the holder responds, when
	// frequent reads aren't needed. leaseReadIntervalConfirmed applies while it also says that
	// its last renewal is recent: no other instance has claimed the lease before that.
	leaseReadInterval          = 1500 * time.Millisecond
	leaseReadIntervalHealthy   = 5 * time.Second
	leaseReadIntervalConfirmed = time.Minute
	// holderHealthyFor is how long after a response the holder is considered healthy.
	holderHealthyFor = 3 * time.Second
	// appendRetryInterval is the delay before a failed append is retried.
	appendRetryInterval = 300 * time.Millisecond
	// minElectionWait is the minimum delay between two decisions about the lease without a change.
	minElectionWait = appendRetryInterval / 3
	// appendsPerLease and appendBurst limit the appends of an instance, whatever it takes its state for: a
	// holder renews three times in a lease duration, and all instances share the store's limit of calls.
	appendsPerLease = 6
	appendBurst     = 4
)

// leaseLog is the store, as far as the lease needs it.
type leaseLog interface {
	AppendAt(ctx context.Context, topic, key string, at int64, value []byte) (platform.Appended, error)
	Follow(ctx context.Context, topic string, f platform.Follower)
}

// elector claims, renews and releases the lease.
type elector struct {
	store leaseLog
	log   *log.Logger
	// now returns the time on a clock that includes suspensions of the machine.
	now  func() time.Duration
	self leaderlease.Record
	// known reports whether this instance knows the servers, and reaches whether it reaches them.
	// Otherwise another instance should hold the lease.
	known, reaches func() bool

	// capacity is how much of a holder's work this instance can do.
	capacity float64
	// released is called after this instance has released the lease, and nothingRanBefore if this
	// instance has started before the lease was first claimed.
	released, nothingRanBefore func()

	limiter *rate.Limiter
	// appends and failedAppends count the calls that write to the topic of the lease, and histories
	// the changes of the store's era.
	appends, failedAppends, histories metrics.Counter

	mu    sync.Mutex
	state *leaderlease.State
	read  bool
	// doubtedAt is when an answer of the store was of another history than the state, so that the lease has
	// to be read completely; 0 if it hasn't.
	doubtedAt time.Duration
	// successors are the instances that the last holder named to follow it, in order.
	successors []string
	// handover is the instance to release the lease to; "" to keep it.
	handover string
	// lastContact is the time since boot at which the holder last responded.
	lastContact time.Duration
	// confirmed means that the holder said then that it had renewed the lease recently.
	confirmed bool
	// readNow triggers an immediate read of the lease.
	readNow chan struct{}
	// interrupt ends a long poll, to read the lease completely.
	interrupt chan struct{}
	changed   chan struct{}
}

func newElector(store leaseLog, logger *log.Logger, registry metrics.Registry, cfg leaderlease.Config, capacity float64, known, reaches func() bool) *elector {
	return &elector{
		limiter: rate.NewLimiter(rate.Every(cfg.LeaseDuration/appendsPerLease), appendBurst),
		appends: metrics.NewRegisteredCounter("lease_appends", registry), failedAppends: metrics.NewRegisteredCounter("lease_appends_failed", registry),
		histories: metrics.NewRegisteredCounter("lease_histories", registry),
		store:     store, log: logger, now: bootclock.Now, self: cfg.Self, known: known, reaches: reaches, capacity: capacity, released: func() {}, nothingRanBefore: func() {},
		state: leaderlease.New(cfg), changed: make(chan struct{}, 1), readNow: make(chan struct{}, 1), interrupt: make(chan struct{}, 1),
	}
}

// runElection follows the lease, and claims or renews it, until stop ends. Then it releases
// the lease. It returns when that is done or ctx ends.
func (e *elector) runElection(ctx, stop context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go e.store.Follow(ctx, platform.TopicLease, platform.Follower{
		MinInterval: e.readInterval, FailureDelay: e.retryDelay, EndInterval: e.readNow, Interrupt: e.interrupt, From: e.readFrom, Deliver: e.observe,
		ReadFailed: func(err error, _ time.Duration) { e.log.Debug().Err(err).Msg("tenure_unread") },
	})
	random := rand.Float64()
	for stop.Err() == nil && ctx.Err() == nil {
		if e.isHolder() && !e.reaches() {
			e.log.Warn().Msg("tenure_released_unreachable_servers")
			e.release(stop)
			continue
		}
		p, wait := e.next(random)
		if p == nil {
			pause.Until(stop, e.changed, max(wait, minElectionWait))
			continue
		}
		if err := e.append(ctx, p); err != nil {
			pause.Until(stop, e.changed, appendRetryInterval)
		}
	}
	e.release(ctx)
}

func (e *elector) observe(b platform.Batch) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	before := e.state.Epoch()
	if b.Complete {
		e.observeHistory(b, now)
	}
	if !e.read && b.Complete && len(b.Records) == 0 && b.Next == 0 {
		e.nothingRanBefore()
	}
	for _, record := range b.Records {
		var r leaderlease.Record
		if record.Key != leaseKey || record.Value == nil {
			continue
		}
		if err := json.Unmarshal(record.Value, &r); err != nil {
			e.log.Error().Err(err).Int64("offset", record.Offset).Msg("tenure_unreadable")
			continue
		}
		e.state.Observe(record.Offset, r, now)
	}
	e.state.ObserveEnd(b.Next, now)
	if b.Recovered {
		e.state.LogRecovered(now)
	}
	e.read = true
	e.logChange(before)
	signal(e.changed)
}

// observeHistory applies the place up to which the lease was read completely.
func (e *elector) observeHistory(b platform.Batch, now time.Duration) {
	era, end, self := e.state.Era(), e.state.End(), e.state.IsHolder()
	if e.state.BeginHistory(b.Era, b.Next, b.CurrentSince, now) {
		e.histories.Inc(1)
		e.log.Warn().Int64("era", b.Era).Int64("former_era", era).Int64("end", b.Next).Int64("former_end", end).
			Bool("self", self).Msg("tenure_history_changed")
	}
	if b.CurrentSince >= e.doubtedAt {
		e.doubtedAt = 0
	}
}

// doubtHistory makes the next read of the lease a complete one, if the store's answer to an append is of
// another history than the state.
func (e *elector) doubtHistory(answer platform.Appended, at int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	known := e.state.Era()
	if (answer.Era == known || answer.Era == 0) && (answer.End == 0 || answer.End >= at) {
		return false
	}
	e.doubtedAt = e.now()
	signal(e.interrupt)
	signal(e.readNow)
	return true
}

// readFrom returns where to read the lease next.
func (e *elector) readFrom(at platform.Cursor) platform.Cursor {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.doubtedAt != 0 {
		at.Next = -1
	}
	return at
}

func (e *elector) logChange(before int64) {
	if r, epoch, held := e.state.Holder(); e.state.Epoch() != before && held {
		e.log.Info().Str("holder", r.Holder).Int64("epoch", epoch).Bool("self", e.state.IsHolder()).Msg("tenure_changed")
	}
}

// errOtherHistory means that the store has come back from an older copy since the lease was read.
var errOtherHistory = errors.New("the store has another history")

// append appends a record to the lease. If the result is lost, the next read resolves it: a repeated append is
// conditional on the same end of the log.
func (e *elector) append(ctx context.Context, p *proposal) error {
	value, err := json.Marshal(p.Record)
	if err != nil {
		return errors.Wrap(err, "encode lease record")
	}
	started := e.now()
	e.appends.Inc(1)
	appended, err := e.store.AppendAt(ctx, platform.TopicLease, leaseKey, p.At, value)
	now := e.now()
	if err != nil {
		e.notAppended(p, !errors.Is(err, platform.ErrStoreLost))
		e.failedAppends.Inc(1)
		p.describe(e.log.Info().Err(err), appended, now-started).Msg("tenure_append_failed")
		e.doubtHistory(appended, p.At)
		signal(e.readNow)
		return err
	}
	if e.doubtHistory(appended, p.At) {
		// The record was based on another history, in which it claims nothing.
		e.notAppended(p, true)
		e.log.Warn().Int64("offset", appended.Offset).Int64("era", appended.Era).Int64("epoch", p.Record.Epoch).Msg("tenure_appended_to_other_history")
		return errOtherHistory
	}
	e.mu.Lock()
	before := e.state.Epoch()
	e.state.Appended(appended.Offset, p.Record, started, now)
	p.describe(e.log.Debug(), appended, now-started).Bool("self", e.state.IsHolder()).Msg("tenure_appended")
	e.logChange(before)
	e.mu.Unlock()
	if p.Record.Released {
		signal(e.readNow)
		e.released()
	}
	return nil
}

func (e *elector) notAppended(p *proposal, refused bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.NotAppended(p.Proposal, refused)
}

func (e *elector) isHolder() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state.IsHolder()
}

// setSuccessors records the instances that the holder names to follow it, in order. A new holder
// names none at first.
func (e *elector) setSuccessors(names []string) {
	if len(names) == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.successors = names
}

// handOver releases the lease to another instance.
func (e *elector) handOver(successor string) {
	e.mu.Lock()
	e.handover = successor
	e.mu.Unlock()
	signal(e.changed)
}

// superseded records that a server rejected an epoch: another instance holds the lease,
// although its record hasn't been read yet.
func (e *elector) superseded(epoch int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state.Epoch() == epoch && e.state.MarkSuperseded() {
		e.log.Warn().Int64("epoch", epoch).Msg("tenure_superseded")
	}
}

// holderResponded records that the holder, with this record, responded and stated its epoch. That is a
// later one than was read if it has claimed the lease anew.
func (e *elector) holderResponded(r leaderlease.Record, epoch int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastContact = e.now()
	e.state.ObservePeer(r, epoch)
	if holder, _, _ := e.state.Holder(); holder.Incarnation == r.Incarnation {
		e.state.HolderResponded(epoch, e.lastContact)
	}
}

// renewalHeard records how long ago the holder renewed the lease, as it says itself. If it hasn't
// for a lease duration, the lease is read again soon, because another instance may hold it.
func (e *elector) renewalHeard(age time.Duration) {
	e.mu.Lock()
	before := e.confirmed
	e.confirmed = age < e.state.LeaseDuration()
	lost := before && !e.confirmed
	e.mu.Unlock()
	if lost {
		signal(e.readNow)
	}
}

// renewalAge returns how long ago this instance renewed the lease.
func (e *elector) renewalAge() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.now() - e.state.Renewed()
}

// suspectHolder triggers a read of the lease, because the holder doesn't respond or no longer
// considers itself the holder.
func (e *elector) suspectHolder() {
	e.mu.Lock()
	e.lastContact, e.confirmed = 0, false
	e.mu.Unlock()
	signal(e.readNow)
}

func (e *elector) readInterval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	switch {
	case e.state.IsHolder() && now-e.state.Renewed() < e.state.LeaseDuration():
		// The condition of the next renewal shows whether another instance has claimed the lease.
		return leaseReadIntervalConfirmed
	case now-e.lastContact >= holderHealthyFor:
	case e.confirmed:
		return leaseReadIntervalConfirmed
	default:
		return leaseReadIntervalHealthy
	}
	return leaseReadInterval
}

// retryDelay returns for how long a read of the lease that has failed need not be repeated, because
// the holder says that it has renewed the lease.
func (e *elector) retryDelay() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.confirmed {
		return 0
	}
	return e.lastContact + holderHealthyFor - e.now()
}

// receiveLease records the lease as known to a peer.
func (e *elector) receiveLease(t *placerpb.Tenure) {
	if t == nil || t.Epoch == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	_, before, _ := e.state.Holder()
	e.state.ObservePeer(leaderlease.Record{Holder: t.Holder, Incarnation: t.Life, Address: t.Address}, t.Epoch)
	if r, epoch, _ := e.state.Holder(); epoch != before {
		e.log.Info().Str("holder", r.Holder).Int64("epoch", epoch).Int64("epoch_read", e.state.Epoch()).
			Bool("self", r.Incarnation == e.self.Incarnation).Msg("tenure_heard")
	}
}

// leaseForPeers returns the lease for peers that can't read it from the store.
func (e *elector) leaseForPeers() *placerpb.Tenure {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, epoch, held := e.state.Holder()
	if !held || !e.state.IsEpochKnown() {
		return nil
	}
	return &placerpb.Tenure{Holder: r.Holder, Life: r.Incarnation, Address: r.Address, Epoch: epoch}
}

// placing reports whether this instance is allowed to place models now.
func (e *elector) placing() bool {
	_, allowed := e.canOrder()
	return allowed
}

// holder returns the holder's record and epoch; false if there is none.
func (e *elector) holder() (leaderlease.Record, int64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state.Holder()
}

// canOrder returns this instance's epoch, and whether it is allowed to send orders.
func (e *elector) canOrder() (int64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state.Epoch(), e.doubtedAt == 0 && e.state.CanOrder(e.now())
}

// beginOrder reports whether an order with this epoch may be sent. If so, its context ends when the order must
// have ended, and end must be called then.
func (e *elector) beginOrder(ctx context.Context, epoch int64) (_ context.Context, end func(), allowed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.doubtedAt != 0 {
		return ctx, nil, false
	}
	left, allowed := e.state.BeginOrder(epoch, e.now())
	if !allowed {
		return ctx, nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	return ctx, func() {
		cancel()
		e.endOrder()
	}, true
}

func (e *elector) endOrder() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state.EndOrder(e.now()) {
		signal(e.changed)
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
