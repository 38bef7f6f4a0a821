package exec

import (
	"context"
	"sync/atomic"

	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/hold"
	"github.com/balsamford/balsamford/placer/internal/queue"
)

// maxSettleCalls is the maximum number of executors called concurrently.
const maxSettleCalls = 8

// Endpoints gives access to the endpoints of the zone; *hold.Keeper implements it.
type Endpoints interface {
	Known() []string
	Owned() []string
	Ownership(endpoint string) *hold.Ownership
	Control(endpoint string) (*hold.Pass, error)
}

// Settler finds and stops the remaining runs of a quick request whose placer
// was lost. An entry sends a settle call to all placers of the zone before it
// retries the request, so that it doesn't run in two places at once.
type Settler struct {
	runner      *Runner
	endpoints   Endpoints
	client      Client
	livePlacers func() []string // names of the live placers of the zone
}

// NewSettler returns a Settler that also revokes the pending starts of r.
func NewSettler(r *Runner, e Endpoints, livePlacers func() []string) *Settler {
	return &Settler{runner: r, endpoints: e, client: r.client, livePlacers: livePlacers}
}

// Settle stops the runs of a request at the executors that this placer owns.
// These reject starts of earlier owners. Starts that this process sent may
// still wait in a socket of an executor, so they are revoked first. A run that
// an executor doesn't list after that can't begin there any more.
func (s *Settler) Settle(ctx context.Context, id string) wire.Settled {
	out := wire.Settled{Live: s.livePlacers(), Known: s.executors(s.endpoints.Known()), Owned: s.executors(s.endpoints.Owned())}
	var remaining atomic.Bool
	remaining.Store(!s.runner.revokeAll(ctx, id))
	var g errgroup.Group
	g.SetLimit(maxSettleCalls)
	for _, name := range out.Owned {
		g.Go(func() error {
			if !s.stopRuns(ctx, name, id) {
				remaining.Store(true)
			}
			return nil
		})
	}
	_ = g.Wait()
	out.Clear = !remaining.Load()
	return out
}

func (s *Settler) executors(names []string) []string {
	out := make([]string, 0, len(names))
	for _, name := range names {
		if ownership := s.endpoints.Ownership(name); ownership != nil && ownership.Target().Kind == point.Executor {
			out = append(out, name)
		}
	}
	return out
}

// stopRuns stops the runs of the request at one executor and reports whether
// there were none. A later call finds out whether the stopped runs have ended.
func (s *Settler) stopRuns(ctx context.Context, name, id string) bool {
	pass, err := s.endpoints.Control(name)
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
	none := true
	for i := range view.Tasks {
		t := &view.Tasks[i]
		request, _, ok := queue.SplitTaskID(t.ID)
		if !ok || request != id || t.State.Ended() {
			continue
		}
		none = false
		_ = s.client.Stop(ctx, pass.Address(), point.Stop{Owner: pass.Owner(), ID: t.ID, Attempt: t.Attempt, Mode: point.ModeStop})
	}
	return none
}
