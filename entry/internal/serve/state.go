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

// reply describes a finding to the request's caller.
func (f *finding) reply(id string) Reply {
	if f.Job != nil {
		return jobReply(id, f.Job, false)
	}
	return Reply{
		ID: record.CallerID(id), Phase: f.Phase, Outcome: f.Note.Outcome, Reason: f.Note.Reason, Detail: f.Note.Detail,
		Code: f.Note.Code, Size: f.Note.Size, Kept: f.Note.Kept,
	}
}

// missing answers a question for a request that wasn't found. Only a host
// that would know says so.
func (s *Service) missing(x *httpd.Exchange, id string, f finding) {
	r := Reply{ID: record.CallerID(id), Outcome: wire.Unknown, Reason: wire.ReasonGone, Keep: s.keepSeconds()}
	switch {
	case s.Keeper.Expired(id):
		r.Detail = "the id is older than records are kept"
		send(x, fasthttp.StatusGone, r)
	case f.Sure:
		r.Outcome, r.Reason, r.Detail = "", "", "no request with this id is known"
		send(x, fasthttp.StatusNotFound, r)
	default:
		r.Reason, r.Detail = wire.ReasonRecord, "the hosts that would know the request can't be reached"
		send(x, fasthttp.StatusServiceUnavailable, r)
	}
}

// serveStatus answers where a request stands.
func (s *Service) serveStatus(x *httpd.Exchange, team, id string) {
	f := s.look(x.Context(), inquiry{ID: id, Team: team})
	if !f.Found {
		s.missing(x, id, f)
		return
	}
	send(x, fasthttp.StatusOK, f.reply(id))
}

// serveResult answers with a request's recorded answer, or a job's outputs.
func (s *Service) serveResult(x *httpd.Exchange, team, id string) {
	f := s.look(x.Context(), inquiry{ID: id, Team: team, Body: true})
	switch {
	case !f.Found:
		s.missing(x, id, f)
	case f.Phase != wire.Ended:
		send(x, fasthttp.StatusAccepted, f.reply(id))
	case f.Job != nil:
		code := status(f.Job.Job.Outcome, f.Job.Job.Reason)
		send(x, code, jobReply(id, f.Job, true))
	default:
		s.finish(x, &callerSink{}, id, replay(&f.Note))
	}
}

// serveCancel cancels a request and answers what became of it.
func (s *Service) serveCancel(x *httpd.Exchange, team, id string) {
	f := s.look(x.Context(), inquiry{ID: id, Team: team, Cancel: true})
	if !f.Found {
		s.missing(x, id, f)
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

// cancelJob asks a job's driver to end it, or marks its row, whose next
// driver will.
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
		alarm := s.Clock.After(statusTime, cancel)
		callErr := s.Net.Call(callCtx, p.Link, wire.VerbCancel, wire.Lookup{ID: id}, &c)
		alarm.Stop()
		cancel()
		if callErr == nil && c.Found {
			return nil
		}
	}
	return err
}

// watchPeriod is how often a watched request is looked at.
const watchPeriod = 500 * time.Millisecond

// serveWatch streams a line of JSON for each change until the outcome.
func (s *Service) serveWatch(x *httpd.Exchange, team, id string) {
	f := s.look(x.Context(), inquiry{ID: id, Team: team})
	if !f.Found {
		s.missing(x, id, f)
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
		if s.Clock.Sleep(x.Context(), watchPeriod) != nil || s.ctx.Err() != nil || s.leaving.Load() {
			return
		}
		if next := s.look(x.Context(), inquiry{ID: id, Team: team}); next.Found {
			f = next
		}
	}
}
