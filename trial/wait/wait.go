// Package wait lets trials wait in real time.
package wait

import (
	"context"
	"time"
)

// For waits for d and reports true, or false if ctx ends first.
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
