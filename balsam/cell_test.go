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
	"strconv"
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
	testZones        = 3
	testHostsPerZone = 3 // entry processes
	// Secrets of the sample keys in deploy/trilha.toml.
	operatorSecret = "operator-1.sample"
	callerSecret   = "caxias-1.sample"
	// maxPropagation is the time within which a published change must be in
	// force on all hosts, with the default grace.
	maxPropagation = 3 * time.Second
)

// processCell runs a platform and entries as processes of their own. Tests operate it
// by running the balsam program.
type processCell struct {
	t             *testing.T
	dir           string
	ip            net.IP // of all its processes
	platform      string
	zonePlatforms map[string]string // address by zone; each can be cut off separately
	placer        string
	bootstrap     string
	digest        config.Digest   // of bootstrap
	used          map[string]bool // addresses that freeAddress has returned
	hosts         []*entryProcess
}

// entryProcess is an entry and the addresses that it listens on.
type entryProcess struct {
	name, zone             string
	door, page, link, oper string
	https                  bool // for the callers' and the operators' API
	cmd                    *exec.Cmd
}

// The ports of servers lie below the system's range for outgoing connections. From that
// range, a connection could get the port between its choice and its server's bind.
const (
	firstPort = 20_000
	portCount = 10_000
)

// newLoopbackIP returns a random loopback address. On 127.0.0.1 the processes of other
// packages' tests could take a port between its choice and its server's bind.
func newLoopbackIP() net.IP {
	part := func() byte { return byte(1 + rand.IntN(250)) }
	return net.IPv4(127, part(), part(), part())
}

// freeAddress returns an address of the cell whose port is free.
func (c *processCell) freeAddress(network string) string {
	for {
		address := net.JoinHostPort(c.ip.String(), strconv.Itoa(firstPort+rand.IntN(portCount)))
		if c.used[address] || !canBind(network, address) {
			continue
		}
		c.used[address] = true
		return address
	}
}

