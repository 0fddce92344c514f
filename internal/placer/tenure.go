package placer

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/phuslu/log"
	"golang.org/x/sys/unix"

	"github.com/cyclamenhoist/cyclamenhoist/internal/placer/placerpb"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/pause"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/tenure"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

const (
	// tenureKey is the key of the tenure's records in its topic.
	tenureKey = "holder"
	// tenureSpacing is the least time between two reads of the tenure, each of
	// which is priced. While the holder answers there is no need to look.
	tenureSpacing      = 1500 * time.Millisecond
	tenureSpacingAlive = 5 * time.Second
	// aliveFor is how long an answer of the holder's counts for that.
	aliveFor = 3 * time.Second
	// appendRetry is the pause after an append that failed.
	appendRetry = 300 * time.Millisecond
)

// sinceBoot is the time since the machine started, its suspensions included.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39.
		panic("no boot-time clock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// keeper claims, renews and releases the tenure.
type keeper struct {
	store *platform.Store
	log   *log.Logger
	self  tenure.Record
	// eligible reports whether this instance should claim.
	eligible func() bool

	mu    sync.Mutex
	state *tenure.State
	read  bool
	// answered is when the holder answered last, in time since boot.
	answered time.Duration
	// lookUp asks for a read of the tenure at once.
	lookUp  chan struct{}
	changed chan struct{}
}

func newKeeper(store *platform.Store, logger *log.Logger, cfg tenure.Config, eligible func() bool) *keeper {
	return &keeper{
		store: store, log: logger, self: cfg.Self, eligible: eligible,
		state: tenure.New(cfg), changed: make(chan struct{}, 1), lookUp: make(chan struct{}, 1),
	}
}

// run follows and keeps the tenure until stop ends, then releases it; it returns
// once that is done or ctx ends.
func (k *keeper) run(ctx, stop context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go k.store.Follow(ctx, platform.TopicTenure, platform.Follower{
		Spacing: k.spacing, Wake: k.lookUp, Deliver: k.observe,
		Failed: func(err error) { k.log.Debug().Err(err).Msg("tenure_unread") },
	})
	rank := rand.Float64()
	for stop.Err() == nil && ctx.Err() == nil {
		k.mu.Lock()
		wait := time.Second
		if k.read {
			wait = k.state.NextAppend(rank) - sinceBoot()
		}
		due := k.read && wait <= 0 && (k.state.Mine() || k.eligible())
		k.mu.Unlock()
		if due {
			if err := k.append(ctx, false); err != nil {
				pause.Until(stop, k.changed, appendRetry)
			}
			continue
		}
		pause.Until(stop, k.changed, max(wait, appendRetry/3))
	}
	k.release(ctx)
}

// release hands the tenure over. While the store is away nobody could take it, so
// this instance goes on placing meanwhile.
func (k *keeper) release(ctx context.Context) {
	for k.mine() && ctx.Err() == nil {
		if err := k.append(ctx, true); err != nil {
			pause.For(ctx, appendRetry)
		}
	}
}

func (k *keeper) observe(b platform.Batch) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := sinceBoot()
	before := k.state.Epoch()
	for _, record := range b.Records {
		var r tenure.Record
		if record.Key != tenureKey || record.Value == nil {
			continue
		}
		if err := json.Unmarshal(record.Value, &r); err != nil {
			k.log.Error().Err(err).Int64("offset", record.Offset).Msg("tenure_unreadable")
			continue
		}
		k.state.Observe(record.Offset, r, now)
	}
	k.state.Empty(b.Next, now)
	if b.Regained {
		k.state.Regained(now)
	}
	k.read = true
	k.logChange(before)
	signal(k.changed)
}

func (k *keeper) logChange(before int64) {
	if r, epoch, held := k.state.Holder(); k.state.Epoch() != before && held {
		k.log.Info().Str("holder", r.Holder).Int64("epoch", epoch).Bool("self", k.state.Mine()).Msg("tenure_changed")
	}
}

// append claims, renews or releases. An append whose result is lost is settled by
// reading: the next one is conditional on the same end.
func (k *keeper) append(ctx context.Context, release bool) error {
	k.mu.Lock()
	at := k.state.End()
	k.mu.Unlock()
	r := k.self
	r.Released = release
	value, err := json.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "encode tenure")
	}
	asked := sinceBoot()
	offset, err := k.store.AppendAt(ctx, platform.TopicTenure, tenureKey, at, value)
	if err != nil {
		k.log.Info().Err(err).Int64("at", at).Msg("tenure_append_failed")
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	before := k.state.Epoch()
	k.state.Appended(offset, release, asked)
	k.logChange(before)
	return nil
}

func (k *keeper) mine() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state.Mine()
}

// superseded notes that a server refused an epoch: another instance holds the
// tenure, though its record wasn't read yet.
func (k *keeper) superseded(epoch int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.state.Epoch() == epoch && k.state.Supersede() {
		k.log.Warn().Int64("epoch", epoch).Msg("tenure_superseded")
	}
}

// alive notes that the holder of an epoch has answered.
func (k *keeper) alive(epoch int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.answered = sinceBoot()
	k.state.Alive(epoch, k.answered)
}

// doubt asks for a read of the tenure, as the holder doesn't answer as such.
func (k *keeper) doubt() {
	k.mu.Lock()
	k.answered = 0
	k.mu.Unlock()
	signal(k.lookUp)
}

func (k *keeper) spacing() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if sinceBoot()-k.answered < aliveFor {
		return tenureSpacingAlive
	}
	return tenureSpacing
}

// hear takes in what a peer knows of the tenure.
func (k *keeper) hear(t *placerpb.Tenure) {
	if t == nil || t.Epoch == 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	_, before, _ := k.state.Holder()
	k.state.Hear(tenure.Record{Holder: t.Holder, Life: t.Life, Address: t.Address}, t.Epoch)
	if r, epoch, _ := k.state.Holder(); epoch != before {
		k.log.Info().Str("holder", r.Holder).Int64("epoch", epoch).Msg("tenure_heard")
	}
}

// known returns the tenure for peers that can't read it.
func (k *keeper) known() *placerpb.Tenure {
	r, epoch, held := k.holder()
	if !held {
		return nil
	}
	return &placerpb.Tenure{Holder: r.Holder, Life: r.Life, Address: r.Address, Epoch: epoch}
}

// placing reports whether this instance may place models now.
func (k *keeper) placing() bool {
	_, may := k.mayOrder()
	return may
}

// holder returns who holds the tenure.
func (k *keeper) holder() (tenure.Record, int64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state.Holder()
}

// mayOrder returns the own epoch, and false if no order may be sent.
func (k *keeper) mayOrder() (int64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state.Epoch(), k.state.MayOrder(sinceBoot())
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
