package main

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPlatformOutage takes the platform away for half a minute. All entries
// live, so they confirm one another and go on serving keys; also after one was
// stopped by plan. After one was killed the others refuse keys within the time.
func TestPlatformOutage(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	is := is.New(t)
	c := startProcesses(t, 1)
	c.until(c.hosts[0], c.bootstrap, "publish", "../deploy/trilha.toml", "--wait")
	for _, h := range c.hosts {
		c.until(h, operatorSecret, "show", "team.caxias")
	}
	time.Sleep(2 * inForce) // all read who may publish, and say so
	c.fault(`{"down":true}`)
	c.servesFor(30*time.Second, c.hosts...)
	is.NoErr(c.hosts[2].cmd.Process.Signal(syscall.SIGTERM))
	c.servesFor(10*time.Second, c.hosts[:2]...)
	is.NoErr(c.hosts[1].cmd.Process.Kill())
	killed := time.Now()
	for time.Since(killed) < 2*inForce {
		if _, text := c.page(c.hosts[0], "/ready"); strings.Contains(text, "not confirmed") {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Logf("refused %v after the kill", time.Since(killed))
	is.True(time.Since(killed) <= inForce)
	is.True(c.stale(c.hosts[0], callerSecret))
	c.fault(`{}`)
	c.until(c.hosts[0], operatorSecret, "show", "team.caxias")
	is.True(!c.stale(c.hosts[0], callerSecret))
}

// servesFor asks hosts for that long, and fails if one refuses a key.
func (c *processCell) servesFor(d time.Duration, hosts ...*entryProcess) {
	c.t.Helper()
	began, asked, refused := time.Now(), 0, 0
	first := time.Duration(0)
	for time.Since(began) < d {
		for _, h := range hosts {
			asked++
			if c.stale(h, callerSecret) {
				refused++
				if first == 0 {
					first = time.Since(began)
				}
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.t.Logf("%d of %d requests refused in %v, the first after %v", refused, asked, d, first)
	if refused > 0 {
		c.t.Errorf("%d requests refused", refused)
	}
}
