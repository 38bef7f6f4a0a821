package daemon

import (
	"context"
	"time"
)

// others asks the other placers of the zone through the driver of jobs, which
// is made after the parts that ask.
type others struct{ daemon *Daemon }

// Abandoned implements hold.Witness.
func (o others) Abandoned(ctx context.Context, endpoint string) bool {
	return o.daemon.driver.Abandoned(ctx, endpoint)
}

// Promise implements fence.Others.
func (o others) Promise(ctx context.Context, endpoint string, length time.Duration) bool {
	return o.daemon.driver.Promise(ctx, endpoint, length)
}
