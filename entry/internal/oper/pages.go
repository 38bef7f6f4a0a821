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
	defaultLimit     = 50
	maxLimit         = 10_000
	defaultAuditSpan = 24 * time.Hour
)

// version returns the snapshot whose number is the named query parameter, or
// the newest one without the parameter.
func (s *Server) version(ctx *fasthttp.RequestCtx, name string) (*config.Snapshot, *admin.Failure) {
	c, cancel := s.withTimeout(callTimeout)
	defer cancel()
	text := string(ctx.QueryArgs().Peek(name))
	if text == "" {
		_, snap, err := s.publisher.Newest(c)
		if err != nil {
			return nil, failureFor(err)
		}
		return snap, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return nil, &admin.Failure{Code: admin.CodeRequest, Text: name + ": not a version; write its number"}
	}
	snap, err := s.publisher.Version(c, n)
	if err != nil {
		return nil, failureFor(err)
	}
	return snap, nil
}

// serveConfig replies with a version of the configuration, or one object of it,
// as TOML.
func (s *Server) serveConfig(ctx *fasthttp.RequestCtx) {
	snap, failure := s.version(ctx, "version")
	if failure != nil {
		s.fail(ctx, failure)
		return
	}
	data := snap.Data()
	if name := string(ctx.QueryArgs().Peek("object")); name != "" {
		o := snap.Set().Object(config.ParseRef(name))
		if o == nil {
			s.fail(ctx, &admin.Failure{Code: admin.CodeMissing, Text: "version " + strconv.FormatUint(snap.Version(), 10) + " has no object " + name})
			return
		}
		data = config.EncodeObject(o)
	}
	ctx.Response.Header.Set(admin.BaseHeader, strconv.FormatUint(snap.Version(), 10))
	ctx.SetContentType("application/toml")
	ctx.SetBody(data)
}

// serveDiff replies with the changes between two versions.
func (s *Server) serveDiff(ctx *fasthttp.RequestCtx) {
	to, failure := s.version(ctx, "to")
	if failure != nil {
		s.fail(ctx, failure)
		return
	}
	if !ctx.QueryArgs().Has("from") && to.Version() > 0 {
		ctx.QueryArgs().Set("from", strconv.FormatUint(to.Version()-1, 10))
	}
	from, failure := s.version(ctx, "from")
	if failure != nil {
		s.fail(ctx, failure)
		return
	}
	s.writeJSON(ctx, admin.Checked{Version: to.Version(), Changes: config.Compare(from.Set(), to.Set())})
}

// serveVersions replies with the metadata of the newest versions.
func (s *Server) serveVersions(ctx *fasthttp.RequestCtx) {
	c, cancel := s.withTimeout(callTimeout)
	defer cancel()
	heads, err := s.publisher.Versions(c, queryLimit(ctx))
	if err != nil {
		s.fail(ctx, failureFor(err))
		return
	}
	s.writeJSON(ctx, heads)
}

// serveHosts replies with the configuration version of each process.
func (s *Server) serveHosts(ctx *fasthttp.RequestCtx) {
	c, cancel := s.withTimeout(callTimeout)
	defer cancel()
	seen, err := s.waiter.Hosts(c)
	if err != nil {
		s.fail(ctx, failureFor(err))
		return
	}
	drains, err := config.Drains(c, s.platform)
	if err != nil {
		s.fail(ctx, failureFor(err))
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
	s.writeJSON(ctx, out)
}

// serveAudit replies with the audit records that match the query.
func (s *Server) serveAudit(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	now := s.clock.Now()
	q := audit.Query{
		Since: now.Add(-defaultAuditSpan), Until: now.Add(time.Minute), Most: queryLimit(ctx),
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
			s.fail(ctx, &admin.Failure{Code: admin.CodeRequest, Text: name + `: not a time; write it like "2030-01-31T12:00:00Z"`})
			return
		}
		*at = v
	}
	c, cancel := s.withTimeout(callTimeout)
	defer cancel()
	records, err := s.trail.Query(c, q)
	if err != nil {
		s.fail(ctx, failureFor(err))
		return
	}
	s.writeJSON(ctx, records)
}

// queryLimit returns the largest number of results that the query asks for,
// capped at maxLimit.
func queryLimit(ctx *fasthttp.RequestCtx) int {
	n, err := ctx.QueryArgs().GetUint("most")
	if err != nil || n == 0 {
		return defaultLimit
	}
	return min(n, maxLimit)
}
