package usage

import (
	"context"
	"time"

	"github.com/balsamford/balsamford/placer/internal/share"
)

// Scheduler knows what teams use; a *sched.Scheduler is one.
type Scheduler interface {
	Summary() share.Summary
	Merge(s share.Summary)
}

// Caller calls other placers; a *link.Node is one.
type Caller interface {
	Call(ctx context.Context, address, verb string, in, out any) error
}

// Pacer waits; a *timer.Service is one.
type Pacer interface {
	Sleep(ctx context.Context, d time.Duration) error
}
