package oper

import (
	"bytes"
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/balsamford/balsamford/coord/admin"
	"github.com/balsamford/balsamford/coord/audit"
	"github.com/balsamford/balsamford/coord/config"
)

// bootstrapAuthor is the author of versions published with the bootstrap
// secret.
const bootstrapAuthor = "bootstrap"

// authenticate returns the name of the operator key in a request's
// Authorization header, or the failure to reply with. The bootstrap secret is
// valid as long as the configuration has no operator key.
func (s *Server) authenticate(ctx *fasthttp.RequestCtx) (string, *admin.Failure) {
	secret, ok := bytes.CutPrefix(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization), []byte("Bearer "))
	if !ok {
		return "", &admin.Failure{Code: admin.CodeKey, Text: `no key; send "Authorization: Bearer SECRET" with an operator's key`}
	}
	snap := s.follower.Current()
	if s.settings.Bootstrap.Matches(string(secret)) && (snap == nil || !hasOperator(snap)) {
		return bootstrapAuthor, nil
	}
	if snap == nil {
		return "", &admin.Failure{Code: admin.CodeStale, Text: "this host has no configuration yet; try another host, or publish the first one with the bootstrap secret"}
	}
	key := snap.Key(string(secret))
	if key == nil || !key.Operator() {
		return "", &admin.Failure{Code: admin.CodeKey, Text: "not an operator's key that is in force; ask another operator for one"}
	}
	if !s.follower.Fresh() {
		return "", &admin.Failure{Code: admin.CodeStale, Text: "this host's configuration is not confirmed, so it honours no keys; try another host"}
	}
	return key.Name, nil
}

func hasOperator(s *config.Snapshot) bool {
	set := s.Set()
	for _, ref := range set.Refs() {
		if k, ok := set.Object(ref).(*config.Key); ok && k.Operator() {
			return true
		}
	}
	return false
}

// writeAudit writes the audit record of a request that changes nothing. The
// request is served even if the platform doesn't respond; the record is then
// kept in memory and written later.
func (s *Server) writeAudit(ctx *fasthttp.RequestCtx, who string, action audit.Action, detail string) {
	now := s.clock.Now()
	r := audit.Record{
		ID: audit.NewID(now), When: now.UTC(), Who: who, Host: s.settings.Host, Action: action,
		Verdict: audit.Accepted, Object: string(ctx.Path()), Detail: detail,
	}
	if action == audit.Deny {
		r.Verdict = audit.Refused
	}
	c, cancel := s.withTimeout(auditTimeout)
	defer cancel()
	if err := s.publisher.Backlog().Write(c, r); err != nil {
		s.log.Warn("audit record could not be written; it will be retried")
	}
}

// deny refuses a request without a valid key. The rate of audit records about
// refused requests is limited, so that they can't fill the platform.
func (s *Server) deny(ctx *fasthttp.RequestCtx, f *admin.Failure) {
	s.counts.denied.Inc(1)
	if s.denyLimiter.AllowN(s.clock.Now(), 1) {
		s.writeAudit(ctx, "", audit.Deny, string(f.Code)+" from "+ctx.RemoteIP().String())
	}
	s.fail(ctx, f)
}

// withTimeout returns a context that is cancelled after t on the server's clock
// or when Run's context ends.
func (s *Server) withTimeout(t time.Duration) (context.Context, context.CancelFunc) {
	c, cancel := context.WithCancel(s.ctx)
	timer := s.clock.After(t, cancel)
	return c, func() { timer.Stop(); cancel() }
}
