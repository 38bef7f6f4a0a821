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
const maxNoFitRounds = 10

// Leave hands all jobs over to other placers of the zone. Tasks run on.
func (d *Driver) Leave(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(parallelOffers)
	names := make([]string, 0)
	for _, m := range d.peers() {
		names = append(names, m.Name)
	}
	for _, j := range d.allJobs() {
		g.Go(func() error {
			if to, alive := d.members.Alive(owner.Of(j.id(), names)); alive {
				d.handOver(ctx, j, to)
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
	j.handingOver = true
	d.dequeueLocked(j)
	if j.row.Outcome == "" {
		j.row.Driver = ""
	}
	j.changeLocked()
	j.mu.Unlock()
	if err := d.flush(ctx, j); err != nil {
		d.resumeDriving(j)
		return false
	}
	d.stopDriving(j)
	return true
}

// keep goes on driving a job that couldn't be given up.
func (d *Driver) resumeDriving(j *job) {
	j.mu.Lock()
	j.handingOver = false
	if j.row.Outcome == "" {
		j.row.Driver = d.name
	}
	j.changeLocked()
	j.mu.Unlock()
	d.queueWrite(j)
}

// handTo gives a job to another placer. If that one doesn't take it, the
// zone's scan finds it.
func (d *Driver) handOver(ctx context.Context, j *job, to roster.Member) bool {
	if !d.release(ctx, j) {
		return false
	}
	req := j.snapshot().Request
	return d.offerTo(ctx, &req, to)
}

// passOn finds another placer whose endpoints can run a job that this one's
// never can, and reports whether it took it or there is none in the zone.
func (d *Driver) forward(ctx context.Context, j *job, reason string) bool {
	row := j.snapshot()
	req := &peerRequest{Fit: &fitRequest{Needs: row.Request.Needs, Tasks: 1}}
	if row.Request.Kind == wire.Gang {
		req.Fit.Tasks = max(row.Request.Tasks, 1)
	}
	all := true
	capacities := []share{{placer: d.name, capacity: d.queue.Room(row.Request.Needs, req.Fit.Tasks)}}
	for _, m := range d.peers() {
		out, err := d.callPeer(ctx, m, req)
		if err == nil && out.Done {
			return d.handOver(ctx, j, m)
		}
		capacities = append(capacities, share{placer: m.Name, capacity: out.Count})
		all = all && err == nil
	}
	if !all {
		return false
	}
	if row.Request.Kind == wire.Gang && d.reserveGang(j, capacities) {
		return true
	}
	j.mu.Lock()
	if reason == wire.ReasonNever {
		j.noFitRounds++
	}
	over := j.noFitRounds >= maxNoFitRounds
	j.mu.Unlock()
	if over {
		d.endUnstarted(j, wire.ReasonNever)
	}
	return over
}
