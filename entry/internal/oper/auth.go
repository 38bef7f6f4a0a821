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

// bootstrapName is the author of what is published with the bootstrap secret.
const bootstrapName = "bootstrap"

// operator returns the name of the operator's key that the request carries.
func (d *Door) operator(ctx *fasthttp.RequestCtx) (string, *admin.Failure) {
	secret, ok := bytes.CutPrefix(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization), []byte("Bearer "))
	if !ok {
		return "", &admin.Failure{Code: admin.CodeKey, Text: `no key; send "Authorization: Bearer SECRET" with an operator's key`}
	}
	snap := d.follower.Current()
	if d.settings.Bootstrap.Matches(string(secret)) && (snap == nil || !hasOperator(snap)) {
		return bootstrapName, nil
	}
	if snap == nil {
		return "", &admin.Failure{Code: admin.CodeStale, Text: "this host has no configuration yet; try another host, or publish the first one with the bootstrap secret"}
	}
	key := snap.Key(string(secret))
	if key == nil || !key.Operator() {
		return "", &admin.Failure{Code: admin.CodeKey, Text: "not an operator's key that is in force; ask another operator for one"}
	}
	if !d.follower.Fresh() {
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

// note writes the audit record of a request that changes nothing. A platform
// that doesn't answer doesn't keep it from being served.
func (d *Door) note(ctx *fasthttp.RequestCtx, who string, action audit.Action, detail string) {
	now := d.timers.Now()
	r := audit.Record{
		ID: audit.NewID(now), When: now.UTC(), Who: who, Host: d.settings.Host, Action: action,
		Verdict: audit.Accepted, Object: string(ctx.Path()), Detail: detail,
	}
	if action == audit.Deny {
		r.Verdict = audit.Refused
	}
	c, cancel := d.timeout(auditTime)
	defer cancel()
	if err := d.publisher.Backlog().Write(c, r); err != nil {
		d.log.Warn("audit record not written yet")
	}
}

// deny answers a request without a valid key. Records of those are limited in
// number, so that they can't fill the platform.
func (d *Door) deny(ctx *fasthttp.RequestCtx, f *admin.Failure) {
	d.counts.denied.Inc(1)
	if d.denied.AllowN(d.timers.Now(), 1) {
		d.note(ctx, "", audit.Deny, string(f.Code)+" from "+ctx.RemoteIP().String())
	}
	d.fail(ctx, f)
}

func (d *Door) timeout(t time.Duration) (context.Context, context.CancelFunc) {
	c, cancel := context.WithCancel(d.ctx)
	timer := d.timers.After(t, cancel)
	return c, func() { timer.Stop(); cancel() }
}
