package config

import (
	"context"
	"slices"

	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/wire"
)

// maxQueriers is the number of processes of a zone that may query the writers.
// The first of them that is up does so; all others take the result from it.
const maxQueriers = 3

// The age, as a part of Period, from which on a confirmation is renewed by a
// query of the writers.
const (
	readAgeDivisor   = 2 // 1/2 of Period for a confirmation by a read
	answerAgeDivisor = 4 // 1/4 of Period for one by the writers' answers
)

// Question asks a writer whether it knows of no version newer than Version.
type Question struct {
	Run     string `cbor:"run"` // run of the writer that is asked
	Version uint64 `cbor:"version"`
}

// confirmFromWriters confirms the current version while the platform doesn't.
// If no writer on the roll knows of a newer version, none has been accepted,
// since acceptance requires that one of them knows it (see
// waitState.lapseTime). One process of the zone queries the writers, and the
// others take the result from it.
func (f *Follower) confirmFromWriters(ctx context.Context) {
	if !f.writerQueryDue() {
		return
	}
	for _, p := range f.queriersAhead() {
		if f.pull(ctx, p) == nil {
			return // p is up, so p queries the writers
		}
	}
	if f.mayQuery() {
		f.queryWriters(ctx)
	}
}

// writerQueryDue reports whether the confirmation is old enough to be renewed
// and the writers' answers may extend it.
func (f *Follower) writerQueryDue() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.caller == nil || f.left || !f.hasConfirmation || !f.readSinceListed || !f.listedLocked() {
		return false
	}
	age := f.timers.Boot() - f.confirmedAt
	return age >= f.period/readAgeDivisor || f.byAnswers && age >= f.period/answerAgeDivisor
}

// queriersAhead returns the processes of the zone that should query the writers
// before this one does.
func (f *Follower) queriersAhead() []Peer {
	zone := f.zonePeers()
	at := slices.IndexFunc(zone, func(p Peer) bool { return p.Name == f.name })
	return zone[:min(at, maxQueriers)]
}

func (f *Follower) mayQuery() bool { return len(f.queriersAhead()) < maxQueriers }

// queryWriters asks all writers on the roll, and if all of them confirm the
// current version, counts it as confirmed at the time before the query.
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

// queryWriter asks one writer, unless its last answer is known, and adds its
// run to confirmed if the version is the newest that it knows.
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

// hasFinal reports whether a writer has left and its last answer says that it
// knew of no version newer than version.
func (f *Follower) hasFinal(run string, version uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	final, ok := f.finals[run]
	return ok && final.Version <= version
}

// handleQuestion answers a Question. It doesn't confirm if the question is for
// another run, because this one doesn't know what that run knew.
func (f *Follower) handleQuestion(q Question) Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := Status{Name: f.name, Zone: f.zone, Age: -1, DrainsAge: -1, Run: f.run, Finals: f.finalsLocked()}
	out.Sure = q.Run == f.run && f.newestKnown <= q.Version
	if !out.Sure {
		out.Head = f.Head()
	}
	return out
}
