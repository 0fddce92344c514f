package edge

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/limit"
)

const (
	// quotaWindow, quotaTolerance and quotaSlack are those of the specification
	// (docs/design/hard-load.md): the cost within any window is at most the limit times
	// quotaTolerance plus quotaSlack.
	quotaWindow    = 8 * time.Second
	quotaTolerance = 1.1
	quotaSlack     = 110_000

	quotaZones = 3
	// quotaLease is the time after which an unreachable holder is replaced, and quotaPoll the
	// interval at which an instance is heard that has no requests.
	quotaLease = 3 * time.Second
	quotaPoll  = time.Second
)

// quotaReplay plays the requests of one account at many instances, in virtual time.
type quotaReplay struct {
	*testing.T

	random *rand.Rand
	edges  []*Edge
	begun  time.Time

	mu    sync.Mutex
	limit limit.QuotaLimit
	// holders are the instances that consider themselves the holder, with what they know.
	holders map[int]*limit.Quotas
	// cut are the zones that don't reach the others.
	cut map[int]bool
	// lost is the part of the replies that are lost, and thaw when a frozen instance resumes.
	lost float64
	thaw map[int]time.Time
	// admitted are the requests that run.
	admitted        []quotaUse
	requests, calls int
	refused         []quotaUse
	ended           bool
}

type quotaUse struct {
	at       time.Duration
	cost     float64
	instance int
}

func newQuotaReplay(t *testing.T, instances int, rate, burst float64) *quotaReplay {
	r := &quotaReplay{
		T: t, random: rand.New(rand.NewPCG(1, 2)), begun: time.Now(), limit: limit.QuotaLimit{Rate: rate, Burst: burst, Version: 1},
		cut: map[int]bool{}, thaw: map[int]time.Time{},
	}
	r.holders = map[int]*limit.Quotas{0: r.newHolder(instances, 0)}
	for i := range instances {
		views := NewViews()
		views.SetInstances(instances)
		e := &Edge{cfg: Config{Name: fmt.Sprint("i", i)}, views: views, log: &log.Logger{Level: log.PanicLevel}}
		e.quotas.init(r.now, quotaPeer{r, i}, metrics.NewRegistry())
		r.edges = append(r.edges, e)
	}
	for i := range instances {
		go r.poll(i)
	}
	return r
}

// newHolder returns a holder that gives out a part of the tolerance.
func (r *quotaReplay) newHolder(instances int, now time.Duration) *limit.Quotas {
	holder := limit.NewQuotas(instances, now)
	holder.Tolerate(limit.QuotaTolerance{Window: quotaWindow, Ratio: quotaTolerance - 1, Amount: quotaSlack})
	return holder
}

func (r *quotaReplay) now() time.Duration { return time.Since(r.begun) }

// poll lets the holder hear an instance.
func (r *quotaReplay) poll(i int) {
	time.Sleep(time.Duration(i) * quotaPoll / time.Duration(len(r.edges)))
	for {
		r.waitFrozen(i)
		r.mu.Lock()
		if r.ended {
			r.mu.Unlock()
			return
		}
		if holder := r.holderOf(i); holder != nil {
			holder.Heard(r.edges[i].cfg.Name, r.now())
		}
		r.mu.Unlock()
		time.Sleep(quotaPoll)
	}
}

// holderOf returns what the holder knows that an instance reaches; nil if there is none.
func (r *quotaReplay) holderOf(i int) *limit.Quotas {
	for at, holder := range r.holders {
		if at%quotaZones == i%quotaZones || !r.cut[at%quotaZones] && !r.cut[i%quotaZones] {
			holder.Heard(r.edges[at].cfg.Name, r.now())
			return holder
		}
	}
	return nil
}

func (r *quotaReplay) waitFrozen(i int) {
	r.mu.Lock()
	until := r.thaw[i]
	r.mu.Unlock()
	time.Sleep(time.Until(until))
}

type quotaPeer struct {
	*quotaReplay

	instance int
}

