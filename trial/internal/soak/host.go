package soak

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/balsamford/balsamford/platform"
	"github.com/balsamford/balsamford/platform/fake"
)

const (
	// gracePeriod is the maximum time from SIGTERM to the exit of a process.
	gracePeriod = 6 * time.Second
	// startupTime bounds the wait for the first log line of a process, and startupPoll is the time between
	// two looks. A signal that comes before the process handles signals ends it at once; it logs only after
	// that. On a loaded machine this has taken longer than half a second.
	startupTime = 10 * time.Second
	startupPoll = 5 * time.Millisecond
	// dumpTime is how long a process that didn't exit in time may take to dump its goroutines.
	dumpTime = time.Second
)

// host is a process under test and its proxy to the store. The soak signals only
// these processes.
type host struct {
	name          string
	clientAddress string // for clients
	readyAddress  string // for readiness checks
	linkAddress   string // for calls between hosts
	settingsPath  string
	logPath       string
	binary        string // path
	adviser       string // address
	storeProxy    *Proxy
	calm          calm // faults of the process and of its connections to the store
	link          calm // those of them in which a running process can't read the store

	mu            sync.Mutex // guards the fields below; held during a start, stop or pause
	cmd           *exec.Cmd
	startCount    int
	logStart      int64 // size of the log file at the last start
	statusSeconds int   // setting: how long the state of an ended job can be queried
}

// newHost returns a host with addresses from ports and writes its settings file to dir.
func newHost(name, dir, binary, adviser string, storeProxy *Proxy, ports *ports) (*host, error) {
	h := &host{name: name, settingsPath: filepath.Join(dir, name+".toml"), logPath: filepath.Join(dir, name+".log"), binary: binary, adviser: adviser, storeProxy: storeProxy, statusSeconds: 120}
	for _, a := range []*string{&h.clientAddress, &h.readyAddress, &h.linkAddress} {
		var err error
		if *a, err = ports.free(); err != nil {
			return nil, err
		}
	}
	return h, h.writeSettings()
}

// writeSettings writes the settings file.
func (h *host) writeSettings() error {
	s := fake.Settings{
		Host: h.name, Ingress: h.clientAddress, Ready: h.readyAddress, Link: h.linkAddress, Store: h.storeProxy.Address(), Adviser: h.adviser,
		Grace: int(gracePeriod.Seconds()), Status: h.statusSeconds, Bound: int(evacuationBound.Milliseconds()),
	}
	text, err := s.Text()
	if err != nil {
		return err
	}
	next := h.settingsPath + ".next" // A process that starts meanwhile must not read a file that isn't whole.
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(next, h.settingsPath)
}

// start starts the process. The caller holds mu.
func (h *host) start() error {
	out, err := os.OpenFile(h.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.cmd = exec.Command(h.binary, "--config", h.settingsPath) //nolint:gosec // The program under test.
	h.cmd.Stdout, h.cmd.Stderr = out, out
	h.startCount++
	h.logStart = h.logSize()
	if err := h.cmd.Start(); err != nil {
		return err
	}
	return out.Close()
}

// launch starts the process for the first time.
func (h *host) launch() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.start()
}

// kill kills the process and starts it again after a pause. fault says that it had ended by
// itself before, and how.
func (h *host) kill(pause time.Duration) (fault string, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calm.disturb(func() {
		_ = h.cmd.Process.Kill() // It may have exited already.
		if ended := h.cmd.Wait(); h.cmd.ProcessState.Exited() {
			fault = fmt.Sprintf("the process ended by itself: %v; its log ends with:\n%s", ended, h.lastOutput())
		}
		time.Sleep(pause)
		err = h.start()
	})
	return fault, err
}

// lastOutput returns the end of the log.
func (h *host) lastOutput() string {
	const most = 4000 // bytes
	text, err := os.ReadFile(h.logPath)
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-most):])
}

// awaitStartup waits until the process handles signals. The caller holds mu.
func (h *host) awaitStartup() {
	for end := time.Now().Add(startupTime); h.logSize() == h.logStart && time.Now().Before(end); {
		time.Sleep(startupPoll)
	}
}

// logSize returns the size of the log file, 0 if there is none.
func (h *host) logSize() int64 {
	info, err := os.Stat(h.logPath)
	if err != nil {
		return 0
	}
	return info.Size()
}

// terminate stops the process with SIGTERM and waits for its exit. It returns why the
// shutdown wasn't graceful, or an empty string. The caller holds mu.
func (h *host) terminate() string {
	h.awaitStartup()
	if err := h.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return "SIGTERM: " + err.Error()
	}
	late := time.AfterFunc(gracePeriod, func() { _ = h.cmd.Process.Signal(syscall.SIGQUIT) })
	killed := time.AfterFunc(gracePeriod+dumpTime, func() { _ = h.cmd.Process.Kill() })
	err := h.cmd.Wait()
	killed.Stop()
	if !late.Stop() {
		return fmt.Sprintf("the process didn't exit within %v of SIGTERM; its goroutines:\n%s", gracePeriod, h.goroutines())
	}
	if err != nil {
		return "the process exited with " + err.Error()
	}
	return ""
}

// goroutines returns the last goroutine dump in the log, empty if there is none. The runtime
// writes one on SIGQUIT.
func (h *host) goroutines() string {
	text, err := os.ReadFile(h.logPath)
	if err != nil {
		return err.Error()
	}
	at := bytes.LastIndex(text, []byte("SIGQUIT: quit"))
	if at < 0 {
		return ""
	}
	return string(text[at:])
}

// restart stops the process with SIGTERM and starts it again. fault says why the
// shutdown wasn't graceful.
func (h *host) restart() (fault string, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calm.disturb(func() {
		fault = h.terminate()
		err = h.start()
	})
	return fault, err
}

// pause suspends the process for d.
func (h *host) pause(d time.Duration) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	var err error
	h.calm.disturb(func() {
		h.link.disturb(func() {
			if err = h.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
				return
			}
			time.Sleep(d)
			err = h.cmd.Process.Signal(syscall.SIGCONT)
		})
	})
	return err
}

// reload changes the settings file. If signal is set, it also sends SIGHUP to the
// process.
func (h *host) reload(signal bool) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.statusSeconds++
	if err := h.writeSettings(); err != nil || !signal {
		return err
	}
	h.awaitStartup()
	return h.cmd.Process.Signal(syscall.SIGHUP)
}

// incarnation returns the number of starts of the process.
func (h *host) incarnation() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.startCount
}

// shutdown stops the process with SIGTERM. It returns why the shutdown wasn't
// graceful, or an empty string.
func (h *host) shutdown() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.terminate()
}

// killIfRunning kills the process if it is running.
func (h *host) killIfRunning() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil || h.cmd.ProcessState != nil {
		return
	}
	_ = h.cmd.Process.Kill()
	var exit *exec.ExitError
	if err := h.cmd.Wait(); err != nil && !errors.As(err, &exit) {
		return // The process has exited; only closing its output failed.
	}
}

// logged returns how often the host's log has a message.
func (h *host) logged(message string) int {
	text, err := os.ReadFile(h.logPath)
	if err != nil {
		return 0
	}
	return bytes.Count(text, []byte(`"text":"`+message+`"`))
}

// isReady reports whether the host accepts clients.
func (h *host) isReady(c *http.Client) bool {
	resp, err := c.Get("http://" + h.readyAddress + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
