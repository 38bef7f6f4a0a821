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

// TestCommands runs the commands against processes: three entries, a placer and
// endpoints. The first entry serves both APIs over HTTPS.
func TestCommands(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	c := startWorkCell(t)
	c.retry(c.hosts[0], c.bootstrap, "publish", "../deploy/trilha.toml", "--wait")
	for _, h := range c.hosts {
		c.retry(h, operatorSecret, "show", "team.caxias")
	}
	for _, run := range []struct {
		name string
		f    func(t *testing.T)
	}{
		{"objects", c.testObjects}, {"conflict", c.testConflict}, {"keys", c.testKeys}, {"drain", c.testDrain},
		{"requests", c.testRequests}, {"audit", c.testAuditTrail}, {"rotation", c.testRotation},
	} {
		if !t.Run(run.name, run.f) {
			return
		}
	}
}

// startWorkCell starts a cell with a placer and endpoints, which can run requests.
func startWorkCell(t *testing.T) *processCell {
	t.Helper()
	c := newProcessCell(t, 1, "entry", "placer", "standin", "balsam")
	c.writeFile("endpoints.toml", fmt.Sprintf("role = \"endpoints\"\nname = \"endpoints\"\nplatform = %q\n"+
		"[[group]]\nname = \"e\"\nkind = \"executor\"\nzone = \"z0\"\nrack = \"ge\"\naddresses = [%q]\ncapacity = { slots = 8, conns = 60 }\n"+
		"[[group]]\nname = \"w\"\nkind = \"worker\"\nzone = \"z0\"\nrack = \"rw\"\naddresses = [%q]\ncapacity = { cpu = 32000, mem = 137438953472 }\n",
		c.platform, c.freeAddress("tcp"), c.freeAddress("tcp")))
	c.start("standin", "endpoints")
	text := fmt.Sprintf("host = \"p0\"\nzone = \"z0\"\nlink = %q\npage = %q\nplatform = %q\n", c.placer, c.freeAddress("tcp"), c.platform) + c.certSettings()
	for _, h := range c.hosts {
		text += fmt.Sprintf("[[entries]]\nname = %q\nzone = %q\nlink = %q\n", h.name, h.zone, h.link)
	}
	c.writeFile("p0.toml", text)
	c.start("placer", "p0")
	c.hosts[0].https = true
	for _, h := range c.hosts {
		c.startEntry(h)
	}
	return c
}

// runJSON runs a command, fails the test unless it exits with code, and decodes its JSON
// output into out.
func (c *processCell) runJSON(t *testing.T, h *entryProcess, secret string, code int, out any, args ...string) {
	t.Helper()
	got, stdout, stderr := c.runBalsamOutputs(h, secret, append(args, "--output", "json")...)
	if got != code {
		t.Fatalf("%v: %d, not %d: %s %s", args, got, code, stdout, stderr)
	}
	if err := json.Unmarshal([]byte(stdout), out); err != nil {
		t.Fatalf("%v: %v: %s", args, err, stdout)
	}
}

