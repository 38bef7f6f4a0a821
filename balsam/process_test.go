package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/admin"
	"github.com/balsamford/balsamford/coord/config"
	"github.com/balsamford/balsamford/coord/link"
)

const (
	testZones   = 3
	testPerZone = 3
	// operatorSecret is that of the sample key in deploy/trilha.toml.
	operatorSecret = "operator-1.sample"
	callerSecret   = "caxias-1.sample"
	// inForce is the time within which a change has to be in force
	// everywhere.
	inForce = 3 * time.Second
)

// processCell is a platform and nine entries as processes, operated by balsam
// as a process.
type processCell struct {
	t         *testing.T
	dir       string
	platform  string
	bootstrap string
	used      map[string]bool // addresses
	hosts     []*entryProcess
}

// entryProcess is one entry with its addresses.
type entryProcess struct {
	name, zone             string
	door, page, link, oper string
	cmd                    *exec.Cmd
}

// Ports for servers are taken from below the range that the system gives to
// connections, so that none is taken again before its server binds it.
const (
	firstPort = 20_000
	ports     = 10_000
)

func (c *processCell) freeAddress(network string) string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports))
		if c.used[address] || !binds(network, address) {
			continue
		}
		c.used[address] = true
		return address
	}
}

func binds(network, address string) bool {
	if network == "udp" {
		conn, err := net.ListenPacket(network, address)
		if err == nil {
			_ = conn.Close()
		}
		return err == nil
	}
	ln, err := net.Listen(network, address)
	if err == nil {
		_ = ln.Close()
	}
	return err == nil
}

func startProcesses(t *testing.T) *processCell {
	t.Helper()
	is := is.New(t)
	c := &processCell{t: t, dir: t.TempDir(), used: make(map[string]bool)}
	c.platform = c.freeAddress("tcp")
	for _, program := range []string{"entry", "standin", "balsam"} {
		out, err := exec.CommandContext(t.Context(), "go", "build", "-o", filepath.Join(c.dir, program), "../"+program).CombinedOutput()
		t.Log(string(out))
		is.NoErr(err)
	}
	_, err := link.IssueFiles(c.dir)
	is.NoErr(err)
	c.write("platform.toml", fmt.Sprintf("role = \"platform\"\nname = \"platform\"\nlisten = %q\n", c.platform))
	c.start("standin", "platform")
	var digest config.Digest
	c.bootstrap, digest = config.NewSecret("bootstrap")
	for i := range testZones * testPerZone {
		c.hosts = append(c.hosts, &entryProcess{
			name: fmt.Sprintf("h%d", i), zone: fmt.Sprintf("z%d", i%testZones),
			door: c.freeAddress("tcp"), page: c.freeAddress("tcp"), oper: c.freeAddress("tcp"), link: c.freeAddress("udp"),
		})
	}
	placer := c.freeAddress("udp")
	for _, h := range c.hosts {
		c.write(h.name+".toml", c.settings(h, placer, digest))
		h.cmd = c.start("entry", h.name)
	}
	return c
}

func (c *processCell) write(name, text string) {
	is.New(c.t).NoErr(os.WriteFile(filepath.Join(c.dir, name), []byte(text), 0o600))
}

// settings returns the settings file of an entry.
func (c *processCell) settings(h *entryProcess, placer string, bootstrap config.Digest) string {
	var b strings.Builder
	fmt.Fprintf(&b, "host = %q\nzone = %q\nzones = [\"z0\", \"z1\", \"z2\"]\ndoor = %q\npage = %q\nlink = %q\nplatform = %q\n",
		h.name, h.zone, h.door, h.page, h.link, c.platform)
	fmt.Fprintf(&b, "[certs]\ncert = %q\nkey = %q\nauthority = %q\n",
		filepath.Join(c.dir, "cert.pem"), filepath.Join(c.dir, "key.pem"), filepath.Join(c.dir, "authority.pem"))
	fmt.Fprintf(&b, "[oper]\naddress = %q\nbootstrap = %q\n", h.oper, bootstrap)
	for _, p := range c.hosts {
		if p != h {
			fmt.Fprintf(&b, "[[peers]]\nname = %q\nzone = %q\nlink = %q\n", p.name, p.zone, p.link)
		}
	}
	fmt.Fprintf(&b, "[[placers]]\nname = \"p0\"\nzone = \"z0\"\nlink = %q\n", placer)
	return b.String()
}

// start runs a program on its settings file until the test ends.
func (c *processCell) start(program, name string) *exec.Cmd {
	is := is.New(c.t)
	log, err := os.Create(filepath.Join(c.dir, name+".log"))
	is.NoErr(err)
	cmd := exec.Command(filepath.Join(c.dir, program), "--config", filepath.Join(c.dir, name+".toml"))
	cmd.Stdout, cmd.Stderr = log, log
	is.NoErr(cmd.Start())
	c.t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGTERM)
		kill := time.AfterFunc(30*time.Second, func() { _ = cmd.Process.Kill() })
		_ = cmd.Wait()
		kill.Stop()
		_ = log.Close()
		if c.t.Failed() {
			data, _ := os.ReadFile(log.Name())
			c.t.Logf("%s: %s", name, data)
		}
	})
	return cmd
}

// balsam runs the command line against the door of a host.
func (c *processCell) balsam(h *entryProcess, secret string, args ...string) (code int, out string) {
	cmd := exec.Command(filepath.Join(c.dir, "balsam"), args...)
	cmd.Env = append(os.Environ(), "BALSAM_DOOR="+h.oper, "BALSAM_ENTRY="+h.door, "BALSAM_KEY="+secret)
	var buf bytes.Buffer
	cmd.Stdout, cmd.Stderr = &buf, &buf
	_ = cmd.Run()
	return cmd.ProcessState.ExitCode(), buf.String()
}

