// Package wait provides a sleep that ends early when a context is done.
package wait

import (
	"context"
	"time"
)

// For waits for d and returns true, or returns false if ctx is done first.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
