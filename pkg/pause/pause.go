// Package pause provides delays that end early if a context ends.
package pause

import (
	"context"
	"time"
)

// For waits for the duration d or until ctx ends. It reports whether d elapsed
// before ctx ended.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Until waits until a value is received from c, d has elapsed or ctx ends. It
// returns at once if d isn't positive.
func Until(ctx context.Context, c <-chan struct{}, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-c:
	case <-timer.C:
	}
}