// until runs the command line until it exits with 0, for at most half a minute.
func (c *processCell) until(h *entryProcess, secret string, args ...string) {
	c.t.Helper()
	code, out := -1, ""
	for end := time.Now().Add(30 * time.Second); code != 0 && time.Now().Before(end); {
		code, out = c.balsam(h, secret, args...)
		time.Sleep(100 * time.Millisecond)
	}
	if code != 0 {
		c.t.Fatalf("%v: %d %s", args, code, out)
	}
}

// refuses reports whether a host's callers' door refuses a key.
func (c *processCell) refuses(h *entryProcess, secret string) bool {
	is := is.New(c.t)
	req, err := http.NewRequestWithContext(c.t.Context(), http.MethodGet, "http://"+h.door+"/v1/requests/none", nil)
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+secret)
	res, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	_ = res.Body.Close()
	return res.StatusCode == http.StatusUnauthorized
}

// TestProcesses operates nine entries: the first publish, changes of one object
// with the time until they are in force, two operators at the same moment, and
// the withdrawal of a key while a host is dead and another one is paused.
func TestProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	is := is.New(t)
	c := startProcesses(t)
	first := c.hosts[0]
	c.until(first, c.bootstrap, "publish", "../deploy/trilha.toml", "--wait")
	for _, h := range c.hosts {
		c.until(h, operatorSecret, "show", "team.caxias")
	}
	c.measure(30)
	c.race()
	c.withdraw()
	code, out := c.balsam(first, operatorSecret, "audit", "--verdict", "conflict")
	is.Equal(code, 0)
	is.True(strings.Contains(out, "operator-1"))
	code, _ = c.balsam(first, callerSecret, "show")
	is.Equal(code, 5)
}

// measure publishes changes one after another and logs how long it takes until
// each is in force, the start of the command included.
func (c *processCell) measure(n int) {
	c.t.Helper()
	times := make([]time.Duration, 0, n)
	for i := range n {
		file := filepath.Join(c.dir, "limit.toml")
		c.write("limit.toml", fmt.Sprintf("[limit.caxias]\nteam = \"caxias\"\ntasks = %d\n", 100+i))
		began := time.Now()
		code, out := c.balsam(c.hosts[i%len(c.hosts)], operatorSecret, "set", file, "--wait")
		times = append(times, time.Since(began))
		if code != 0 || !strings.Contains(out, `"accepted":true`) {
			c.t.Fatalf("set: %d %s", code, out)
		}
	}
	slices.Sort(times)
	c.t.Logf("publish to in force at %d processes, %d times: p50 %v, longest %v", len(c.hosts), n, times[n/2], times[n-1])
	if times[n-1] > inForce {
		c.t.Errorf("the longest took %v", times[n-1])
	}
}

// race lets two operators change the same object on the same base.
func (c *processCell) race() {
	c.t.Helper()
	is := is.New(c.t)
	_, out := c.balsam(c.hosts[0], operatorSecret, "show", "--output", "json")
	var shown struct {
		Version uint64 `json:"version"`
	}
	is.NoErr(json.Unmarshal([]byte(out), &shown))
	codes := make([]int, 2)
	var g errgroup.Group
	for i := range codes {
		name := fmt.Sprintf("race%d.toml", i)
		c.write(name, fmt.Sprintf("[limit.caxias]\nteam = \"caxias\"\ntasks = %d\n", 10+i))
		g.Go(func() error {
			codes[i], _ = c.balsam(c.hosts[i], operatorSecret, "set", filepath.Join(c.dir, name), "--base", fmt.Sprint(shown.Version), "--wait")
			return nil
		})
	}
	is.NoErr(g.Wait())
	slices.Sort(codes)
	is.Equal(codes, []int{0, 4})
}

// withdraw deletes a key while one host is dead and one is paused.
func (c *processCell) withdraw() {
	c.t.Helper()
	is := is.New(c.t)
	for _, h := range c.hosts {
		is.True(!c.refuses(h, callerSecret))
	}
	dead, paused := c.hosts[len(c.hosts)-1], c.hosts[len(c.hosts)-2]
	is.NoErr(dead.cmd.Process.Kill())
	is.NoErr(paused.cmd.Process.Signal(syscall.SIGSTOP))
	defer func() { _ = paused.cmd.Process.Signal(syscall.SIGCONT) }()
	began := time.Now()
	code, out := c.balsam(c.hosts[0], operatorSecret, "delete", "key.caxias-1", "--wait")
	took := time.Since(began)
	is.Equal(code, 0)
	var last admin.Step
	for line := range strings.Lines(out) {
		is.NoErr(json.Unmarshal([]byte(line), &last))
	}
	is.True(last.Progress.Accepted)
	c.t.Logf("withdrawn in %v, missing %v", took, last.Progress.Missing)
	is.Equal(len(last.Progress.Missing), 2)
	is.True(took <= inForce)
	is.NoErr(paused.cmd.Process.Signal(syscall.SIGCONT))
	for _, h := range c.hosts[:len(c.hosts)-1] {
		is.True(c.refuses(h, callerSecret) || c.stale(h, callerSecret))
	}
	ctx, cancel := context.WithTimeout(c.t.Context(), 30*time.Second)
	defer cancel()
	for !c.refuses(paused, callerSecret) && ctx.Err() == nil {
		time.Sleep(50 * time.Millisecond)
	}
	is.NoErr(ctx.Err())
}

// stale reports whether a host refuses all keys because its configuration is
// not confirmed.
func (c *processCell) stale(h *entryProcess, secret string) bool {
	_, out := c.balsam(h, secret, "status", "none")
	return strings.Contains(out, `"reason":"stale"`) || strings.Contains(out, `"reason":"key"`)
}
