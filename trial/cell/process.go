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

// Process is one program of a deployment. All methods may be called
// concurrently.
type Process struct {
	name   string
	role   string // entry, placer, platform or endpoints
	zone   string
	binary string
	config string
	output string // file that its output is appended to

	mu      sync.Mutex // guards the fields below
	cmd     *exec.Cmd
	done    chan struct{} // closed when it has ended
	planned bool
	code    int
}

// Name returns the process's name.
func (p *Process) Name() string { return p.name }

// Role returns what the process is.
func (p *Process) Role() string { return p.role }

// Zone returns the process's availability zone; empty for the platform.
func (p *Process) Zone() string { return p.zone }

// PID returns the number of the running process, 0 before its first start.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Output returns the file that holds what the process printed.
func (p *Process) Output() string { return p.output }

// start runs the program; g waits for its end.
func (p *Process) start(g *errgroup.Group) error {
	if p.Running() {
		return &ProcessError{Name: p.name, Err: os.ErrExist}
	}
	out, err := os.OpenFile(p.output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return &ProcessError{Name: p.name, Err: err}
	}
	cmd := exec.Command(p.binary, "--config", p.config) //nolint:gosec // The trial starts what it was built for.
	cmd.Stdout, cmd.Stderr = out, out
	// What the trial started must not outlive it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return &ProcessError{Name: p.name, Err: errors.Join(err, out.Close())}
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.done, p.planned, p.code = cmd, done, false, 0
	p.mu.Unlock()
	g.Go(func() error {
		_ = cmd.Wait()
		p.mu.Lock()
		p.code = cmd.ProcessState.ExitCode()
		p.mu.Unlock()
		close(done)
		return out.Close()
	})
	return nil
}

// Running reports whether the process has been started and has not ended.
func (p *Process) Running() bool {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done == nil {
		return false
	}
	select {
	case <-done:
		return false
	default:
		return true
	}
}

// Signal sends s to the process if it runs.
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

// Ended waits for the end of the process for at most d and reports whether
// it has ended.
func (p *Process) WaitExit(d time.Duration) bool {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done == nil {
		return true
	}
	limit := time.NewTimer(d)
	defer limit.Stop()
	select {
	case <-done:
		return true
	case <-limit.C:
		return false
	}
}

// Exit returns the exit code of the last run, and whether its end was asked
// for. A process that a signal ended has code -1.
func (p *Process) Exit() (code int, planned bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.code, p.planned
}

// ProcessError reports a process that can't be started or reached.
type ProcessError struct {
	Name string
	Err  error
}

// Error implements error.
func (e *ProcessError) Error() string { return e.Name + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ProcessError) Unwrap() error { return e.Err }
