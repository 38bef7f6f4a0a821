package load

import (
	"context"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/trial/calls"
	"github.com/balsamford/balsamford/trial/judge"
	"github.com/balsamford/balsamford/trial/wait"
)

// maxTries is how often a caller sends the same request, with the same ID but to
// different entries, while the outcome is unknown.
const maxTries = 4

// retryInterval is the pause between two tries.
const retryInterval = 300 * time.Millisecond

// send sends a request, follows it to its outcome if it is a job, and returns
// what the caller observed.
func (r *Runner) send(ctx context.Context, it *item) judge.Call {
	c := judge.Call{Tag: it.request.Body.Tag, Key: it.team.key, Team: it.team.name, Kind: string(it.request.Kind),
		Once: !it.request.Idempotent, Sent: time.Now()}
	reply, ok := r.submit(ctx, it, &c)
	if !ok {
		return c
	}
	if it.request.Kind == wire.Quick {
		c.Gone = reply.Reason == wire.ReasonGone
		checkBytes(it, 0, reply.Answer, &c)
		return c
	}
	c.Accepted = true
	r.followJob(ctx, it, &c)
	return c
}

// submit sends the request, and retries while the outcome is unknown. It reports
// whether the reply has an answer or an accepted job to check.
func (r *Runner) submit(ctx context.Context, it *item, c *judge.Call) (calls.Reply, bool) {
	var reply calls.Reply
	for try := range maxTries {
		var err error
		reply, err = r.client.Submit(r.entryAddress(it, try), it.team.secret, &it.request)
		c.Outcome, c.Reason = string(reply.Outcome), reply.Reason
		if reply.ID != "" {
			c.ID = reply.ID
		}
		if err != nil {
			c.Outcome, c.Reason = "", err.Error()
		}
		if err == nil && !shouldRetry(&reply) {
			break
		}
		if !wait.For(ctx, retryInterval) {
			break
		}
	}
	if it.request.Kind == wire.Quick {
		return reply, reply.Outcome == wire.Done
	}
	return reply, reply.Accepted() && reply.Outcome != wire.NotRun
}

// shouldRetry reports whether the caller sends the same request again: its
// outcome is unknown or the status is 5xx. A rejected key and the outcome
// "notrun" are final.
func shouldRetry(reply *calls.Reply) bool {
	switch reply.Status {
	case fasthttp.StatusUnauthorized, fasthttp.StatusForbidden:
		return false
	}
	if reply.Outcome == wire.NotRun {
		return false
	}
	return reply.Outcome == wire.Unknown || reply.Status/100 == 5
}

// followJob polls a job until it has an outcome, and records the outcome in c. A
// service is cancelled after its service time.
func (r *Runner) followJob(ctx context.Context, it *item, c *judge.Call) {
	if it.request.Kind == wire.Service {
		wait.For(ctx, it.serviceTime)
		r.cancelJob(ctx, it, c)
	}
	for try := 0; ; try++ {
		reply, err := r.client.Status(r.entryAddress(it, try), it.team.secret, c.ID)
		if err == nil && reply.Outcome != "" {
			reply, err = r.client.Result(r.entryAddress(it, try), it.team.secret, c.ID)
		}
		if err == nil && reply.Outcome != "" && !recordUnavailable(&reply) {
			c.Outcome, c.Reason = string(reply.Outcome), reply.Reason
			checkOutputs(it, &reply, c)
			return
		}
		if !wait.For(ctx, pollInterval) {
			c.Outcome, c.Reason = "", "the trial ended before the job"
			return
		}
	}
}

// recordUnavailable reports whether an entry could not read a job's record. The
// caller then polls again, since the outcome of an accepted job is kept.
func recordUnavailable(reply *calls.Reply) bool {
	return reply.Outcome == wire.Unknown && (reply.Reason == wire.ReasonRecord || reply.Reason == wire.ReasonStale)
}

// cancelJob sends a cancellation until an entry confirms it or ctx is done.
func (r *Runner) cancelJob(ctx context.Context, it *item, c *judge.Call) {
	for try := 0; ; try++ {
		reply, err := r.client.Cancel(r.entryAddress(it, try), it.team.secret, c.ID)
		if err == nil && reply.Status/100 == 2 {
			return
		}
		c.Detail = fmt.Sprintf("cancel: status %d, %s", reply.Status, reply.Reason)
		if !wait.For(ctx, retryInterval) {
			return
		}
	}
}
