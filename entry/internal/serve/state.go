package serve

import (
	"context"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/balsamford/balsamford/coord/httpd"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/entry/internal/jobs"
	"github.com/balsamford/balsamford/entry/internal/record"
	"github.com/balsamford/balsamford/entry/internal/relay"
)

// reply converts the state of a request to the JSON reply.
func (f *lookupResult) reply(id string) Reply {
	if f.Job != nil {
		return jobReply(id, f.Job, false)
	}
	return Reply{
		ID: record.CallerID(id), Phase: f.Phase, Outcome: f.Note.Outcome, Reason: f.Note.Reason, Detail: f.Note.Detail,
		Code: f.Note.Code, Size: f.Note.Size, Kept: f.Note.Kept,
	}
}

// replyNotFound replies to a query for an id that wasn't found. It says that
// the request doesn't exist only if a host with complete records confirms it.
func (s *Service) replyNotFound(x *httpd.Exchange, id string, f lookupResult) {
	r := Reply{ID: record.CallerID(id), Outcome: wire.Unknown, Reason: wire.ReasonGone, Keep: s.keepSeconds()}
	switch {
	case s.Keeper.Expired(id):
		r.Detail = "the id is older than records are kept"
		send(x, fasthttp.StatusGone, r)
	case f.Authoritative:
		r.Outcome, r.Reason, r.Detail = "", "", "no request with this id is known"
		send(x, fasthttp.StatusNotFound, r)
	default:
		r.Reason, r.Detail = wire.ReasonRecord, "the hosts that would know the request can't be reached"
		send(x, fasthttp.StatusServiceUnavailable, r)
	}
}

// serveStatus replies with the state of a request.
func (s *Service) serveStatus(x *httpd.Exchange, team, id string) {
	f := s.lookup(x.Context(), inquiry{ID: id, Team: team})
	if !f.Found {
		s.replyNotFound(x, id, f)
		return
	}
	send(x, fasthttp.StatusOK, f.reply(id))
}

// serveResult replies with a request's recorded answer, or a job's outputs.
func (s *Service) serveResult(x *httpd.Exchange, team, id string) {
	f := s.lookup(x.Context(), inquiry{ID: id, Team: team, Body: true})
	switch {
	case !f.Found:
		s.replyNotFound(x, id, f)
	case f.Phase != wire.Ended:
		send(x, fasthttp.StatusAccepted, f.reply(id))
	case f.Job != nil:
		code := status(f.Job.Job.Outcome, f.Job.Job.Reason)
		send(x, code, jobReply(id, f.Job, true))
	default:
		s.writeResult(x, &callerSink{}, id, replay(&f.Note))
	}
}

// serveCancel cancels a request and replies with its state afterwards.
func (s *Service) serveCancel(x *httpd.Exchange, team, id string) {
	f := s.lookup(x.Context(), inquiry{ID: id, Team: team, Cancel: true})
	if !f.Found {
		s.replyNotFound(x, id, f)
		return
	}
	if f.Job == nil {
		send(x, fasthttp.StatusOK, f.reply(id))
		return
	}
	if err := s.cancelJob(x.Context(), id, f.Job); err != nil {
		fail(x, id, relay.Unknown(wire.ReasonRecord, "the cancellation could not be written: "+err.Error()))
		return
	}
	f.Job.Job.Cancel = true
	send(x, fasthttp.StatusAccepted, f.reply(id))
}

// cancelJob sets the cancel flag in a job's row and calls the driver to end the
// job. If the driver can't be reached, the next driver finds the flag.
func (s *Service) cancelJob(ctx context.Context, id string, v *jobs.View) error {
	if v.Held && s.Jobs.Cancel(ctx, id) || v.Job.Phase == wire.Ended {
		return nil
	}
	err := s.Jobs.Change(ctx, id, func(job *wire.Job) bool {
		if job.Cancel || job.Phase == wire.Ended {
			return false
		}
		job.Cancel = true
		return true
	})
	for _, p := range s.Table.Placers() {
		if p.Name != v.Job.Driver {
			continue
		}
		var c wire.Cancelled
		callCtx, cancel := context.WithCancel(ctx)
		timeout := s.Clock.After(statusTimeout, cancel)
		callErr := s.Net.Call(callCtx, p.Link, wire.VerbCancel, wire.Lookup{ID: id}, &c)
		timeout.Stop()
		cancel()
		if callErr == nil && c.Found {
			return nil
		}
	}
	return err
}

// watchInterval is how often the state of a watched request is polled.
const watchInterval = 500 * time.Millisecond

// serveWatch streams one JSON line for each change of a request's state, up to
// and including the outcome.
func (s *Service) serveWatch(x *httpd.Exchange, team, id string) {
	f := s.lookup(x.Context(), inquiry{ID: id, Team: team})
	if !f.Found {
		s.replyNotFound(x, id, f)
		return
	}
	x.Header().Set(headerID, record.CallerID(id))
	if err := x.Begin(fasthttp.StatusOK, "application/jsonl", -1); err != nil {
		return
	}
	last := ""
	for {
		line, err := json.Marshal(f.reply(id))
		if err != nil {
			return
		}
		if string(line) != last {
			last = string(line)
			if _, err := x.Write(append(line, '\n')); err != nil {
				return
			}
		}
		if f.Phase == wire.Ended {
			_ = x.Finish()
			return
		}
		if s.Clock.Sleep(x.Context(), watchInterval) != nil || s.ctx.Err() != nil || s.leaving.Load() {
			return
		}
		if next := s.lookup(x.Context(), inquiry{ID: id, Team: team}); next.Found {
			f = next
		}
	}
}
