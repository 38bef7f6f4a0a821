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

// live returns the names of the zone's placers that live, this one included.
func (d *Daemon) live() []string {
	out := []string{d.settings.Host}
	for _, m := range d.members.Live() {
		if m.Zone == d.settings.Zone && m.Name != d.settings.Host {
			out = append(out, m.Name)
		}
	}
	return out
}
