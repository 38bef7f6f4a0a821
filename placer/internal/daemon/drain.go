package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// drainPeriod is the time between looks at what is still under way.
const drainPeriod = 50 * time.Millisecond

// drain stops gracefully: it refuses new requests, tells its peers, hands jobs
// and endpoints over and waits until every request has been answered, for as
// long as the settings allow.
func (d *Daemon) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(d.settings.Drain))
	defer cancel()
	d.log.Info("placer drains", zap.Int("requests", d.server.Busy()))
	d.server.Leave()
	d.members.Leave()
	d.members.Beat(ctx, d.node, time.Duration(d.settings.Beat))
	d.driver.Leave(ctx)
	if err := d.follower.Leave(ctx); err != nil {
		d.log.Warn("configuration's roster still lists the placer", zap.Error(err))
	}
	for {
		_, owned := d.keeper.Count()
		busy := d.server.Busy()
		if owned == 0 && busy == 0 {
			return
		}
		if d.timer.Sleep(ctx, drainPeriod) != nil {
			d.log.Warn("placer ends with work under way", zap.Int("requests", busy), zap.Int("endpoints", owned))
			return
		}
	}
}
