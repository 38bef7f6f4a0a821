package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/balsamford/balsamford/platform"
	"github.com/balsamford/balsamford/platform/fake"
)

const (
	// clientTimeout is how long a client waits for a response.
	clientTimeout = 3 * time.Second
	// maxSubmits is the maximum number of attempts to submit a job, each at a random
	// host.
	maxSubmits = 5
	// stateQueries is how many times a client queries the state of an accepted job.
	stateQueries = 3
)

// client submits jobs one after another, over persistent connections. It queries the
// state of each, cancels some and checks the responses.
type client struct {
	harness *harness
	rand    *rand.Rand
	http    http.Client
	number  int // of the client; part of its job IDs
	jobs    int // submitted so far
}

// newClient returns the client with the given number, which determines its random
// numbers together with the seed of the soak.
func newClient(hs *harness, number int) *client {
	random := rand.New(rand.NewPCG(hs.seed, uint64(number)+1)) //nolint:gosec // A seed must always give the same numbers.
	return &client{harness: hs, number: number, rand: random, http: http.Client{Timeout: clientTimeout, Transport: &http.Transport{}}}
}

// run submits jobs until ctx ends.
func (c *client) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.runJob(ctx)
		c.sleep(ctx, 10, 150)
	}
	c.http.CloseIdleConnections()
}

// sleep waits for a random time between least and most milliseconds, or until ctx
// ends.
func (c *client) sleep(ctx context.Context, least, most int) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(least+c.rand.IntN(most-least)) * time.Millisecond):
	}
}

// randomJob returns a new job with a random shape: a lasting one, one that fails, or
// one with two steps.
func (c *client) randomJob() *jobRecord {
	c.jobs++
	rec := &jobRecord{path: fake.Queue, job: &fake.Job{ID: fmt.Sprintf("%08x%08x", c.number, c.jobs), Team: fake.Team, Attempts: fake.Attempts}}
	if c.rand.IntN(3) == 0 {
		rec.path = fake.Advised
	}
	cpu := int64(500 * (1 + c.rand.IntN(8)))
	first := fake.Step{Count: 1 + c.rand.IntN(5), CPU: cpu}
	switch c.rand.IntN(10) {
	case 0:
		rec.job.Lasting, rec.job.Spec, rec.job.Attempts = true, fake.SpecLasting, 0
		rec.job.Steps = []fake.Step{first}
	case 1:
		rec.fails, rec.job.Spec = true, fake.SpecFail
		rec.job.Steps = []fake.Step{{Count: 1, CPU: cpu}}
	default:
		rec.job.Spec = fmt.Sprintf("%s%d job %s", fake.SpecTime, 50+c.rand.IntN(500), rec.job.ID)
		rec.job.Steps = []fake.Step{first, {Count: 1 + c.rand.IntN(3), CPU: cpu / 2, After: []int{0}}}
	}
	return rec
}

// runJob submits a job, queries its state, and sometimes cancels it or submits it
// again.
func (c *client) runJob(ctx context.Context) {
	rec := c.randomJob()
	c.harness.history.add(rec)
	c.harness.checker.Expect(rec.job)
	if !c.submit(ctx, rec) {
		return
	}
	for range stateQueries {
		c.sleep(ctx, 50, 400)
		c.queryState(rec)
	}
	if rec.job.Lasting || c.rand.IntN(12) == 0 {
		c.cancel(rec)
	}
	if c.rand.IntN(8) == 0 {
		c.resubmit(rec)
	}
}

// randomHost returns a random host.
func (c *client) randomHost() *host { return c.harness.hosts[c.rand.IntN(len(c.harness.hosts))] }

// submit submits the job until it is accepted, at most maxSubmits times, and reports
// whether it was. If all attempts were refused, the job must never run.
func (c *client) submit(ctx context.Context, rec *jobRecord) bool {
	refused := true
	for range maxSubmits {
		code, _ := c.call(c.randomHost(), http.MethodPost, rec, fake.Key)
		switch code {
		case http.StatusOK:
			c.harness.history.markAccepted(rec)
			return true
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusNotFound, http.StatusUnauthorized:
		default:
			refused = false
		}
		c.sleep(ctx, 50, 300)
	}
	if refused {
		c.harness.checker.Refused(rec.job.ID)
	}
	return false
}

// queryState queries the job's state at a random host, checks the response and
// returns the state, which is empty if there was no valid response.
func (c *client) queryState(rec *jobRecord) string {
	h := c.randomHost()
	code, body := c.call(h, http.MethodGet, rec, fake.Key)
	if code == http.StatusGone {
		c.harness.history.recordViolation("job %s, accepted %v ago, isn't known at %s", rec.job.ID, time.Since(rec.acceptedAt).Round(time.Millisecond), h.name)
	}
	if code != http.StatusOK {
		return ""
	}
	var state struct {
		State string `json:"state"`
	}
	if err := json.Unmarshal([]byte(body), &state); err != nil || state.State == "" {
		c.harness.history.recordViolation("state of job %s can't be decoded: %q", rec.job.ID, body)
		return ""
	}
	c.harness.history.observeState(rec, state.State)
	if state.State == "done" && c.harness.checker.DoneTasks(rec.job.ID) < rec.tasks() {
		c.harness.history.recordViolation("job %s is shown as done with only %d of %d tasks done", rec.job.ID, c.harness.checker.DoneTasks(rec.job.ID), rec.tasks())
	}
	return state.State
}

// cancel requests the job's cancellation at a random host.
func (c *client) cancel(rec *jobRecord) {
	c.harness.history.markCancelRequested(rec)
	if code, _ := c.call(c.randomHost(), http.MethodDelete, rec, fake.Key); code == http.StatusOK {
		c.harness.history.markCancelled(rec)
		c.harness.checker.Cancelled(rec.job.ID)
	}
}

// call sends a request about the job to h. It returns the response's status and body,
// or status 0 and the error's text if there was no complete response.
func (c *client) call(h *host, method string, rec *jobRecord, key string) (int, string) {
	body := ""
	if method == http.MethodPost {
		body = rec.job.Body()
	}
	req, err := http.NewRequest(method, "http://"+h.clientAddress+rec.path+rec.job.ID, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = fake.Host
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set(platform.DeadlineHeader, fmt.Sprint(clientTimeout.Milliseconds()))
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(data)
}
