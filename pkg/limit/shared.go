package limit

import "time"

const (
	// sharingTTL is how long an instance counts as sharing a server's rate after it has asked
	// for permits.
	sharingTTL = time.Second
	// maxRetry is the longest time after which an instance asks again. A limit that is raised
	// or ends becomes known within it.
	maxRetry = time.Second
)

// Shared is the rate limit of one server, as shared by the instances that ask for permits. It
// isn't safe for concurrent use.
type Shared struct {
	stated StatedRate
	pacer  *Pacer
	// askedAt is when instances have last asked for permits.
	askedAt map[string]time.Time
	// retryAt is when the next instance that gets no permit asks again. Instances ask again one
	// after the other, each when a permit is due.
	retryAt time.Time
}

// NewShared returns the limit of a server that hasn't stated any. It begins without credit, so
// that its permits and those of a former holder keep within the limit.
func NewShared(now time.Time) *Shared {
	return &Shared{pacer: NewPacer(now), askedAt: map[string]time.Time{}}
}

// Grant is the reply to a reservation.
type Grant struct {
	// Limit is the newest statement of the server to any instance. If there is no limit, no
	// permit is needed.
	Limit   Statement
	Permits Permits
	// Instances is the number of instances that have recently asked.
	Instances int
}

// Ask asks for permits.
type Ask struct {
	// Stated is what the server has stated to the asking instance.
	Stated Statement
	// Count is the number of permits; 0 only tells the limit.
	Count int
	// Spare asks for permits that no instance needs: the requests have other servers.
	Spare bool
}

// Reserve reserves permits for an instance.
func (s *Shared) Reserve(instance string, ask Ask, now time.Time) Grant {
	s.stated.Merge(ask.Stated)
	grant := Grant{Limit: s.stated.Newest()}
	if ask.Count <= 0 || grant.Limit.PerSecond == Unlimited {
		return grant
	}
	interval := PermitInterval(grant.Limit.PerSecond)
	grant.Permits = s.pacer.Reserve(interval, ask.Count, ask.Spare, now)
	if ask.Spare {
		grant.Permits.Retry = min(max(grant.Permits.Retry, interval), maxRetry)
		return grant
	}
	if grant.Permits.Count == 0 {
		if due := now.Add(grant.Permits.Retry); s.retryAt.Before(due) {
			s.retryAt = due
		}
		grant.Permits.Retry = min(s.retryAt.Sub(now), maxRetry)
		s.retryAt = now.Add(grant.Permits.Retry + interval)
	}
	s.askedAt[instance] = now
	for other, at := range s.askedAt {
		if now.Sub(at) > sharingTTL {
			delete(s.askedAt, other)
		}
	}
	grant.Instances = len(s.askedAt)
	return grant
}

// PerSecond returns the limit; Unlimited if there is none.
func (s *Shared) PerSecond() float64 { return s.stated.PerSecond() }

// QueueDelay returns the time until ahead requests have been sent under a limit.
func QueueDelay(ahead int, perSecond float64) time.Duration {
	return time.Duration(float64(ahead) / max(perSecond, minPermitRate) * float64(time.Second))
}
