package edge

import (
	"cmp"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/limit"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/serverpick"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

// brittlePace paces the requests to one incarnation of a server while it says that it is brittle.
type brittlePace struct {
	service *brittleService
	// active is true while the server is brittle. It can be read without the lock.
	active atomic.Bool

	mu    sync.Mutex
	limit limit.Brittle
	// saidAt is when the request was sent whose answer has last said that the server isn't brittle,
	// and listedAt when the list had the server for the first time, or again.
	saidAt, listedAt time.Time
}

// brittleService is what the servers of a service say together. It outlives them.
type brittleService struct {
	// active is true once a server has said that it is brittle. It can be read without the lock.
	active atomic.Bool

	mu    sync.Mutex
	limit limit.ServiceBrittle
}

func (v *Views) brittleService(name string) *brittleService {
	service := v.services[name]
	if service == nil {
		service = &brittleService{}
		v.services[name] = service
	}
	return service
}

func (s *brittleService) stated(tolerated int, sent, now time.Time) {
	if tolerated < 0 && !s.active.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit.Stated(tolerated, sent, now)
	s.active.Store(s.limit.IsBrittle(now))
}

func (s *brittleService) served(took time.Duration, load limit.BrittleLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit.Served(took, load)
}

func (s *brittleService) serviceTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limit.ServiceTime()
}

// presume takes the server for brittle if its service is and it hasn't said otherwise lately. It
// reports whether it does so from now on.
func (p *brittlePace) presume(load limit.BrittleLoad, phase float64, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.service.mu.Lock()
	defer p.service.mu.Unlock()
	if p.limit.IsBrittle() || !p.service.limit.Concerns(p.saidAt, now) {
		return false
	}
	p.limit.Presume(&p.service.limit, load, p.listedAt, phase, now)
	p.active.Store(p.limit.IsBrittle())
	return p.limit.IsBrittle()
}

// resume goes on after the server wasn't listed for a time.
func (p *brittlePace) resume(phase float64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listedAt = now
	p.limit.Resume(phase, now)
}

// stated records what an answer states, and reports whether the server has become brittle or has
// ceased to be.
func (p *brittlePace) stated(tolerated int, load limit.BrittleLoad, sent, now time.Time) (changed bool, rate float64) {
	p.service.stated(tolerated, sent, now)
	p.mu.Lock()
	defer p.mu.Unlock()
	if tolerated < 0 && sent.After(p.saidAt) {
		p.saidAt = sent
	}
	before := p.limit.IsBrittle()
	p.limit.Stated(tolerated, load, sent, now)
	p.active.Store(p.limit.IsBrittle())
	return p.limit.IsBrittle() != before, p.limit.Rate()
}

func (p *brittlePace) rejected(now time.Time) {
	if !p.active.Load() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit.Rejected(now)
}

func (p *brittlePace) served(took time.Duration, load limit.BrittleLoad) {
	p.service.served(took, load)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit.Served(took, load)
}

// rate returns the requests per second that this instance sends to the server.
func (p *brittlePace) rate() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limit.Rate()
}

// brittleLoad returns what the pace of a server depends on.
func (e *Edge) brittleLoad(b *backend) limit.BrittleLoad {
	instances := cmp.Or(e.views.Instances(), e.cfg.Instances, assumedInstances)
	return limit.BrittleLoad{
		Slots: b.server.Slots, Waiting: int(b.stats.waiting.Load()), Instances: instances, ServiceTime: b.stats.brittle.service.serviceTime(),
	}
}

// brittleUsable reports whether a request can be sent to the server now.
func (e *Edge) brittleUsable(b *backend, load serverpick.Load, now time.Time) bool {
	p := &b.stats.brittle
	if !p.active.Load() && !e.presumeBrittle(b, now) {
		return true
	}
	pace := e.brittleLoad(b)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limit.Usable(pace, now) && load.LastKnown() < int64(b.server.Slots)
}

// presumeBrittle takes a server for brittle if its service is, and reports whether it does so from now
// on.
func (e *Edge) presumeBrittle(b *backend, now time.Time) bool {
	p := &b.stats.brittle
	if !p.service.active.Load() || !p.presume(e.brittleLoad(b), rand.Float64(), now) {
		return false
	}
	e.log.Info().Str("server", string(b.server.ID)).Str("service", b.server.Service).Float64("rate", p.rate()).Msg("server_presumed_brittle")
	return true
}

// takeBrittle takes the turn of a request, and reports false if there is none.
func (e *Edge) takeBrittle(b *backend, load serverpick.Load, now time.Time) bool {
	p := &b.stats.brittle
	if !p.active.Load() {
		return true
	}
	if !e.brittleUsable(b, load, now) {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit.Take()
	return true
}

// recordBrittle records whether the server says that it is brittle, and whether it had no room.
func (a *attempt) recordBrittle(answer *platform.Answer) {
	q, b := a.request, a.backend
	if !answersRequest(answer) {
		return
	}
	if answer.HasLoad {
		b.stats.waiting.Store(int64(min(answer.Load.Waiting, maxBelievedWaiting)))
	}
	if answer.ToleratedErr != nil {
		q.edge.log.Warn().Str("server", string(b.server.ID)).Str("request", q.head.ID).Err(answer.ToleratedErr).Msg("brittle_unreadable")
		return
	}
	if answer.ToleratedRejections >= 0 || answer.Signed { // a refusal needn't state it
		changed, rate := b.stats.brittle.stated(answer.ToleratedRejections, q.edge.brittleLoad(b), a.progress.sentAt, time.Now())
		if changed {
			logBrittle(q.edge.log, b.server.ID, q.head.ID, answer.ToleratedRejections, rate)
		}
	}
	if answer.NotExecuted {
		b.stats.brittle.rejected(time.Now())
	}
}

func logBrittle(logger *log.Logger, server fleet.ServerID, request string, tolerated int, rate float64) {
	logger.Info().Str("server", string(server)).Str("request", request).Int("tolerated", tolerated).
		Float64("rate", rate).Msg("server_brittle")
}

// checkBrittle refuses a request for which the brittle servers of a plain service have no turn in
// time, behind the requests that wait already.
func (q *request) checkBrittle(view *View, now time.Time) (outcome, bool) {
	if q.model != "" || q.awaitsBrittle || q.runs > 0 {
		return outcome{}, false
	}
	perSecond := 0.0
	for _, b := range view.services[q.service] {
		if !b.stats.brittle.active.Load() {
			return outcome{}, false
		}
		perSecond += b.stats.brittle.rate()
	}
	delay := limit.QueueDelay(int(q.edge.WaitingForSlot(q.service)), perSecond)
	if delay <= q.waitLimit().Sub(now) {
		q.awaitsBrittle = true
		return outcome{}, false
	}
	return refused(reasonBrittle, jitter(delay)), true
}