func (p quotaPeer) ReserveQuota(ctx context.Context, account string, ask limit.QuotaAsk) (limit.QuotaGrant, error) {
	time.Sleep(time.Millisecond)
	p.mu.Lock()
	holder := p.holderOf(p.instance)
	lost := p.random.Float64() < p.lost
	var grant limit.QuotaGrant
	if holder != nil {
		grant = holder.Reserve(p.edges[p.instance].cfg.Name, account, ask, p.now())
		p.calls++
	}
	p.mu.Unlock()
	defer p.waitFrozen(p.instance)
	if holder == nil || lost {
		<-ctx.Done()
		return limit.QuotaGrant{}, errors.New("no reply")
	}
	time.Sleep(time.Millisecond)
	return grant, nil
}

func (quotaPeer) StatesFallbackShares() bool { return true }

// request lets a request arrive at an instance.
func (r *quotaReplay) request(i int, cost float64) {
	r.waitFrozen(i)
	r.mu.Lock()
	known := r.limit
	r.requests++
	r.mu.Unlock()
	e := r.edges[i]
	var taken limit.QuotaCost
	_, admitted := e.takeQuota(r.Context(), e.quotas.of("account"), cost, known, &taken)
	r.mu.Lock()
	defer r.mu.Unlock()
	use := quotaUse{r.now(), cost, i}
	if admitted {
		r.admitted = append(r.admitted, use)
	} else {
		r.refused = append(r.refused, use)
	}
}

// quotaDemand returns the demand at a time, in cost per second, and an instance that a request
// arrives at.
type quotaDemand func(r *quotaReplay, at time.Duration) (perSecond float64, instance int)

// play plays requests whose costs are those of the specification.
func (r *quotaReplay) play(duration time.Duration, demand quotaDemand) {
	var group sync.WaitGroup
	// The holder hears all instances first.
	time.Sleep(2 * quotaPoll)
	for r.now() < duration {
		r.mu.Lock()
		perSecond, instance := demand(r, r.now())
		cost := float64(650 + r.random.IntN(9351))
		pause := r.random.ExpFloat64() * cost / perSecond
		r.mu.Unlock()
		group.Go(func() { r.request(instance, cost) })
		time.Sleep(time.Duration(pause * float64(time.Second)))
	}
	group.Wait()
	r.mu.Lock()
	r.ended = true
	r.mu.Unlock()
}

// callsMade returns the number of calls to the holder so far.
func (r *quotaReplay) callsMade() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls
}

// assertWithin checks each window from the given time on, which begins with a use.
func (r *quotaReplay) assertWithin(known limit.QuotaLimit, from, to time.Duration) {
	r.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	uses := slices.Clone(r.admitted)
	slices.SortFunc(uses, func(a, b quotaUse) int { return int(a.at - b.at) })
	most, mostAt := 0.0, time.Duration(0)
	sum, end := 0.0, 0
	for _, first := range uses {
		for end < len(uses) && uses[end].at < first.at+quotaWindow {
			sum += uses[end].cost
			end++
		}
		if first.at >= from && first.at+quotaWindow <= to && sum > most {
			most, mostAt = sum, first.at
		}
		sum -= first.cost
	}
	bound := (known.Rate*quotaWindow.Seconds()+known.Burst)*quotaTolerance + quotaSlack
	assert.LessOrEqual(r, most, bound, "the window from %v", mostAt)
	r.Logf("%.2f of the bound, from %v; %d of %d requests refused, %d calls in %v", most/bound, mostAt, len(r.refused), r.requests, r.calls, r.now())
}

const (
	largeQuota, smallQuota = 335_716, 29_000
	// usualDemand is the usual demand, as part of the limit, and burstDemand how many times as much
	// a busy account sends.
	usualDemand, burstDemand = 1 / 1.8, 7.5
)

// few returns a demand at 8 instances from the given one on.
func few(first int, times float64) quotaDemand {
	return func(r *quotaReplay, _ time.Duration) (float64, int) {
		return r.limit.Rate * usualDemand * times, (first + r.random.IntN(8)) % len(r.edges)
	}
}

