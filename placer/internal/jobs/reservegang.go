package jobs

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/owner"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/queue"
)

const (
	// lockKey is hashed over the live placers of a zone to choose the one that
	// runs the gang lock.
	lockKey = "turn"
	// reserveRetryDelay is the mean delay before a gang whose reservation failed
	// is queued again. It is randomized by half in both directions.
	reserveRetryDelay = 2 * time.Second
)

// reserveGang starts reserving capacity for a gang that no placer can run alone.
// It reports false if the placers together can't run it either. The gang leaves
// the local queue meanwhile. capacities has one share per placer, of which only
// placer and capacity are used.
func (d *Driver) reserveGang(j *job, capacities []share) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.activeLocked() || j.reserving || j.liveLocked() > 0 {
		return true
	}
	d.dequeueLocked(j)
	item := j.itemLocked()
	shares := splitGang(item.Numbers, capacities)
	if len(shares) == 0 {
		return false
	}
	j.reserving, j.noFitRounds = true, 0
	g := &gangReserver{item: item, epoch: j.row.Epoch, shares: shares, lockPlacer: d.lockPlacer, send: d.callPlacer}
	d.spawn(func(ctx context.Context) {
		if d.reserveAndStart(ctx, j, g) {
			return
		}
		wait := reserveRetryDelay/2 + rand.N(reserveRetryDelay) //nolint:gosec // Jitter needs no secure randomness.
		if d.timer.Sleep(ctx, wait) == nil {
			d.submit(j)
		}
	})
	return true
}

// lockPlacer returns the name of the placer that runs the zone's gang lock.
func (d *Driver) lockPlacer() string { return owner.Of(lockKey, d.liveNames()) }

// callPlacer sends a request to a placer, which may be this one. The error is a
// *GoneError if the placer isn't alive.
func (d *Driver) callPlacer(ctx context.Context, placer string, req *peerRequest) (peerReply, error) {
	if placer == d.name {
		return d.handlePeer(ctx, req), nil
	}
	m, alive := d.members.Alive(placer)
	if !alive {
		return peerReply{}, &GoneError{Placer: placer}
	}
	return d.callPeer(ctx, m, req)
}

// reserveAndStart reserves capacity for a gang and starts it. It reports false if
// the caller has to queue the gang again.
func (d *Driver) reserveAndStart(ctx context.Context, j *job, g *gangReserver) bool {
	defer g.unlock(ctx)
	for d.timer.Sleep(ctx, retryDelay) == nil {
		if d.endIfLate(j) {
			break
		}
		switch g.round(ctx) {
		case stateReady:
			return d.startGang(ctx, j, g)
		case stateFailed:
			g.release(ctx)
			j.reserveDone(true)
			return false
		case statePending:
		}
	}
	g.release(ctx)
	j.reserveDone(false)
	return true
}

// endIfLate reports whether the job's waiting tasks must no longer be started.
// If the deadline has passed it ends them.
func (d *Driver) endIfLate(j *job) bool {
	j.mu.Lock()
	active, deadline := j.activeLocked(), j.deadline
	j.mu.Unlock()
	if active && !deadline.IsZero() && !deadline.After(d.timer.Now()) {
		d.endUnstarted(j, wire.ReasonDeadline)
		return true
	}
	return !active
}

// reserveDone records that the gang no longer reserves capacity. After a failure
// clearAvoided lets it use the endpoints again that it has avoided.
func (j *job) reserveDone(clearAvoided bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.reserving = false
	for n := range j.tasks {
		if clearAvoided {
			j.tasks[n].avoid = nil
		}
	}
}

// startGang writes the attempts of a gang whose reservations are complete and
// then has the owners of the endpoints start its tasks.
func (d *Driver) startGang(ctx context.Context, j *job, g *gangReserver) bool {
	var all []queue.Order
	for i := range g.shares {
		all = append(all, g.shares[i].orders(g)...)
	}
	sent := j.markSent(all)
	j.reserveDone(false)
	j.setLaunching(all, true)
	if !sent {
		g.release(ctx)
		return true
	}
	if err := d.flush(ctx, j); err != nil {
		g.release(ctx)
		j.setLaunching(all, false)
		d.requeueUnstarted(ctx, j, all, "")
		return true
	}
	d.counts.gangs.Inc(1)
	var group errgroup.Group
	for i := range g.shares {
		s := &g.shares[i]
		in := &launchRequest{Epoch: g.epoch, Attempt: g.item.Attempt}
		group.Go(func() error { d.launchAt(ctx, j, s.placer, in, s.orders(g)); return nil })
	}
	_ = group.Wait()
	return true
}

// setLaunching records whether launchRequests for the tasks are under way. Their
// replies bring the results of the starts.
func (j *job) setLaunching(orders []queue.Order, launching bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, o := range orders {
		j.tasks[o.Task].launching = launching
	}
}

// orders returns the start orders for the capacity granted to the share.
func (s *share) orders(g *gangReserver) []queue.Order {
	req := newReserveRequest(&g.item, g.epoch, s.numbers)
	out := make([]queue.Order, 0, len(s.grants))
	for i := range s.grants {
		out = append(out, s.grants[i].order(req))
	}
	return out
}

// launchAt has one placer start the tasks for which it holds capacity. Tasks
// that its reply doesn't mention are in doubt.
func (d *Driver) launchAt(ctx context.Context, j *job, placer string, in *launchRequest, orders []queue.Order) {
	j.mu.Lock()
	in.ID, in.Driver, in.Request = j.id(), d.name, j.row.Request
	j.mu.Unlock()
	if in.Request.Kind == wire.Batch {
		for _, o := range orders {
			in.Numbers = append(in.Numbers, o.Task)
		}
	}
	out, _ := d.callPlacer(ctx, placer, &peerRequest{Launch: in})
	results := make(map[int]startResult)
	for _, res := range out.Results {
		results[res.Task] = res
	}
	j.setLaunching(orders, false)
	for _, o := range orders {
		d.spawn(func(ctx context.Context) { d.handleStartResult(ctx, j, o, results[o.Task]) })
	}
}
