package cell

import (
	"errors"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// Process is one process of a deployment. It can be started again after it has
// exited. All methods may be called concurrently.
type Process struct {
	name   string
	role   string // entry, placer, platform or endpoints
	zone   string
	binary string
	config string
	output string // file to which stdout and stderr are appended

	mu      sync.Mutex // guards the fields below
	cmd     *exec.Cmd
	exited  chan struct{} // closed when the process has exited
	planned bool          // the last signal to end it was SIGTERM, not SIGKILL
	code    int
}

// Name returns the process's name.
func (p *Process) Name() string { return p.name }

// Role returns the role of the process, such as RoleEntry.
func (p *Process) Role() string { return p.role }

// Zone returns the process's availability zone; empty for the platform.
func (p *Process) Zone() string { return p.zone }

// PID returns the process ID of the current or last run, 0 before the first
// start.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Output returns the path of the file that holds the stdout and stderr of all
// runs.
func (p *Process) Output() string { return p.output }

// start starts the program; a goroutine of g waits for its exit.
func (p *Process) start(g *errgroup.Group) error {
	if p.Running() {
		return &ProcessError{Name: p.name, Err: os.ErrExist}
	}
	out, err := os.OpenFile(p.output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return &ProcessError{Name: p.name, Err: err}
	}
	cmd := exec.Command(p.binary, "--config", p.config) //nolint:gosec // The path comes from the trial's own settings.
	cmd.Stdout, cmd.Stderr = out, out
	// The kernel kills the process if the trial dies first.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return &ProcessError{Name: p.name, Err: errors.Join(err, out.Close())}
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited, p.planned, p.code = cmd, exited, false, 0
	p.mu.Unlock()
	g.Go(func() error {
		_ = cmd.Wait()
		p.mu.Lock()
		p.code = cmd.ProcessState.ExitCode()
		p.mu.Unlock()
		close(exited)
		return out.Close()
	})
	return nil
}

// Running reports whether the process has been started and has not exited.
func (p *Process) Running() bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return false
	}
	select {
	case <-exited:
		return false
	default:
		return true
	}
}

// Signal sends s to the process; if it isn't running, Signal does nothing. The
// error is a *ProcessError.
func (p *Process) Signal(s os.Signal) error {
	if !p.Running() {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGTERM {
		p.planned = true
	}
	if s == syscall.SIGKILL {
		p.planned = false
	}
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return &ProcessError{Name: p.name, Err: err}
	}
	return nil
}

// WaitExit waits at most d for the process to exit and reports whether it has
// exited. A process that was never started counts as exited.
func (p *Process) WaitExit(d time.Duration) bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return true
	}
	limit := time.NewTimer(d)
	defer limit.Stop()
	select {
	case <-exited:
		return true
	case <-limit.C:
		return false
	}
}

// Exit returns the exit code of the last run, and whether it was stopped by
// SIGTERM without a later SIGKILL. The code is -1 if a signal ended the process.
func (p *Process) Exit() (code int, planned bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.code, p.planned
}

// ProcessError reports a process that can't be configured, started or signalled.
type ProcessError struct {
	Name string
	Err  error
}

// Error implements error.
func (e *ProcessError) Error() string { return e.Name + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ProcessError) Unwrap() error { return e.Err }
