// Package pause waits in a way that ends with a context.
package pause

import (
	"context"
	"time"
)

// For waits and reports whether the whole time passed before ctx ended.
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

// Until waits for a signal, for d at most, or for the end of ctx.
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
