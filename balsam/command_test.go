package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/admin"
	"github.com/balsamford/balsamford/coord/audit"
	"github.com/balsamford/balsamford/coord/config"
	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/wire"
)

// TestCommands tries the commands against three entries, a placer and
// endpoints as processes. Both doors of the first entry speak HTTPS.
func TestCommands(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	c := startWork(t)
	c.until(c.hosts[0], c.bootstrap, "publish", "../deploy/trilha.toml", "--wait")
	for _, h := range c.hosts {
		c.until(h, operatorSecret, "show", "team.caxias")
	}
	for _, run := range []struct {
		name string
		f    func(t *testing.T)
	}{
		{"objects", c.objects}, {"conflict", c.conflict}, {"keys", c.keys}, {"drain", c.drain},
		{"requests", c.requests}, {"audit", c.trail}, {"rotation", c.rotation},
	} {
		if !t.Run(run.name, run.f) {
			return
		}
	}
}

// startWork starts a cell that can run requests.
func startWork(t *testing.T) *processCell {
	t.Helper()
	c := newProcesses(t, 1, "entry", "placer", "standin", "balsam")
	c.write("endpoints.toml", fmt.Sprintf("role = \"endpoints\"\nname = \"endpoints\"\nplatform = %q\n"+
		"[[group]]\nname = \"e\"\nkind = \"executor\"\nzone = \"z0\"\nrack = \"ge\"\naddresses = [%q]\ncapacity = { slots = 8, conns = 60 }\n"+
		"[[group]]\nname = \"w\"\nkind = \"worker\"\nzone = \"z0\"\nrack = \"rw\"\naddresses = [%q]\ncapacity = { cpu = 32000, mem = 137438953472 }\n",
		c.platform, c.freeAddress("tcp"), c.freeAddress("tcp")))
	c.start("standin", "endpoints")
	text := fmt.Sprintf("host = \"p0\"\nzone = \"z0\"\nlink = %q\npage = %q\nplatform = %q\n", c.placer, c.freeAddress("tcp"), c.platform) + c.certs()
	for _, h := range c.hosts {
		text += fmt.Sprintf("[[entries]]\nname = %q\nzone = %q\nlink = %q\n", h.name, h.zone, h.link)
	}
	c.write("p0.toml", text)
	c.start("placer", "p0")
	c.hosts[0].https = true
	for _, h := range c.hosts {
		c.entry(h)
	}
	return c
}

// read runs a command that has to end with code, and reads its JSON output.
func (c *processCell) read(t *testing.T, h *entryProcess, secret string, code int, out any, args ...string) {
	t.Helper()
	got, stdout, stderr := c.run(h, secret, append(args, "--output", "json")...)
	if got != code {
		t.Fatalf("%v: %d, not %d: %s %s", args, got, code, stdout, stderr)
	}
	if err := json.Unmarshal([]byte(stdout), out); err != nil {
		t.Fatalf("%v: %v: %s", args, err, stdout)
	}
}

// steps runs a change and returns its steps.
func (c *processCell) steps(t *testing.T, h *entryProcess, args ...string) []admin.Step {
	t.Helper()
	code, stdout, stderr := c.run(h, operatorSecret, append(args, "--output", "json")...)
	if code != 0 {
		t.Fatalf("%v: %d %s %s", args, code, stdout, stderr)
	}
	var out []admin.Step
	for line := range strings.Lines(stdout) {
		var s admin.Step
		is.New(t).NoErr(json.Unmarshal([]byte(line), &s))
		out = append(out, s)
	}
	return out
}

func (c *processCell) file(name, text string) string {
	c.write(name, text)
	return filepath.Join(c.dir, name)
}

