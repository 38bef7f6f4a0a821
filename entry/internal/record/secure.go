package record

import (
	"context"

	"github.com/balsamford/balsamford/coord/wire"
)

// places is the number of places that have to have a claim, of three.
const places = 2

// Secure makes sure that a claim is held in a second place before its start
// leaves. Any answer but Run means that the request must not be started by
// this process; with Refuse the claim has ended too.
func (k *Keeper) Secure(ctx context.Context, q Question, claim Note) Answer {
	if !q.Once {
		return k.share(ctx, q, claim)
	}
	for range places {
		ans, again := k.place(ctx, q, claim)
		if !again {
			return k.settle(q, claim, ans)
		}
		claim = ans.Note
	}
	return k.settle(q, claim, refuse(wire.Unknown, wire.ReasonDuplicate, "the id is claimed elsewhere"))
}

// place asks the other holder, and the platform if need be. It reports true
// if an earlier claim turned out not to have run, so that a later one may be
// made.
func (k *Keeper) place(ctx context.Context, q Question, claim Note) (Answer, bool) {
	sure := 0
	if q.Private || k.complete(q.ID) {
		sure++
	}
	told, err := k.hold(ctx, claim)
	if err == nil && len(told.Notes) > 0 {
		return k.adopt(q, claim, told.Notes[0])
	}
	if err == nil && told.Held && (told.Complete || q.Private) {
		sure++
		k.counts.held.Inc(1)
	}
	if sure >= places {
		return Answer{Verdict: Run, Note: claim}, false
	}
	found, err := k.writeRow(ctx, claim)
	if err == nil && found != nil {
		return k.adopt(q, claim, *found)
	}
	if err == nil && sure > 0 {
		k.counts.rows.Inc(1)
		return Answer{Verdict: Run, Note: claim}, false
	}
	k.counts.refused.Inc(1)
	if sure == 0 {
		k.counts.forgot.Inc(1)
		return refuse(wire.Unknown, wire.ReasonRecord, "no host can show that the request has not run before"), false
	}
	return refuse(q.unproved(), wire.ReasonRecord, "no second place could hold the record"), false
}

// hold asks the other holder to hold a claim.
func (k *Keeper) hold(ctx context.Context, claim Note) (Told, error) {
	var told Told
	other := k.Other(claim.ID)
	if other.Name == "" {
		return told, &AloneError{}
	}
	err := k.call(ctx, other, Ask{Op: opHold, Note: claim}, &told)
	return told, err
}

// call makes one call to another entry process.
func (k *Keeper) call(ctx context.Context, h Host, ask Ask, told *Told) error {
	ctx, cancel := k.within(ctx)
	defer cancel()
	return k.caller.Call(ctx, h.Link, Verb, ask, told)
}

// within bounds a call on the keeper's clock.
func (k *Keeper) within(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	t := k.clock.After(callTime, cancel)
	return ctx, func() { t.Stop(); cancel() }
}

// adopt takes over what another place knows of the id.
func (k *Keeper) adopt(q Question, claim, found Note) (Answer, bool) {
	if found.Team != q.Team || found.Digest != q.Digest {
		return refuse(wire.NotRun, wire.ReasonDuplicate, "another request has this id"), false
	}
	if found.Ended() && again(&found) {
		return k.reclaim(claim, found.Run+1)
	}
	if found.Ended() {
		return Answer{Verdict: Known, Note: found}, false
	}
	if found.Host == k.self.Name && !q.Once {
		return k.reclaim(claim, found.Run+1)
	}
	if found.Host == k.self.Name {
		return refuse(wire.Unknown, wire.ReasonLost, "the process that ran it has ended"), false
	}
	return Answer{Verdict: Away, Note: found}, false
}

// reclaim raises the run of a claim that is still pending.
func (k *Keeper) reclaim(claim Note, run uint32) (Answer, bool) {
	sh := k.shard(claim.ID)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	e := sh.entries[claim.ID]
	if e == nil || !e.pending || !e.note.sameClaim(&claim) {
		return refuse(wire.Unknown, wire.ReasonDuplicate, "the id is claimed elsewhere"), false
	}
	e.note.Run = max(run, e.note.Run)
	return Answer{Verdict: Run, Note: e.note}, true
}

// settle brings the local entry in line with the answer.
func (k *Keeper) settle(q Question, claim Note, ans Answer) Answer {
	sh := k.shard(q.ID)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	e := sh.entries[q.ID]
	if e == nil {
		return refuse(wire.Unknown, wire.ReasonDuplicate, "the id is claimed elsewhere")
	}
	if !e.pending || !e.here || !e.note.sameClaim(&claim) || e.note.Run != claim.Run {
		return Answer{Verdict: Away, Note: e.note}
	}
	if ans.Verdict == Run {
		e.pending = false
		return ans
	}
	n := ans.Note
	if ans.Verdict == Refuse {
		n = claim
		n.Outcome, n.Reason, n.Detail = ans.Note.Outcome, ans.Note.Reason, ans.Note.Detail
		if n.Outcome == wire.Unknown {
			// This process started nothing, so a later retry may ask again.
			k.dropLocked(sh, e)
			return ans
		}
	}
	k.setLocked(e, n)
	e.here, e.pending = false, false
	close(e.done)
	e.done = nil
	return ans
}

// dropLocked forgets a claim that has started nothing.
func (k *Keeper) dropLocked(sh *shard, e *entry) {
	k.kept.Add(int64(-len(e.note.Body)))
	if e.done != nil {
		close(e.done)
		e.done = nil
	}
	e.here, e.pending = false, false
	delete(sh.entries, e.note.ID)
	k.size.Add(-1)
}
