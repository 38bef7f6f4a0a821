package config

import (
	"context"
	"slices"

	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/wire"
)

// askers is how many processes of a zone may ask all writers; the first that
// lives does, the others ask it.
const askers = 3

// Question asks a process that may publish whether a version is the newest of
// which it knows, and whether nothing newer of its own is under way.
type Question struct {
	Run     string `cbor:"run"` // of the process that is meant
	Version uint64 `cbor:"version"`
}

// outage confirms the current version while the platform doesn't: if all on
// the roll know of nothing newer, nothing newer is accepted, since acceptance
// waits for one of them to know it (see round.lapse). One process of the zone asks them, the others ask that one.
func (f *Follower) outage(ctx context.Context) {
	if !f.outageDue() {
		return
	}
	for _, p := range f.askersBefore() {
		if f.pull(ctx, p) == nil {
			return // it lives, so it's the one that asks
		}
	}
	if f.mayAsk() {
		f.askWriters(ctx)
	}
}

func (f *Follower) outageDue() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.caller == nil || f.left || !f.counted || !f.grounded || !f.listedLocked() {
		return false
	}
	age := f.timers.Boot() - f.sent
	return age >= f.period/2 || f.answered && age >= f.period/4
}

// askersBefore returns the processes of the zone that are to ask the writers
// before this one does.
func (f *Follower) askersBefore() []Peer {
	zone := f.zonePeers()
	at := slices.IndexFunc(zone, func(p Peer) bool { return p.Name == f.name })
	return zone[:min(at, askers)]
}

func (f *Follower) mayAsk() bool { return len(f.askersBefore()) < askers }

// askWriters asks all processes of the roll, and confirms the current version
// as of the moment before if all are sure of it.
func (f *Follower) askWriters(ctx context.Context) {
	asked := f.timers.Boot()
	f.mu.Lock()
	head, roll := f.Head(), f.held.roll
	version := head.Version
	usable := f.member.list > 0 && f.top == version && version > 0
	f.mu.Unlock()
	if !usable || roll.Number == 0 {
		return
	}
	ctx, cancel := f.timeout(ctx, f.patience())
	defer cancel()
	var sure sureRuns
	var g errgroup.Group
	g.SetLimit(questions)
	for _, w := range roll.Writers {
		g.Go(func() error { f.askWriter(ctx, w, version, &sure); return nil })
	}
	_ = g.Wait()
	for _, w := range roll.Writers {
		if !sure.has(w.Run) && !f.finalBy(w.Run, version) {
			f.counts.unsure.Inc(1)
			return
		}
	}
	f.counts.answered.Inc(1)
	f.take(ctx, offer{head: head, sent: asked, counted: true, answered: true})
}

// askWriter asks one process, unless its last answer is known.
func (f *Follower) askWriter(ctx context.Context, w Writer, version uint64, sure *sureRuns) {
	in := Ask{Question: &Question{Run: w.Run, Version: version}}
	var out Status
	switch {
	case f.finalBy(w.Run, version):
		return
	case w.Name == f.name:
		out = f.asked(ctx, in)
	default:
		f.counts.asks.Inc(1)
		if f.caller.Call(ctx, w.Address, wire.VerbHead, in, &out) != nil {
			return
		}
	}
	f.learnFinals(out.Finals)
	if out.Sure {
		sure.add(w.Run)
		return
	}
	f.take(ctx, offer{head: out.Head, source: w.Address})
}

// finalBy reports whether a process has said for good that it published
// nothing newer.
func (f *Follower) finalBy(run string, version uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	final, ok := f.finals[run]
	return ok && final.Version <= version
}

// answer answers a Question. A process that isn't the one that was asked
// doesn't know what that one knew.
func (f *Follower) answer(q Question) Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := Status{Name: f.name, Zone: f.zone, Age: -1, Read: -1, Run: f.run, Finals: f.finalsLocked()}
	out.Sure = q.Run == f.run && f.top <= q.Version
	if !out.Sure {
		out.Head = f.Head()
	}
	return out
}
