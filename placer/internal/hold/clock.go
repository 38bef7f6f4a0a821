package hold

import (
	"context"
	"time"
)

// Clock measures terms and leases; *timer.Service implements it.
type Clock interface {
	Boot() time.Duration
	Sleep(ctx context.Context, d time.Duration) error
}
