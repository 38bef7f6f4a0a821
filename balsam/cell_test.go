package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/config"
	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/store"
)

const (
	testZones   = 3
	testPerZone = 3 // entries of each
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
	platforms map[string]string // by zone, each address can be cut off alone
	placer    string
	bootstrap string
	digest    config.Digest   // of bootstrap
	used      map[string]bool // addresses
	hosts     []*entryProcess
}

// entryProcess is one entry with its addresses.
type entryProcess struct {
	name, zone             string
	door, page, link, oper string
	https                  bool // at both doors
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

// startProcesses starts a cell of entries, perZone in each zone.
func startProcesses(t *testing.T, perZone int) *processCell {
	t.Helper()
	c := newProcesses(t, perZone, "entry", "standin", "balsam")
	for _, h := range c.hosts {
		c.entry(h)
	}
	return c
}

// newProcesses builds programs and starts a platform. The entries of the cell
// are still to be started.
func newProcesses(t *testing.T, perZone int, programs ...string) *processCell {
	t.Helper()
	is := is.New(t)
	c := &processCell{t: t, dir: t.TempDir(), used: make(map[string]bool)}
	c.platform, c.platforms = c.freeAddress("tcp"), make(map[string]string)
	var doors []string
	for i := range testZones {
		doors = append(doors, c.freeAddress("tcp"))
		c.platforms[fmt.Sprintf("z%d", i)] = doors[i]
	}
	for _, program := range programs {
		out, err := exec.CommandContext(t.Context(), "go", "build", "-o", filepath.Join(c.dir, program), "../"+program).CombinedOutput()
		t.Log(string(out))
		is.NoErr(err)
	}
	_, err := link.IssueFiles(c.dir)
	is.NoErr(err)
	c.write("platform.toml", fmt.Sprintf("role = \"platform\"\nname = \"platform\"\nlisten = %q\ndoors = [\"%s\"]\n", c.platform, strings.Join(doors, "\", \"")))
	c.start("standin", "platform")
	c.bootstrap, c.digest = config.NewSecret("bootstrap")
	for i := range testZones * perZone {
		c.hosts = append(c.hosts, &entryProcess{
			name: fmt.Sprintf("h%d", i), zone: fmt.Sprintf("z%d", i%testZones),
			door: c.freeAddress("tcp"), page: c.freeAddress("tcp"), oper: c.freeAddress("tcp"), link: c.freeAddress("udp"),
		})
	}
	c.placer = c.freeAddress("udp")
	return c
}

// entry starts the entry of a host.
func (c *processCell) entry(h *entryProcess) {
	c.write(h.name+".toml", c.settings(h))
	h.cmd = c.start("entry", h.name)
}

func (c *processCell) write(name, text string) {
	is, path := is.New(c.t), filepath.Join(c.dir, name)
	is.NoErr(os.WriteFile(path+".new", []byte(text), 0o600))
	is.NoErr(os.Rename(path+".new", path)) // Nobody reads half a file.
}

// settings returns the settings file of an entry.
func (c *processCell) settings(h *entryProcess) string {
	var b strings.Builder
	fmt.Fprintf(&b, "host = %q\nzone = %q\nzones = [\"z0\", \"z1\", \"z2\"]\ndoor = %q\npage = %q\nlink = %q\nplatform = %q\nfault = true\n",
		h.name, h.zone, h.door, h.page, h.link, c.platforms[h.zone])
	b.WriteString(c.certs())
	own := fmt.Sprintf("cert = %q\nkey = %q\n", filepath.Join(c.dir, "cert.pem"), filepath.Join(c.dir, "key.pem"))
	if h.https {
		b.WriteString("[tls]\n" + own)
	}
	fmt.Fprintf(&b, "[oper]\naddress = %q\nbootstrap = %q\n", h.oper, c.digest)
	if h.https {
		b.WriteString(own)
	}
	for _, p := range c.hosts {
		if p != h {
			fmt.Fprintf(&b, "[[peers]]\nname = %q\nzone = %q\nlink = %q\n", p.name, p.zone, p.link)
		}
	}
	fmt.Fprintf(&b, "[[placers]]\nname = \"p0\"\nzone = \"z0\"\nlink = %q\n", c.placer)
	return b.String()
}

// certs returns the settings of a link's certificate.
func (c *processCell) certs() string {
	return fmt.Sprintf("[certs]\ncert = %q\nkey = %q\nauthority = %q\n",
		filepath.Join(c.dir, "cert.pem"), filepath.Join(c.dir, "key.pem"), filepath.Join(c.dir, "authority.pem"))
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
	code, stdout, stderr := c.run(h, secret, args...)
	return code, stdout + stderr
}

// run does the same and keeps the outputs apart.
func (c *processCell) run(h *entryProcess, secret string, args ...string) (code int, stdout, stderr string) {
	cmd := exec.Command(filepath.Join(c.dir, "balsam"), args...)
	cmd.Env = append(os.Environ(), "BALSAM_DOOR="+h.oper, "BALSAM_ENTRY="+h.door, "BALSAM_KEY="+secret)
	if h.https {
		cmd.Env = append(cmd.Env, "BALSAM_AUTHORITY="+filepath.Join(c.dir, "authority.pem"))
	}
	var out, log bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &log
	_ = cmd.Run()
	return cmd.ProcessState.ExitCode(), out.String(), log.String()
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
	code, _ := c.ask(h, secret)
	return code == http.StatusUnauthorized
}

// denies reports whether a host refuses a key, or all of them because its
// configuration isn't confirmed. One request decides, since a host may learn
// between two that the key was withdrawn.
func (c *processCell) denies(h *entryProcess, secret string) bool {
	code, body := c.ask(h, secret)
	return code == http.StatusUnauthorized || code == http.StatusServiceUnavailable && strings.Contains(body, `"stale"`)
}

// ask asks a host's callers' door for the status of a request that nobody
// sent.
func (c *processCell) ask(h *entryProcess, secret string) (code int, body string) {
	is := is.New(c.t)
	req, err := http.NewRequestWithContext(c.t.Context(), http.MethodGet, "http://"+h.door+"/v1/requests/none", nil)
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+secret)
	res, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	is.NoErr(err)
	return res.StatusCode, string(data)
}

