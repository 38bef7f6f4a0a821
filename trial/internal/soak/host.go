package soak

import (
	"errors"
	"fmt"
	"net"
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
	// grace is how long a host may take to stop.
	grace = 6 * time.Second
	// beginTime is how long a process may take until it handles signals: the system
	// ends it at once before that.
	beginTime = 500 * time.Millisecond
)

// host is one process of the system and its way to the store. The soak ends no other
// processes than these.
type host struct {
	name   string
	front  string
	ready  string
	link   string // port for calls between hosts
	path   string // of its settings
	log    string
	binary string
	hint   string
	store  *Proxy

	mu      sync.Mutex // guards the fields below; held through a start or a stop
	command *exec.Cmd
	life    int // how often it was started
	began   time.Time
	status  int // bounds.status_s of its settings
}

// freeAddress returns an address of the loopback with a port that is free now.
func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return ln.Addr().String(), ln.Close()
}

func newHost(name, dir, binary, hint string, store *Proxy) (*host, error) {
	h := &host{name: name, path: filepath.Join(dir, name+".toml"), log: filepath.Join(dir, name+".log"), binary: binary, hint: hint, store: store, status: 120}
	for _, a := range []*string{&h.front, &h.ready, &h.link} {
		var err error
		if *a, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	return h, h.write()
}

// write writes its settings.
func (h *host) write() error {
	s := fake.Settings{
		Host: h.name, Ingress: h.front, Ready: h.ready, Link: h.link, Store: h.store.Address(), Adviser: h.hint,
		Grace: int(grace.Seconds()), Status: h.status,
	}
	text, err := s.Text()
	if err != nil {
		return err
	}
	return os.WriteFile(h.path, []byte(text), 0o600)
}

// start starts its process. The caller holds mu.
func (h *host) start() error {
	out, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.command = exec.Command(h.binary, "--config", h.path) //nolint:gosec // The program under test.
	h.command.Stdout, h.command.Stderr = out, out
	h.life++
	h.began = time.Now()
	if err := h.command.Start(); err != nil {
		return err
	}
	return out.Close()
}

// begin starts the process for the first time.
func (h *host) begin() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.start()
}

// kill ends the process at once and starts it again after a pause.
func (h *host) kill(pause time.Duration) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.command.Process.Kill() // It may have ended.
	_ = h.command.Wait()
	time.Sleep(pause)
	return h.start()
}

// stop stops the process in a planned way. It returns why that wasn't graceful, or an
// empty string.
func (h *host) stop() string {
	time.Sleep(time.Until(h.began.Add(beginTime)))
	if err := h.command.Process.Signal(syscall.SIGTERM); err != nil {
		return "SIGTERM: " + err.Error()
	}
	late := time.AfterFunc(grace, func() { _ = h.command.Process.Kill() })
	err := h.command.Wait()
	if !late.Stop() {
		return fmt.Sprintf("it didn't end within %v of SIGTERM", grace)
	}
	if err != nil {
		return "it ended with " + err.Error()
	}
	return ""
}

// restart stops the process in a planned way and starts it again.
func (h *host) restart() (fault string, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	fault = h.stop()
	return fault, h.start()
}

// pause suspends the process for a while.
func (h *host) pause(d time.Duration) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.command.Process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(d)
	h.began = h.began.Add(d) // It may have been paused before it had begun to run.
	return h.command.Process.Signal(syscall.SIGCONT)
}

// reload changes the settings file, and tells the process so or not.
func (h *host) reload(signal bool) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.status++
	if err := h.write(); err != nil || !signal {
		return err
	}
	return h.command.Process.Signal(syscall.SIGHUP)
}

// incarnation returns how often the process was started.
func (h *host) incarnation() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.life
}

// end stops the process for good.
func (h *host) end() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stop()
}

// destroy kills the process if it still runs.
func (h *host) destroy() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.command == nil || h.command.ProcessState != nil {
		return
	}
	_ = h.command.Process.Kill()
	var exit *exec.ExitError
	if err := h.command.Wait(); err != nil && !errors.As(err, &exit) {
		return // Its output can't be closed; it has ended.
	}
}

// isReady reports whether the host takes clients.
func (h *host) isReady(c *http.Client) bool {
	resp, err := c.Get("http://" + h.ready + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
