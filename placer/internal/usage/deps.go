package usage

import (
	"context"
	"time"

	"github.com/balsamford/balsamford/placer/internal/share"
)

// Scheduler provides and receives summaries, implemented by *sched.Scheduler.
type Scheduler interface {
	Summary() share.Summary
	Merge(s share.Summary)
}

// Caller calls other placers, implemented by *link.Node.
type Caller interface {
	Call(ctx context.Context, address, verb string, in, out any) error
}

// Pacer waits, implemented by *timer.Service.
type Pacer interface {
	Sleep(ctx context.Context, d time.Duration) error
}
