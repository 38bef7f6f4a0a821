package cell

import (
	"context"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// stopTime is how long a planned stop may take.
	stopTime = 45 * time.Second
	// killTime is how long a killed process may take to be gone.
	killTime = 10 * time.Second
	pollTime = 50 * time.Millisecond
)

// Cell is one deployment. Its methods must not be called concurrently, but
// for those of its processes.
type Cell struct {
	plan      *plan
	processes []*Process
	group     errgroup.Group // waits for the processes
}

// New plans a deployment and writes its files into dir. The programs are in
// the directory binaries.
func New(dir, binaries string, spec Spec) (*Cell, error) {
	p, err := newPlan(spec)
	if err != nil {
		return nil, err
	}
	processes, err := p.files(dir, binaries)
	if err != nil {
		return nil, err
	}
	return &Cell{plan: p, processes: processes}, nil
}

// Processes returns all processes in the order in which they are started.
func (c *Cell) Processes() []*Process { return c.processes }

// Role returns the processes of one role.
func (c *Cell) ByRole(role string) []*Process {
	list := make([]*Process, 0)
	for _, p := range c.processes {
		if p.role == role {
			list = append(list, p)
		}
	}
	return list
}

// Platform returns the platform's address.
func (c *Cell) Platform() string { return c.plan.platform }

// Start starts one process, anew if it has ended.
func (c *Cell) Start(p *Process) error { return p.start(&c.group) }

// StartRole starts all processes of one role.
func (c *Cell) StartRole(role string) error {
	for _, p := range c.ByRole(role) {
		if err := c.Start(p); err != nil {
			return err
		}
	}
	return nil
}

// Stop asks a process to end and kills it if it takes too long. It reports
// whether the process ended by itself with success.
func (c *Cell) Stop(p *Process) bool {
	if !p.Running() {
		code, planned := p.Exit()
		return planned && code == 0
	}
	_ = p.Signal(syscall.SIGCONT)
	_ = p.Signal(syscall.SIGTERM)
	if !p.WaitExit(stopTime) {
		_ = p.Signal(syscall.SIGKILL)
		p.WaitExit(killTime)
		return false
	}
	code, _ := p.Exit()
	return code == 0
}

// Kill ends a process at once.
func (c *Cell) Kill(p *Process) {
	_ = p.Signal(syscall.SIGKILL)
	p.WaitExit(killTime)
}

// Close kills whatever still runs and waits for it.
func (c *Cell) Close() {
	for _, p := range c.processes {
		_ = p.Signal(syscall.SIGKILL)
	}
	_ = c.group.Wait()
}

// Wait calls ready until it returns an empty reason, for at most d, and
// returns the last reason.
func Wait(ctx context.Context, d time.Duration, ready func() string) string {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	tick := time.NewTicker(pollTime)
	defer tick.Stop()
	for {
		reason := ready()
		if reason == "" {
			return ""
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return reason
		}
	}
}