// objects sets, shows and deletes an object and publishes a faulty set.
func (c *processCell) objects(t *testing.T) {
	is := is.New(t)
	file := c.file("north.toml", "[team.north]\n[limit.north]\nteam = \"north\"\ntasks = 7\n")
	steps := c.steps(t, c.hosts[0], "set", file, "--wait")
	is.True(steps[0].Published)
	last := steps[len(steps)-1]
	is.True(last.Done && last.Progress.Accepted)
	is.Equal(len(last.Progress.Missing), 0)
	for _, h := range c.hosts {
		code, stdout, _ := c.run(h, operatorSecret, "show", "limit.north")
		is.Equal(code, 0)
		is.True(strings.Contains(stdout, "tasks = 7"))
	}
	code, stdout, stderr := c.run(c.hosts[1], operatorSecret, "delete", "team.north")
	is.Equal(code, 3) // The limit refers to it.
	is.Equal(stdout, "")
	is.True(strings.Contains(stderr, "limit.north"))
	steps = c.steps(t, c.hosts[1], "delete", "limit.north", "team.north", "--wait")
	is.True(steps[len(steps)-1].Progress.Accepted)
	code, _, _ = c.run(c.hosts[2], operatorSecret, "show", "team.north")
	is.Equal(code, 9)
	var failure admin.Failure
	c.read(t, c.hosts[2], operatorSecret, 3, &failure, "publish", c.file("bad.toml", "[limit.x]\nteam = \"shp\"\ntasks = 1\n"))
	is.Equal(failure.Code, admin.CodeInvalid)
	is.True(len(failure.Faults) > 0)
	var diff admin.Checked
	c.read(t, c.hosts[0], operatorSecret, 0, &diff, "diff")
	is.Equal(len(diff.Changes), 2)
	var heads []config.Head
	c.read(t, c.hosts[0], operatorSecret, 0, &heads, "versions")
	is.Equal(heads[0].Author, "operator-1")
	is.Equal(heads[0].Version, last.Version+1)
}

// conflict lets a second operator change what the first has changed.
func (c *processCell) conflict(t *testing.T) {
	is := is.New(t)
	base := fmt.Sprint(c.version(c.hosts[0]))
	c.steps(t, c.hosts[1], "set", c.file("first.toml", "[limit.caxias]\nteam = \"caxias\"\ntasks = 11\n"), "--base", base)
	second := c.file("second.toml", "[limit.caxias]\nteam = \"caxias\"\ntasks = 12\n")
	code, _, stderr := c.run(c.hosts[2], operatorSecret, "set", second, "--base", base)
	is.Equal(code, 4)
	is.True(strings.Contains(stderr, "tasks = 11"))
	is.True(strings.Contains(stderr, "tasks = 12"))
	var failure admin.Failure
	c.read(t, c.hosts[2], operatorSecret, 4, &failure, "set", second, "--base", base)
	is.Equal(failure.Code, admin.CodeConflict)
	is.True(strings.Contains(failure.Conflict.Theirs[0].New, "11"))
	is.True(strings.Contains(failure.Conflict.Yours[0].New, "12"))
}

// keys makes a key for a team that has one, lets both overlap and withdraws
// the old one.
func (c *processCell) keys(t *testing.T) {
	is := is.New(t)
	var made struct {
		Secret string        `json:"secret"`
		Digest config.Digest `json:"digest"`
	}
	c.read(t, c.hosts[0], operatorSecret, 0, &made, "key", "caxias-2")
	is.True(made.Digest.Matches(made.Secret))
	c.steps(t, c.hosts[1], "set", c.file("key.toml", fmt.Sprintf("[key.caxias-2]\nteam = \"caxias\"\ndigest = %q\n", made.Digest)), "--wait")
	refused := func(h *entryProcess, secret string) bool {
		code, out, _ := c.run(h, secret, "status", "none")
		is.True(code == 5 || code == 9)
		is.Equal(code == 5, strings.Contains(out, `"reason":"key"`))
		return code == 5
	}
	for _, h := range c.hosts {
		is.True(!refused(h, callerSecret))
		is.True(!refused(h, made.Secret))
	}
	began := time.Now()
	steps := c.steps(t, c.hosts[2], "delete", "key.caxias-1", "--wait")
	took := time.Since(began)
	is.True(steps[len(steps)-1].Progress.Accepted)
	is.True(took <= inForce)
	t.Logf("withdrawn at %d hosts in %v", len(c.hosts), took)
	for _, h := range c.hosts {
		is.True(refused(h, callerSecret))
		is.True(!refused(h, made.Secret))
	}
	code, _, _ := c.run(c.hosts[0], made.Secret, "show") // A caller's key at the operators' door.
	is.Equal(code, 5)
}

