package record

import (
	"context"

	"github.com/balsamford/balsamford/coord/wire"
)

// quorum is how many of the three replicas must have stored a claim.
const quorum = 2

// Secure stores a claim returned by Enter or TakeOver outside this host before the
// request starts. A request that is not idempotent is refused unless the claim is
// stored on two replicas; for an idempotent one that is done on a best effort basis,
// see share. On any answer except Run this process must not start the request. On
// Refuse the claim has ended as well.
func (k *Keeper) Secure(ctx context.Context, q Request, claim Note) Answer {
	if !q.Once {
		return k.share(ctx, q, claim)
	}
	for range quorum {
		ans, retry := k.acquireQuorum(ctx, q, claim)
		if !retry {
			return k.finishSecure(q, claim, ans)
		}
		claim = ans.Note
	}
	return k.finishSecure(q, claim, refuse(wire.Unknown, wire.ReasonDuplicate, "the id is claimed elsewhere"))
}

// acquireQuorum stores the claim on the other holder and, without a quorum, in the
// platform's table as well. A host counts towards the quorum only if its records of
// the id are complete or the id is fresh. It returns true if it found an earlier
// claim that may be superseded; the caller then tries again with the claim in the
// answer.
func (k *Keeper) acquireQuorum(ctx context.Context, q Request, claim Note) (Answer, bool) {
	completeReplicas := 0
	if q.FreshID || k.complete(q.ID) {
		completeReplicas++
	}
	reply, err := k.holdOnPeer(ctx, claim)
	if err == nil && len(reply.Notes) > 0 {
		return k.resolveConflict(q, claim, reply.Notes[0])
	}
	if err == nil && reply.Held && (reply.Complete || q.FreshID) {
		completeReplicas++
		k.counters.heldByPeer.Inc(1)
	}
	if completeReplicas >= quorum {
		return Answer{Action: Run, Note: claim}, false
	}
	found, err := k.writeRow(ctx, claim)
	if err == nil && found != nil {
		return k.resolveConflict(q, claim, *found)
	}
	if err == nil && completeReplicas > 0 {
		k.counters.heldByPlatform.Inc(1)
		return Answer{Action: Run, Note: claim}, false
	}
	k.counters.refused.Inc(1)
	if completeReplicas == 0 {
		k.counters.unverified.Inc(1)
		return refuse(wire.Unknown, wire.ReasonRecord, "no host can show that the request has not run before"), false
	}
	return refuse(q.refusalOutcome(), wire.ReasonRecord, "no second place could hold the record"), false
}

// holdOnPeer sends a claim to the other holder to be stored there.
func (k *Keeper) holdOnPeer(ctx context.Context, claim Note) (PeerReply, error) {
	var reply PeerReply
	other := k.Other(claim.ID)
	if other.Name == "" {
		return reply, &NoPeerError{}
	}
	err := k.call(ctx, other, PeerRequest{Op: opHold, Note: claim}, &reply)
	return reply, err
}

// call makes one call to another entry process.
func (k *Keeper) call(ctx context.Context, h Host, req PeerRequest, reply *PeerReply) error {
	ctx, cancel := k.withCallTimeout(ctx)
	defer cancel()
	return k.caller.Call(ctx, h.Link, Verb, req, reply)
}

// withCallTimeout returns a context that ends after callTimeout on the keeper's
// clock.
func (k *Keeper) withCallTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	t := k.clock.After(callTimeout, cancel)
	return ctx, func() { t.Stop(); cancel() }
}

// resolveConflict decides how to continue after another replica returned found,
// its record of the id. It returns true if the claim may be made again.
func (k *Keeper) resolveConflict(q Request, claim, found Note) (Answer, bool) {
	if found.Team != q.Team || found.Digest != q.Digest {
		return refuse(wire.NotRun, wire.ReasonDuplicate, "another request has this id"), false
	}
	if found.Ended() && mayRerun(&found) {
		return k.raiseRun(claim, found.Run+1)
	}
	if found.Ended() {
		return Answer{Action: Known, Note: found}, false
	}
	if found.Host == k.self.Name && !q.Once {
		return k.raiseRun(claim, found.Run+1)
	}
	if found.Host == k.self.Name {
		return refuse(wire.Unknown, wire.ReasonLost, "the process that ran it has ended"), false
	}
	return Answer{Action: ClaimedElsewhere, Note: found}, false
}

// raiseRun increases the run number of a claim that is still pending.
func (k *Keeper) raiseRun(claim Note, run uint32) (Answer, bool) {
	sh := k.shard(claim.ID)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	e := sh.entries[claim.ID]
	if e == nil || !e.pending || !e.note.sameClaim(&claim) {
		return refuse(wire.Unknown, wire.ReasonDuplicate, "the id is claimed elsewhere"), false
	}
	e.note.Run = max(run, e.note.Run)
	return Answer{Action: Run, Note: e.note}, true
}

// finishSecure updates the local entry according to the answer.
func (k *Keeper) finishSecure(q Request, claim Note, ans Answer) Answer {
	sh := k.shard(q.ID)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	e := sh.entries[q.ID]
	if e == nil {
		return refuse(wire.Unknown, wire.ReasonDuplicate, "the id is claimed elsewhere")
	}
	if !e.pending || !e.running || !e.note.sameClaim(&claim) || e.note.Run != claim.Run {
		return Answer{Action: ClaimedElsewhere, Note: e.note}
	}
	if ans.Action == Run {
		e.pending = false
		return ans
	}
	n := ans.Note
	if ans.Action == Refuse {
		n = claim
		n.Outcome, n.Reason, n.Detail = ans.Note.Outcome, ans.Note.Reason, ans.Note.Detail
		if n.Outcome == wire.Unknown {
			// Nothing was started, so a later retry may claim the id again.
			k.dropLocked(sh, e)
			return ans
		}
	}
	k.setLocked(e, n)
	e.running, e.pending = false, false
	close(e.done)
	e.done = nil
	return ans
}

// dropLocked removes a claim whose request was not started.
func (k *Keeper) dropLocked(sh *shard, e *entry) {
	k.totalBodyBytes.Add(int64(-len(e.note.Body)))
	if e.done != nil {
		close(e.done)
		e.done = nil
	}
	e.running, e.pending = false, false
	delete(sh.entries, e.note.ID)
	k.size.Add(-1)
}
