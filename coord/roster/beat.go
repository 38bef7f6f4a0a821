package roster

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/wire"
)

// Caller sends one message to a process and receives its answer; a
// *link.Node is one.
type Caller interface {
	Call(ctx context.Context, address, verb string, in, out any) error
}

// Pacer waits; a *timer.Service is one.
type Pacer interface {
	Sleep(ctx context.Context, d time.Duration) error
}

// parallelBeats bounds how many heartbeats are under way at a time.
const parallelBeats = 16

// Beat sends a heartbeat to each peer and takes each answer as theirs. It
// returns when all have been answered or timeout has passed for them.
func (r *Roster) Beat(ctx context.Context, caller Caller, timeout time.Duration) {
	var g errgroup.Group
	g.SetLimit(parallelBeats)
	for _, m := range r.Peers() {
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			var answer Member
			if err := caller.Call(ctx, m.Link, wire.VerbBeat, r.Self(), &answer); err == nil {
				r.Heard(answer)
			}
			return nil
		})
	}
	_ = g.Wait()
}

// Run sends heartbeats every period until ctx ends. It always returns nil.
func (r *Roster) Run(ctx context.Context, caller Caller, pacer Pacer, period time.Duration) error {
	for {
		r.Beat(ctx, caller, period)
		if err := pacer.Sleep(ctx, period); err != nil {
			return nil
		}
	}
}

// Handle serves wire.VerbBeat: it takes the heartbeat and answers with one.
func (r *Roster) Handle(_ context.Context, s *link.Stream) error {
	var m Member
	if err := s.Recv(&m); err != nil {
		return err
	}
	r.Heard(m)
	return s.Send(r.Self())
}
