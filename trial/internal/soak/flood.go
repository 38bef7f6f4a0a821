package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/balsamford/balsamford/platform/fake"
)

const (
	// overloadText is part of the body of a rejection by the load. Other answers of 503 have other causes.
	overloadText = "overloaded"
	// floodTime is how long a flood lasts. The hosts know of the backlog that it makes after two seconds.
	floodTime = 3500 * time.Millisecond
	// floodTasks, floodCPU and floodTask shape the jobs of a flood: more than the team's limit lets
	// start for some seconds.
	floodTasks = 6
	floodCPU   = 4000 // thousandths of a core
	floodTask  = 300  // run time in ms
)

// flood submits many jobs at once from time to time, until ctx ends. Each of them is submitted once: if that is
// answered with 503, the job must never run.
func (c *client) flood(ctx context.Context) {
	for ctx.Err() == nil {
		c.sleep(ctx, 500, 2500)
		for end := time.Now().Add(floodTime); ctx.Err() == nil && time.Now().Before(end); {
			c.floodJob()
			c.sleep(ctx, 10, 30)
		}
	}
	c.http.CloseIdleConnections()
}

// floodJob submits a job of a flood.
func (c *client) floodJob() {
	c.jobs++
	rec := &jobRecord{path: fake.Queue, job: &fake.Job{ID: fmt.Sprintf("%08x%08x", c.number, c.jobs), Team: fake.Team, Attempts: fake.Attempts}}
	rec.job.Spec = fmt.Sprintf("%s%d job %s", fake.SpecTime, floodTask, rec.job.ID)
	rec.job.Steps = []fake.Step{{Count: floodTasks, CPU: floodCPU}}
	c.harness.history.add(rec)
	c.harness.checker.Expect(rec.job)
	switch code, body := c.call(c.randomHost(), http.MethodPost, rec, fake.Key); code {
	case http.StatusOK:
		c.harness.history.markAccepted(rec)
	case http.StatusServiceUnavailable:
		c.harness.checker.Refused(rec.job.ID)
		if strings.Contains(body, overloadText) {
			c.harness.rejected.Add(1)
		}
	}
}

// resubmit submits an accepted job again, which must not run it twice. It must not be rejected either, whatever
// the load.
func (c *client) resubmit(rec *jobRecord) {
	h := c.randomHost()
	code, body := c.call(h, http.MethodPost, rec, fake.Key)
	if code == http.StatusServiceUnavailable && strings.Contains(body, overloadText) {
		c.harness.history.recordViolation("job %s, accepted %v ago, is rejected at %s", rec.job.ID, time.Since(rec.acceptedAt).Round(time.Millisecond), h.name)
	}
}
