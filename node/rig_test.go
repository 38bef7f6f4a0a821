package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/balsamford/balsamford/node/internal/board"
	"github.com/balsamford/balsamford/platform/fake"
)

const (
	executorCount = 6
	// startTime bounds how long a process may take to become ready.
	startTime = 20 * time.Second
)

// rig is a cell of real node processes on a fake platform.
type rig struct {
	t         *testing.T
	binary    string
	store     *fake.Store
	judge     *fake.Checker
	executors []*fake.Executor
	adviser   *fake.Adviser
	hosts     []*host
	urls      [3]string // addresses of the store and the adviser
	client    http.Client
}

// host is one node process.
type host struct {
	name    string
	front   string // address for clients
	ready   string // address for readiness checks
	path    string // of the settings file
	cpu     int    // thousandths of a core that it may use according to its settings, 0 for none
	command *exec.Cmd
}

// newRig builds the program, starts the fake platform and n hosts, and waits until the
// hosts are ready.
func newRig(t *testing.T, n int) *rig {
	t.Helper()
	return newRigWithCPU(t, make([]int, n))
}

// newRigWithCPU is newRig with a host for each of cpus, which may use so many thousandths of a
// core according to its settings.
func newRigWithCPU(t *testing.T, cpus []int) *rig {
	t.Helper()
	r := &rig{t: t, store: fake.NewStore(), adviser: fake.NewAdviser(), judge: fake.NewChecker(), client: http.Client{Timeout: 3 * time.Second}}
	dir := t.TempDir()
	r.binary = filepath.Join(dir, "node")
	if out, err := exec.Command("go", "build", "-o", r.binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	r.urls[0] = r.serve(r.store)
	r.urls[1] = r.serve(r.adviser)
	r.store.Put("op", "config", fake.Config())
	for i := range executorCount {
		id := fmt.Sprintf("i-%d", i)
		e := fake.NewExecutor(id, r.judge)
		e.UseAdviser(r.adviser)
		r.executors = append(r.executors, e)
		r.store.Put("servers", id, e.Entry(fake.Service, r.serve(e)))
	}
	for i, cpu := range cpus {
		h := &host{name: fmt.Sprintf("h%d", i), front: address(t), ready: address(t), cpu: cpu}
		h.path = filepath.Join(dir, h.name+".toml")
		if err := os.WriteFile(h.path, []byte(r.settings(h)), 0o600); err != nil {
			t.Fatal(err)
		}
		r.hosts = append(r.hosts, h)
		r.start(h)
	}
	for _, h := range r.hosts {
		r.await("host "+h.name+" to be ready", startTime, func() bool { return r.isReady(h) })
	}
	return r
}

// serve starts an HTTP server for h and returns its address.
func (r *rig) serve(h http.Handler) string {
	s := httptest.NewServer(h)
	r.t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// address returns a free port on a random loopback address. On 127.0.0.1 another test's
// connection could take the port before the process listens.
func address(t *testing.T) string {
	t.Helper()
	part := func() string { return strconv.Itoa(1 + rand.IntN(250)) }
	ln, err := net.Listen("tcp", "127."+part()+"."+part()+"."+part()+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

func (r *rig) settings(h *host) string {
	r.t.Helper()
	f := fake.Settings{Host: h.name, Ingress: h.front, Ready: h.ready, Link: address(r.t), Store: r.urls[0], Adviser: r.urls[1], Grace: 6, Status: 120, Bound: 5000, CPU: h.cpu}
	text, err := f.Text()
	if err != nil {
		r.t.Fatal(err)
	}
	return text
}

// start starts the process of a host.
func (r *rig) start(h *host) {
	r.t.Helper()
	h.command = exec.Command(r.binary, "--config", h.path)
	log, err := os.OpenFile(h.path+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		r.t.Fatal(err)
	}
	h.command.Stdout, h.command.Stderr = log, log
	if err := h.command.Start(); err != nil {
		r.t.Fatal(err)
	}
	command := h.command
	r.t.Cleanup(func() {
		_ = command.Process.Kill() // It may have ended.
		_ = command.Wait()
		_ = log.Close()
	})
}

func (r *rig) isReady(h *host) bool {
	resp, err := r.client.Get("http://" + h.ready + "/api/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// owner returns the host that owns the cell according to the store, or nil.
func (r *rig) owner() *host {
	var o board.Owner
	if err := board.Decode(row(r.store.Get(board.Table, board.Main, board.OwnerKey)), &o); err != nil || o.Resigned {
		return nil
	}
	for _, h := range r.hosts {
		if h.name == o.Host {
			return h
		}
	}
	return nil
}

// call sends a request to a host and returns the status and the body of the answer. If
// there is no answer, it returns status 0 and the error's text.
func (r *rig) call(h *host, method, path, key, body string) (int, string) {
	r.t.Helper()
	req, err := http.NewRequest(method, "http://"+h.front+path, strings.NewReader(body))
	if err != nil {
		r.t.Fatal(err)
	}
	req.Host = fake.Host
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("X-Balsamford-Deadline-Ms", "3000")
	resp, err := r.client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(data)
}

// await waits until condition returns true. If it doesn't within the given time, await
// logs the end of each host's log and fails the test.
func (r *rig) await(what string, within time.Duration, condition func() bool) {
	r.t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	for _, h := range r.hosts {
		if data, err := os.ReadFile(h.path + ".log"); err == nil {
			r.t.Logf("log of %s:\n%s", h.name, data[max(0, len(data)-4000):])
		}
	}
	r.t.Fatalf("timed out after %v waiting for %s", within, what)
}
