package serverpick

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// loadMaxAge is the age up to which a load report is used. Requests take a few hundred
	// milliseconds.
	loadMaxAge = 2 * time.Second
	// defaultHolding stands in for the time that a request keeps a slot until it is known.
	defaultHolding = time.Second
)

// Load is the known load of a server.
type Load struct {
	// InFlight is the number of this instance's requests in flight on the server.
	InFlight int64
	// Reported is the number of requests running and waiting on the server in its last report.
	// InFlightAtReport is how many of these were this instance's.
	Reported, InFlightAtReport int64
	// Age is the age of the report; negative if there is none.
	Age time.Duration
	// Unread is the expected time until the server has read the prompts of this instance's
	// requests. OthersUnread is that of the other requests that waited in the last report.
	Unread, OthersUnread time.Duration
	// OthersUsual is the usual number of requests of other instances on the server. What a
	// report says of others fades to it, as these requests end and others are sent.
	OthersUsual float64
	// OthersWhenFull is the usual number if that fills the server, else 0. It counts in place of
	// OthersUsual until the last report is older than ProbeAfter (0: two seconds).
	OthersWhenFull float64
	ProbeAfter     time.Duration
	// Holding is the mean time that a request keeps a slot; 0 if unknown.
	Holding time.Duration
}

// Backlog returns the expected time until the server begins to read another prompt. What others
// had waiting is taken to have been read since.
func (l Load) Backlog() time.Duration { return l.backlog() }

func (l *Load) backlog() time.Duration {
	if l.Age < 0 || l.Age > loadMaxAge {
		return l.Unread
	}
	return l.Unread + max(l.OthersUnread-l.Age, 0)
}

// LastKnown returns the number of requests on the server with those of others as last reported, or
// without them if the report is old.
func (l Load) LastKnown() int64 {
	if l.Age < 0 || l.Age > loadMaxAge {
		return l.InFlight
	}
	return l.InFlight + max(l.Reported-l.InFlightAtReport, 0)
}

// Estimate returns the estimated number of requests on the server from all instances.
func (l Load) Estimate() int64 { return int64(math.Round(l.requests())) }

// requests returns the expected number of requests on the server.
func (l *Load) requests() float64 { return l.requestsAt(fadeRate(l.holding())) }

// requestsAt returns that number with fadeRate(l.holding()), which is nearly always the same for
// the servers of a service.
func (l *Load) requestsAt(rate float64) float64 {
	// A server that isn't usually full needs no probes; its report fades.
	valid := loadMaxAge
	if l.OthersWhenFull > 0 {
		valid = l.probeAfter()
	}
	if l.Age < 0 || l.Age > valid {
		return float64(l.InFlight) + l.OthersUsual
	}
	usual := max(l.OthersUsual, l.OthersWhenFull)
	reported := float64(max(l.Reported-l.InFlightAtReport, 0))
	return float64(l.InFlight) + usual + (reported-usual)*fade(l.Age, rate)
}

func (l *Load) probeAfter() time.Duration {
	if l.ProbeAfter <= 0 {
		return loadMaxAge
	}
	return l.ProbeAfter
}

func (l *Load) holding() time.Duration {
	if l.Holding <= 0 {
		return defaultHolding
	}
	return l.Holding
}

// fade returns the part of an observation that is still valid at an age. It is close to an
// exponential decay, and cheaper. rate is the fadeRate of its time constant.
func fade(age time.Duration, rate float64) float64 {
	x := max(1-float64(age)*rate, 0)
	x *= x
	return x * x
}

func fadeRate(constant time.Duration) float64 { return 1 / (4 * float64(constant)) }

// UsualLoad is the usual number of requests of other instances at a server. The zero value knows
// none.
type UsualLoad struct{ others, weight float64 }

const (
	// usualGain is the weight of a new report in the usual load.
	usualGain = 0.25
	// usualMaxPart is the highest part of its slots that a server is taken to have in use without
	// a recent report. It is below 1, since otherwise a server that was full in its last report
	// would never get a request again, and never report that it has room.
	usualMaxPart = 0.9
)

// Observe returns the usual load after a report that counts others requests of other instances.
func (u UsualLoad) Observe(others float64) UsualLoad {
	u.weight += usualGain * (1 - u.weight)
	u.others += usualGain * (others - u.others)
	return u
}

