package config

import (
	"context"

	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/wire"
)

// maxTells limits the concurrent announcements and status calls to peers.
const maxTells = 16

// Registrar registers handlers by verb; a *link.Node is one.
type Registrar interface {
	Handle(verb string, h link.Handler)
}

// Register sets the handlers through which peers announce heads to this
// process, ask for its head and fetch its configuration. It must be called
// before the node listens.
func (f *Follower) Register(r Registrar) {
	r.Handle(wire.VerbTell, link.HandlerFunc(f.serveTell))
	r.Handle(wire.VerbHead, link.HandlerFunc(f.serveHead))
	r.Handle(wire.VerbFetch, link.HandlerFunc(f.serveFetch))
}

func (f *Follower) serveTell(ctx context.Context, s *link.Stream) error {
	var in Announcement
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

// handleHead answers an Ask: with the answer to its Question, or with this
// process's Status.
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

// handleTell processes a peer's announcement of a head.
func (f *Follower) handleTell(ctx context.Context, in Announcement) {
	f.handleOffer(ctx, offer{head: in.Head, source: in.Address})
	f.learnFinals(in.Finals)
}

// Status returns the version that this process has applied and how it is
// confirmed, without the roll and the last answers.
func (f *Follower) Status() Status {
	s := Status{Name: f.name, Zone: f.zone, Age: -1, DrainsAge: -1}
	f.mu.Lock()
	defer f.mu.Unlock()
	s.Head = f.Head()
	if f.hasConfirmation && f.listedLocked() {
		s.Age, s.Answered = f.timers.Boot()-f.confirmedAt, f.byAnswers
	}
	s.Run = f.run
	if f.drains.known {
		s.Drains, s.DrainsAge = f.drains.names, f.timers.Boot()-f.drains.sent
	}
	return s
}

// addRoll adds the last answers to a reply, and the roll if the one that the
// peer has is older. A process that knows of a version that it hasn't loaded
// yet doesn't pass on its roll, because the roll may be newer than that
// version.
func (f *Follower) addRoll(s *Status, have uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.Finals = f.finalsLocked()
	if f.rollRead.roll.Number > have && f.newestKnown == s.Head.Version {
		roll := f.rollRead.roll
		s.Roll, s.RollAge = &roll, f.timers.Boot()-f.rollRead.sent
	}
}

// handleFetch answers a Fetch with the change since the peer's version if that
// is in the history, else with the whole set.
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

// announce sends a new head to the processes of the zone that ask this one for
// it. A process that isn't reached learns of the version by its own reads.
func (f *Follower) announce(ctx context.Context, head Head) {
	var g errgroup.Group
	g.SetLimit(maxTells)
	for _, p := range f.children() {
		g.Go(func() error {
			ctx, cancel := f.timeout(ctx, f.peerTimeout())
			defer cancel()
			f.counts.tells.Inc(1)
			var out Status
			_ = f.caller.Call(ctx, p.Address, wire.VerbTell, Announcement{Head: head, Address: f.address}, &out)
			return nil
		})
	}
	_ = g.Wait()
}
