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
	// calm is the time under load before and after what is done to hosts.
	calm = 2 * time.Second
	// backTime bounds the return of a replaced host.
	backTime = 60 * time.Second
)

// during keeps requests coming while act runs.
func (c *caller) during(ctx context.Context, rate float64, act func(context.Context) error) (*tally, error) {
	t := newTally()
	loadCtx, cancel := context.WithCancel(ctx)
	var g errgroup.Group
	g.Go(func() error {
		c.stream(loadCtx, rate, kind{work: 20 * time.Millisecond, deadline: deadline}, t)
		return nil
	})
	wait.For(ctx, calm)
	err := act(ctx)
	wait.For(ctx, calm)
	cancel()
	_ = g.Wait()
	return t, err
}

// killed kills the owner of a part of the endpoints under load.
func killed(ctx context.Context, c *caller, s Settings, w io.Writer) (Count, error) {
	var (
		at    time.Time
		owned time.Duration
	)
	t, err := c.during(ctx, s.Rate, func(ctx context.Context) error {
		p := c.site.Cell().ByRole(cell.RolePlacer)[0]
		at = time.Now()
		c.site.Cell().Kill(p)
		owned = c.site.WaitTakeover(ctx, p.Name(), backTime).Sub(at)
		wait.For(ctx, 4*calm)
		if err := c.site.Cell().Start(p); err != nil {
			return err
		}
		return c.site.WaitReady(ctx, backTime)
	})
	n := line(w, fmt.Sprintf("owner killed: its endpoints have another after %v, at most %v without an answer",
		owned.Round(time.Millisecond), t.gap(at).Round(time.Millisecond)), t)
	return n, err
}

// replaced stops and starts all hosts one after another under load.
func replaced(ctx context.Context, c *caller, s Settings, w io.Writer) (Count, error) {
	t, err := c.during(ctx, s.Rate, func(ctx context.Context) error {
		for _, d := range c.site.Cell().EntryHosts() {
			if err := c.replace(ctx, d.Host); err != nil {
				return err
			}
		}
		return nil
	})
	return line(w, "all hosts replaced", t), err
}

func (c *caller) replace(ctx context.Context, host string) error {
	list := c.site.HostProcesses(host)
	for _, p := range list {
		if !c.site.Cell().Stop(p) {
			return &StopError{Process: p.Name()}
		}
	}
	for _, p := range list {
		if err := c.site.Cell().Start(p); err != nil {
			return err
		}
	}
	return c.site.WaitReady(ctx, backTime)
}

// StopError reports a process that was killed since it didn't stop.
type StopError struct{ Process string }

// Error implements error.
func (e *StopError) Error() string { return e.Process + " didn't stop by itself" }