// Others returns the usual number of requests of other instances, but never all slots. Without
// reports it is the mean utilization of the service's servers.
func (u UsualLoad) Others(slots int, serviceUtilization float64) float64 {
	n := float64(max(slots, 1))
	return min(u.mean(n, serviceUtilization), math.Floor(usualMaxPart*n), n-1)
}

// OthersWhenFull returns the usual number of requests of other instances if it fills the server, and
// 0 otherwise or without reports.
func (u UsualLoad) OthersWhenFull(slots int, serviceUtilization float64) float64 {
	n := float64(max(slots, 1))
	others := u.mean(n, serviceUtilization)
	if u.weight == 0 || others <= usualMaxPart*n {
		return 0
	}
	return others
}

func (u UsualLoad) mean(slots, serviceUtilization float64) float64 {
	return u.others + (1-u.weight)*min(serviceUtilization, 1)*slots
}

const (
	// minProbeAfter bounds ProbeAfter: below, an instance would ask a full server many times a second.
	minProbeAfter = 300 * time.Millisecond
	// probeEvery is the time in which an instance asks one of the servers at least, if that isn't more
	// often than each of them every loadMaxAge. Otherwise requests for a model that few servers hold
	// would wait for seconds after the end of a burst.
	probeEvery = 200 * time.Millisecond
	// probesPerSlot is how many requests instances may send to a server that is usually full for
	// each of its slots that becomes free: too few leave slots idle, too many are rejected.
	probesPerSlot = 3
)

// ProbeAfter returns the age of a report of a full server from which it gets another request, where
// a request has a number of servers to choose from. All instances together send it probesPerSlot
// requests in the time in which one of its slots becomes free.
func ProbeAfter(holding time.Duration, slots, instances, servers int) time.Duration {
	if holding <= 0 {
		return loadMaxAge
	}
	after := holding * time.Duration(max(instances, 1)) / time.Duration(probesPerSlot*max(slots, 1))
	return min(max(after, minProbeAfter), max(probeEvery*time.Duration(servers), loadMaxAge))
}

// Mean is a moving average of the utilization of a service's servers by other instances. It is
// safe for concurrent use; the zero value is an average of 0.
type Mean struct{ bits atomic.Uint64 }

// meanGain is the weight of a new report in the average over a service's servers.
const meanGain = 1.0 / 32

// Observe adds an observation.
func (m *Mean) Observe(v float64) {
	for {
		old := m.bits.Load()
		mean := math.Float64frombits(old)
		if m.bits.CompareAndSwap(old, math.Float64bits(mean+meanGain*(v-mean))) {
			return
		}
	}
}

// Value returns the average.
func (m *Mean) Value() float64 { return math.Float64frombits(m.bits.Load()) }

const (
	// slownessGain is the weight of a new observation in a server's slowness. Completed
	// requests vary by the momentary slowdown of machines, which an average of some eight evens out; a server that turns slow is noticed within as many requests. The
	// first observations weigh more: an instance sends some servers a request in many seconds.
	slownessGain = 0.125
	// minSlowness and maxSlowness bound the slowness, so that one faulty answer doesn't decide.
	minSlowness, maxSlowness = 0.25, 8.0
	// slowdownLife is how long a reported slowdown is valid: servers share their machines with others,
	// whose load changes many times a second.
	slowdownLife = 300 * time.Millisecond
	// usualSlowdownGain is the weight of a report in a server's usual slowdown.
	usualSlowdownGain = 1.0 / 16
	// forgetSlowness is the time in which half of a server's slowness beyond normal is forgotten
	// without requests to it: a server that has become fast again gets requests again.
	forgetSlowness = 60 * time.Second
)

// slowdownFadeRate is fadeRate(slowdownLife).
const slowdownFadeRate = 1 / (4 * float64(slowdownLife))

// Speed is how slow one incarnation of a server is compared with the others of its service, and
// how slow its machine is at the moment. It is safe for concurrent use; the zero value is a server
// of normal speed.
type Speed struct {
	mu    sync.Mutex
	state atomic.Pointer[speedState]
}

