package jobs

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/owner"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/desk"
)

const (
	// turnKey is what the placers of a zone hash to agree on who gives turns.
	lockKey = "turn"
	// gatherPause is the mean wait of a gang whose room couldn't be booked
	// before it is tried with another split.
	reserveRetryDelay = 2 * time.Second
)

// gather begins to book room for a gang that no placer can run alone, and
// reports whether all together could. The gang isn't queued meanwhile.
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
		wait := reserveRetryDelay/2 + rand.N(reserveRetryDelay) //nolint:gosec // The spread needs no secrecy.
		if d.timer.Sleep(ctx, wait) == nil {
			d.submit(j)
		}
	})
	return true
}

func (d *Driver) lockPlacer() string { return owner.Of(lockKey, d.liveNames()) }

// ask tells a placer, which may be this one, something and returns its answer.
func (d *Driver) callPlacer(ctx context.Context, placer string, n *peerRequest) (peerReply, error) {
	if placer == d.name {
		return d.handlePeer(ctx, n), nil
	}
	m, alive := d.members.Alive(placer)
	if !alive {
		return peerReply{}, &GoneError{Placer: placer}
	}
	return d.callPeer(ctx, m, n)
}

// collect books room for a gang and starts it. It reports false if the gang
// has to be queued again.
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

// late reports whether a gang is not to be started any more. One whose
// deadline has passed gets its outcome.
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

// gathered notes that no room is being booked any more. After a failure the
// gang may run at the endpoints again that it has avoided.
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

// startGang writes the attempts of a gang for which there is room and has the
// owners of the endpoints start its tasks.
func (d *Driver) startGang(ctx context.Context, j *job, g *gangReserver) bool {
	var all []desk.Order
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
		p := &g.shares[i]
		in := &launchRequest{Epoch: g.epoch, Attempt: g.item.Attempt}
		group.Go(func() error { d.launchAt(ctx, j, p.placer, in, p.orders(g)); return nil })
	}
	_ = group.Wait()
	return true
}

// asked notes whether the owners of endpoints are being asked for starts, whose
// fates they will tell.
func (j *job) setLaunching(orders []desk.Order, launching bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, o := range orders {
		j.tasks[o.Task].launching = launching
	}
}

func (p *share) orders(g *gangReserver) []desk.Order {
	b := newReserveRequest(&g.item, g.epoch, p.numbers)
	out := make([]desk.Order, 0, len(p.grants))
	for i := range p.grants {
		out = append(out, p.grants[i].order(b))
	}
	return out
}

// launchAt has one placer start tasks for which it keeps room. What it doesn't
// answer for is in doubt.
func (d *Driver) launchAt(ctx context.Context, j *job, placer string, in *launchRequest, orders []desk.Order) {
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
	for _, f := range out.Results {
		results[f.Task] = f
	}
	j.setLaunching(orders, false)
	for _, o := range orders {
		d.spawn(func(ctx context.Context) { d.handleStartResult(ctx, j, o, results[o.Task]) })
	}
}
