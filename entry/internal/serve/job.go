package serve

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/httpd"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/entry/internal/jobs"
	"github.com/balsamford/balsamford/entry/internal/record"
	"github.com/balsamford/balsamford/entry/internal/relay"
)

const (
	// offerRounds is how often a job is offered to placers. After that the
	// placers find it themselves when they scan for jobs without a driver.
	offerRounds = 5
	// offerInterval is the pause between two rounds.
	offerInterval = 2 * time.Second
)

// acceptJob stores a job durably, starts offering it to placers, and replies
// to the caller.
func (s *Service) acceptJob(x *httpd.Exchange, sub *submission) {
	id := sub.Request.ID
	sub.Request.Version = s.Config.Version()
	state, job := s.Jobs.Accept(s.ctx, sub.Request)
	reply := Reply{ID: record.CallerID(id), Phase: job.Phase, Outcome: job.Outcome, Reason: job.Reason, Keep: int(s.Jobs.History().Seconds())}
	switch state {
	case jobs.Created, jobs.Held:
		reply.Held = state == jobs.Held
		s.offerLater(sub.Request)
	case jobs.Taken:
		if job.Request.Team != sub.Request.Team || digest(&job.Request) != digest(&sub.Request) {
			fail(x, id, relay.NotRun(wire.ReasonDuplicate, "another request has this id"))
			return
		}
	case jobs.Gone:
		fail(x, id, relay.Unknown(wire.ReasonGone, "the id is so old that an earlier job under it may have been forgotten; take a new one"))
		return
	case jobs.Refused:
		res := relay.NotRun(wire.ReasonRecord, "neither the platform nor a host in another zone could hold the job")
		if !sub.freshID {
			res.Outcome = wire.Unknown
		}
		fail(x, id, res)
		return
	case jobs.InDoubt:
		fail(x, id, relay.Unknown(wire.ReasonRecord, "the platform's answer was lost; ask for the status with this id"))
		return
	}
	send(x, fasthttp.StatusAccepted, reply)
}

// offerLater offers a job to placers in the background.
func (s *Service) offerLater(req wire.Request) {
	s.goBackground(func() { s.offer(req) })
}

// Offer offers a job to placers that was accepted while the platform was
// unavailable and has now been written to it.
func (s *Service) Offer(job wire.Job) { s.offerLater(job.Request) }

func (s *Service) offer(req wire.Request) {
	order := &relay.Order{Request: req, Zone: s.Ring.Zone(req.ID)}
	for range offerRounds {
		driver, res := s.Runner.Offer(s.ctx, order)
		if driver != "" {
			s.drivers.set(req.ID, driver)
			return
		}
		if res.Outcome == wire.NotRun && res.Reason == wire.ReasonNever {
			s.endJob(req.ID, res)
			return
		}
		if s.leaving.Load() || s.Clock.Sleep(s.ctx, offerInterval) != nil {
			return
		}
	}
}

// endJob marks a job as ended that has no driver and fits on no endpoint.
func (s *Service) endJob(id string, res relay.Result) {
	err := s.Jobs.Change(s.ctx, id, func(job *wire.Job) bool {
		if job.Driver != "" || job.Phase == wire.Ended {
			return false
		}
		job.Phase, job.Outcome, job.Reason = wire.Ended, res.Outcome, res.Reason
		return true
	})
	if err != nil {
		s.Logger.Warn("writing the end of a job failed", zap.String("request", id), zap.Error(err))
	}
}

// findJob returns a job's state from the placer that drives it or, failing
// that, from the platform or any placer of its home zone.
func (s *Service) findJob(ctx context.Context, id string) (jobs.View, error) {
	if name := s.drivers.get(id); name != "" {
		if job, ok := s.queryPlacer(ctx, name, id); ok {
			return jobs.View{Job: job}, nil
		}
	}
	view, err := s.Jobs.Find(ctx, id)
	if err == nil {
		if view.Job.Driver != "" && view.Job.Phase != wire.Ended {
			s.drivers.set(id, view.Job.Driver)
		}
		return view, nil
	}
	zone := s.Ring.Zone(id)
	for _, p := range s.Table.Placers() {
		if p.Zone != zone {
			continue
		}
		if job, ok := s.queryPlacer(ctx, p.Name, id); ok {
			return jobs.View{Job: job}, nil
		}
	}
	return view, err
}

// queryPlacer returns the state of a job as the named placer reports it.
func (s *Service) queryPlacer(ctx context.Context, name, id string) (wire.Job, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := s.Clock.After(statusTimeout, cancel)
	defer timeout.Stop()
	for _, p := range s.Table.Placers() {
		if p.Name != name {
			continue
		}
		var job wire.Job
		err := s.Net.Call(ctx, p.Link, wire.VerbStatus, wire.Lookup{ID: id}, &job)
		return job, err == nil && job.Request.ID == id
	}
	return wire.Job{}, false
}

// jobReply converts a job's state to the JSON reply, on request with the tasks'
// outputs.
func jobReply(id string, v *jobs.View, outputs bool) Reply {
	r := Reply{
		ID: record.CallerID(id), Phase: v.Job.Phase, Outcome: v.Job.Outcome, Reason: v.Job.Reason, Held: v.Held, Cancel: v.Job.Cancel,
	}
	for _, t := range v.Job.Tasks {
		tr := TaskReply{Phase: t.Phase, Attempt: t.Attempt, Endpoint: t.Endpoint, Outcome: t.Outcome, Code: t.Code}
		if outputs {
			tr.Output = t.Output
		}
		r.Tasks = append(r.Tasks, tr)
	}
	return r
}
