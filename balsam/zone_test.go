package main

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// patientGrace is the grace of the queue that goes on longer in a cut-off zone.
const patientGrace = 8 * time.Second

// TestZoneCutOff withdraws a key while one of three zones is cut off from the
// platform and from the other zones, under the default grace and under one of
// 8 s. Once the command has said that it is in force no host serves the key,
// and that is within the stated time. Until then the zone goes on serving the
// patient queue.
func TestZoneCutOff(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	const patient = "[policy.patient]\ngrace = \"8s\"\n[queue.patient]\npolicy = \"patient\"\n"
	tests := map[string]struct {
		queue  string
		more   string // objects besides the sample
		within time.Duration
	}{
		"default grace": {queue: "checks", within: inForce},
		"grace of 8 s":  {queue: "patient", more: patient, within: inForce + patientGrace},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := startProcesses(t, testPerZone)
			c.until(c.hosts[0], c.bootstrap, "publish", "../deploy/trilha.toml", c.file("more.toml", tt.more), "--wait")
			for _, h := range c.hosts {
				c.until(h, operatorSecret, "show", "team.caxias")
				is.True(c.serves(h, tt.queue))
			}
			c.cut("z2", true)
			began := time.Now()
			steps := c.steps(t, c.hosts[0], "delete", "key.caxias-1", "--wait", "--timeout", "1m")
			took := time.Since(began)
			last := steps[len(steps)-1]
			is.True(last.Progress.Accepted)
			is.Equal(last.Progress.Missing, []string{"entry/h2", "entry/h5", "entry/h8"})
			t.Logf("in force after %v", took)
			is.True(took <= tt.within)
			for _, h := range c.hosts {
				is.True(!c.serves(h, tt.queue))
			}
			c.cut("z2", false)
			for _, h := range c.hosts {
				c.until(h, operatorSecret, "show", "team.caxias")
				is.True(c.refuses(h, callerSecret))
			}
		})
	}
}

// TestCutOffZoneGoesOn sends requests to a zone that is cut off: within the
// grace of their queue they are let in, and those of the default grace are
// refused as stale.
func TestCutOffZoneGoesOn(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	is := is.New(t)
	c := startProcesses(t, 1)
	more := c.file("more.toml", "[policy.patient]\ngrace = \"1m\"\n[queue.patient]\npolicy = \"patient\"\n")
	c.until(c.hosts[0], c.bootstrap, "publish", "../deploy/trilha.toml", more, "--wait")
	cut := c.hosts[2]
	c.until(cut, operatorSecret, "show", "team.caxias")
	c.cut("z2", true)
	time.Sleep(inForce)
	is.True(!c.serves(cut, "checks"))
	is.True(c.serves(cut, "patient"))
	is.True(c.serves(c.hosts[0], "checks"))
	code, _ := c.balsam(cut, operatorSecret, "show") // The operators' door honours no key longer.
	is.Equal(code, 6)
	c.cut("z2", false)
	c.until(cut, operatorSecret, "show", "team.caxias")
	is.True(c.serves(cut, "checks"))
}

// serves reports whether a host lets in a request with the caller's key. There
// is no placer, so none runs.
func (c *processCell) serves(h *entryProcess, queue string) bool {
	_, out := c.balsam(h, callerSecret, "submit", "--queue", queue, "--slots", "1", "--deadline", "300ms")
	return !strings.Contains(out, `"reason":"stale"`) && !strings.Contains(out, `"reason":"key"`)
}
