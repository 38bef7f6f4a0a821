package record

import "github.com/balsamford/balsamford/coord/wire"

// Enter looks up a request in this host's records and claims it if there is no
// record or the recorded run may be repeated. A request that is not idempotent
// must also pass Secure before it starts.
func (k *Keeper) Enter(q Request) Answer {
	sh := k.shard(q.ID)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	e := sh.entries[q.ID]
	if e == nil {
		return k.enterNewLocked(sh, q)
	}
	k.counters.known.Inc(1)
	if e.note.Team != q.Team || e.note.Digest != q.Digest {
		return refuse(wire.NotRun, wire.ReasonDuplicate, "another request has this id")
	}
	switch {
	case e.running:
		return Answer{Action: Wait, Note: e.note, Done: e.done}
	case e.note.Ended() && mayRerun(&e.note):
		inDoubt := e.note.Outcome == wire.Unknown
		k.claimLocked(e, q, e.note.Run+1)
		return Answer{Action: Run, Note: e.note, InDoubt: inDoubt}
	case e.note.Ended():
		return Answer{Action: Known, Note: e.note}
	case e.note.Host == k.self.Name && !e.note.Once:
		k.claimLocked(e, q, e.note.Run+1)
		return Answer{Action: Run, Note: e.note, InDoubt: true}
	case e.note.Host == k.self.Name:
		return refuse(wire.Unknown, wire.ReasonLost, "the process that ran it has ended")
	}
	return Answer{Action: ClaimedElsewhere, Note: e.note}
}

// mayRerun reports whether an ended request may be run again.
func mayRerun(n *Note) bool {
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

func (k *Keeper) enterNewLocked(sh *shard, q Request) Answer {
	if k.Expired(q.ID) {
		return refuse(wire.Unknown, wire.ReasonGone, "the id is older than records are kept")
	}
	if k.size.Load() >= int64(k.maxRecords) {
		if q.Once {
			return refuse(q.refusalOutcome(), wire.ReasonRecord, "too many records are kept")
		}
		return Answer{Action: Run, Note: Note{ID: q.ID, Team: q.Team, Digest: q.Digest, Run: 1}}
	}
	e := &entry{}
	sh.entries[q.ID] = e
	k.size.Add(1)
	k.claimLocked(e, q, 1)
	return Answer{Action: Run, Note: e.note}
}

// claimLocked records in e that this process has claimed q.
func (k *Keeper) claimLocked(e *entry, q Request, run uint32) {
	now := k.clock.Now()
	k.setLocked(e, Note{
		ID: q.ID, Team: q.Team, Digest: q.Digest, Host: k.self.Name, Epoch: k.issuer.Epoch(),
		Run: run, Once: q.Once, At: now.Unix(),
	})
	e.sharedWithPeer, e.freshID = false, q.FreshID
	e.running, e.pending, e.done = true, q.Once || !q.FreshID, make(chan struct{})
}

// setLocked replaces the note of e and updates the total of answer bytes.
func (k *Keeper) setLocked(e *entry, n Note) {
	k.totalBodyBytes.Add(int64(-len(e.note.Body)))
	e.note = k.withoutLargeBody(n)
	k.totalBodyBytes.Add(int64(len(e.note.Body)))
	e.changedAt = k.clock.Now()
}

// End records the outcome of a claim returned by Enter and sends it to the other
// holder in the background. It reads only the outcome fields of n; the identity
// comes from claim.
func (k *Keeper) End(claim, n Note) {
	n.ID, n.Team, n.Digest, n.Host, n.Epoch = claim.ID, claim.Team, claim.Digest, claim.Host, claim.Epoch
	n.Run, n.Once, n.At = claim.Run, claim.Once, claim.At
	row := false
	ended, shared := k.endLocal(&n, &row)
	if !ended || !n.Once && !shared && !row {
		return
	}
	if !n.Once {
		n.Body, n.Kept = nil, false // A retry may run an idempotent request again, so its answer isn't sent.
	}
	k.runInBackground(func() { k.publishOutcome(n, row) })
}

func (k *Keeper) endLocal(n *Note, row *bool) (ended, shared bool) {
	sh := k.shard(n.ID)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	e := sh.entries[n.ID]
	if e == nil || !e.running || !e.note.sameClaim(n) || e.note.Run != n.Run {
		return false, false
	}
	k.setLocked(e, *n)
	*n, *row = e.note, e.mayHaveRow
	e.running, e.pending = false, false
	close(e.done)
	e.done = nil
	return true, e.sharedWithPeer
}
