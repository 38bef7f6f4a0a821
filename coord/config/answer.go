package config

import (
	"context"
	"slices"

	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/wire"
)

// askers is how many processes of a zone may ask all writers; the first that
// lives does, the others ask it.
const maxQueriers = 3

// Question asks a process that may publish whether a version is the newest of
// which it knows, and whether nothing newer of its own is under way.
type Question struct {
	Run     string `cbor:"run"` // of the process that is meant
	Version uint64 `cbor:"version"`
}

// outage confirms the current version while the platform doesn't: if all on
// the roll know of nothing newer, nothing newer is accepted, since acceptance
// waits for one of them to know it (see round.lapse). One process of the zone asks them, the others ask that one.
func (f *Follower) confirmFromWriters(ctx context.Context) {
	if !f.writerQueryDue() {
		return
	}
	for _, p := range f.queriersAhead() {
		if f.pull(ctx, p) == nil {
			return // it lives, so it's the one that asks
		}
	}
	if f.mayQuery() {
		f.queryWriters(ctx)
	}
}

func (f *Follower) writerQueryDue() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.caller == nil || f.left || !f.hasConfirmation || !f.readSinceListed || !f.listedLocked() {
		return false
	}
	age := f.timers.Boot() - f.confirmedAt
	return age >= f.period/2 || f.byAnswers && age >= f.period/4
}

// askersBefore returns the processes of the zone that are to ask the writers
// before this one does.
func (f *Follower) queriersAhead() []Peer {
	zone := f.zonePeers()
	at := slices.IndexFunc(zone, func(p Peer) bool { return p.Name == f.name })
	return zone[:min(at, maxQueriers)]
}

func (f *Follower) mayQuery() bool { return len(f.queriersAhead()) < maxQueriers }

// askWriters asks all processes of the roll, and confirms the current version
// as of the moment before if all are sure of it.
func (f *Follower) queryWriters(ctx context.Context) {
	queried := f.timers.Boot()
	f.mu.Lock()
	head, roll := f.Head(), f.rollRead.roll
	version := head.Version
	usable := f.membership.roll > 0 && f.newestKnown == version && version > 0
	f.mu.Unlock()
	if !usable || roll.Number == 0 {
		return
	}
	ctx, cancel := f.timeout(ctx, f.peerTimeout())
	defer cancel()
	var confirmed confirmedRuns
	var g errgroup.Group
	g.SetLimit(maxCalls)
	for _, w := range roll.Writers {
		g.Go(func() error { f.queryWriter(ctx, w, version, &confirmed); return nil })
	}
	_ = g.Wait()
	for _, w := range roll.Writers {
		if !confirmed.has(w.Run) && !f.hasFinal(w.Run, version) {
			f.counts.unsure.Inc(1)
			return
		}
	}
	f.counts.answered.Inc(1)
	f.handleOffer(ctx, offer{head: head, sent: queried, timed: true, byAnswers: true})
}

// askWriter asks one process, unless its last answer is known.
func (f *Follower) queryWriter(ctx context.Context, w Writer, version uint64, confirmed *confirmedRuns) {
	in := Ask{Question: &Question{Run: w.Run, Version: version}}
	var out Status
	switch {
	case f.hasFinal(w.Run, version):
		return
	case w.Name == f.name:
		out = f.handleHead(ctx, in)
	default:
		f.counts.asks.Inc(1)
		if f.caller.Call(ctx, w.Address, wire.VerbHead, in, &out) != nil {
			return
		}
	}
	f.learnFinals(out.Finals)
	if out.Sure {
		confirmed.add(w.Run)
		return
	}
	f.handleOffer(ctx, offer{head: out.Head, source: w.Address})
}

// finalBy reports whether a process has said for good that it published
// nothing newer.
func (f *Follower) hasFinal(run string, version uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	final, ok := f.finals[run]
	return ok && final.Version <= version
}

// answer answers a Question. A process that isn't the one that was asked
// doesn't know what that one knew.
func (f *Follower) handleQuestion(q Question) Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := Status{Name: f.name, Zone: f.zone, Age: -1, Read: -1, Run: f.run, Finals: f.finalsLocked()}
	out.Sure = q.Run == f.run && f.newestKnown <= q.Version
	if !out.Sure {
		out.Head = f.Head()
	}
	return out
}
