package oper

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/balsamford/balsamford/coord/admin"
	"github.com/balsamford/balsamford/coord/audit"
	"github.com/balsamford/balsamford/coord/config"
)

const (
	defaultMost  = 50
	maxMost      = 10_000
	defaultSince = 24 * time.Hour
)

// version returns the snapshot that a query names, the newest without one.
func (d *Door) version(ctx *fasthttp.RequestCtx, name string) (*config.Snapshot, *admin.Failure) {
	c, cancel := d.timeout(callTime)
	defer cancel()
	text := string(ctx.QueryArgs().Peek(name))
	if text == "" {
		_, snap, err := d.publisher.Newest(c)
		if err != nil {
			return nil, failureOf(err)
		}
		return snap, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return nil, &admin.Failure{Code: admin.CodeRequest, Text: name + ": not a version; write its number"}
	}
	snap, err := d.publisher.Version(c, n)
	if err != nil {
		return nil, failureOf(err)
	}
	return snap, nil
}

// show answers a version as TOML, or one object of it.
func (d *Door) show(ctx *fasthttp.RequestCtx) {
	snap, failure := d.version(ctx, "version")
	if failure != nil {
		d.fail(ctx, failure)
		return
	}
	data := snap.Data()
	if name := string(ctx.QueryArgs().Peek("object")); name != "" {
		o := snap.Set().Object(config.ParseRef(name))
		if o == nil {
			d.fail(ctx, &admin.Failure{Code: admin.CodeMissing, Text: "version " + strconv.FormatUint(snap.Version(), 10) + " has no object " + name})
			return
		}
		data = config.EncodeObject(o)
	}
	ctx.Response.Header.Set(admin.BaseHeader, strconv.FormatUint(snap.Version(), 10))
	ctx.SetContentType("application/toml")
	ctx.SetBody(data)
}

// diff answers what changed between two versions.
func (d *Door) diff(ctx *fasthttp.RequestCtx) {
	to, failure := d.version(ctx, "to")
	if failure != nil {
		d.fail(ctx, failure)
		return
	}
	if !ctx.QueryArgs().Has("from") && to.Version() > 0 {
		ctx.QueryArgs().Set("from", strconv.FormatUint(to.Version()-1, 10))
	}
	from, failure := d.version(ctx, "from")
	if failure != nil {
		d.fail(ctx, failure)
		return
	}
	d.answer(ctx, admin.Checked{Version: to.Version(), Changes: config.Compare(from.Set(), to.Set())})
}

// versions answers the heads of the newest versions.
func (d *Door) versions(ctx *fasthttp.RequestCtx) {
	c, cancel := d.timeout(callTime)
	defer cancel()
	heads, err := d.publisher.Versions(c, most(ctx))
	if err != nil {
		d.fail(ctx, failureOf(err))
		return
	}
	d.answer(ctx, heads)
}

// hosts answers which version each process has.
func (d *Door) hosts(ctx *fasthttp.RequestCtx) {
	c, cancel := d.timeout(callTime)
	defer cancel()
	seen, err := d.waiter.Hosts(c)
	if err != nil {
		d.fail(ctx, failureOf(err))
		return
	}
	drains, err := config.Drains(c, d.platform)
	if err != nil {
		d.fail(ctx, failureOf(err))
		return
	}
	drained := make(map[string]bool, len(drains))
	for _, dr := range drains {
		drained[dr.Host] = true
	}
	out := make([]admin.Host, 0, len(seen))
	for _, h := range seen {
		out = append(out, admin.Host{
			Name: h.Peer.Name, Zone: h.Peer.Zone, Address: h.Peer.Address, Reached: h.Reached,
			Version: h.Status.Head.Version, Age: h.Status.Age, Drained: drained[h.Peer.Name],
		})
	}
	d.answer(ctx, out)
}

// audit answers records of the trail.
func (d *Door) audit(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	now := d.timers.Now()
	q := audit.Query{
		Since: now.Add(-defaultSince), Until: now.Add(time.Minute), Most: most(ctx),
		Who: string(args.Peek("who")), Action: audit.Action(args.Peek("action")),
		Verdict: audit.Verdict(args.Peek("verdict")), Object: string(args.Peek("object")),
	}
	for name, at := range map[string]*time.Time{"since": &q.Since, "until": &q.Until} {
		text := string(args.Peek(name))
		if text == "" {
			continue
		}
		v, err := time.Parse(time.RFC3339, text)
		if err != nil {
			d.fail(ctx, &admin.Failure{Code: admin.CodeRequest, Text: name + `: not a time; write it like "2030-01-31T12:00:00Z"`})
			return
		}
		*at = v
	}
	c, cancel := d.timeout(callTime)
	defer cancel()
	records, err := d.trail.Query(c, q)
	if err != nil {
		d.fail(ctx, failureOf(err))
		return
	}
	d.answer(ctx, records)
}

func most(ctx *fasthttp.RequestCtx) int {
	n, err := ctx.QueryArgs().GetUint("most")
	if err != nil || n == 0 {
		return defaultMost
	}
	return min(n, maxMost)
}