// runChange runs a command that changes objects and returns the steps that it prints.
func (c *processCell) runChange(t *testing.T, h *entryProcess, args ...string) []admin.Step {
	t.Helper()
	code, stdout, stderr := c.runBalsamOutputs(h, operatorSecret, append(args, "--output", "json")...)
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

// newFile writes a file into the cell's directory and returns its path.
func (c *processCell) newFile(name, text string) string {
	c.writeFile(name, text)
	return filepath.Join(c.dir, name)
}

// testObjects sets, shows and deletes objects, and publishes an invalid set.
func (c *processCell) testObjects(t *testing.T) {
	is := is.New(t)
	file := c.newFile("north.toml", "[team.north]\n[limit.north]\nteam = \"north\"\ntasks = 7\n")
	steps := c.runChange(t, c.hosts[0], "set", file, "--wait")
	is.True(steps[0].Published)
	last := steps[len(steps)-1]
	is.True(last.Done && last.Progress.Accepted)
	is.Equal(len(last.Progress.Missing), 0)
	for _, h := range c.hosts {
		code, stdout, _ := c.runBalsamOutputs(h, operatorSecret, "show", "limit.north")
		is.Equal(code, 0)
		is.True(strings.Contains(stdout, "tasks = 7"))
	}
	code, stdout, stderr := c.runBalsamOutputs(c.hosts[1], operatorSecret, "delete", "team.north")
	is.Equal(code, 3) // The limit refers to it.
	is.Equal(stdout, "")
	is.True(strings.Contains(stderr, "limit.north"))
	steps = c.runChange(t, c.hosts[1], "delete", "limit.north", "team.north", "--wait")
	is.True(steps[len(steps)-1].Progress.Accepted)
	code, _, _ = c.runBalsamOutputs(c.hosts[2], operatorSecret, "show", "team.north")
	is.Equal(code, 9)
	var failure admin.Failure
	c.runJSON(t, c.hosts[2], operatorSecret, 3, &failure, "publish", c.newFile("bad.toml", "[limit.x]\nteam = \"shp\"\ntasks = 1\n"))
	is.Equal(failure.Code, admin.CodeInvalid)
	is.True(len(failure.Faults) > 0)
	var diff admin.Checked
	c.runJSON(t, c.hosts[0], operatorSecret, 0, &diff, "diff")
	is.Equal(len(diff.Changes), 2)
	var heads []config.Head
	c.runJSON(t, c.hosts[0], operatorSecret, 0, &heads, "versions")
	is.Equal(heads[0].Author, "operator-1")
	is.Equal(heads[0].Version, last.Version+1)
}

// testConflict makes two changes of one object on the same base version. The second is
// refused, and its output shows both.
func (c *processCell) testConflict(t *testing.T) {
	is := is.New(t)
	base := fmt.Sprint(c.newestVersion(c.hosts[0]))
	c.runChange(t, c.hosts[1], "set", c.newFile("first.toml", "[limit.caxias]\nteam = \"caxias\"\ntasks = 11\n"), "--base", base)
	second := c.newFile("second.toml", "[limit.caxias]\nteam = \"caxias\"\ntasks = 12\n")
	code, _, stderr := c.runBalsamOutputs(c.hosts[2], operatorSecret, "set", second, "--base", base)
	is.Equal(code, 4)
	is.True(strings.Contains(stderr, "tasks = 11"))
	is.True(strings.Contains(stderr, "tasks = 12"))
	var failure admin.Failure
	c.runJSON(t, c.hosts[2], operatorSecret, 4, &failure, "set", second, "--base", base)
	is.Equal(failure.Code, admin.CodeConflict)
	is.True(strings.Contains(failure.Conflict.Theirs[0].New, "11"))
	is.True(strings.Contains(failure.Conflict.Yours[0].New, "12"))
}

// testKeys replaces the key of a team: both keys are valid for a while, then the old one
// is deleted.
func (c *processCell) testKeys(t *testing.T) {
	is := is.New(t)
	var made struct {
		Secret string        `json:"secret"`
		Digest config.Digest `json:"digest"`
	}
	c.runJSON(t, c.hosts[0], operatorSecret, 0, &made, "key", "caxias-2")
	is.True(made.Digest.Matches(made.Secret))
	c.runChange(t, c.hosts[1], "set", c.newFile("key.toml", fmt.Sprintf("[key.caxias-2]\nteam = \"caxias\"\ndigest = %q\n", made.Digest)), "--wait")
	refused := func(h *entryProcess, secret string) bool {
		code, out, _ := c.runBalsamOutputs(h, secret, "status", "none")
		is.True(code == 5 || code == 9)
		is.Equal(code == 5, strings.Contains(out, `"reason":"key"`))
		return code == 5
	}
	for _, h := range c.hosts {
		is.True(!refused(h, callerSecret))
		is.True(!refused(h, made.Secret))
	}
	began := time.Now()
	steps := c.runChange(t, c.hosts[2], "delete", "key.caxias-1", "--wait")
	took := time.Since(began)
	is.True(steps[len(steps)-1].Progress.Accepted)
	is.True(took <= maxPropagation)
	t.Logf("withdrawn at %d hosts in %v", len(c.hosts), took)
	for _, h := range c.hosts {
		is.True(refused(h, callerSecret))
		is.True(!refused(h, made.Secret))
	}
	code, _, _ := c.runBalsamOutputs(c.hosts[0], made.Secret, "show") // The operators' API refuses a caller's key.
	is.Equal(code, 5)
}

// testDrain drains an endpoint and ends the drain.
func (c *processCell) testDrain(t *testing.T) {
	is := is.New(t)
	code, stdout, _ := c.runBalsamOutputs(c.hosts[0], operatorSecret, "drain", "e-0", "--note", "disk fails")
	is.Equal(code, 0)
	is.True(strings.Contains(stdout, "e-0 gets no new work"))
	var drains []config.Drain
	c.runJSON(t, c.hosts[1], operatorSecret, 0, &drains, "drain")
	is.Equal(len(drains), 1)
	is.Equal(drains[0].Author, "operator-1")
	is.Equal(drains[0].Note, "disk fails")
	code, _, _ = c.runBalsamOutputs(c.hosts[0], operatorSecret, "drain", "e-0", "--end")
	is.Equal(code, 0)
	c.runJSON(t, c.hosts[1], operatorSecret, 0, &drains, "drain")
	is.Equal(len(drains), 0)
	var hosts []admin.Host
	c.runJSON(t, c.hosts[2], operatorSecret, 0, &hosts, "hosts")
	is.Equal(len(hosts), len(c.hosts)+1)
	for _, h := range hosts {
		is.True(h.Reached)
	}
}

// requestState is the part of the status output that the tests check.
type requestState struct {
	ID      string       `json:"id"`
	Phase   wire.Phase   `json:"phase"`
	Outcome wire.Outcome `json:"outcome"`
}

// testRequests submits quick requests and jobs, reads their states and results, and
// cancels a job.
func (c *processCell) testRequests(t *testing.T) {
	is := is.New(t)
	secret := "joinville-1.sample"
	body := c.newFile("body.json", `{"size":100000,"seed":3}`)
	submit := func(h *entryProcess) int {
		code, stdout, _ := c.runBalsamOutputs(h, secret, "submit", "--queue", "checks", "--slots", "1", "--body", body)
		is.True(code != 0 || len(stdout) == 100_000)
		return code
	}
	for _, h := range c.hosts {
		for end := time.Now().Add(30 * time.Second); submit(h) != 0; {
			is.True(time.Now().Before(end))
			time.Sleep(200 * time.Millisecond)
		}
	}
	code, _, _ := c.runBalsamOutputs(c.hosts[0], secret, "submit", "--queue", "checks", "--slots", "1", "--body", c.newFile("fail.json", `{"fail":true}`))
	is.Equal(code, 10)
	code, _, _ = c.runBalsamOutputs(c.hosts[1], secret, "submit", "--queue", "none")
	is.Equal(code, 5)

	job := func(h *entryProcess, work string) string {
		var a requestState
		c.runJSON(t, h, secret, 0, &a, "submit", "--queue", "plans", "--kind", "batch", "--cpu", "1000", "--mem", "1000000",
			"--body", c.newFile("job.json", fmt.Sprintf(`{"work":%q,"size":50}`, work)))
		return a.ID
	}
	until := func(h *entryProcess, id string, phase wire.Phase) requestState {
		t.Helper()
		var a requestState
		for end := time.Now().Add(30 * time.Second); a.Phase != phase; time.Sleep(50 * time.Millisecond) {
			_, stdout, stderr := c.runBalsamOutputs(h, secret, "status", id)
			_ = json.Unmarshal([]byte(stdout), &a)
			if time.Now().After(end) {
				t.Fatalf("%s did not become %s: %s %s", id, phase, stdout, stderr)
			}
		}
		return a
	}
	short, long := job(c.hosts[0], "10ms"), job(c.hosts[0], "10m")
	is.Equal(until(c.hosts[2], short, wire.Ended).Outcome, wire.Done)
	code, stdout, _ := c.runBalsamOutputs(c.hosts[0], secret, "result", short)
	is.Equal(code, 0)
	is.True(strings.Contains(stdout, `"output"`))
	until(c.hosts[0], long, wire.Running)
	code, _, _ = c.runBalsamOutputs(c.hosts[2], secret, "cancel", long)
	is.Equal(code, 0)
	is.Equal(until(c.hosts[1], long, wire.Ended).Outcome, wire.Failed)
	code, _, _ = c.runBalsamOutputs(c.hosts[0], secret, "status", long)
	is.Equal(code, 10)
	code, _, _ = c.runBalsamOutputs(c.hosts[0], secret, "status", "none")
	is.Equal(code, 9)
}

// testAuditTrail checks that the audit trail has records of what the earlier subtests
// did, and that its filters select them.
func (c *processCell) testAuditTrail(t *testing.T) {
	tests := map[string]struct {
		args []string
		want int // number of records; -1 is any number above 0
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
			c.runJSON(t, c.hosts[0], operatorSecret, 0, &records, append([]string{"audit"}, tt.args...)...)
			is.True(len(records) == tt.want || tt.want < 0 && len(records) > 0)
			text, err := json.Marshal(records)
			is.NoErr(err)
			is.True(!strings.Contains(string(text), ".sample")) // Audit records hold no secrets.
		})
	}
}

