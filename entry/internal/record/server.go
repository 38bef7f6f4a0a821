package record

import (
	"context"
	"strconv"

	"github.com/balsamford/balsamford/coord/link"
)

// pullBytes is how many bytes of answers go into one part of a pull.
const pullBytes = 1 << 20

// Handle implements link.Handler for Verb.
func (k *Keeper) Handle(_ context.Context, s *link.Stream) error {
	var ask Ask
	if err := s.Recv(&ask); err != nil {
		return err
	}
	switch ask.Op {
	case opHold, opEnd, opPull:
		return s.Send(k.answer(ask))
	}
	return &AskError{Op: ask.Op}
}

// answer answers a call of one of the known kinds.
func (k *Keeper) answer(ask Ask) Told {
	switch ask.Op {
	case opHold:
		return k.holdFor(ask.Note)
	case opPull:
		return k.pullFor(ask.From, ask.Next)
	}
	for _, n := range ask.Notes {
		k.endFor(n)
	}
	return Told{Held: true}
}

// holdFor holds another process's claim, or returns the one that bars it.
func (k *Keeper) holdFor(n Note) Told {
	sh := k.shard(n.ID)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	told := Told{Complete: k.complete(n.ID)}
	e := sh.entries[n.ID]
	if e == nil {
		if k.size.Load() >= int64(k.limit) {
			return Told{}
		}
		e = &entry{}
		sh.entries[n.ID] = e
		k.size.Add(1)
		k.setLocked(e, n)
		e.shared, told.Held = !n.Once, true
		return told
	}
	first, _ := k.ring.Holders(n.ID)
	if e.pending && n.Host == first.Name && k.self.Name != first.Name {
		// Both holders were asked at the same moment; the first one goes on.
		e.here, e.pending = false, false
		close(e.done)
		e.done = nil
		k.setLocked(e, n)
		e.shared, told.Held = !n.Once, true
		return told
	}
	if e.here || !supersedes(&n, &e.note) {
		told.Notes = []Note{e.note}
		return told
	}
	k.setLocked(e, n)
	e.shared, told.Held = !n.Once, true
	return told
}

// endFor notes the outcome of another process's claim.
func (k *Keeper) endFor(n Note) {
	sh := k.shard(n.ID)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	e := sh.entries[n.ID]
	if e == nil || e.here || !e.note.sameClaim(&n) || e.note.Run != n.Run {
		return
	}
	k.setLocked(e, n)
}

// pullFor returns one part of the records that the named host also holds.
// The parts are the shards.
func (k *Keeper) pullFor(peer, next string) Told {
	i, err := strconv.Atoi(next)
	if err != nil || i < 0 || i >= shards {
		i = 0
	}
	told := Told{Complete: k.completeWith(peer)}
	sh := &k.shards[i]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	room := pullBytes
	for id, e := range sh.entries {
		first, second := k.ring.Holders(id)
		if !e.note.Once && e.private || first.Name != peer && second.Name != peer {
			continue
		}
		n := e.note
		if !n.Once || len(n.Body) > room {
			n.Body, n.Kept = nil, false
		}
		room -= len(n.Body)
		told.Notes = append(told.Notes, n)
	}
	if i+1 < shards {
		told.Next = strconv.Itoa(i + 1)
	}
	return told
}
