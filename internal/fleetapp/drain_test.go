package fleetapp

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Requests that waited for a server until the end of the grace period were cut in the moment in which they
// were to be answered.
func TestWaitingRequestsAreAnsweredBeforeTheEnd(t *testing.T) {
	const roundTrip = 100 * time.Millisecond
	now := time.Now()
	for _, grace := range []time.Duration{5 * time.Second, 8 * time.Second, time.Minute} {
		s := newDrainSchedule(now, grace)
		assert.True(t, s.stopsAt.Add(roundTrip).Before(s.end), "grace %v", grace)
		assert.True(t, s.end.Before(now.Add(grace)), "grace %v", grace)
		assert.True(t, s.waitUntil.Before(s.stopsAt), "grace %v", grace)
	}
}
