package main

import (
	"context"
	"encoding/json"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/admin"
)

// TestProcesses operates nine entries. It covers the first publish, the time until a
// change is in force, concurrent changes by two operators, the deletion of a key while
// one host is dead and another is paused, a publish whose host is killed, and an outage
// of the platform.
func TestProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	is := is.New(t)
	c := startEntryCell(t, testHostsPerZone)
	first := c.hosts[0]
	c.retry(first, c.bootstrap, "publish", "../deploy/trilha.toml", "--wait")
	for _, h := range c.hosts {
		c.retry(h, operatorSecret, "show", "team.caxias")
	}
	c.measurePropagation(100)
	c.testConcurrentChanges()
	c.testKeyDeletion()
	c.testUnknownOutcome()
	c.testOutage()
	code, out := c.runBalsam(first, operatorSecret, "audit", "--verdict", "conflict")
	is.Equal(code, 0)
	is.True(strings.Contains(out, "operator-1"))
	code, _ = c.runBalsam(first, "planners-1.sample", "show")
	is.Equal(code, 5)
}

// measurePropagation publishes n changes in sequence and logs how long each takes to be
// in force everywhere, including the start of the balsam process.
func (c *processCell) measurePropagation(n int) {
	c.t.Helper()
	times := make([]time.Duration, 0, n)
	for i := range n {
		file := filepath.Join(c.dir, "limit.toml")
		c.writeFile("limit.toml", fmt.Sprintf("[limit.caxias]\nteam = \"caxias\"\ntasks = %d\n", 100+i))
		began := time.Now()
		code, out := c.runBalsam(c.hosts[i%len(c.hosts)], operatorSecret, "set", file, "--wait")
		times = append(times, time.Since(began))
		if code != 0 || !strings.Contains(out, `"accepted":true`) {
			c.t.Fatalf("set: %d %s", code, out)
		}
	}
	slices.Sort(times)
	c.t.Logf("publish to in force at %d processes, %d times: p50 %v, p99 %v, longest %v", len(c.hosts), n, times[n/2], times[n*99/100-1], times[n-1])
	if times[n-1] > maxPropagation {
		c.t.Errorf("the longest took %v", times[n-1])
	}
}

// testConcurrentChanges makes two changes of one object on the same base version at the
// same time. One succeeds and the other is refused as a conflict.
func (c *processCell) testConcurrentChanges() {
	c.t.Helper()
	is := is.New(c.t)
	base := c.newestVersion(c.hosts[0])
	codes := make([]int, 2)
	var g errgroup.Group
	for i := range codes {
		name := fmt.Sprintf("race%d.toml", i)
		c.writeFile(name, fmt.Sprintf("[limit.caxias]\nteam = \"caxias\"\ntasks = %d\n", 10+i))
		g.Go(func() error {
			codes[i], _ = c.runBalsam(c.hosts[i], operatorSecret, "set", filepath.Join(c.dir, name), "--base", fmt.Sprint(base), "--wait")
			return nil
		})
	}
	is.NoErr(g.Wait())
	slices.Sort(codes)
	is.Equal(codes, []int{0, 4})
}

// testKeyDeletion deletes a key while one host is dead and one is paused. The paused
// host must refuse the key once it runs again.
func (c *processCell) testKeyDeletion() {
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
	code, out := c.runBalsam(c.hosts[0], operatorSecret, "delete", "key.caxias-1", "--wait")
	took := time.Since(began)
	is.Equal(code, 0)
	var last admin.Step
	for line := range strings.Lines(out) {
		is.NoErr(json.Unmarshal([]byte(line), &last))
	}
	is.True(last.Progress.Accepted)
	c.t.Logf("withdrawn in %v, missing %v", took, last.Progress.Missing)
	is.Equal(len(last.Progress.Missing), 2)
	is.True(took <= maxPropagation)
	is.NoErr(paused.cmd.Process.Signal(syscall.SIGCONT))
	for _, h := range c.hosts[:len(c.hosts)-1] {
		is.True(c.refusesOrStale(h, callerSecret))
	}
	ctx, cancel := context.WithTimeout(c.t.Context(), 30*time.Second)
	defer cancel()
	for !c.refuses(paused, callerSecret) && ctx.Err() == nil {
		time.Sleep(50 * time.Millisecond)
	}
	is.NoErr(ctx.Err())
}

// testUnknownOutcome kills the entry that a change was sent to before it responds. The
// command reports an unknown outcome. The same change, repeated with the same id at
// another host, takes effect once.
func (c *processCell) testUnknownOutcome() {
	c.t.Helper()
	is := is.New(c.t)
	victim, other := c.hosts[1], c.hosts[2]
	file := filepath.Join(c.dir, "team.toml")
	c.writeFile("team.toml", "[team.maringa]\n")
	before := c.newestVersion(other)
	is.NoErr(victim.cmd.Process.Signal(syscall.SIGSTOP))
	var code int
	var out string
	var g errgroup.Group
	g.Go(func() error {
		code, out = c.runBalsam(victim, operatorSecret, "set", file, "--wait")
		return nil
	})
	time.Sleep(500 * time.Millisecond) // by then the command has sent its request; otherwise its connection is refused
	is.NoErr(victim.cmd.Process.Kill())
	is.NoErr(g.Wait())
	is.Equal(code, 7)
	_, id, found := strings.Cut(out, "--id ")
	is.True(found)
	for range 2 {
		code, _ = c.runBalsam(other, operatorSecret, "set", file, "--wait", "--id", strings.TrimSpace(id))
		is.Equal(code, 0)
	}
	is.Equal(c.newestVersion(other), before+1)
}

// testOutage stops the platform while some entries are dead. All others refuse keys
// within maxPropagation, and changes fail as unavailable. They recover after the outage.
func (c *processCell) testOutage() {
	c.t.Helper()
	is := is.New(c.t)
	c.setPlatformFaults(`{"down":true}`)
	time.Sleep(maxPropagation)
	live := c.hosts[2:7]
	for _, h := range live {
		is.True(c.isStale(h, "joinville-1.sample"))
		code, _ := c.runBalsam(h, operatorSecret, "delete", "key.joinville-1")
		is.Equal(code, 6)
	}
	c.setPlatformFaults(`{}`)
	for _, h := range live {
		c.retry(h, operatorSecret, "show", "key.joinville-1")
		is.True(!c.refuses(h, "joinville-1.sample"))
	}
}
