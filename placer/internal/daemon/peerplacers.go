package daemon

import (
	"context"
	"time"
)

// peerPlacers calls the other placers of the zone through the daemon's job
// driver. The driver is created after the parts that need peerPlacers.
type peerPlacers struct{ daemon *Daemon }

// Abandoned implements hold.Witness.
func (o peerPlacers) Abandoned(ctx context.Context, endpoint string) bool {
	return o.daemon.driver.Abandoned(ctx, endpoint)
}

// Promise implements fence.Others.
func (o peerPlacers) Promise(ctx context.Context, endpoint string, length time.Duration) bool {
	return o.daemon.driver.Promise(ctx, endpoint, length)
}

// livePlacers returns the names of the live placers of the zone, including this
// one.
func (d *Daemon) livePlacers() []string {
	out := []string{d.settings.Host}
	for _, m := range d.members.Live() {
		if m.Zone == d.settings.Zone && m.Name != d.settings.Host {
			out = append(out, m.Name)
		}
	}
	return out
}