// fault sets the fault switches of the platform.
func (c *processCell) fault(body string) {
	c.t.Helper()
	c.post("http://"+c.platform+store.PathFault, body)
}

// cut cuts a zone off from the platform and from the other zones, or joins it
// again.
func (c *processCell) cut(zone string, on bool) {
	c.t.Helper()
	c.post(fmt.Sprintf("http://%s/cut?on=%v", c.platforms[zone], on), "{}")
	for _, h := range c.hosts {
		links := []string{}
		for _, p := range c.hosts {
			if on && (p.zone == zone) != (h.zone == zone) {
				links = append(links, p.link)
			}
		}
		data, err := json.Marshal(map[string][]string{"cut": links})
		is.New(c.t).NoErr(err)
		c.post("http://"+h.page+"/fault", string(data))
	}
}

// post sends a fault switch.
func (c *processCell) post(url, body string) {
	c.t.Helper()
	is := is.New(c.t)
	req, err := http.NewRequestWithContext(c.t.Context(), http.MethodPost, url, strings.NewReader(body))
	is.NoErr(err)
	res, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	_ = res.Body.Close()
	is.Equal(res.StatusCode/100, 2)
}

// version returns the newest version.
func (c *processCell) version(h *entryProcess) uint64 {
	c.t.Helper()
	is := is.New(c.t)
	_, out := c.balsam(h, operatorSecret, "show", "--output", "json")
	var shown struct {
		Version uint64 `json:"version"`
	}
	is.NoErr(json.Unmarshal([]byte(out), &shown))
	return shown.Version
}

// stale reports whether a host refuses all keys because its configuration is
// not confirmed.
func (c *processCell) stale(h *entryProcess, secret string) bool {
	_, out := c.balsam(h, secret, "status", "none")
	return strings.Contains(out, `"reason":"stale"`)
}

// page returns the status and the text of a page of an entry, 0 if it doesn't
// answer.
func (c *processCell) page(h *entryProcess, path string) (int, string) {
	req, err := http.NewRequestWithContext(c.t.Context(), http.MethodGet, "http://"+h.page+path, nil)
	if err != nil {
		return 0, ""
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = res.Body.Close() }()
	data, _ := io.ReadAll(res.Body)
	return res.StatusCode, string(data)
}
