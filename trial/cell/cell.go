package cell

import (
	"context"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// stopTimeout is how long a process may take to exit after SIGTERM before it
	// is killed.
	stopTimeout = 45 * time.Second
	// killTimeout is how long a process may take to exit after SIGKILL.
	killTimeout = 10 * time.Second
	// pollInterval is the pause between two checks in Wait.
	pollInterval = 50 * time.Millisecond
)

// Cell is one deployment. Its methods must not be called concurrently, unlike
// those of its processes.
type Cell struct {
	plan      *plan
	processes []*Process
	group     errgroup.Group // waits for the processes
}

// New allocates the addresses of a deployment and writes its settings files
// into dir. It starts no process. The programs are in the directory binaries.
func New(dir, binaries string, spec Spec) (*Cell, error) {
	p, err := newPlan(spec)
	if err != nil {
		return nil, err
	}
	processes, err := p.writeFiles(dir, binaries)
	if err != nil {
		return nil, err
	}
	return &Cell{plan: p, processes: processes}, nil
}

// Processes returns all processes in start order.
func (c *Cell) Processes() []*Process { return c.processes }

// ByRole returns the processes of one role.
func (c *Cell) ByRole(role string) []*Process {
	list := make([]*Process, 0)
	for _, p := range c.processes {
		if p.role == role {
			list = append(list, p)
		}
	}
	return list
}

// Platform returns the platform's own address, which is never cut off.
func (c *Cell) Platform() string { return c.plan.platform }

// Start starts a process, or restarts one that has exited. It returns a
// *ProcessError if the process already runs or can't be started.
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

// Stop sends SIGTERM to a process, resuming it first if it is paused, and kills
// it if it doesn't exit within stopTimeout. It reports whether the process
// exited with code 0 without being killed.
func (c *Cell) Stop(p *Process) bool {
	if !p.Running() {
		code, planned := p.Exit()
		return planned && code == 0
	}
	_ = p.Signal(syscall.SIGCONT)
	_ = p.Signal(syscall.SIGTERM)
	if !p.WaitExit(stopTimeout) {
		_ = p.Signal(syscall.SIGKILL)
		p.WaitExit(killTimeout)
		return false
	}
	code, _ := p.Exit()
	return code == 0
}

// Kill sends SIGKILL to a process and waits for its exit.
func (c *Cell) Kill(p *Process) {
	_ = p.Signal(syscall.SIGKILL)
	p.WaitExit(killTimeout)
}

// Close kills all running processes and waits for their exit.
func (c *Cell) Close() {
	for _, p := range c.processes {
		_ = p.Signal(syscall.SIGKILL)
	}
	_ = c.group.Wait()
}

// Wait calls ready repeatedly until it returns an empty string, or until d has
// passed or ctx is done. It returns the last result of ready: empty on success,
// else the reason for not being ready.
func Wait(ctx context.Context, d time.Duration, ready func() string) string {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	tick := time.NewTicker(pollInterval)
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
