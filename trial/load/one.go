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

// tries is how often a caller sends the same request, under the same id and
// to different entries, while it doesn't know what became of it.
const tries = 4

// tryPause is the pause between two tries.
const tryPause = 300 * time.Millisecond

// one sends a request and follows it to its end.
func (r *Runner) one(ctx context.Context, it *item) judge.Call {
	c := judge.Call{Tag: it.form.Body.Tag, Key: it.team.key, Team: it.team.name, Kind: string(it.form.Kind),
		Once: !it.form.Idempotent, Sent: time.Now()}
	reply, ok := r.submit(ctx, it, &c)
	if !ok {
		return c
	}
	if it.form.Kind == wire.Quick {
		c.Gone = reply.Reason == wire.ReasonGone
		checkBytes(it, 0, reply.Answer, &c)
		return c
	}
	c.Accepted = true
	r.follow(ctx, it, &c)
	return c
}

// submit sends the request until its caller knows what became of it, and
// reports whether there is more to see: an answer, or a job.
func (r *Runner) submit(ctx context.Context, it *item, c *judge.Call) (calls.Reply, bool) {
	var reply calls.Reply
	for try := range tries {
		var err error
		reply, err = r.client.Submit(r.door(it, try), it.team.secret, &it.form)
		c.Outcome, c.Reason = string(reply.Outcome), reply.Reason
		if reply.ID != "" {
			c.ID = reply.ID
		}
		if err != nil {
			c.Outcome, c.Reason = "", err.Error()
		}
		if err == nil && !again(&reply) {
			break
		}
		if !wait.For(ctx, tryPause) {
			break
		}
	}
	if it.form.Kind == wire.Quick {
		return reply, reply.Outcome == wire.Done
	}
	return reply, reply.Accepted() && reply.Outcome != wire.NotRun
}

// again reports whether the caller doesn't know yet what became of its
// request, and may find out by sending it once more.
func again(reply *calls.Reply) bool {
	switch reply.Status {
	case fasthttp.StatusUnauthorized, fasthttp.StatusForbidden:
		return false
	}
	if reply.Outcome == wire.NotRun {
		return false
	}
	return reply.Outcome == wire.Unknown || reply.Status/100 == 5
}

// follow watches a job to its end. A service is cancelled after its stay.
func (r *Runner) follow(ctx context.Context, it *item, c *judge.Call) {
	if it.form.Kind == wire.Service {
		wait.For(ctx, it.stay)
		r.cancel(ctx, it, c)
	}
	for try := 0; ; try++ {
		reply, err := r.client.Status(r.door(it, try), it.team.secret, c.ID)
		if err == nil && reply.Outcome != "" {
			reply, err = r.client.Result(r.door(it, try), it.team.secret, c.ID)
		}
		if err == nil && reply.Outcome != "" && !unread(&reply) {
			c.Outcome, c.Reason = string(reply.Outcome), reply.Reason
			checkOutputs(it, &reply, c)
			return
		}
		if !wait.For(ctx, pollTime) {
			c.Outcome, c.Reason = "", "the trial ended before the job"
			return
		}
	}
}

// unread reports whether an entry could not look at a job's record, so that
// the caller asks again: the job is accepted, and its outcome is kept.
func unread(reply *calls.Reply) bool {
	return reply.Outcome == wire.Unknown && (reply.Reason == wire.ReasonRecord || reply.Reason == wire.ReasonStale)
}

// cancel asks for the end of a job until an entry has heard it.
func (r *Runner) cancel(ctx context.Context, it *item, c *judge.Call) {
	for try := 0; ; try++ {
		reply, err := r.client.Cancel(r.door(it, try), it.team.secret, c.ID)
		if err == nil && reply.Status/100 == 2 {
			return
		}
		c.Detail = fmt.Sprintf("cancel: status %d, %s", reply.Status, reply.Reason)
		if !wait.For(ctx, tryPause) {
			return
		}
	}
}
