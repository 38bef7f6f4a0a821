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
	// clientTimeout is how long a client waits for an answer.
	clientTimeout = 3 * time.Second
	// tries is how often a client submits a job, at any hosts.
	tries = 5
	// looks is how often it asks for the job's state then.
	looks = 3
)

// client submits jobs and looks after them, one after another, over connections that
// it keeps open.
type client struct {
	rig  *rig
	rand *rand.Rand
	http http.Client
	name int
	sent int
}

func newClient(r *rig, name int) *client {
	draw := rand.New(rand.NewPCG(r.seed, uint64(name)+1)) //nolint:gosec // Seeds have to repeat.
	return &client{rig: r, name: name, rand: draw, http: http.Client{Timeout: clientTimeout, Transport: &http.Transport{}}}
}

// run works until ctx ends.
func (c *client) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.one(ctx)
		c.sleep(ctx, 10, 150)
	}
	c.http.CloseIdleConnections()
}

func (c *client) sleep(ctx context.Context, least, most int) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(least+c.rand.IntN(most-least)) * time.Millisecond):
	}
}

// make draws a job.
func (c *client) make() *entry {
	c.sent++
	e := &entry{path: fake.Queue, job: &fake.Job{ID: fmt.Sprintf("%08x%08x", c.name, c.sent), Team: fake.Team, Attempts: fake.Attempts}}
	if c.rand.IntN(3) == 0 {
		e.path = fake.Advised
	}
	cpu := int64(500 * (1 + c.rand.IntN(8)))
	first := fake.Step{Count: 1 + c.rand.IntN(5), CPU: cpu}
	switch c.rand.IntN(10) {
	case 0:
		e.job.Lasting, e.job.Spec, e.job.Attempts = true, fake.SpecLast, 0
		e.job.Steps = []fake.Step{first}
	case 1:
		e.fails, e.job.Spec = true, fake.SpecFail
		e.job.Steps = []fake.Step{{Count: 1, CPU: cpu}}
	default:
		e.job.Spec = fmt.Sprintf("%s%d job %s", fake.SpecTime, 50+c.rand.IntN(500), e.job.ID)
		e.job.Steps = []fake.Step{first, {Count: 1 + c.rand.IntN(3), CPU: cpu / 2, After: []int{0}}}
	}
	return e
}

// one submits a job and looks after it.
func (c *client) one(ctx context.Context) {
	e := c.make()
	c.rig.ledger.add(e)
	c.rig.judge.Expect(e.job)
	if !c.submit(ctx, e) {
		return
	}
	for range looks {
		c.sleep(ctx, 50, 400)
		c.look(e)
	}
	if e.job.Lasting || c.rand.IntN(12) == 0 {
		c.cancel(e)
	}
	if c.rand.IntN(8) == 0 { // The same job once more: it remains one.
		c.call(c.host(), http.MethodPost, e, fake.Key)
	}
}

func (c *client) host() *host { return c.rig.hosts[c.rand.IntN(len(c.rig.hosts))] }

// submit tries to have the job accepted. If all tries were refused the job must never
// run.
func (c *client) submit(ctx context.Context, e *entry) bool {
	refused := true
	for range tries {
		code, _ := c.call(c.host(), http.MethodPost, e, fake.Key)
		switch code {
		case http.StatusOK:
			c.rig.ledger.accept(e)
			return true
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusNotFound, http.StatusUnauthorized:
		default:
			refused = false
		}
		c.sleep(ctx, 50, 300)
	}
	if refused {
		c.rig.judge.Refused(e.job.ID)
	}
	return false
}

// look asks for the job's state.
func (c *client) look(e *entry) string {
	h := c.host()
	code, body := c.call(h, http.MethodGet, e, fake.Key)
	if code == http.StatusGone {
		c.rig.ledger.fault("job %s, accepted %v ago, isn't known at %s", e.job.ID, time.Since(e.at).Round(time.Millisecond), h.name)
	}
	if code != http.StatusOK {
		return ""
	}
	var state struct {
		State string `json:"state"`
	}
	if err := json.Unmarshal([]byte(body), &state); err != nil || state.State == "" {
		c.rig.ledger.fault("state of job %s can't be read: %q", e.job.ID, body)
		return ""
	}
	c.rig.ledger.shown(e, state.State)
	if state.State == "done" && c.rig.judge.Done(e.job.ID) < e.tasks() {
		c.rig.ledger.fault("job %s is shown as done with %d of %d tasks", e.job.ID, c.rig.judge.Done(e.job.ID), e.tasks())
	}
	return state.State
}

// cancel has the job cancelled.
func (c *client) cancel(e *entry) {
	c.rig.ledger.asked(e)
	if code, _ := c.call(c.host(), http.MethodDelete, e, fake.Key); code == http.StatusOK {
		c.rig.ledger.cancel(e)
		c.rig.judge.Cancelled(e.job.ID)
	}
}

// call makes a request and returns its status, 0 without a whole answer, and the
// body.
func (c *client) call(h *host, method string, e *entry, key string) (int, string) {
	body := ""
	if method == http.MethodPost {
		body = e.job.Body()
	}
	req, err := http.NewRequest(method, "http://"+h.front+e.path+e.job.ID, strings.NewReader(body))
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
