package record

import (
	"context"
	"time"

	"github.com/balsamford/balsamford/coord/wire"
)

const (
	// shareTimeout bounds the call that sends an idempotent claim to the other
	// holder. It is short because the request waits for it.
	shareTimeout = 250 * time.Millisecond
	// peerBackoffTime is how long no idempotent claims are sent to a holder that
	// did not answer.
	peerBackoffTime = 2 * time.Second
)

// share stores the claim on an idempotent request on the other holder, so that
// after the loss of one holder the other one doesn't start a concurrent run. If
// the other holder is unreachable, share writes the claim to the platform; the
// request runs even if that fails. It stores nothing if the id is fresh, if this host
// kept no record because its limit was reached, or if this host is not a holder.
// InDoubt is set if there may be an earlier run of which this host has no record:
// its records may be incomplete after a restart, it is not a holder, or no other
// replica answered.
func (k *Keeper) share(ctx context.Context, q Request, claim Note) Answer {
	run := Answer{Action: Run, Note: claim, InDoubt: !q.FreshID}
	if _, _, kept := k.Find(q.ID); q.FreshID || !kept {
		return run
	}
	if !k.isHolder(q.ID) {
		return k.finishSecure(q, claim, run) // The request came here because neither holder was reachable.
	}
	inDoubt := false
	for range quorum {
		found, complete := k.holdElsewhere(ctx, claim)
		if found == nil {
			ans := k.finishSecure(q, claim, Answer{Action: Run, Note: claim})
			ans.InDoubt = inDoubt || !complete
			return ans
		}
		ans, retry := k.resolveConflict(q, claim, *found)
		if !retry {
			return k.finishSecure(q, claim, ans)
		}
		inDoubt = inDoubt || found.mayBeRunning()
		claim = ans.Note
	}
	return k.finishSecure(q, claim, refuse(q.refusalOutcome(), wire.ReasonDuplicate, "the id is claimed elsewhere"))
}

// holdElsewhere stores a claim on the other holder, or else on the platform. It
// returns the conflicting claim, if any. Otherwise complete reports whether the
// replicas that have the claim would have a record of every earlier run.
func (k *Keeper) holdElsewhere(ctx context.Context, claim Note) (found *Note, complete bool) {
	reply, err := k.holdOnPeerWithBackoff(ctx, claim)
	if err == nil && len(reply.Notes) > 0 {
		return &reply.Notes[0], false
	}
	held := err == nil && reply.Held
	k.setSharedWithPeer(&claim, held)
	if held {
		return nil, reply.Complete || k.complete(claim.ID)
	}
	found, err = k.writeRow(ctx, claim)
	return found, err == nil && k.complete(claim.ID)
}

// holdOnPeerWithBackoff is like holdOnPeer with shareTimeout, but returns an
// UnresponsiveError if the other holder recently failed to answer.
func (k *Keeper) holdOnPeerWithBackoff(ctx context.Context, claim Note) (PeerReply, error) {
	other := k.Other(claim.ID).Name
	if !k.backoff.allow(other, k.clock.Now()) {
		return PeerReply{}, &UnresponsiveError{Host: other}
	}
	ctx, cancel := context.WithCancel(ctx)
	alarm := k.clock.After(shareTimeout, cancel)
	defer func() { alarm.Stop(); cancel() }()
	reply, err := k.holdOnPeer(ctx, claim)
	k.backoff.report(other, err == nil, k.clock.Now())
	return reply, err
}

// isHolder reports whether this host is a holder of the id.
func (k *Keeper) isHolder(id string) bool {
	first, second := k.ring.Holders(id)
	return first.Name == k.self.Name || second.Name == k.self.Name
}

// setSharedWithPeer records whether the other holder has stored a claim.
func (k *Keeper) setSharedWithPeer(claim *Note, held bool) {
	sh := k.shard(claim.ID)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if e := sh.entries[claim.ID]; e != nil && e.running && e.note.sameClaim(claim) && e.note.Run == claim.Run {
		e.sharedWithPeer = held
	}
}

// TakeOver claims an idempotent request that was claimed by another host which is
// now unreachable. The answer is Run with InDoubt, or that of Enter if the record
// has changed since lost was read.
func (k *Keeper) TakeOver(q Request, lost Note) Answer {
	sh := k.shard(q.ID)
	sh.mu.Lock()
	e := sh.entries[q.ID]
	if e == nil || e.running || !e.note.sameClaim(&lost) || e.note.Run != lost.Run || e.note.Ended() {
		sh.mu.Unlock()
		return k.Enter(q)
	}
	defer sh.mu.Unlock()
	k.claimLocked(e, q, lost.Run+1)
	return Answer{Action: Run, Note: e.note, InDoubt: true}
}

// ClaimValid reports whether this host's claim on an idempotent request is still
// valid, that is, no other host has taken the request over. It checks with the
// other holder if the claim was stored there.
func (k *Keeper) ClaimValid(ctx context.Context, claim Note) bool {
	sh := k.shard(claim.ID)
	sh.mu.Lock()
	e := sh.entries[claim.ID]
	here := e != nil && e.running && e.note.sameClaim(&claim) && e.note.Run == claim.Run
	shared := here && e.sharedWithPeer
	sh.mu.Unlock()
	if !shared {
		return here || e == nil // A claim without a record was never shared.
	}
	reply, err := k.holdOnPeer(ctx, claim)
	return err == nil && reply.Held
}
