package main

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// patientGrace is the grace of the queue "patient", which a partitioned zone keeps
// serving for longer.
const patientGrace = 8 * time.Second

// TestZoneCutOff deletes a key while one of three zones is partitioned from the platform
// and from the other zones, with the default grace and with one of 8 s. Once the command
// reports the deletion as in force, which must be in time, no host accepts the key.
func TestZoneCutOff(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	const patient = "[policy.patient]\ngrace = \"8s\"\n[queue.patient]\npolicy = \"patient\"\n"
	tests := map[string]struct {
		queue  string
		more   string // objects added to deploy/trilha.toml
		within time.Duration
	}{
		"default grace": {queue: "checks", within: maxPropagation},
		"grace of 8 s":  {queue: "patient", more: patient, within: maxPropagation + patientGrace},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := startEntryCell(t, testHostsPerZone)
			c.retry(c.hosts[0], c.bootstrap, "publish", "../deploy/trilha.toml", c.newFile("more.toml", tt.more), "--wait")
			for _, h := range c.hosts {
				c.retry(h, operatorSecret, "show", "team.caxias")
				is.True(c.admits(h, tt.queue))
			}
			c.setZoneCut("z2", true)
			began := time.Now()
			steps := c.runChange(t, c.hosts[0], "delete", "key.caxias-1", "--wait", "--timeout", "1m")
			took := time.Since(began)
			last := steps[len(steps)-1]
			is.True(last.Progress.Accepted)
			is.Equal(last.Progress.Missing, []string{"entry/h2", "entry/h5", "entry/h8"})
			t.Logf("in force after %v", took)
			is.True(took <= tt.within)
			for _, h := range c.hosts {
				is.True(!c.admits(h, tt.queue))
			}
			c.setZoneCut("z2", false)
			for _, h := range c.hosts {
				c.retry(h, operatorSecret, "show", "team.caxias")
				is.True(c.refuses(h, callerSecret))
			}
		})
	}
}

// TestCutOffZoneGoesOn sends requests to a partitioned zone. Requests to a queue with a
// long grace are admitted, and requests to one with the default grace are refused as
// stale.
func TestCutOffZoneGoesOn(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	is := is.New(t)
	c := startEntryCell(t, 1)
	more := c.newFile("more.toml", "[policy.patient]\ngrace = \"1m\"\n[queue.patient]\npolicy = \"patient\"\n")
	c.retry(c.hosts[0], c.bootstrap, "publish", "../deploy/trilha.toml", more, "--wait")
	cut := c.hosts[2]
	c.retry(cut, operatorSecret, "show", "team.caxias")
	c.setZoneCut("z2", true)
	time.Sleep(maxPropagation)
	is.True(!c.admits(cut, "checks"))
	is.True(c.admits(cut, "patient"))
	is.True(c.admits(c.hosts[0], "checks"))
	code, _ := c.runBalsam(cut, operatorSecret, "show") // No grace applies to the operators' API.
	is.Equal(code, 6)
	c.setZoneCut("z2", false)
	c.retry(cut, operatorSecret, "show", "team.caxias")
	is.True(c.admits(cut, "checks"))
}

// admits reports whether h admits a request with the caller's key to queue. The cell has
// no placer, so the request never runs.
func (c *processCell) admits(h *entryProcess, queue string) bool {
	_, out := c.runBalsam(h, callerSecret, "submit", "--queue", queue, "--slots", "1", "--deadline", "300ms")
	return !strings.Contains(out, `"reason":"stale"`) && !strings.Contains(out, `"reason":"key"`)
}