func everywhere(times float64) quotaDemand {
	return func(r *quotaReplay, _ time.Duration) (float64, int) {
		return r.limit.Rate * usualDemand * times, r.random.IntN(len(r.edges))
	}
}

// skewed sends half of the requests to one instance.
func skewed(r *quotaReplay, at time.Duration) (float64, int) {
	if r.random.IntN(2) == 0 {
		return r.limit.Rate * usualDemand * 3, 4
	}
	return everywhere(3)(r, at)
}

// moving moves to other instances each 3 s.
func moving(r *quotaReplay, at time.Duration) (float64, int) {
	return few(int(at/(3*time.Second))*10, 3)(r, at)
}

// bursting sends 7.5 times the usual demand for 8 s after 6 s of the usual one.
func bursting(r *quotaReplay, at time.Duration) (float64, int) {
	if at > 6*time.Second && at < 14*time.Second || at > 22*time.Second {
		return few(3, burstDemand)(r, at)
	}
	return few(3, 1)(r, at)
}

// ofZone sends most requests to one zone, and from a time on to all.
func ofZone(zone int, from time.Duration) quotaDemand {
	return func(r *quotaReplay, at time.Duration) (float64, int) {
		if at > from {
			return everywhere(burstDemand)(r, at)
		}
		return r.limit.Rate * usualDemand, zone + quotaZones*r.random.IntN(8)
	}
}

// after runs a fault.
func (r *quotaReplay) after(at time.Duration, fault func()) {
	time.AfterFunc(at, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		fault()
	})
}

// kill kills the holder at a time. Another one begins when its lease has ended.
func (r *quotaReplay) kill(at time.Duration) {
	r.after(at, func() { clear(r.holders) })
	r.after(at+quotaLease, func() { r.holders[1] = r.newHolder(len(r.edges), r.now()) })
}

// partition cuts off a zone for 6 s. If the holder is in it, another one begins elsewhere when its
// lease has ended.
func (r *quotaReplay) partition(zone int, at time.Duration) {
	r.after(at, func() { r.cut[zone] = true })
	if zone == 0 {
		r.after(at+quotaLease, func() {
			clear(r.holders)
			r.holders[1] = r.newHolder(len(r.edges), r.now())
		})
	}
	r.after(at+6*time.Second, func() { r.cut[zone] = false })
}

var quotaFaults = map[string]func(*quotaReplay){
	"none":                     func(*quotaReplay) {},
	"holder killed":            func(r *quotaReplay) { r.kill(9 * time.Second) },
	"zone cut off":             func(r *quotaReplay) { r.partition(1, 9*time.Second) },
	"holder's zone cut off":    func(r *quotaReplay) { r.partition(0, 9*time.Second) },
	"half of the replies lost": func(r *quotaReplay) { r.lost = 0.5 },
	"all replies lost for 10 s": func(r *quotaReplay) {
		r.after(8*time.Second, func() { r.lost = 1 })
		r.after(18*time.Second, func() { r.lost = 0 })
	},
	"instances frozen": func(r *quotaReplay) {
		r.after(9*time.Second, func() {
			for _, i := range []int{3, 4, 5, 12} {
				r.thaw[i] = time.Now().Add(5 * time.Second)
			}
		})
	},
}

// Guards against an account that uses more than its limit over all instances.
func TestAccountExceedsItsQuota(t *testing.T) {
	for name, fault := range quotaFaults {
		for demandName, demand := range map[string]quotaDemand{
			"steady": few(3, 1), "skewed": skewed, "moving": moving, "bursting": bursting, "busy": everywhere(burstDemand),
			"zone 1, then busy everywhere": ofZone(1, 9*time.Second), "zone 0, then busy everywhere": ofZone(0, 9*time.Second),
			"zone 0, busy everywhere after the holder is replaced": ofZone(0, 12*time.Second),
		} {
			for _, rate := range []float64{largeQuota, smallQuota} {
				t.Run(fmt.Sprintf("%s, %s, %.0f", name, demandName, rate), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						r := newQuotaReplay(t, 83, rate, rate)
						fault(r)
						r.play(30*time.Second, demand)
						r.assertWithin(r.limit, 0, math.MaxInt64)
						time.Sleep(time.Minute)
					})
				})
			}
		}
	}
}

