package pace

import (
	"context"
	"fmt"
	"io"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/trial/cell"
	"github.com/balsamford/balsamford/trial/wait"
)

const (
	// quietPeriod is the time under load before and after a disturbance, and the
	// pause between two loads.
	quietPeriod = 2 * time.Second
	// recoveryTimeout bounds the time until a restarted host is ready, and until
	// the endpoints of a killed owner are taken over.
	recoveryTimeout = 60 * time.Second
)

// loadDuring sends requests at rate while act runs, and for quietPeriod before
// and after it.
func (c *caller) loadDuring(ctx context.Context, rate float64, act func(context.Context) error) (*tally, error) {
	t := newTally()
	loadCtx, cancel := context.WithCancel(ctx)
	var g errgroup.Group
	g.Go(func() error {
		c.stream(loadCtx, rate, profile{work: 20 * time.Millisecond, deadline: defaultDeadline}, t)
		return nil
	})
	wait.For(ctx, quietPeriod)
	err := act(ctx)
	wait.For(ctx, quietPeriod)
	cancel()
	_ = g.Wait()
	return t, err
}

// measureKill kills the placer that owns a part of the endpoints under load, and
// measures how long their takeover and the longest gap in service take.
func measureKill(ctx context.Context, c *caller, s Settings, w io.Writer) (Count, error) {
	var (
		killedAt     time.Time
		takeoverTime time.Duration
	)
	t, err := c.loadDuring(ctx, s.Rate, func(ctx context.Context) error {
		p := c.site.Cell().ByRole(cell.RolePlacer)[0]
		killedAt = time.Now()
		c.site.Cell().Kill(p)
		takeoverTime = c.site.WaitTakeover(ctx, p.Name(), recoveryTimeout).Sub(killedAt)
		wait.For(ctx, 4*quietPeriod)
		if err := c.site.Cell().Start(p); err != nil {
			return err
		}
		return c.site.WaitReady(ctx, recoveryTimeout)
	})
	n := printTally(w, fmt.Sprintf("owner killed: its endpoints have another after %v, at most %v without an answer",
		takeoverTime.Round(time.Millisecond), t.longestGap(killedAt).Round(time.Millisecond)), t)
	return n, err
}

// measureReplace restarts all hosts one after another under load.
func measureReplace(ctx context.Context, c *caller, s Settings, w io.Writer) (Count, error) {
	t, err := c.loadDuring(ctx, s.Rate, func(ctx context.Context) error {
		for _, h := range c.site.Cell().EntryHosts() {
			if err := c.restartHost(ctx, h.Host); err != nil {
				return err
			}
		}
		return nil
	})
	return printTally(w, "all hosts replaced", t), err
}

func (c *caller) restartHost(ctx context.Context, host string) error {
	processes := c.site.HostProcesses(host)
	for _, p := range processes {
		if !c.site.Cell().Stop(p) {
			return &StopError{Process: p.Name()}
		}
	}
	for _, p := range processes {
		if err := c.site.Cell().Start(p); err != nil {
			return err
		}
	}
	return c.site.WaitReady(ctx, recoveryTimeout)
}

// StopError reports a process that did not exit with code 0 when stopped.
type StopError struct{ Process string }

// Error implements error.
func (e *StopError) Error() string { return e.Process + " did not stop gracefully" }
