package oper

import (
	"github.com/valyala/fasthttp"

	"github.com/balsamford/balsamford/coord/admin"
	"github.com/balsamford/balsamford/coord/audit"
	"github.com/balsamford/balsamford/coord/config"
)

// drainHost starts the drain of a host or an endpoint (PUT), or ends it
// (DELETE).
func (s *Server) drainHost(ctx *fasthttp.RequestCtx, who, host string) {
	c, cancel := s.withTimeout(callTimeout)
	defer cancel()
	now := s.clock.Now()
	id := audit.NewID(now)
	dr := config.Drain{Host: host, Author: who, Door: s.settings.Host, When: now, Note: string(ctx.QueryArgs().Peek("note"))}
	var err error
	switch {
	case ctx.IsPut():
		err = config.SetDrain(c, s.platform, id, dr)
	case ctx.IsDelete():
		err = config.EndDrain(c, s.platform, id, dr)
	default:
		s.writeAudit(ctx, who, audit.Read, string(ctx.Method()))
		s.fail(ctx, &admin.Failure{Code: admin.CodeMissing, Text: "use PUT to drain a host and DELETE to end it"})
		return
	}
	if err != nil {
		s.fail(ctx, &admin.Failure{Code: admin.CodeUnknown, Text: "not known whether it was done, ask again: " + err.Error()})
		return
	}
	s.writeJSON(ctx, admin.Empty{})
}

// serveDrains replies with all drains.
func (s *Server) serveDrains(ctx *fasthttp.RequestCtx) {
	c, cancel := s.withTimeout(callTimeout)
	defer cancel()
	out, err := config.Drains(c, s.platform)
	if err != nil {
		s.fail(ctx, failureFor(err))
		return
	}
	s.writeJSON(ctx, out)
}
