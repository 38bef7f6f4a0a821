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
	turnKey = "turn"
	// gatherPause is the mean wait of a gang whose room couldn't be booked
	// before it is tried with another split.
	gatherPause = 2 * time.Second
)

// gather begins to book room for a gang that no placer can run alone, and
// reports whether all together could. The gang isn't queued meanwhile.
func (d *Driver) gather(j *job, rooms []portion) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.activeLocked() || j.gathers || j.liveLocked() > 0 {
		return true
	}
	d.dequeueLocked(j)
	item := j.itemLocked()
	shares := split(item.Numbers, rooms)
	if len(shares) == 0 {
		return false
	}
	j.gathers, j.nevers = true, 0
	g := &gathering{item: item, epoch: j.row.Epoch, shares: shares, keeper: d.turnKeeper, tell: d.ask}
	d.spawn(func(ctx context.Context) {
		if d.collect(ctx, j, g) {
			return
		}
		wait := gatherPause/2 + rand.N(gatherPause) //nolint:gosec // The spread needs no secrecy.
		if d.timer.Sleep(ctx, wait) == nil {
			d.submit(j)
		}
	})
	return true
}

func (d *Driver) turnKeeper() string { return owner.Of(turnKey, d.liveNames()) }

// ask tells a placer, which may be this one, something and returns its answer.
func (d *Driver) ask(ctx context.Context, placer string, n *note) (noted, error) {
	if placer == d.name {
		return d.noted(ctx, n), nil
	}
	m, alive := d.members.Alive(placer)
	if !alive {
		return noted{}, &GoneError{Placer: placer}
	}
	return d.tell(ctx, m, n)
}

// collect books room for a gang and starts it. It reports false if the gang
// has to be queued again.
func (d *Driver) collect(ctx context.Context, j *job, g *gathering) bool {
	defer g.end(ctx)
	for d.timer.Sleep(ctx, pause) == nil {
		if d.late(j) {
			break
		}
		switch g.round(ctx) {
		case ready:
			return d.startGang(ctx, j, g)
		case failed:
			g.drop(ctx)
			j.gathered(true)
			return false
		case waits:
		}
	}
	g.drop(ctx)
	j.gathered(false)
	return true
}

// late reports whether a gang is not to be started any more. One whose
// deadline has passed gets its outcome.
func (d *Driver) late(j *job) bool {
	j.mu.Lock()
	active, deadline := j.activeLocked(), j.deadline
	j.mu.Unlock()
	if active && !deadline.IsZero() && !deadline.After(d.timer.Now()) {
		d.giveUp(j, wire.ReasonDeadline)
		return true
	}
	return !active
}

// gathered notes that no room is being booked any more. After a failure the
// gang may run at the endpoints again that it has avoided.
func (j *job) gathered(relent bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.gathers = false
	for n := range j.tasks {
		if relent {
			j.tasks[n].avoid = nil
		}
	}
}

// startGang writes the attempts of a gang for which there is room and has the
// owners of the endpoints start its tasks.
func (d *Driver) startGang(ctx context.Context, j *job, g *gathering) bool {
	var all []desk.Order
	for i := range g.shares {
		all = append(all, g.shares[i].orders(g)...)
	}
	sent := j.send(all)
	j.gathered(false)
	j.asked(all, true)
	if !sent {
		g.drop(ctx)
		return true
	}
	if err := d.flush(ctx, j); err != nil {
		g.drop(ctx)
		j.asked(all, false)
		d.unstarted(ctx, j, all, "")
		return true
	}
	d.counts.gangs.Inc(1)
	var group errgroup.Group
	for i := range g.shares {
		p := &g.shares[i]
		in := &launch{Epoch: g.epoch, Attempt: g.item.Attempt}
		group.Go(func() error { d.launchAt(ctx, j, p.placer, in, p.orders(g)); return nil })
	}
	_ = group.Wait()
	return true
}

// asked notes whether the owners of endpoints are being asked for starts, whose
// fates they will tell.
func (j *job) asked(orders []desk.Order, asked bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, o := range orders {
		j.tasks[o.Task].asked = asked
	}
}

func (p *portion) orders(g *gathering) []desk.Order {
	b := newBook(&g.item, g.epoch, p.numbers)
	out := make([]desk.Order, 0, len(p.kept))
	for i := range p.kept {
		out = append(out, p.kept[i].order(b))
	}
	return out
}

// launchAt has one placer start tasks for which it keeps room. What it doesn't
// answer for is in doubt.
func (d *Driver) launchAt(ctx context.Context, j *job, placer string, in *launch, orders []desk.Order) {
	j.mu.Lock()
	in.ID, in.Driver, in.Request = j.id(), d.name, j.row.Request
	j.mu.Unlock()
	if in.Request.Kind == wire.Batch {
		for _, o := range orders {
			in.Numbers = append(in.Numbers, o.Task)
		}
	}
	out, _ := d.ask(ctx, placer, &note{Launch: in})
	fates := make(map[int]fate)
	for _, f := range out.Fates {
		fates[f.Task] = f
	}
	j.asked(orders, false)
	for _, o := range orders {
		d.spawn(func(ctx context.Context) { d.sent(ctx, j, o, fates[o.Task]) })
	}
}
