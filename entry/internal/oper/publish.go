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

// parseEdit decodes a change from a request and converts it to an edit. It
// records the refusal of a change with syntax errors.
func (s *Server) parseEdit(ctx *fasthttp.RequestCtx, who string) (*config.Edit, admin.Change, *admin.Failure) {
	var in admin.Change
	if err := json.Unmarshal(ctx.PostBody(), &in); err != nil {
		return nil, in, &admin.Failure{Code: admin.CodeRequest, Text: "not a change: " + err.Error()}
	}
	if in.ID == "" {
		in.ID = audit.NewID(s.clock.Now())
	}
	if !audit.ValidID(in.ID) {
		return nil, in, &admin.Failure{Code: admin.CodeRequest, Text: "not an id of a publish; leave it out, or give one that a publish printed"}
	}
	e := &config.Edit{ID: in.ID, Author: who, Host: s.settings.Host, Base: config.AnyVersion, Action: in.Action, Delete: in.Delete}
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
	s.publisher.Refuse(s.ctx, e, faults)
	s.counts.refused.Inc(1)
	return nil, in, failureFor(&config.InvalidError{Faults: faults})
}

// serveCheck replies with the effect that a change would have.
func (s *Server) serveCheck(ctx *fasthttp.RequestCtx, who string) {
	e, _, failure := s.parseEdit(ctx, who)
	if failure != nil {
		s.fail(ctx, failure)
		return
	}
	c, cancel := s.withTimeout(callTimeout)
	defer cancel()
	res, err := s.publisher.Preview(c, e)
	if err != nil {
		s.fail(ctx, failureFor(err))
		return
	}
	s.writeJSON(ctx, admin.Checked{Version: res.Head.Version, Changes: res.Changes, Faults: res.Warnings})
}

// servePublish publishes a change. If the change asks for that, it streams the
// progress until the version is in force.
func (s *Server) servePublish(ctx *fasthttp.RequestCtx, who string) {
	e, in, failure := s.parseEdit(ctx, who)
	if failure != nil && failure.Code == admin.CodeRequest {
		s.writeAudit(ctx, who, audit.Read, failure.Text) // There is no edit to record, so the request is recorded as a read.
	}
	if failure != nil {
		s.fail(ctx, failure)
		return
	}
	c, cancel := s.withTimeout(callTimeout)
	defer cancel()
	res, err := s.publisher.Publish(c, e)
	s.count(err)
	if err != nil {
		s.fail(ctx, failureFor(err))
		return
	}
	step := admin.Step{
		ID: e.ID, Version: res.Head.Version, Published: true, Unchanged: res.Unchanged,
		Changes: res.Changes, Warnings: res.Warnings, Done: !in.Wait,
	}
	if !in.Wait {
		s.writeJSON(ctx, step)
		s.awaitInBackground(res)
		return
	}
	ctx.SetContentType("application/x-ndjson")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) { s.streamProgress(w, step, res, in.Timeout) })
}

// awaitInBackground distributes a version to all hosts and waits until it is in
// force, for a request that doesn't wait itself. It does nothing if
// maxBackgroundWaits versions are already being distributed: hosts also find
// new versions by polling.
func (s *Server) awaitInBackground(res config.Result) {
	s.background.TryGo(func() error {
		c, cancel := s.withTimeout(defaultWait + res.Head.Older)
		defer cancel()
		_, err := s.waiter.Wait(c, res, func(config.Progress) {})
		if err != nil {
			s.log.Info("version not confirmed to be in force", zap.Uint64("version", res.Head.Version), zap.Error(err))
		}
		return nil
	})
}

func (s *Server) count(err error) {
	var conflict *config.ConflictError
	var invalid *config.InvalidError
	var unknown *config.UnknownError
	switch {
	case err == nil:
		s.counts.publish.Inc(1)
	case errors.As(err, &conflict):
		s.counts.conflict.Inc(1)
	case errors.As(err, &invalid):
		s.counts.refused.Inc(1)
	case errors.As(err, &unknown):
		s.counts.unknown.Inc(1)
	}
}

// streamProgress writes a JSON line for each step until the version is in force
// everywhere or the time limit is over.
func (s *Server) streamProgress(w *bufio.Writer, step admin.Step, res config.Result, limit time.Duration) {
	write := func(s admin.Step) {
		if json.NewEncoder(w).Encode(s) == nil {
			_ = w.Flush()
		}
	}
	write(step)
	if limit <= 0 {
		limit = defaultWait + res.Head.Older
	}
	c, cancel := s.withTimeout(min(limit, maxWait))
	defer cancel()
	last, err := s.waiter.Wait(c, res, func(p config.Progress) {
		write(admin.Step{ID: step.ID, Version: step.Version, Progress: &p})
	})
	end := admin.Step{ID: step.ID, Version: step.Version, Progress: &last, Done: true}
	if err != nil {
		end.Failure = failureFor(err)
	}
	write(end)
}
