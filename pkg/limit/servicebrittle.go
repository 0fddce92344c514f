package limit

import "time"

const (
	// brittleContradiction is how long no server must have said that it is brittle for the answer of
	// another one to end it for the service: servers hear of it one after the other.
	brittleContradiction = 3 * time.Second
	// serviceBrittleTTL is how long a service counts as brittle without answers.
	serviceBrittleTTL = 10 * time.Minute
)

// ServiceBrittle is what the servers of a service together say of being brittle. It outlives each of
// them. The zero value is that of a service that isn't brittle. It isn't safe for concurrent use.
type ServiceBrittle struct {
	tolerated int
	// statedAt is when a server has last said that it is brittle; the zero time if none does.
	statedAt time.Time
	// serviceTime is the mean time for which a request takes a slot.
	serviceTime time.Duration
}

// Stated records what an answer of one of the servers states, as Brittle.Stated does.
func (s *ServiceBrittle) Stated(tolerated int, sent, now time.Time) {
	switch {
	case tolerated >= 0:
		s.tolerated, s.statedAt = tolerated, now
	case sent.Sub(s.statedAt) > brittleContradiction:
		s.statedAt = time.Time{}
	}
}

// Served records that a server has served a request within a time.
func (s *ServiceBrittle) Served(took time.Duration, load BrittleLoad) {
	s.serviceTime = meanServiceTime(s.serviceTime, took, load)
}

// ServiceTime returns the mean time for which a request takes a slot; 0 if it is unknown.
func (s *ServiceBrittle) ServiceTime() time.Duration { return s.serviceTime }

// IsBrittle reports whether the servers are brittle.
func (s *ServiceBrittle) IsBrittle(now time.Time) bool {
	return !s.statedAt.IsZero() && now.Sub(s.statedAt) < serviceBrittleTTL
}

// Concerns reports whether a server is to be taken for brittle that has itself last said at saidAt that
// it isn't, or nothing if saidAt is the zero time.
func (s *ServiceBrittle) Concerns(saidAt, now time.Time) bool {
	return s.IsBrittle(now) && s.statedAt.Sub(saidAt) > brittleContradiction
}

// Presume takes a server for brittle since its service is, until its own answers tell otherwise. It has
// had no requests since a time. phase, from 0 to 1, is different for each instance, to spread their
// first requests over time.
func (b *Brittle) Presume(service *ServiceBrittle, load BrittleLoad, since time.Time, phase float64, now time.Time) {
	if b.brittle || !service.IsBrittle(now) {
		return
	}
	b.begin(load, phase, since)
	b.tolerated, b.statedAt = service.tolerated, service.statedAt
}

// Resume goes on with a server that no requests could be sent to for a time, in which no turns add up.
func (b *Brittle) Resume(phase float64, now time.Time) {
	b.tokens, b.filledAt, b.limited = phase, now, false
}
