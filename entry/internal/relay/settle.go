package relay

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/entry/internal/route"
)

const (
	// settlePollInterval is the pause between two rounds of settle calls.
	settlePollInterval = 200 * time.Millisecond
	// settleCallTimeout limits one round of settle calls.
	settleCallTimeout = 2 * time.Second
	// settleTimeout limits the wait for one zone. Within that time other
	// placers take over the executors of a dead placer.
	settleTimeout = 8 * time.Second
)

// settle waits until no run of the request is in progress in a zone and none can
// start there. It reports false if that isn't confirmed in time.
func (d *dispatch) settle(ctx context.Context, zone string) bool {
	d.runner.counts.settles.Inc(1)
	ctx, cancel := d.runner.withTimeout(ctx, settleTimeout)
	defer cancel()
	for ctx.Err() == nil && d.stopReason() == "" {
		if d.runner.pollSettled(ctx, zone, wire.Lookup{ID: d.req.ID, Attempt: d.req.Attempt}) {
			return true
		}
		if d.runner.clock.Sleep(d.reqCtx, settlePollInterval) != nil {
			return false
		}
	}
	return false
}

// settleAllZones calls settle for every zone, for a request that may have run in
// any of them.
func (d *dispatch) settleAllZones(ctx context.Context) bool {
	zones := make(map[string]bool)
	for _, p := range d.runner.routes.Placers() {
		zones[p.Zone] = true
	}
	for zone := range zones {
		if !d.settle(ctx, zone) {
			return false
		}
	}
	return true
}

// pollSettled calls every placer of a zone once and reports whether their
// replies show that no run is in progress.
func (r *Runner) pollSettled(ctx context.Context, zone string, in wire.Lookup) bool {
	ctx, cancel := r.withTimeout(ctx, settleCallTimeout)
	defer cancel()
	replies := newSettleReplies()
	var g errgroup.Group
	for _, p := range r.routes.Placers() {
		if p.Zone != zone {
			continue
		}
		g.Go(func() error {
			var out wire.Settled
			if r.net.Call(ctx, p.Link, wire.VerbSettle, in, &out) == nil {
				replies.add(p, &out)
			}
			return nil
		})
	}
	_ = g.Wait()
	return replies.allClear()
}

// settleReplies collects the replies of a zone's placers to one round of settle
// calls.
type settleReplies struct {
	mu    sync.Mutex      // guards the fields below
	clear map[string]bool // by placer that replied: it has no run of the request
	live  map[string]bool // placers that a reply lists as live
	owned map[string]bool // executors owned by a placer that replied
	known map[string]bool // all executors that a reply lists
}

func newSettleReplies() *settleReplies {
	return &settleReplies{clear: make(map[string]bool), live: make(map[string]bool), owned: make(map[string]bool), known: make(map[string]bool)}
}

func (r *settleReplies) add(p route.Placer, s *wire.Settled) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clear[p.Name] = s.Clear
	for _, n := range s.Live {
		r.live[n] = true
	}
	for _, n := range s.Owned {
		r.owned[n] = true
	}
	for _, n := range s.Known {
		r.known[n] = true
	}
}

// allClear reports whether every live placer replied that it has no run of the
// request, and every known executor is owned by one of them.
func (r *settleReplies) allClear() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.clear) == 0 {
		return false
	}
	for _, ok := range r.clear {
		if !ok {
			return false
		}
	}
	for n := range r.live {
		if !r.clear[n] {
			return false
		}
	}
	for n := range r.known {
		if !r.owned[n] {
			return false
		}
	}
	return true
}