type speedState struct {
	// slowness is 1 for a server as fast as the mean, 2 for one that takes twice as long.
	slowness     float64
	observations int
	observedAt   time.Time
	// relative is the last reported slowdown, relative to usual. usual is the moving average of the
	// reported slowdowns, some of which may always exceed 1 at a slow machine: what is permanent
	// is already in the slowness.
	relative, usual float64
	reportedAt      time.Time
}

func (s *Speed) update(change func(*speedState)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := speedState{slowness: 1, relative: 1, usual: 1}
	if old := s.state.Load(); old != nil {
		next = *old
	}
	change(&next)
	s.state.Store(&next)
}

// Reported records the slowdown of the machine in an answer, where 1 is normal. A slowdown of 0 is
// unknown and changes nothing.
func (s *Speed) Reported(slowdown float64, now time.Time) {
	if !(slowdown > 0) {
		return
	}
	slowdown = min(max(slowdown, minSlowness), maxSlowness)
	s.update(func(next *speedState) {
		next.usual += usualSlowdownGain * (slowdown - next.usual)
		next.relative, next.reportedAt = slowdown/next.usual, now
	})
}

// Observed records a completed request, which took ratio times as long as such requests take on
// average over the servers. It began the given time ago.
func (s *Speed) Observed(ratio float64, took time.Duration, now time.Time) {
	if !(ratio > 0) || math.IsInf(ratio, 0) {
		return
	}
	s.update(func(next *speedState) {
		if !next.reportedAt.IsZero() {
			// The part that the machine's reported slowdown explains.
			ratio /= 1 + (next.relative-1)*meanFade(took)
		}
		slowness := next.slownessAt(now)
		next.observations = min(next.observations+1, 1/slownessGain)
		gain := max(slownessGain, 1/float64(next.observations+1))
		next.slowness = slowness + gain*(min(max(ratio, minSlowness), maxSlowness)-slowness)
		next.observedAt = now
	})
}

// meanFade is the mean of what is valid of a slowdown over a time after its report.
func meanFade(span time.Duration) float64 {
	return 1 / (1 + float64(max(span, 0))/float64(2*slowdownLife))
}

func (s *speedState) slownessAt(now time.Time) float64 {
	idle := max(now.Sub(s.observedAt), 0)
	return 1 + (s.slowness-1)/(1+float64(idle)/float64(forgetSlowness))
}

// Slowness returns how many times as long work takes on the server now as on average.
func (s *Speed) Slowness(now time.Time) float64 {
	state := s.state.Load()
	if state == nil {
		return 1
	}
	slowness := state.slownessAt(now)
	if !state.reportedAt.IsZero() {
		slowness *= 1 + (state.relative-1)*fade(max(now.Sub(state.reportedAt), 0), slowdownFadeRate)
	}
	return slowness
}

// Learned returns the server's slowness without the momentary slowdown of its machine.
func (s *Speed) Learned(now time.Time) float64 {
	state := s.state.Load()
	if state == nil {
		return 1
	}
	return state.slownessAt(now)
}

// secondsPerNanosecond converts a time.Duration. Duration.Seconds takes longer than the rest of the
// estimate.
const secondsPerNanosecond = 1e-9

// FirstEvent returns the expected time until the server sends the first event of the request's
// answer, if it is sent now.
func (r *Request) FirstEvent(c *Candidate) time.Duration {
	slots := max(c.Slots, 1)
	wait := float64(r.Reading + c.Load.backlog())
	if free := float64(slots) - c.Load.requests(); free < 1 {
		wait += c.Load.slotWait(free, slots)
	}
	return time.Duration(c.slowness() * wait)
}

// slotWait returns the time until a slot is free, in nanoseconds: slots become free evenly over the
// time that a request keeps one. free is negative where more requests than slots are expected.
func (l *Load) slotWait(free float64, slots int) float64 {
	return (1 - free) * float64(l.holding()) / float64(slots)
}

// spreadRequests is Request.Spread where several instances send to the same servers. Without a spread
// all of them choose the same server until its next report; a large one keeps slow servers too busy.
const spreadRequests = 2

// SpreadOf returns Request.Spread for a number of instances.
func SpreadOf(instances int) float64 {
	if instances <= 1 {
		return 0
	}
	return spreadRequests
}
