package oper

import (
	"encoding/json"
	"errors"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/balsamford/balsamford/coord/admin"
	"github.com/balsamford/balsamford/coord/audit"
	"github.com/balsamford/balsamford/coord/config"
)

// handle serves one request.
func (d *Door) handle(ctx *fasthttp.RequestCtx) {
	who, failure := d.operator(ctx)
	if failure != nil {
		d.deny(ctx, failure)
		return
	}
	d.counts.requests.Inc(1)
	path, method := string(ctx.Path()), string(ctx.Method())
	if host, ok := strings.CutPrefix(path, admin.PathHost); ok && host != "" {
		d.drainHost(ctx, who, host)
		return
	}
	if method+" "+path == "POST "+admin.PathPublish {
		d.publish(ctx, who)
		return
	}
	d.note(ctx, who, audit.Read, string(ctx.QueryArgs().QueryString()))
	if method+" "+path == "POST "+admin.PathCheck {
		d.check(ctx, who)
		return
	}
	page := d.page(method + " " + path)
	if page == nil {
		d.fail(ctx, &admin.Failure{Code: admin.CodeMissing, Text: "no such page: " + method + " " + path + "; docs/CONFIG.md lists them"})
		return
	}
	page(ctx)
}

// page returns the handler of a page that changes nothing.
func (d *Door) page(name string) fasthttp.RequestHandler {
	switch name {
	case "GET " + admin.PathConfig:
		return d.show
	case "GET " + admin.PathDiff:
		return d.diff
	case "GET " + admin.PathVersions:
		return d.versions
	case "GET " + admin.PathHosts:
		return d.hosts
	case "GET " + admin.PathAudit:
		return d.audit
	case "GET " + admin.PathDrain:
		return d.drains
	case "GET " + admin.PathWatch:
		return d.watch
	}
	return nil
}

func (d *Door) answer(ctx *fasthttp.RequestCtx, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		d.fail(ctx, &admin.Failure{Code: admin.CodeUnavailable, Text: err.Error()})
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(append(data, '\n'))
}

func (d *Door) fail(ctx *fasthttp.RequestCtx, f *admin.Failure) {
	ctx.ResetBody()
	d.answer(ctx, f)
	ctx.SetStatusCode(status(f.Code))
}

func status(c admin.Code) int {
	switch c {
	case admin.CodeInvalid, admin.CodeRequest:
		return fasthttp.StatusBadRequest
	case admin.CodeKey:
		return fasthttp.StatusUnauthorized
	case admin.CodeMissing:
		return fasthttp.StatusNotFound
	case admin.CodeConflict:
		return fasthttp.StatusConflict
	case admin.CodeUnknown:
		return fasthttp.StatusGatewayTimeout
	case admin.CodeWaiting:
		return fasthttp.StatusOK
	default:
		return fasthttp.StatusServiceUnavailable
	}
}

// failureOf says as a message what went wrong.
func failureOf(err error) *admin.Failure {
	f := &admin.Failure{Code: admin.CodeUnavailable, Text: err.Error()}
	var invalid *config.InvalidError
	var conflict *config.ConflictError
	var unpublished *config.UnpublishedError
	var unknown *config.UnknownError
	var used *config.UsedError
	var missing *config.MissingVersionError
	var wait *config.WaitError
	switch {
	case errors.As(err, &invalid):
		f.Code, f.Faults = admin.CodeInvalid, invalid.Faults
	case errors.As(err, &conflict):
		f.Code, f.Conflict = admin.CodeConflict, conflict
	case errors.As(err, &unknown):
		f.Code, f.ID = admin.CodeUnknown, unknown.ID
	case errors.As(err, &unpublished):
		f.ID = unpublished.ID
	case errors.As(err, &used):
		f.Code, f.ID = admin.CodeRequest, used.ID
	case errors.As(err, &missing):
		f.Code = admin.CodeMissing
	case errors.As(err, &wait):
		f.Code, f.Progress = admin.CodeWaiting, &wait.Progress
	}
	return f
}
