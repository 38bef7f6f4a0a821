package oper

import (
	"github.com/valyala/fasthttp"

	"github.com/balsamford/balsamford/coord/admin"
	"github.com/balsamford/balsamford/coord/audit"
	"github.com/balsamford/balsamford/coord/config"
)

// drainHost puts a host or an endpoint under a drain, or ends it.
func (d *Door) drainHost(ctx *fasthttp.RequestCtx, who, host string) {
	c, cancel := d.timeout(callTime)
	defer cancel()
	now := d.timers.Now()
	id := audit.NewID(now)
	dr := config.Drain{Host: host, Author: who, Door: d.settings.Host, When: now, Note: string(ctx.QueryArgs().Peek("note"))}
	var err error
	switch {
	case ctx.IsPut():
		err = config.SetDrain(c, d.platform, id, dr)
	case ctx.IsDelete():
		err = config.EndDrain(c, d.platform, id, dr)
	default:
		d.note(ctx, who, audit.Read, string(ctx.Method()))
		d.fail(ctx, &admin.Failure{Code: admin.CodeMissing, Text: "use PUT to drain a host and DELETE to end it"})
		return
	}
	if err != nil {
		d.fail(ctx, &admin.Failure{Code: admin.CodeUnknown, Text: "not known whether it was done, ask again: " + err.Error()})
		return
	}
	d.answer(ctx, admin.Empty{})
}

// drains answers all drains.
func (d *Door) drains(ctx *fasthttp.RequestCtx) {
	c, cancel := d.timeout(callTime)
	defer cancel()
	out, err := config.Drains(c, d.platform)
	if err != nil {
		d.fail(ctx, failureOf(err))
		return
	}
	d.answer(ctx, out)
}
