package oper

import (
	"bufio"
	"encoding/json"
	"errors"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/admin"
	"github.com/balsamford/balsamford/coord/audit"
	"github.com/balsamford/balsamford/coord/config"
)

// edit reads the change that a request asks for.
func (d *Door) edit(ctx *fasthttp.RequestCtx, who string) (*config.Edit, admin.Change, *admin.Failure) {
	var in admin.Change
	if err := json.Unmarshal(ctx.PostBody(), &in); err != nil {
		return nil, in, &admin.Failure{Code: admin.CodeRequest, Text: "not a change: " + err.Error()}
	}
	if in.ID == "" {
		in.ID = audit.NewID(d.timers.Now())
	}
	if !audit.ValidID(in.ID) {
		return nil, in, &admin.Failure{Code: admin.CodeRequest, Text: "not an id of a publish; leave it out, or give one that a publish printed"}
	}
	e := &config.Edit{ID: in.ID, Author: who, Host: d.settings.Host, Base: config.AnyVersion, Action: in.Action, Delete: in.Delete}
	if in.Base != nil {
		e.Base = *in.Base
	}
	set, faults := config.Parse(in.Files...)
	switch in.Action {
	case audit.Publish:
		e.Whole = set
	case audit.Set, audit.Delete:
		for _, ref := range set.Refs() {
			e.Put = append(e.Put, set.Object(ref))
		}
	default:
		return nil, in, &admin.Failure{Code: admin.CodeRequest, Text: `no such action; write "publish", "set" or "delete"`}
	}
	if len(faults) == 0 {
		return e, in, nil
	}
	faults = append(faults, config.Errors(set.Check())...)
	d.publisher.Refuse(d.ctx, e, faults)
	d.counts.refused.Inc(1)
	return nil, in, failureOf(&config.InvalidError{Faults: faults})
}

// check says what a change would do.
func (d *Door) check(ctx *fasthttp.RequestCtx, who string) {
	e, _, failure := d.edit(ctx, who)
	if failure != nil {
		d.fail(ctx, failure)
		return
	}
	c, cancel := d.timeout(callTime)
	defer cancel()
	res, err := d.publisher.Preview(c, e)
	if err != nil {
		d.fail(ctx, failureOf(err))
		return
	}
	d.answer(ctx, admin.Checked{Version: res.Head.Version, Changes: res.Changes, Faults: res.Warnings})
}

// publish publishes a change and, if asked to, reports until it is in force.
func (d *Door) publish(ctx *fasthttp.RequestCtx, who string) {
	e, in, failure := d.edit(ctx, who)
	if failure != nil && failure.Code == admin.CodeRequest {
		d.note(ctx, who, audit.Read, failure.Text) // What it asked for can't be told.
	}
	if failure != nil {
		d.fail(ctx, failure)
		return
	}
	c, cancel := d.timeout(callTime)
	defer cancel()
	res, err := d.publisher.Publish(c, e)
	d.count(err)
	if err != nil {
		d.fail(ctx, failureOf(err))
		return
	}
	step := admin.Step{
		ID: e.ID, Version: res.Head.Version, Published: true, Unchanged: res.Unchanged,
		Changes: res.Changes, Warnings: res.Warnings, Done: !in.Wait,
	}
	if !in.Wait {
		d.answer(ctx, step)
		d.spread(res)
		return
	}
	ctx.SetContentType("application/x-ndjson")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) { d.wait(w, step, res, in.Timeout) })
}

// spread brings a version to all hosts and notes when it is in force, for a
// request that doesn't wait for that. Whatever is left out under load, hosts
// find by their own reading.
func (d *Door) spread(res config.Result) {
	d.group.TryGo(func() error {
		c, cancel := d.timeout(waitTime + res.Head.Older)
		defer cancel()
		_, err := d.waiter.Wait(c, res, func(config.Progress) {})
		if err != nil {
			d.log.Info("version not known to be in force", zap.Uint64("version", res.Head.Version), zap.Error(err))
		}
		return nil
	})
}

func (d *Door) count(err error) {
	var conflict *config.ConflictError
	var invalid *config.InvalidError
	var unknown *config.UnknownError
	switch {
	case err == nil:
		d.counts.publish.Inc(1)
	case errors.As(err, &conflict):
		d.counts.conflict.Inc(1)
	case errors.As(err, &invalid):
		d.counts.refused.Inc(1)
	case errors.As(err, &unknown):
		d.counts.unknown.Inc(1)
	}
}

// wait writes a line for each step towards acceptance.
func (d *Door) wait(w *bufio.Writer, step admin.Step, res config.Result, limit time.Duration) {
	write := func(s admin.Step) {
		if json.NewEncoder(w).Encode(s) == nil {
			_ = w.Flush()
		}
	}
	write(step)
	if limit <= 0 {
		limit = waitTime + res.Head.Older
	}
	c, cancel := d.timeout(min(limit, maxWaitTime))
	defer cancel()
	last, err := d.waiter.Wait(c, res, func(p config.Progress) {
		write(admin.Step{ID: step.ID, Version: step.Version, Progress: &p})
	})
	end := admin.Step{ID: step.ID, Version: step.Version, Progress: &last, Done: true}
	if err != nil {
		end.Failure = failureOf(err)
	}
	write(end)
}