// Guards against a lowered limit that isn't enforced.
func TestLoweredQuotaIsExceeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newQuotaReplay(t, 83, largeQuota, largeQuota)
		const loweredAt, known = 14 * time.Second, 3 * time.Second
		lowered := limit.QuotaLimit{Rate: largeQuota / 10, Burst: largeQuota / 10, Version: 2}
		demand := everywhere(3)
		r.after(loweredAt, func() { r.limit = lowered })
		r.play(35*time.Second, func(r *quotaReplay, at time.Duration) (float64, int) {
			_, instance := demand(r, at)
			return largeQuota * usualDemand * 3, instance
		})
		r.assertWithin(limit.QuotaLimit{Rate: largeQuota, Burst: largeQuota}, 0, loweredAt)
		r.assertWithin(lowered, loweredAt+known+quotaWindow, math.MaxInt64)
		time.Sleep(time.Minute)
	})
}

// Guards against requests that are refused although the account is below its limit.
func TestAccountBelowItsQuotaIsRefused(t *testing.T) {
	for _, instances := range []int{18, 83, 300} {
		for _, rate := range []float64{largeQuota, smallQuota} {
			t.Run(fmt.Sprintf("%d instances, %.0f", instances, rate), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					r := newQuotaReplay(t, instances, rate, rate)
					r.play(30*time.Second, few(3, 1))
					r.mu.Lock()
					assert.Empty(t, r.refused)
					r.mu.Unlock()
					r.assertWithin(r.limit, 0, math.MaxInt64)
					time.Sleep(time.Minute)
				})
			})
		}
	}
}

// constantQuotas grants any amount.
type constantQuotas struct{}

func (constantQuotas) ReserveQuota(context.Context, string, limit.QuotaAsk) (limit.QuotaGrant, error) {
	return limit.QuotaGrant{Amount: 1 << 40}, nil
}

func (constantQuotas) StatesFallbackShares() bool { return true }

// Guards against a grant whose reply is read late, by an instance that was frozen.
func TestGrantOfALateReplyExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newQuotaReplay(t, 3, largeQuota, largeQuota)
		time.Sleep(2 * quotaPoll)
		e, taken := r.edges[1], limit.QuotaCost{}
		r.after(time.Millisecond/2, func() { r.thaw[1] = time.Now().Add(time.Second) })
		_, _ = e.takeQuota(t.Context(), e.quotas.of("account"), 1000, r.limit, &taken)
		r.waitFrozen(1)
		time.Sleep(quotaAskInterval)
		assert.Equal(t, 1, r.callsMade())
		_, admitted := e.takeQuota(t.Context(), e.quotas.of("account"), 1000, r.limit, &taken)
		assert.True(t, admitted)
		assert.Equal(t, 2, r.callsMade(), "the first grant has expired")
		r.mu.Lock()
		r.ended = true
		r.mu.Unlock()
		time.Sleep(time.Minute)
	})
}

// quotaAdmission returns the admission of one request from the local balance.
func quotaAdmission(clock func() time.Duration) func() bool {
	e := &Edge{views: NewViews(), log: &log.Logger{Level: log.PanicLevel}}
	e.quotas.init(clock, constantQuotas{}, metrics.NewRegistry())
	known := limit.QuotaLimit{Rate: largeQuota, Burst: largeQuota, Version: 1}
	var taken limit.QuotaCost
	return func() bool {
		_, admitted := e.takeQuota(context.Background(), e.quotas.of("account"), 1, known, &taken)
		return admitted
	}
}

func TestAdmissionDoesNotAllocate(t *testing.T) {
	admit := quotaAdmission(func() time.Duration { return time.Second })
	assert.True(t, admit())
	assert.Zero(t, testing.AllocsPerRun(100, func() { _ = admit() }))
}

func BenchmarkAdmission(b *testing.B) {
	admit := quotaAdmission(nil)
	b.ReportAllocs()
	for b.Loop() {
		_ = admit()
	}
}
