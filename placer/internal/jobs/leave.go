package jobs

import (
	"context"

	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/owner"
	"github.com/balsamford/balsamford/coord/roster"
	"github.com/balsamford/balsamford/coord/wire"
)

// parallelOffers bounds how many jobs are handed over at a time.
const parallelOffers = 16

// nevers is how many rounds in a row have to find no endpoint in the zone
// that could run a job before it is refused for good; endpoints may be on
// their way from one owner to the next meanwhile.
const nevers = 10

// Leave hands all jobs over to other placers of the zone. Tasks run on.
func (d *Driver) Leave(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(parallelOffers)
	names := make([]string, 0)
	for _, m := range d.peers() {
		names = append(names, m.Name)
	}
	for _, j := range d.all() {
		g.Go(func() error {
			if to, alive := d.members.Alive(owner.Of(j.id(), names)); alive {
				d.handTo(ctx, j, to)
				return nil
			}
			d.release(ctx, j)
			return nil
		})
	}
	_ = g.Wait()
}

// release gives a job up: nothing is started any more, and the row names no
// driver. It reports whether that is written.
func (d *Driver) release(ctx context.Context, j *job) bool {
	j.mu.Lock()
	j.resting = true
	d.dequeueLocked(j)
	if j.row.Outcome == "" {
		j.row.Driver = ""
	}
	j.editLocked()
	j.mu.Unlock()
	if err := d.flush(ctx, j); err != nil {
		d.keep(j)
		return false
	}
	d.replace(j)
	return true
}

// keep goes on driving a job that couldn't be given up.
func (d *Driver) keep(j *job) {
	j.mu.Lock()
	j.resting = false
	if j.row.Outcome == "" {
		j.row.Driver = d.name
	}
	j.editLocked()
	j.mu.Unlock()
	d.save(j)
}

// handTo gives a job to another placer. If that one doesn't take it, the
// zone's scan finds it.
func (d *Driver) handTo(ctx context.Context, j *job, to roster.Member) bool {
	if !d.release(ctx, j) {
		return false
	}
	req := j.snapshot().Request
	return d.offerTo(ctx, &req, to)
}

// passOn finds another placer whose endpoints can run a job that this one's
// never can, and reports whether it took it or there is none in the zone.
func (d *Driver) passOn(ctx context.Context, j *job, reason string) bool {
	row := j.snapshot()
	ask := &note{Fit: &fit{Needs: row.Request.Needs, Tasks: 1}}
	if row.Request.Kind == wire.Gang {
		ask.Fit.Tasks = max(row.Request.Tasks, 1)
	}
	all := true
	rooms := []portion{{placer: d.name, room: d.queue.Room(row.Request.Needs, ask.Fit.Tasks)}}
	for _, m := range d.peers() {
		out, err := d.tell(ctx, m, ask)
		if err == nil && out.Done {
			return d.handTo(ctx, j, m)
		}
		rooms = append(rooms, portion{placer: m.Name, room: out.Room})
		all = all && err == nil
	}
	if !all {
		return false
	}
	if row.Request.Kind == wire.Gang && d.gather(j, rooms) {
		return true
	}
	j.mu.Lock()
	if reason == wire.ReasonNever {
		j.nevers++
	}
	over := j.nevers >= nevers
	j.mu.Unlock()
	if over {
		d.giveUp(j, wire.ReasonNever)
	}
	return over
}
