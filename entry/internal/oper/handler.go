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

// handle authenticates a request and dispatches it by method and path.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	who, failure := s.authenticate(ctx)
	if failure != nil {
		s.deny(ctx, failure)
		return
	}
	s.counts.requests.Inc(1)
	path, method := string(ctx.Path()), string(ctx.Method())
	if host, ok := strings.CutPrefix(path, admin.PathHost); ok && host != "" {
		s.drainHost(ctx, who, host)
		return
	}
	if method+" "+path == "POST "+admin.PathPublish {
		s.servePublish(ctx, who)
		return
	}
	s.writeAudit(ctx, who, audit.Read, string(ctx.QueryArgs().QueryString()))
	if method+" "+path == "POST "+admin.PathCheck {
		s.serveCheck(ctx, who)
		return
	}
	handler := s.handlerFor(method + " " + path)
	if handler == nil {
		s.fail(ctx, &admin.Failure{Code: admin.CodeMissing, Text: "no such page: " + method + " " + path + "; docs/CONFIG.md lists them"})
		return
	}
	handler(ctx)
}

// handlerFor returns the handler of a read-only "METHOD path", or nil.
func (s *Server) handlerFor(name string) fasthttp.RequestHandler {
	switch name {
	case "GET " + admin.PathConfig:
		return s.serveConfig
	case "GET " + admin.PathDiff:
		return s.serveDiff
	case "GET " + admin.PathVersions:
		return s.serveVersions
	case "GET " + admin.PathHosts:
		return s.serveHosts
	case "GET " + admin.PathAudit:
		return s.serveAudit
	case "GET " + admin.PathDrain:
		return s.serveDrains
	case "GET " + admin.PathWatch:
		return s.serveWatch
	}
	return nil
}

func (s *Server) writeJSON(ctx *fasthttp.RequestCtx, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		s.fail(ctx, &admin.Failure{Code: admin.CodeUnavailable, Text: err.Error()})
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(append(data, '\n'))
}

func (s *Server) fail(ctx *fasthttp.RequestCtx, f *admin.Failure) {
	ctx.ResetBody()
	s.writeJSON(ctx, f)
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

// failureFor converts an error to a failure message.
func failureFor(err error) *admin.Failure {
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