// drain keeps work from an endpoint and gives it back.
func (c *processCell) drain(t *testing.T) {
	is := is.New(t)
	code, stdout, _ := c.run(c.hosts[0], operatorSecret, "drain", "e-0", "--note", "disk fails")
	is.Equal(code, 0)
	is.True(strings.Contains(stdout, "e-0 gets no new work"))
	var drains []config.Drain
	c.read(t, c.hosts[1], operatorSecret, 0, &drains, "drain")
	is.Equal(len(drains), 1)
	is.Equal(drains[0].Author, "operator-1")
	is.Equal(drains[0].Note, "disk fails")
	code, _, _ = c.run(c.hosts[0], operatorSecret, "drain", "e-0", "--end")
	is.Equal(code, 0)
	c.read(t, c.hosts[1], operatorSecret, 0, &drains, "drain")
	is.Equal(len(drains), 0)
	var hosts []admin.Host
	c.read(t, c.hosts[2], operatorSecret, 0, &hosts, "hosts")
	is.Equal(len(hosts), len(c.hosts)+1)
	for _, h := range hosts {
		is.True(h.Reached)
	}
}

// answer is what callers read.
type answer struct {
	ID      string       `json:"id"`
	Phase   wire.Phase   `json:"phase"`
	Outcome wire.Outcome `json:"outcome"`
}

// requests submits quick requests and jobs, asks for their state and results
// and cancels one.
func (c *processCell) requests(t *testing.T) {
	is := is.New(t)
	secret := "joinville-1.sample"
	body := c.file("body.json", `{"size":100000,"seed":3}`)
	submit := func(h *entryProcess) int {
		code, stdout, _ := c.run(h, secret, "submit", "--queue", "checks", "--slots", "1", "--body", body)
		is.True(code != 0 || len(stdout) == 100_000)
		return code
	}
	for _, h := range c.hosts {
		for end := time.Now().Add(30 * time.Second); submit(h) != 0; {
			is.True(time.Now().Before(end))
			time.Sleep(200 * time.Millisecond)
		}
	}
	code, _, _ := c.run(c.hosts[0], secret, "submit", "--queue", "checks", "--slots", "1", "--body", c.file("fail.json", `{"fail":true}`))
	is.Equal(code, 10)
	code, _, _ = c.run(c.hosts[1], secret, "submit", "--queue", "none")
	is.Equal(code, 5)

	job := func(h *entryProcess, work string) string {
		var a answer
		c.read(t, h, secret, 0, &a, "submit", "--queue", "plans", "--kind", "batch", "--cpu", "1000", "--mem", "1000000",
			"--body", c.file("job.json", fmt.Sprintf(`{"work":%q,"size":50}`, work)))
		return a.ID
	}
	until := func(h *entryProcess, id string, phase wire.Phase) answer {
		t.Helper()
		var a answer
		for end := time.Now().Add(30 * time.Second); a.Phase != phase; time.Sleep(50 * time.Millisecond) {
			_, stdout, stderr := c.run(h, secret, "status", id)
			_ = json.Unmarshal([]byte(stdout), &a)
			if time.Now().After(end) {
				t.Fatalf("%s never is %s: %s %s", id, phase, stdout, stderr)
			}
		}
		return a
	}
	short, long := job(c.hosts[0], "10ms"), job(c.hosts[0], "10m")
	is.Equal(until(c.hosts[2], short, wire.Ended).Outcome, wire.Done)
	code, stdout, _ := c.run(c.hosts[0], secret, "result", short)
	is.Equal(code, 0)
	is.True(strings.Contains(stdout, `"output"`))
	until(c.hosts[0], long, wire.Running)
	code, _, _ = c.run(c.hosts[2], secret, "cancel", long)
	is.Equal(code, 0)
	is.Equal(until(c.hosts[1], long, wire.Ended).Outcome, wire.Failed)
	code, _, _ = c.run(c.hosts[0], secret, "status", long)
	is.Equal(code, 10)
	code, _, _ = c.run(c.hosts[0], secret, "status", "none")
	is.Equal(code, 9)
}

