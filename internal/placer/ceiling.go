package placer

import "time"

const (
	// ceilingWindow is the window over which the weight store's rate is kept. The
	// platform counts over five seconds.
	ceilingWindow = 5 * time.Second
	// ceilingAfterTakeover is how many loads the holder before is taken to have
	// begun just now: as many as run at once.
	ceilingAfterTakeover = 4
)

// ceiling counts the loads from the weight store, so that no window sees more than
// its rate allows. It survives a takeover by taking the window as used.
type ceiling struct {
	begun []time.Time
}

// takenOver starts a ceiling for a new tenure.
func takenOver(now time.Time) *ceiling {
	c := &ceiling{}
	for range ceilingAfterTakeover {
		c.note(now)
	}
	return c
}

// note counts a load that begins.
func (c *ceiling) note(now time.Time) { c.begun = append(c.begun, now) }

// left returns how many loads may begin now at so many a second; at least one in an
// empty window, however low the rate.
func (c *ceiling) left(perSecond float64, now time.Time) int {
	kept := c.begun[:0]
	for _, at := range c.begun {
		if now.Sub(at) < ceilingWindow {
			kept = append(kept, at)
		}
	}
	c.begun = kept
	return max(int(perSecond*ceilingWindow.Seconds()), 1) - len(c.begun)
}
