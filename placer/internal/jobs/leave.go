package jobs

import (
	"context"

	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/owner"
	"github.com/balsamford/balsamford/coord/roster"
	"github.com/balsamford/balsamford/coord/wire"
)

// parallelOffers bounds the jobs that are handed over concurrently.
const parallelOffers = 16

// maxNoFitRounds is the number of consecutive rounds without a fitting endpoint in
// the zone after which a job is refused. One round isn't enough, because an endpoint
// that changes its owner is missing for a while.
const maxNoFitRounds = 10

// Leave hands all jobs over to other placers of the zone. Their tasks keep running.
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

// release stops driving a job: it starts no further tasks and clears the driver in
// the row. It reports whether that was written; otherwise the job stays here.
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

// resumeDriving continues to drive a job whose release couldn't be written.
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

// handOver releases a job and offers it to another placer, and reports whether that
// took it. If it didn't, the zone's scan finds the job.
func (d *Driver) handOver(ctx context.Context, j *job, to roster.Member) bool {
	if !d.release(ctx, j) {
		return false
	}
	req := j.snapshot().Request
	return d.offerTo(ctx, &req, to)
}

// forward hands a job that this placer's endpoints can't run over to a placer whose
// endpoints can. A gang that fits only several placers together reserves capacity at
// them. forward reports true if the job was handed over, reserves capacity, or was
// refused because no endpoint fitted for maxNoFitRounds.
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
