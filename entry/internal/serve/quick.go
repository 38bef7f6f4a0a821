package serve

import (
	"context"

	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/entry/internal/admit"
	"github.com/balsamford/balsamford/entry/internal/record"
	"github.com/balsamford/balsamford/entry/internal/relay"
)

// recordRequest returns the description of a submission with which its id is
// claimed in the records.
func (sub *submission) recordRequest() record.Request {
	return record.Request{
		ID: sub.Request.ID, Team: sub.Request.Team, Digest: digest(&sub.Request),
		Once: !sub.Request.Idempotent, FreshID: sub.freshID,
	}
}

// runLocal answers a quick request whose record this host holds: it waits for
// the run in progress, replays the recorded answer, or runs the request.
func (s *Service) runLocal(reqCtx context.Context, sub *submission, out sink) relay.Result {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	return s.runCounted(reqCtx, sub, out)
}

// runCounted does what runLocal does, for a request that the caller has already
// added to inFlight.
func (s *Service) runCounted(reqCtx context.Context, sub *submission, out sink) relay.Result {
	q := sub.recordRequest()
	if q.FreshID && s.refusals.WouldRefuse(sub.class(), sub.deadline) {
		return tooLate() // No other process knows the id, so no record is needed.
	}
	res, lost := s.applyAnswer(reqCtx, sub, q, s.Keeper.Enter(q), out)
	if lost != nil && sub.Request.Idempotent {
		res, _ = s.applyAnswer(reqCtx, sub, q, s.Keeper.TakeOver(q, *lost), out)
	}
	return res
}

// applyAnswer does what the answer of Keeper.Enter or Keeper.TakeOver says: it
// waits for the run in progress, replays the outcome, forwards the request, or
// runs it. Before a run it calls Secure, unless the id is fresh; run then does so
// after the gate has admitted the request. If another host has claimed the request
// and can't be reached, applyAnswer also returns that claim.
func (s *Service) applyAnswer(reqCtx context.Context, sub *submission, q record.Request, ans record.Answer, out sink) (relay.Result, *record.Note) {
	inDoubt := sub.InDoubt || ans.InDoubt
	if ans.Action == record.Run && !q.FreshID {
		ans = s.Keeper.Secure(s.ctx, q, ans.Note)
		inDoubt = inDoubt || ans.InDoubt
	}
	sub.InDoubt = inDoubt && sub.Request.Idempotent
	switch ans.Action {
	case record.Wait:
		return s.join(reqCtx, sub, ans.Done), nil
	case record.Known:
		s.counts.replayed.Inc(1)
		return replay(&ans.Note), nil
	case record.ClaimedElsewhere:
		res, sent := s.forwardToClaimant(reqCtx, sub, ans.Note, out)
		if !sent {
			return res, &ans.Note
		}
		return res, nil
	case record.Refuse:
		return relay.Result{Outcome: ans.Note.Outcome, Reason: ans.Note.Reason, Detail: ans.Note.Detail}, nil
	case record.Run:
	}
	res := downgradeNotRun(inDoubt, s.run(reqCtx, sub, q, ans.Note, out))
	s.recordOutcome(sub, ans.Note, &res)
	return res, nil
}

// recordOutcome writes the outcome of a request to its record and the metrics.
func (s *Service) recordOutcome(sub *submission, claim record.Note, res *relay.Result) {
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

// run waits until the gate admits a claimed request, and then runs it.
func (s *Service) run(reqCtx context.Context, sub *submission, q record.Request, claim record.Note, out sink) relay.Result {
	a := &active{id: sub.Request.ID, team: sub.Request.Team, phase: wire.Queued}
	a.reqCtx, a.cancel = context.WithCancel(reqCtx)
	defer a.cancel()
	s.active.add(a)
	defer s.active.remove(a)
	started := s.Clock.Now()
	guard := s.newGuard(sub, q, claim)
	release, reason := s.Gate.Enter(a.reqCtx, sub.Request.Team, sub.deadline)
	if reason != "" {
		return relay.NotRun(reason, "no place before the deadline")
	}
	defer release()
	if s.refusals.WouldRefuse(sub.class(), sub.deadline) {
		return tooLate()
	}
	if q.FreshID {
		if ans := s.Keeper.Secure(s.ctx, q, claim); ans.Action != record.Run {
			return relay.Result{Outcome: ans.Note.Outcome, Reason: ans.Note.Reason, Detail: ans.Note.Detail}
		}
	}
	s.counts.waits.Update(s.Clock.Now().Sub(started).Microseconds())
	req := sub.Request
	req.Version = s.Config.Version()
	order := &relay.Order{
		Request: req, Deadline: sub.deadline, Context: a.reqCtx, Allow: guard.check, Base: (claim.Run - 1) * attemptsPerRun,
		InDoubt: sub.InDoubt,
	}
	left := sub.deadline.Sub(s.Clock.Now())
	res := s.Runner.Run(s.ctx, order, &phaseSink{active: a, next: out})
	if res.Outcome == wire.NotRun && res.Reason == wire.ReasonBusy {
		s.refusals.Add(sub.class(), left)
	}
	return guard.correct(res)
}

// class returns the submission's admission class: requests of one class wait in
// the same queues of the placers.
func (sub *submission) class() admit.Class {
	return admit.Class{Team: sub.Request.Team, Queue: sub.Request.Queue, Urgent: sub.Request.Urgent}
}

func tooLate() relay.Result {
	return relay.NotRun(wire.ReasonBusy, "its turn is not expected before the deadline")
}

// attemptsPerRun is the size of the range of attempt numbers that each run of a
// request gets, so that no two runs use the same number.
const attemptsPerRun = 64

// join waits for a request that this process already runs and returns its
// outcome.
func (s *Service) join(reqCtx context.Context, sub *submission, done <-chan struct{}) relay.Result {
	s.counts.joined.Inc(1)
	expired := make(chan struct{})
	timeout := s.Clock.After(sub.deadline.Sub(s.Clock.Now()), func() { close(expired) })
	defer timeout.Stop()
	select {
	case <-done:
	case <-expired:
		return relay.Unknown(wire.ReasonDeadline, "the request is still running")
	case <-reqCtx.Done():
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

// replay converts a recorded outcome to a result. If the request is done but
// its answer wasn't kept, the reason is wire.ReasonGone.
func replay(n *record.Note) relay.Result {
	res := relay.Result{
		Outcome: n.Outcome, Reason: n.Reason, Detail: n.Detail, Code: n.Code, Size: n.Size, Sum: n.Sum, Body: n.Body,
	}
	if n.Outcome == wire.Done && !n.Kept {
		res.Reason, res.Detail, res.Streamed = wire.ReasonGone, "the request is done; its answer was too large to keep", true
	}
	return res
}
