package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// drainPollPeriod is the time between two checks for work in progress.
const drainPollPeriod = 50 * time.Millisecond

// drain stops gracefully: it refuses new requests, announces to its peers that
// it is leaving, hands over jobs and endpoints, and waits until every request
// has been answered, at most for the drain time of the settings.
func (d *Daemon) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(d.settings.Drain))
	defer cancel()
	d.log.Info("placer draining", zap.Int("requests", d.server.Busy()))
	d.server.Leave()
	d.members.Leave()
	d.members.Beat(ctx, d.node, time.Duration(d.settings.Beat))
	d.driver.Leave(ctx)
	if err := d.follower.Leave(ctx); err != nil {
		d.log.Warn("failed to remove the placer from the configuration's roster", zap.Error(err))
	}
	for {
		_, owned := d.keeper.Count()
		busy := d.server.Busy()
		if owned == 0 && busy == 0 {
			return
		}
		if d.timer.Sleep(ctx, drainPollPeriod) != nil {
			d.log.Warn("drain ended with work in progress", zap.Int("requests", busy), zap.Int("endpoints", owned))
			return
		}
	}
}