// testRotation replaces the certificate authority and the certificates of all processes
// while requests run. No request is lost, and a process that starts afterwards connects
// to the others.
func (c *processCell) testRotation(t *testing.T) {
	is := is.New(t)
	next := t.TempDir()
	_, err := link.IssueFiles(next, c.ip)
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
				code, out := c.runBalsam(h, "joinville-1.sample", "submit", "--queue", "checks", "--slots", "1")
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
	c.writeFile("key.pem", key[:len(key)/2])
	c.waitReadyText(t, c.hosts[0], "certificate of link", "certificate of door", "certificate of oper")
	c.writeFile("key.pem", key)

	c.writeFile("authority.pem", first+second)
	c.waitMetric(t, "certs.link.loaded", 1, c.hosts...)
	c.writeFile("key.pem", load(filepath.Join(next, "key.pem")))
	c.writeFile("cert.pem", load(filepath.Join(next, "cert.pem")))
	c.waitMetric(t, "certs.link.loaded", 2, c.hosts...)
	c.waitMetric(t, "certs.door.loaded", 1, c.hosts[0])
	c.waitMetric(t, "certs.oper.loaded", 1, c.hosts[0])
	c.writeFile("authority.pem", second)
	c.waitMetric(t, "certs.link.loaded", 3, c.hosts...)
	last := c.hosts[2]
	is.NoErr(last.cmd.Process.Kill())
	c.startEntry(last)
	c.retry(last, "joinville-1.sample", "submit", "--queue", "checks", "--slots", "1")
	done.Store(true)
	is.NoErr(g.Wait())
	t.Logf("%d requests during three replacements", ran.Load())
}

// waitReadyText waits until the readiness page of an entry contains all words while its
// status is still 200.
func (c *processCell) waitReadyText(t *testing.T, h *entryProcess, words ...string) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		code, text := c.getPage(h, "/ready")
		missing := slices.DeleteFunc(slices.Clone(words), func(w string) bool { return strings.Contains(text, w) })
		if code == http.StatusOK && len(missing) == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("the readiness page of %s lacks %v: %d %s", h.name, missing, code, text)
		}
	}
}

// waitMetric waits until the counter name, of loaded certificates, is n on all hosts. A
// certificate whose key hasn't been replaced yet isn't counted.
func (c *processCell) waitMetric(t *testing.T, name string, n int, hosts ...*entryProcess) {
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

// metric returns the value of a counter of an entry, or 0 if it can't be read.
func (c *processCell) metric(h *entryProcess, name string) int {
	var all map[string]struct {
		Count int `json:"count"`
	}
	_, text := c.getPage(h, "/metrics")
	_ = json.Unmarshal([]byte(text), &all)
	return all[name].Count
}
