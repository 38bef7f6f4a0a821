package hold

import (
	"context"
	"time"
)

// Clock is the time that terms are counted on; a *timer.Service is one.
type Clock interface {
	Boot() time.Duration
	Sleep(ctx context.Context, d time.Duration) error
}
