package record

import (
	"context"
	"time"

	"github.com/balsamford/balsamford/coord/wire"
)

const (
	// shareTime bounds the call that tells the other holder of an idempotent
	// request, whose caller waits for it.
	shareTime = 250 * time.Millisecond
	// shareRest is how long a holder that didn't answer isn't asked again.
	shareRest = 2 * time.Second
)

// share tells the other holder that an idempotent request runs here, so that
// whichever of them is left doesn't run it beside that run. If the other
// holder can't be reached the platform holds the claim in its place, and the
// request runs. The answer has Doubt where an earlier run may be unknown here:
// this host may have forgotten it, it is no holder, or neither place answered.
func (k *Keeper) share(ctx context.Context, q Question, claim Note) Answer {
	run := Answer{Verdict: Run, Note: claim, Doubt: !q.Private}
	if _, _, kept := k.Find(q.ID); q.Private || !kept {
		return run
	}
	if !k.holds(q.ID) {
		return k.settle(q, claim, run) // Neither holder could be reached.
	}
	doubt := false
	for range places {
		found, sure := k.second(ctx, claim)
		if found == nil {
			ans := k.settle(q, claim, Answer{Verdict: Run, Note: claim})
			ans.Doubt = doubt || !sure
			return ans
		}
		ans, again := k.adopt(q, claim, *found)
		if !again {
			return k.settle(q, claim, ans)
		}
		doubt = doubt || found.doubtful()
		claim = ans.Note
	}
	return k.settle(q, claim, refuse(q.unproved(), wire.ReasonDuplicate, "the id is claimed elsewhere"))
}

// second puts a claim into a second place. It returns the claim that bars it
// there, or whether both places together know of every earlier run.
func (k *Keeper) second(ctx context.Context, claim Note) (found *Note, sure bool) {
	told, err := k.holdSoon(ctx, claim)
	if err == nil && len(told.Notes) > 0 {
		return &told.Notes[0], false
	}
	held := err == nil && told.Held
	k.noteShared(&claim, held)
	if held {
		return nil, told.Complete || k.complete(claim.ID)
	}
	found, err = k.writeRow(ctx, claim)
	return found, err == nil && k.complete(claim.ID)
}

// holdSoon asks the other holder to hold a claim, unless it was silent just
// now.
func (k *Keeper) holdSoon(ctx context.Context, claim Note) (Told, error) {
	other := k.Other(claim.ID).Name
	if !k.silent.ask(other, k.clock.Now()) {
		return Told{}, &SilentError{Host: other}
	}
	ctx, cancel := context.WithCancel(ctx)
	alarm := k.clock.After(shareTime, cancel)
	defer func() { alarm.Stop(); cancel() }()
	told, err := k.hold(ctx, claim)
	k.silent.note(other, err == nil, k.clock.Now())
	return told, err
}

// holds reports whether this host is a holder of the id.
func (k *Keeper) holds(id string) bool {
	first, second := k.ring.Holders(id)
	return first.Name == k.self.Name || second.Name == k.self.Name
}

// noteShared notes whether the other holder knows of a claim.
func (k *Keeper) noteShared(claim *Note, held bool) {
	sh := k.shard(claim.ID)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if e := sh.entries[claim.ID]; e != nil && e.here && e.note.sameClaim(claim) && e.note.Run == claim.Run {
		e.shared = held
	}
}

// TakeOver claims an idempotent request whose run was another host's, which
// can't be reached. The answer is Run with Doubt, or what has become of the
// request meanwhile.
func (k *Keeper) TakeOver(q Question, lost Note) Answer {
	sh := k.shard(q.ID)
	sh.mu.Lock()
	e := sh.entries[q.ID]
	if e == nil || e.here || !e.note.sameClaim(&lost) || e.note.Run != lost.Run || e.note.Ended() {
		sh.mu.Unlock()
		return k.Enter(q)
	}
	defer sh.mu.Unlock()
	k.claimLocked(e, q, lost.Run+1)
	return Answer{Verdict: Run, Note: e.note, Doubt: true}
}

// Stands reports whether a claim on an idempotent request that runs here is
// still the only one. It asks the other holder if that was told of the claim.
func (k *Keeper) Stands(ctx context.Context, claim Note) bool {
	sh := k.shard(claim.ID)
	sh.mu.Lock()
	e := sh.entries[claim.ID]
	here := e != nil && e.here && e.note.sameClaim(&claim) && e.note.Run == claim.Run
	shared := here && e.shared
	sh.mu.Unlock()
	if !shared {
		return here || e == nil // Without a record it was never shared.
	}
	told, err := k.hold(ctx, claim)
	return err == nil && told.Held
}
