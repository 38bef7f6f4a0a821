package main

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPlatformOutage stops the platform for 40 s. While all entries are up they confirm
// each other's configuration and keep accepting keys, also after one of them shuts down
// gracefully. After one is killed the others refuse keys within maxPropagation.
func TestPlatformOutage(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	is := is.New(t)
	c := startEntryCell(t, 1)
	c.retry(c.hosts[0], c.bootstrap, "publish", "../deploy/trilha.toml", "--wait")
	for _, h := range c.hosts {
		c.retry(h, operatorSecret, "show", "team.caxias")
	}
	time.Sleep(2 * maxPropagation) // until all entries have read and confirmed the list of publishers
	c.setPlatformFaults(`{"down":true}`)
	c.checkServing(30*time.Second, c.hosts...)
	is.NoErr(c.hosts[2].cmd.Process.Signal(syscall.SIGTERM))
	c.checkServing(10*time.Second, c.hosts[:2]...)
	is.NoErr(c.hosts[1].cmd.Process.Kill())
	killed := time.Now()
	for time.Since(killed) < 2*maxPropagation {
		if _, text := c.getPage(c.hosts[0], "/ready"); strings.Contains(text, "not confirmed") {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Logf("refused %v after the kill", time.Since(killed))
	is.True(time.Since(killed) <= maxPropagation)
	is.True(c.isStale(c.hosts[0], callerSecret))
	c.setPlatformFaults(`{}`)
	c.retry(c.hosts[0], operatorSecret, "show", "team.caxias")
	is.True(!c.isStale(c.hosts[0], callerSecret))
}

// checkServing sends requests to hosts for the duration d, and fails the test if any of
// them refuses all keys because its configuration isn't confirmed.
func (c *processCell) checkServing(d time.Duration, hosts ...*entryProcess) {
	c.t.Helper()
	began, asked, refused := time.Now(), 0, 0
	first := time.Duration(0)
	for time.Since(began) < d {
		for _, h := range hosts {
			asked++
			if c.isStale(h, callerSecret) {
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
