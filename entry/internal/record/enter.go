package record

import "github.com/balsamford/balsamford/coord/wire"

// Enter looks a request up on this host and claims it if it isn't known. A
// request that must not run twice also needs Secure before its start.
func (k *Keeper) Enter(q Question) Answer {
	sh := k.shard(q.ID)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	e := sh.entries[q.ID]
	if e == nil {
		return k.enterNewLocked(sh, q)
	}
	k.counts.known.Inc(1)
	if e.note.Team != q.Team || e.note.Digest != q.Digest {
		return refuse(wire.NotRun, wire.ReasonDuplicate, "another request has this id")
	}
	switch {
	case e.here:
		return Answer{Verdict: Wait, Note: e.note, Done: e.done}
	case e.note.Ended() && again(&e.note):
		doubt := e.note.Outcome == wire.Unknown
		k.claimLocked(e, q, e.note.Run+1)
		return Answer{Verdict: Run, Note: e.note, Doubt: doubt}
	case e.note.Ended():
		return Answer{Verdict: Known, Note: e.note}
	case e.note.Host == k.self.Name && !e.note.Once:
		k.claimLocked(e, q, e.note.Run+1)
		return Answer{Verdict: Run, Note: e.note, Doubt: true}
	case e.note.Host == k.self.Name:
		return refuse(wire.Unknown, wire.ReasonLost, "the process that ran it has ended")
	}
	return Answer{Verdict: Away, Note: e.note}
}

// again reports whether an ended request may be run once more.
func again(n *Note) bool {
	switch n.Outcome {
	case wire.NotRun:
		return true
	case wire.Unknown:
		return !n.Once
	case wire.Done:
		return !n.Once && !n.Kept
	case wire.Failed:
		return !n.Once && n.Reason == wire.ReasonLost
	}
	return false
}

func (k *Keeper) enterNewLocked(sh *shard, q Question) Answer {
	if k.Expired(q.ID) {
		return refuse(wire.Unknown, wire.ReasonGone, "the id is older than records are kept")
	}
	if k.size.Load() >= int64(k.limit) {
		if q.Once {
			return refuse(q.unproved(), wire.ReasonRecord, "too many records are kept")
		}
		return Answer{Verdict: Run, Note: Note{ID: q.ID, Team: q.Team, Digest: q.Digest, Run: 1}}
	}
	e := &entry{}
	sh.entries[q.ID] = e
	k.size.Add(1)
	k.claimLocked(e, q, 1)
	return Answer{Verdict: Run, Note: e.note}
}

// claimLocked makes e the claim of this process on q.
func (k *Keeper) claimLocked(e *entry, q Question, run uint32) {
	now := k.clock.Now()
	k.setLocked(e, Note{
		ID: q.ID, Team: q.Team, Digest: q.Digest, Host: k.self.Name, Epoch: k.issuer.Epoch(),
		Run: run, Once: q.Once, At: now.Unix(),
	})
	e.shared, e.private = false, q.Private
	e.here, e.pending, e.done = true, q.Once || !q.Private, make(chan struct{})
}

// setLocked replaces the note of e and keeps the count of answer bytes.
func (k *Keeper) setLocked(e *entry, n Note) {
	k.kept.Add(int64(-len(e.note.Body)))
	e.note = k.trimmed(n)
	k.kept.Add(int64(len(e.note.Body)))
	e.since = k.clock.Now()
}

// End notes the outcome of a claim that Enter gave, and tells the other
// holder. Only the fields of n that say how the request ended are read.
func (k *Keeper) End(claim, n Note) {
	n.ID, n.Team, n.Digest, n.Host, n.Epoch = claim.ID, claim.Team, claim.Digest, claim.Host, claim.Epoch
	n.Run, n.Once, n.At = claim.Run, claim.Once, claim.At
	row := false
	ended, shared := k.endLocal(&n, &row)
	if !ended || !n.Once && !shared && !row {
		return
	}
	if !n.Once {
		n.Body, n.Kept = nil, false // It may run again instead.
	}
	k.later(func() { k.tell(n, row) })
}

func (k *Keeper) endLocal(n *Note, row *bool) (ended, shared bool) {
	sh := k.shard(n.ID)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	e := sh.entries[n.ID]
	if e == nil || !e.here || !e.note.sameClaim(n) || e.note.Run != n.Run {
		return false, false
	}
	k.setLocked(e, *n)
	*n, *row = e.note, e.row
	e.here, e.pending = false, false
	close(e.done)
	e.done = nil
	return true, e.shared
}
