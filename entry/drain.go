package main

import (
	"context"
	"os"
	"time"

	"go.uber.org/zap"
)

const (
	// drainLook is how often the end of all requests is looked for.
	drainLook = 20 * time.Millisecond
	// settleTime is what requests that are given up have to answer their
	// callers.
	settleTime = 3 * time.Second
)

// part lets the balancer see that this process isn't ready before it refuses
// anything: requests that still come are served. A second signal ends it.
func (a *app) part(ctx context.Context, signals <-chan os.Signal) {
	a.logger.Info("entry is about to leave", zap.Int("requests", a.busy()))
	a.parting.Store(true)
	a.door.DisableKeepAlive()
	noticed := make(chan struct{})
	limit := a.clock.After(time.Duration(a.settings.Limits.Notice), func() { close(noticed) })
	defer limit.Stop()
	select {
	case <-noticed:
	case <-signals:
	case <-ctx.Done():
	}
}

// drain refuses new requests and waits for the running ones, until the drain
// time has passed or a second signal comes. What then still runs is given up,
// and its callers are told the truth about it.
func (a *app) drain(ctx context.Context, signals <-chan os.Signal) {
	a.logger.Info("entry is leaving", zap.Int("requests", a.busy()))
	a.leaving.Store(true)
	a.service.Leave()
	a.door.StartDraining()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	limit := a.clock.After(time.Duration(a.settings.Limits.Drain), cancel)
	defer limit.Stop()
	for a.busy() > 0 && ctx.Err() == nil {
		select {
		case <-signals:
			cancel()
		default:
			_ = a.clock.Sleep(ctx, drainLook)
		}
	}
	a.settle()
}

// settle gives up what still runs and waits for its callers to be answered.
func (a *app) settle() {
	given := a.busy()
	a.service.GiveUp()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	limit := a.clock.After(settleTime, cancel)
	defer limit.Stop()
	for a.busy() > 0 && ctx.Err() == nil {
		_ = a.clock.Sleep(ctx, drainLook)
	}
	a.service.Wait()
	if err := a.follower.Leave(ctx); err != nil {
		a.logger.Warn("not taken off the list of hosts; publishes wait until its entry lapses", zap.Error(err))
	}
	a.logger.Info("entry has drained", zap.Int("givenup", given), zap.Int("unanswered", a.busy()))
}

// busy returns the number of requests in progress.
func (a *app) busy() int { return max(a.door.Active(), a.service.Working()) }