// trail filters the audit trail, which has to tell of all that was done.
func (c *processCell) trail(t *testing.T) {
	tests := map[string]struct {
		args []string
		want int // records; -1 for some
	}{
		"conflicts":    {args: []string{"--verdict", "conflict"}, want: 2},
		"refused sets": {args: []string{"--verdict", "refused", "--action", "publish"}, want: 1},
		"drains":       {args: []string{"--action", "drain"}, want: 1},
		"their end":    {args: []string{"--action", "resume"}, want: 1},
		"of one key":   {args: []string{"--object", "key.caxias-1", "--action", "delete"}, want: 1},
		"bootstrap":    {args: []string{"--who", "bootstrap", "--verdict", "accepted"}, want: 1},
		"none":         {args: []string{"--who", "nobody"}, want: 0},
		"most":         {args: []string{"--most", "3"}, want: 3},
		"denied":       {args: []string{"--action", "deny"}, want: -1},
		"reads":        {args: []string{"--action", "read"}, want: -1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var records []audit.Record
			c.read(t, c.hosts[0], operatorSecret, 0, &records, append([]string{"audit"}, tt.args...)...)
			is.True(len(records) == tt.want || tt.want < 0 && len(records) > 0)
			text, err := json.Marshal(records)
			is.NoErr(err)
			is.True(!strings.Contains(string(text), ".sample")) // No secret.
		})
	}
}

// rotation replaces authority and certificate of all processes while requests
// run. None is lost, and a process that starts afterwards reaches the others.
func (c *processCell) rotation(t *testing.T) {
	is := is.New(t)
	next := t.TempDir()
	_, err := link.IssueFiles(next)
	is.NoErr(err)
	load := func(path string) string {
		data, err := os.ReadFile(path)
		is.NoErr(err)
		return string(data)
	}
	first, second := load(filepath.Join(c.dir, "authority.pem")), load(filepath.Join(next, "authority.pem"))
	var done atomic.Bool
	var ran atomic.Int64
	var g errgroup.Group
	defer func() {
		done.Store(true)
		_ = g.Wait()
	}()
	for _, h := range c.hosts[:2] {
		g.Go(func() error {
			for !done.Load() {
				code, out := c.balsam(h, "joinville-1.sample", "submit", "--queue", "checks", "--slots", "1")
				if code != 0 {
					t.Errorf("lost at %s: %d %s", h.name, code, out)
				}
				ran.Add(1)
				time.Sleep(20 * time.Millisecond)
			}
			return nil
		})
	}
	key := load(filepath.Join(c.dir, "key.pem"))
	c.write("key.pem", key[:len(key)/2])
	c.told(t, c.hosts[0], "certificate of link", "certificate of door", "certificate of oper")
	c.write("key.pem", key)

	c.write("authority.pem", first+second)
	c.loaded(t, "certs.link.loaded", 1, c.hosts...)
	c.write("key.pem", load(filepath.Join(next, "key.pem")))
	c.write("cert.pem", load(filepath.Join(next, "cert.pem")))
	c.loaded(t, "certs.link.loaded", 2, c.hosts...)
	c.loaded(t, "certs.door.loaded", 1, c.hosts[0])
	c.loaded(t, "certs.oper.loaded", 1, c.hosts[0])
	c.write("authority.pem", second)
	c.loaded(t, "certs.link.loaded", 3, c.hosts...)
	last := c.hosts[2]
	is.NoErr(last.cmd.Process.Kill())
	c.entry(last)
	c.until(last, "joinville-1.sample", "submit", "--queue", "checks", "--slots", "1")
	done.Store(true)
	is.NoErr(g.Wait())
	t.Logf("%d requests during three replacements", ran.Load())
}

// told waits until the page of readiness of an entry, which goes on serving,
// has these words.
func (c *processCell) told(t *testing.T, h *entryProcess, words ...string) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		code, text := c.page(h, "/ready")
		missing := slices.DeleteFunc(slices.Clone(words), func(w string) bool { return strings.Contains(text, w) })
		if code == http.StatusOK && len(missing) == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%s doesn't tell of %v: %d %s", h.name, missing, code, text)
		}
	}
}

// loaded waits until a counter of replacements taken into use is n. A half
// replaced pair isn't one.
func (c *processCell) loaded(t *testing.T, name string, n int, hosts ...*entryProcess) {
	t.Helper()
	for _, h := range hosts {
		for end := time.Now().Add(30 * time.Second); ; time.Sleep(100 * time.Millisecond) {
			got := c.metric(h, name)
			if got == n {
				break
			}
			if time.Now().After(end) {
				t.Fatalf("%s of %s is %d, not %d", name, h.name, got, n)
			}
		}
	}
}

// metric returns a counter of an entry.
func (c *processCell) metric(h *entryProcess, name string) int {
	var all map[string]struct {
		Count int `json:"count"`
	}
	_, text := c.page(h, "/metrics")
	_ = json.Unmarshal([]byte(text), &all)
	return all[name].Count
}
