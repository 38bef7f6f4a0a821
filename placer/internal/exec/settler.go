package exec

import (
	"context"
	"sync/atomic"

	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/desk"
	"github.com/balsamford/balsamford/placer/internal/hold"
)

// settleCalls bounds how many executors are asked at a time.
const settleCalls = 8

// Seats names the endpoints of a zone; a *hold.Keeper is one.
type Seats interface {
	Known() []string
	Owned() []string
	Seat(endpoint string) *hold.Seat
	Control(endpoint string) (*hold.Pass, error)
}

// Settler finds and stops what is left of a quick request whose placer was
// lost. An entry asks all placers of the zone before it sends the request
// again, so that it doesn't run in two places at once.
type Settler struct {
	runner *Runner
	seats  Seats
	client Client
	live   func() []string // names of the zone's placers that live
}

// NewSettler returns a Settler for the requests that r has run.
func NewSettler(r *Runner, s Seats, live func() []string) *Settler {
	return &Settler{runner: r, seats: s, client: r.client, live: live}
}

// Settle stops the runs of a request at the executors that are owned here. An
// owner's executor refuses starts of earlier owners. Those that this process
// sent itself may still wait in the endpoint's socket, so they are forbidden
// there first. What isn't there then will not begin there.
func (s *Settler) Settle(ctx context.Context, id string) wire.Settled {
	out := wire.Settled{Live: s.live(), Known: s.executors(s.seats.Known()), Owned: s.executors(s.seats.Owned())}
	var left atomic.Bool
	left.Store(!s.runner.forbidAll(ctx, id))
	var g errgroup.Group
	g.SetLimit(settleCalls)
	for _, name := range out.Owned {
		g.Go(func() error {
			if !s.clear(ctx, name, id) {
				left.Store(true)
			}
			return nil
		})
	}
	_ = g.Wait()
	out.Clear = !left.Load()
	return out
}

func (s *Settler) executors(names []string) []string {
	out := make([]string, 0, len(names))
	for _, name := range names {
		if seat := s.seats.Seat(name); seat != nil && seat.Target().Kind == point.Executor {
			out = append(out, name)
		}
	}
	return out
}

// clear reports whether no run of the request goes on at one executor; one
// that does is stopped, and is gone when asked again.
func (s *Settler) clear(ctx context.Context, name, id string) bool {
	pass, err := s.seats.Control(name)
	if err != nil {
		return false
	}
	defer pass.Done()
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	view, err := s.client.View(ctx, pass.Address())
	if err != nil || view.Owner != pass.Owner() {
		return false
	}
	clear := true
	for i := range view.Tasks {
		t := &view.Tasks[i]
		request, _, ok := desk.SplitTaskID(t.ID)
		if !ok || request != id || t.State.Ended() {
			continue
		}
		clear = false
		_ = s.client.Stop(ctx, pass.Address(), point.Stop{Owner: pass.Owner(), ID: t.ID, Attempt: t.Attempt, Mode: point.ModeStop})
	}
	return clear
}
