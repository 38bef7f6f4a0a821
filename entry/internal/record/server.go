package record

import (
	"context"
	"strconv"

	"github.com/balsamford/balsamford/coord/link"
)

// maxPullBytes is the maximum size of the answers in one part of a pull.
const maxPullBytes = 1 << 20

// Handle implements link.Handler for Verb.
func (k *Keeper) Handle(_ context.Context, s *link.Stream) error {
	var req PeerRequest
	if err := s.Recv(&req); err != nil {
		return err
	}
	switch req.Op {
	case opHold, opEnd, opPull:
		return s.Send(k.dispatch(req))
	}
	return &UnknownOpError{Op: req.Op}
}

// dispatch handles a request whose Op is known.
func (k *Keeper) dispatch(req PeerRequest) PeerReply {
	switch req.Op {
	case opHold:
		return k.handleHold(req.Note)
	case opPull:
		return k.handlePull(req.From, req.Next)
	}
	for _, n := range req.Notes {
		k.handleEnd(n)
	}
	return PeerReply{Held: true}
}

// handleHold stores another process's claim, or returns the conflicting claim.
func (k *Keeper) handleHold(n Note) PeerReply {
	sh := k.shard(n.ID)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	reply := PeerReply{Complete: k.complete(n.ID)}
	e := sh.entries[n.ID]
	if e == nil {
		if k.size.Load() >= int64(k.maxRecords) {
			return PeerReply{}
		}
		e = &entry{}
		sh.entries[n.ID] = e
		k.size.Add(1)
		k.setLocked(e, n)
		e.sharedWithPeer, reply.Held = !n.Once, true
		return reply
	}
	first, _ := k.ring.Holders(n.ID)
	if e.pending && n.Host == first.Name && k.self.Name != first.Name {
		// Both holders claimed the id at the same time; the first holder wins.
		e.running, e.pending = false, false
		close(e.done)
		e.done = nil
		k.setLocked(e, n)
		e.sharedWithPeer, reply.Held = !n.Once, true
		return reply
	}
	if e.running || !supersedes(&n, &e.note) {
		reply.Notes = []Note{e.note}
		return reply
	}
	k.setLocked(e, n)
	e.sharedWithPeer, reply.Held = !n.Once, true
	return reply
}

// handleEnd records the outcome of another process's claim.
func (k *Keeper) handleEnd(n Note) {
	sh := k.shard(n.ID)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	e := sh.entries[n.ID]
	if e == nil || e.running || !e.note.sameClaim(&n) || e.note.Run != n.Run {
		return
	}
	k.setLocked(e, n)
}

// handlePull returns one part of the records that peer holds too. Each shard is
// one part.
func (k *Keeper) handlePull(peer, next string) PeerReply {
	i, err := strconv.Atoi(next)
	if err != nil || i < 0 || i >= shardCount {
		i = 0
	}
	reply := PeerReply{Complete: k.completeWith(peer)}
	sh := &k.shards[i]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	bodyBudget := maxPullBytes
	for id, e := range sh.entries {
		first, second := k.ring.Holders(id)
		if !e.note.Once && e.freshID || first.Name != peer && second.Name != peer {
			continue
		}
		n := e.note
		if !n.Once || len(n.Body) > bodyBudget {
			n.Body, n.Kept = nil, false
		}
		bodyBudget -= len(n.Body)
		reply.Notes = append(reply.Notes, n)
	}
	if i+1 < shardCount {
		reply.Next = strconv.Itoa(i + 1)
	}
	return reply
}
