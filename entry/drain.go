package main

import (
	"context"
	"os"
	"time"

	"go.uber.org/zap"
)

const (
	// drainPollInterval is how often the number of requests in progress is
	// checked.
	drainPollInterval = 20 * time.Millisecond
	// abortTimeout is how long aborted requests may take to answer their
	// callers.
	abortTimeout = 3 * time.Second
)

// announceStop reports the process as not ready for the notice time while it
// still serves requests, so that the load balancer stops sending requests before
// any is refused. A second signal ends the notice time.
func (a *app) announceStop(ctx context.Context, signals <-chan os.Signal) {
	a.logger.Info("entry reports not ready before it drains", zap.Int("requests", a.inFlight()))
	a.announcing.Store(true)
	a.server.DisableKeepAlive()
	expired := make(chan struct{})
	limit := a.clock.After(time.Duration(a.settings.Limits.Notice), func() { close(expired) })
	defer limit.Stop()
	select {
	case <-expired:
	case <-signals:
	case <-ctx.Done():
	}
}

// drain refuses new requests and waits for running ones until the drain time is
// over or a second signal arrives. Requests that still run are then aborted, and
// their callers get the outcome as far as it is known.
func (a *app) drain(ctx context.Context, signals <-chan os.Signal) {
	a.logger.Info("entry is draining", zap.Int("requests", a.inFlight()))
	a.leaving.Store(true)
	a.service.Leave()
	a.server.StartDraining()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	limit := a.clock.After(time.Duration(a.settings.Limits.Drain), cancel)
	defer limit.Stop()
	for a.inFlight() > 0 && ctx.Err() == nil {
		select {
		case <-signals:
			cancel()
		default:
			_ = a.clock.Sleep(ctx, drainPollInterval)
		}
	}
	a.abortRemaining()
}

// abortRemaining aborts the requests that still run, waits up to abortTimeout for
// their callers to be answered, and removes this process from the list of hosts.
func (a *app) abortRemaining() {
	aborted := a.inFlight()
	a.service.Abort()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	limit := a.clock.After(abortTimeout, cancel)
	defer limit.Stop()
	for a.inFlight() > 0 && ctx.Err() == nil {
		_ = a.clock.Sleep(ctx, drainPollInterval)
	}
	a.service.Wait()
	if err := a.follower.Leave(ctx); err != nil {
		a.logger.Warn("removing this process from the list of hosts failed; publishes wait until its entry expires", zap.Error(err))
	}
	a.logger.Info("entry has drained", zap.Int("givenup", aborted), zap.Int("unanswered", a.inFlight()))
}

// inFlight returns the number of requests in progress, whether they came from
// callers or from other entry hosts.
func (a *app) inFlight() int { return max(a.server.Active(), a.service.InFlight()) }
