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

// TestProcesses operates nine entries: the first publish, changes of one object
// with the time until they are in force, two operators at the same moment, and
// the withdrawal of a key while a host is dead and another one is paused, a door killed
// in the middle of a publish, and an outage of the platform.
func TestProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	is := is.New(t)
	c := startProcesses(t, testPerZone)
	first := c.hosts[0]
	c.until(first, c.bootstrap, "publish", "../deploy/trilha.toml", "--wait")
	for _, h := range c.hosts {
		c.until(h, operatorSecret, "show", "team.caxias")
	}
	c.measure(100)
	c.race()
	c.withdraw()
	c.interrupt()
	c.outage()
	code, out := c.balsam(first, operatorSecret, "audit", "--verdict", "conflict")
	is.Equal(code, 0)
	is.True(strings.Contains(out, "operator-1"))
	code, _ = c.balsam(first, "planners-1.sample", "show")
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
	c.t.Logf("publish to in force at %d processes, %d times: p50 %v, p99 %v, longest %v", len(c.hosts), n, times[n/2], times[n*99/100-1], times[n-1])
	if times[n-1] > inForce {
		c.t.Errorf("the longest took %v", times[n-1])
	}
}

// race lets two operators change the same object on the same base.
func (c *processCell) race() {
	c.t.Helper()
	is := is.New(c.t)
	base := c.version(c.hosts[0])
	codes := make([]int, 2)
	var g errgroup.Group
	for i := range codes {
		name := fmt.Sprintf("race%d.toml", i)
		c.write(name, fmt.Sprintf("[limit.caxias]\nteam = \"caxias\"\ntasks = %d\n", 10+i))
		g.Go(func() error {
			codes[i], _ = c.balsam(c.hosts[i], operatorSecret, "set", filepath.Join(c.dir, name), "--base", fmt.Sprint(base), "--wait")
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
		is.True(c.denies(h, callerSecret))
	}
	ctx, cancel := context.WithTimeout(c.t.Context(), 30*time.Second)
	defer cancel()
	for !c.refuses(paused, callerSecret) && ctx.Err() == nil {
		time.Sleep(50 * time.Millisecond)
	}
	is.NoErr(ctx.Err())
}

// interrupt kills the door that a change was sent to, before it is answered.
// The command doesn't know what became of it, and the same change under the
// same id through another door takes effect once.
func (c *processCell) interrupt() {
	c.t.Helper()
	is := is.New(c.t)
	victim, other := c.hosts[1], c.hosts[2]
	file := filepath.Join(c.dir, "team.toml")
	c.write("team.toml", "[team.maringa]\n")
	before := c.version(other)
	is.NoErr(victim.cmd.Process.Signal(syscall.SIGSTOP))
	var code int
	var out string
	var g errgroup.Group
	g.Go(func() error {
		code, out = c.balsam(victim, operatorSecret, "set", file, "--wait")
		return nil
	})
	time.Sleep(500 * time.Millisecond) // the command has sent its request or will be refused
	is.NoErr(victim.cmd.Process.Kill())
	is.NoErr(g.Wait())
	is.Equal(code, 7)
	_, id, found := strings.Cut(out, "--id ")
	is.True(found)
	for range 2 {
		code, _ = c.balsam(other, operatorSecret, "set", file, "--wait", "--id", strings.TrimSpace(id))
		is.Equal(code, 0)
	}
	is.Equal(c.version(other), before+1)
}

// outage takes the platform away. All hosts refuse keys within the time, the
// doors say that nothing was done, and all is well soon after its end.
func (c *processCell) outage() {
	c.t.Helper()
	is := is.New(c.t)
	c.fault(`{"down":true}`)
	time.Sleep(inForce)
	live := c.hosts[2:7]
	for _, h := range live {
		is.True(c.stale(h, "joinville-1.sample"))
		code, _ := c.balsam(h, operatorSecret, "delete", "key.joinville-1")
		is.Equal(code, 6)
	}
	c.fault(`{}`)
	for _, h := range live {
		c.until(h, operatorSecret, "show", "key.joinville-1")
		is.True(!c.refuses(h, "joinville-1.sample"))
	}
}