func canBind(network, address string) bool {
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

// startEntryCell starts a cell with perZone entries in each zone. It has no placer, so
// no request runs.
func startEntryCell(t *testing.T, perZone int) *processCell {
	t.Helper()
	c := newProcessCell(t, perZone, "entry", "standin", "balsam")
	for _, h := range c.hosts {
		c.startEntry(h)
	}
	return c
}

// newProcessCell builds programs and starts a platform. The caller starts the entries.
func newProcessCell(t *testing.T, perZone int, programs ...string) *processCell {
	t.Helper()
	is := is.New(t)
	c := &processCell{t: t, dir: t.TempDir(), ip: newLoopbackIP(), used: make(map[string]bool)}
	c.platform, c.zonePlatforms = c.freeAddress("tcp"), make(map[string]string)
	var zoneAddresses []string
	for i := range testZones {
		zoneAddresses = append(zoneAddresses, c.freeAddress("tcp"))
		c.zonePlatforms[fmt.Sprintf("z%d", i)] = zoneAddresses[i]
	}
	for _, program := range programs {
		out, err := exec.CommandContext(t.Context(), "go", "build", "-o", filepath.Join(c.dir, program), "../"+program).CombinedOutput()
		t.Log(string(out))
		is.NoErr(err)
	}
	_, err := link.IssueFiles(c.dir, c.ip)
	is.NoErr(err)
	c.writeFile("platform.toml", fmt.Sprintf("role = \"platform\"\nname = \"platform\"\nlisten = %q\ndoors = [\"%s\"]\n", c.platform, strings.Join(zoneAddresses, "\", \"")))
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

// startEntry writes the settings of h and starts its entry.
func (c *processCell) startEntry(h *entryProcess) {
	c.writeFile(h.name+".toml", c.settings(h))
	h.cmd = c.start("entry", h.name)
}

// writeFile replaces a file in the cell's directory atomically, since a running process
// may read it.
func (c *processCell) writeFile(name, text string) {
	is, path := is.New(c.t), filepath.Join(c.dir, name)
	is.NoErr(os.WriteFile(path+".new", []byte(text), 0o600))
	is.NoErr(os.Rename(path+".new", path))
}

// settings returns the settings file of an entry.
func (c *processCell) settings(h *entryProcess) string {
	var b strings.Builder
	fmt.Fprintf(&b, "host = %q\nzone = %q\nzones = [\"z0\", \"z1\", \"z2\"]\ndoor = %q\npage = %q\nlink = %q\nplatform = %q\nfault = true\n",
		h.name, h.zone, h.door, h.page, h.link, c.zonePlatforms[h.zone])
	b.WriteString(c.certSettings())
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

// certSettings returns the settings of the certificate for links between processes.
func (c *processCell) certSettings() string {
	return fmt.Sprintf("[certs]\ncert = %q\nkey = %q\nauthority = %q\n",
		filepath.Join(c.dir, "cert.pem"), filepath.Join(c.dir, "key.pem"), filepath.Join(c.dir, "authority.pem"))
}

// start starts a program with the settings file name.toml and the log name.log. At the
// end of the test it is stopped, and its log is printed if the test has failed.
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

// runBalsam runs balsam against the APIs of h and returns its exit code and output.
func (c *processCell) runBalsam(h *entryProcess, secret string, args ...string) (code int, out string) {
	code, stdout, stderr := c.runBalsamOutputs(h, secret, args...)
	return code, stdout + stderr
}

// runBalsamOutputs does the same with standard output and standard error separate.
func (c *processCell) runBalsamOutputs(h *entryProcess, secret string, args ...string) (code int, stdout, stderr string) {
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

// retry runs balsam until it exits with 0, and fails the test after 30 s.
func (c *processCell) retry(h *entryProcess, secret string, args ...string) {
	c.t.Helper()
	code, out := -1, ""
	for end := time.Now().Add(30 * time.Second); code != 0 && time.Now().Before(end); {
		code, out = c.runBalsam(h, secret, args...)
		time.Sleep(100 * time.Millisecond)
	}
	if code != 0 {
		c.t.Fatalf("%v: %d %s", args, code, out)
	}
}

// refuses reports whether the callers' API of h refuses a key.
func (c *processCell) refuses(h *entryProcess, secret string) bool {
	code, _ := c.requestStatus(h, secret)
	return code == http.StatusUnauthorized
}

// refusesOrStale reports whether h refuses a key, or refuses all keys because its
// configuration isn't confirmed. It sends a single request, since the host could receive
// the deletion of the key between two.
func (c *processCell) refusesOrStale(h *entryProcess, secret string) bool {
	code, body := c.requestStatus(h, secret)
	return code == http.StatusUnauthorized || code == http.StatusServiceUnavailable && strings.Contains(body, `"stale"`)
}

// requestStatus requests the status of a request that doesn't exist from the callers'
// API of h.
func (c *processCell) requestStatus(h *entryProcess, secret string) (code int, body string) {
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

// setPlatformFaults sets the fault switches of the platform.
func (c *processCell) setPlatformFaults(body string) {
	c.t.Helper()
	c.postFault("http://"+c.platform+store.PathFault, body)
}

// setZoneCut partitions a zone from the platform and from the other zones, or ends the
// partition.
func (c *processCell) setZoneCut(zone string, on bool) {
	c.t.Helper()
	c.postFault(fmt.Sprintf("http://%s/cut?on=%v", c.zonePlatforms[zone], on), "{}")
	for _, h := range c.hosts {
		links := []string{}
		for _, p := range c.hosts {
			if on && (p.zone == zone) != (h.zone == zone) {
				links = append(links, p.link)
			}
		}
		data, err := json.Marshal(map[string][]string{"cut": links})
		is.New(c.t).NoErr(err)
		c.postFault("http://"+h.page+"/fault", string(data))
	}
}

// postFault sends fault switches to url.
func (c *processCell) postFault(url, body string) {
	c.t.Helper()
	is := is.New(c.t)
	req, err := http.NewRequestWithContext(c.t.Context(), http.MethodPost, url, strings.NewReader(body))
	is.NoErr(err)
	res, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	_ = res.Body.Close()
	is.Equal(res.StatusCode/100, 2)
}

// newestVersion returns the newest version of the configuration.
func (c *processCell) newestVersion(h *entryProcess) uint64 {
	c.t.Helper()
	is := is.New(c.t)
	_, out := c.runBalsam(h, operatorSecret, "show", "--output", "json")
	var shown struct {
		Version uint64 `json:"version"`
	}
	is.NoErr(json.Unmarshal([]byte(out), &shown))
	return shown.Version
}

// isStale reports whether h refuses all keys because its configuration isn't confirmed.
func (c *processCell) isStale(h *entryProcess, secret string) bool {
	_, out := c.runBalsam(h, secret, "status", "none")
	return strings.Contains(out, `"reason":"stale"`)
}

// getPage returns the HTTP status and the body of one of an entry's status pages. The
// status is 0 if the entry doesn't respond.
func (c *processCell) getPage(h *entryProcess, path string) (int, string) {
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
