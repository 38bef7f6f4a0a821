package serve

import (
	"context"

	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/entry/internal/admit"
	"github.com/balsamford/balsamford/entry/internal/record"
	"github.com/balsamford/balsamford/entry/internal/relay"
)

// question returns what the record has to know of a submission.
func (sub *submission) question() record.Request {
	return record.Request{
		ID: sub.Request.ID, Team: sub.Request.Team, Digest: digest(&sub.Request),
		Once: !sub.Request.Idempotent, FreshID: sub.private,
	}
}

// runHere answers a quick request whose record this host holds: it joins the
// running one, repeats the recorded answer, or runs it.
func (s *Service) runHere(wanted context.Context, sub *submission, out sink) relay.Result {
	s.working.Add(1)
	defer s.working.Add(-1)
	return s.runCounted(wanted, sub, out)
}

// runCounted is runHere for a request that is counted already.
func (s *Service) runCounted(wanted context.Context, sub *submission, out sink) relay.Result {
	q := sub.question()
	if q.FreshID && s.late.Late(sub.class(), sub.deadline) {
		return tooLate() // nothing else knows the id, so it needs no record
	}
	res, lost := s.act(wanted, sub, q, s.Keeper.Enter(q), out)
	if lost != nil && sub.Request.Idempotent {
		res, _ = s.act(wanted, sub, q, s.Keeper.TakeOver(q, *lost), out)
	}
	return res
}

// act does what the record says of a request. It returns the claim of the host
// that has to answer instead, if that can't be reached.
func (s *Service) act(wanted context.Context, sub *submission, q record.Request, ans record.Answer, out sink) (relay.Result, *record.Note) {
	doubt := sub.Doubt || ans.Doubt
	if ans.Verdict == record.Run && !q.FreshID {
		ans = s.Keeper.Secure(s.ctx, q, ans.Note)
		doubt = doubt || ans.Doubt
	}
	sub.Doubt = doubt && sub.Request.Idempotent
	switch ans.Verdict {
	case record.Wait:
		return s.join(wanted, sub, ans.Done), nil
	case record.Known:
		s.counts.replayed.Inc(1)
		return replay(&ans.Note), nil
	case record.ClaimedElsewhere:
		res, sent := s.away(wanted, sub, ans.Note, out)
		if !sent {
			return res, &ans.Note
		}
		return res, nil
	case record.Refuse:
		return relay.Result{Outcome: ans.Note.Outcome, Reason: ans.Note.Reason, Detail: ans.Note.Detail}, nil
	case record.Run:
	}
	res := afterLoss(doubt, s.run(wanted, sub, q, ans.Note, out))
	s.end(sub, ans.Note, &res)
	return res, nil
}

// end notes how a request ended.
func (s *Service) end(sub *submission, claim record.Note, res *relay.Result) {
	s.Keeper.End(claim, record.Note{
		Outcome: res.Outcome, Reason: res.Reason, Detail: res.Detail, Code: res.Code,
		Size: res.Size, Sum: res.Sum, Kept: !res.Streamed, Body: res.Body,
	})
	s.counts.outcome(res.Outcome)
	if res.Outcome != wire.Done {
		s.Logger.Info("request ended", zap.String("request", sub.Request.ID), zap.String("outcome", string(res.Outcome)),
			zap.String("reason", res.Reason), zap.String("detail", res.Detail))
	}
}

// run gets a place for a claimed request and runs it.
func (s *Service) run(wanted context.Context, sub *submission, q record.Request, claim record.Note, out sink) relay.Result {
	l := &live{id: sub.Request.ID, team: sub.Request.Team, phase: wire.Queued}
	l.wanted, l.cancel = context.WithCancel(wanted)
	defer l.cancel()
	s.lives.add(l)
	defer s.lives.remove(l)
	begin := s.Clock.Now()
	allow := s.standing(sub, q, claim)
	leave, reason := s.Gate.Enter(l.wanted, sub.Request.Team, sub.deadline)
	if reason != "" {
		return relay.NotRun(reason, "no place before the deadline")
	}
	defer leave()
	if s.late.Late(sub.class(), sub.deadline) {
		return tooLate()
	}
	if q.FreshID {
		if ans := s.Keeper.Secure(s.ctx, q, claim); ans.Verdict != record.Run {
			return relay.Result{Outcome: ans.Note.Outcome, Reason: ans.Note.Reason, Detail: ans.Note.Detail}
		}
	}
	s.counts.waits.Update(s.Clock.Now().Sub(begin).Microseconds())
	req := sub.Request
	req.Version = s.Config.Version()
	order := &relay.Order{
		Request: req, Deadline: sub.deadline, Wanted: l.wanted, Allow: allow.ask, Base: (claim.Run - 1) * attemptsPerRun,
		Doubt: sub.Doubt,
	}
	left := sub.deadline.Sub(s.Clock.Now())
	res := s.Runner.Run(s.ctx, order, &phaseSink{live: l, next: out})
	if res.Outcome == wire.NotRun && res.Reason == wire.ReasonBusy {
		s.late.Note(sub.class(), left)
	}
	return allow.truthful(res)
}

// class returns what shares the placers' queues with a submission.
func (sub *submission) class() admit.Class {
	return admit.Class{Team: sub.Request.Team, Queue: sub.Request.Queue, Urgent: sub.Request.Urgent}
}

func tooLate() relay.Result {
	return relay.NotRun(wire.ReasonBusy, "its turn is not expected before the deadline")
}

// attemptsPerRun keeps the attempt numbers of a request's runs apart.
const attemptsPerRun = 64

// join waits for the end of a request that runs here.
func (s *Service) join(wanted context.Context, sub *submission, done <-chan struct{}) relay.Result {
	s.counts.joined.Inc(1)
	late := make(chan struct{})
	alarm := s.Clock.After(sub.deadline.Sub(s.Clock.Now()), func() { close(late) })
	defer alarm.Stop()
	select {
	case <-done:
	case <-late:
		return relay.Unknown(wire.ReasonDeadline, "the request is still running")
	case <-wanted.Done():
		return relay.Unknown(wire.ReasonCancel, "the request is still running")
	case <-s.ctx.Done():
		return relay.Unknown(wire.ReasonLeaving, "the request is still running")
	}
	n, _, ok := s.Keeper.Find(sub.Request.ID)
	if !ok || !n.Ended() {
		return relay.Unknown(wire.ReasonLost, "the record has gone")
	}
	return replay(&n)
}

// replay returns a recorded outcome. An answer that wasn't kept is no
// success.
func replay(n *record.Note) relay.Result {
	res := relay.Result{
		Outcome: n.Outcome, Reason: n.Reason, Detail: n.Detail, Code: n.Code, Size: n.Size, Sum: n.Sum, Body: n.Body,
	}
	if n.Outcome == wire.Done && !n.Kept {
		res.Reason, res.Detail, res.Streamed = wire.ReasonGone, "the request is done; its answer was too large to keep", true
	}
	return res
}
