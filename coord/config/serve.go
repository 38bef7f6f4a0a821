package config

import (
	"context"

	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/wire"
)

// tellers bounds how many peers are told at a time.
const maxTells = 16

// Registrar takes the handlers of calls; a *link.Node is one.
type Registrar interface {
	Handle(verb string, h link.Handler)
}

// Register sets the handlers by which peers tell this process of heads, ask
// for its head and fetch its configuration. It has to be called before the
// node listens.
func (f *Follower) Register(r Registrar) {
	r.Handle(wire.VerbTell, link.HandlerFunc(f.serveTell))
	r.Handle(wire.VerbHead, link.HandlerFunc(f.serveHead))
	r.Handle(wire.VerbFetch, link.HandlerFunc(f.serveFetch))
}

func (f *Follower) serveTell(ctx context.Context, s *link.Stream) error {
	var in Told
	if err := s.Recv(&in); err != nil {
		return err
	}
	f.handleTell(ctx, in)
	return s.Send(f.Status())
}

func (f *Follower) serveHead(ctx context.Context, s *link.Stream) error {
	var in Ask
	if err := s.Recv(&in); err != nil {
		return err
	}
	return s.Send(f.handleHead(ctx, in))
}

func (f *Follower) serveFetch(_ context.Context, s *link.Stream) error {
	var in Fetch
	if err := s.Recv(&in); err != nil {
		return err
	}
	return s.Send(f.handleFetch(in))
}

// asked answers an Ask.
func (f *Follower) handleHead(ctx context.Context, in Ask) Status {
	if in.Question != nil {
		return f.handleQuestion(*in.Question)
	}
	joined := false
	if in.Join != nil {
		ctx, cancel := f.timeout(ctx, f.period)
		defer cancel()
		joined = writeMember(ctx, f.platform, *in.Join) == nil
	}
	s := f.Status()
	s.Joined = joined
	f.addRoll(&s, in.Roll)
	return s
}

// told takes a head that a peer knows.
func (f *Follower) handleTell(ctx context.Context, in Told) {
	f.handleOffer(ctx, offer{head: in.Head, source: in.Address})
	f.learnFinals(in.Finals)
}

// Status returns what this process says of itself.
func (f *Follower) Status() Status {
	s := Status{Name: f.name, Zone: f.zone, Age: -1, Read: -1}
	f.mu.Lock()
	defer f.mu.Unlock()
	s.Head = f.Head()
	if f.hasConfirmation && f.listedLocked() {
		s.Age, s.Answered = f.timers.Boot()-f.confirmedAt, f.byAnswers
	}
	s.Run = f.run
	if f.drains.known {
		s.Drains, s.Read = f.drains.names, f.timers.Boot()-f.drains.sent
	}
	return s
}

// addRoll adds the roll to an answer if the asker's is older. A process that
// hasn't loaded the newest version that it knows of doesn't pass on its roll,
// because that may be from after that version.
func (f *Follower) addRoll(s *Status, have uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.Finals = f.finalsLocked()
	if f.rollRead.roll.Number > have && f.newestKnown == s.Head.Version {
		roll := f.rollRead.roll
		s.Roll, s.RollAge = &roll, f.timers.Boot()-f.rollRead.sent
	}
}

// content answers a Fetch with a change, if the asker's version is one of which
// it is known what changed since, or with everything.
func (f *Follower) handleFetch(in Fetch) Content {
	f.mu.Lock()
	cur, history := f.current.Load(), f.history
	f.mu.Unlock()
	if cur == nil {
		return Content{}
	}
	if in.Have == cur.snap.Digest() {
		return Content{Head: cur.head, Change: &Change{Base: in.Have}}
	}
	for i := len(history) - 1; i >= 0; i-- {
		if history[i].digest == in.Have {
			return Content{Head: cur.head, Change: changeSince(history[i:], cur.snap.Set())}
		}
	}
	return Content{Head: cur.head, Data: cur.snap.Data()}
}

// tell passes a new head on to the processes of the zone that ask this one for
// it. Whoever is missed learns it by its own reading.
func (f *Follower) announce(ctx context.Context, head Head) {
	var g errgroup.Group
	g.SetLimit(maxTells)
	for _, p := range f.children() {
		g.Go(func() error {
			ctx, cancel := f.timeout(ctx, f.peerTimeout())
			defer cancel()
			f.counts.tells.Inc(1)
			var out Status
			_ = f.caller.Call(ctx, p.Address, wire.VerbTell, Told{Head: head, Address: f.address}, &out)
			return nil
		})
	}
	_ = g.Wait()
}
