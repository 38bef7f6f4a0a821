package jobs

import (
	"context"
	"math"
	"time"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/queue"
)

const (
	// doubtInterval is the time between attempts to resolve tasks in doubt.
	doubtInterval = time.Second
	// auditRounds is the number of intervals between audits of tasks at
	// endpoints of other owners, whose events may have been lost.
	auditRounds = 30
	// missingTimeout is how long an endpoint is missing from the settings and
	// the host list before its tasks are ended. It is longer than the lag of
	// the list and than a lease.
	missingTimeout = time.Minute
)

// doubtLoop asks endpoints whether their tasks in doubt run.
func (d *Driver) doubtLoop(ctx context.Context) {
	missingSince := make(map[string]time.Duration)
	silentSince := make(map[string]time.Duration)
	for round := 1; d.timer.Sleep(ctx, doubtInterval) == nil; round++ {
		if round%auditRounds == 0 {
			d.audit()
		}
		for endpoint, list := range d.tasksInDoubt() {
			d.resolveEndpoint(ctx, endpoint, list, missingSince, silentSince)
		}
	}
}

// taskInDoubt is a task in doubt and its job.
type taskInDoubt struct {
	job *job
	placed
}

// tasksInDoubt returns the tasks in doubt by endpoint.
func (d *Driver) tasksInDoubt() map[string][]taskInDoubt {
	out := make(map[string][]taskInDoubt)
	for _, j := range d.allJobs() {
		for _, e := range j.tasksAt("") {
			if e.inDoubt {
				out[e.endpoint] = append(out[e.endpoint], taskInDoubt{j, e})
			}
		}
	}
	return out
}

// audit marks the live tasks at endpoints of other owners as in doubt, so that
// their endpoints are asked.
func (d *Driver) audit() {
	for _, j := range d.allJobs() {
		for _, e := range j.tasksAt("") {
			if ownership := d.owner.Ownership(e.endpoint); ownership != nil {
				if _, owned := ownership.Owned(); owned {
					continue
				}
			}
			j.mu.Lock()
			j.tasks[e.task].inDoubt = j.tasks[e.task].live && !j.tasks[e.task].launching
			j.mu.Unlock()
		}
	}
}

// resolveEndpoint resolves the tasks in doubt at one endpoint. missingSince and
// silentSince say since when endpoints are missing from the list or don't answer.
// Starts that may still arrive are stopped before the endpoint is asked, so that
// its answer is final.
func (d *Driver) resolveEndpoint(ctx context.Context, endpoint string, list []taskInDoubt, missingSince, silentSince map[string]time.Duration) {
	ownership := d.owner.Ownership(endpoint)
	if ownership == nil {
		d.endIfMissing(endpoint, list, missingSince)
		return
	}
	delete(missingSince, endpoint)
	stopped := make([]bool, len(list))
	for i, e := range list {
		stopped[i] = d.stopUndelivered(ctx, e)
	}
	view, err := d.view(ctx, ownership.Target().Address)
	if err != nil {
		d.endIfSilent(ctx, endpoint, silentSince)
		return
	}
	delete(silentSince, endpoint)
	for i, e := range list {
		if d.mayArrive(e, &view) && !stopped[i] {
			d.blockStart(ctx, e)
			continue
		}
		d.resolve(e, &view, stopped[i])
	}
}

// view returns the tasks at an endpoint. It needs no ownership.
func (d *Driver) view(ctx context.Context, address string) (point.View, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return d.client.View(ctx, address)
}

// endIfSilent ends the running tasks at an endpoint that has not answered for
// Owner.MaxLeaseTime if no placer can have renewed its leases in that time.
func (d *Driver) endIfSilent(ctx context.Context, endpoint string, silentSince map[string]time.Duration) {
	now := d.timer.Boot()
	since, ok := silentSince[endpoint]
	if !ok {
		silentSince[endpoint] = now
		return
	}
	if now-since >= d.owner.MaxLeaseTime() && !d.owner.Held(endpoint) && d.Abandoned(ctx, endpoint) {
		d.handleLapsed(endpoint, math.MaxUint64)
	}
}

// endIfMissing ends the tasks at an endpoint that has been missing from the host
// list for missingTimeout, since its host was replaced.
func (d *Driver) endIfMissing(endpoint string, list []taskInDoubt, missingSince map[string]time.Duration) {
	now := d.timer.Boot()
	since, ok := missingSince[endpoint]
	if !ok {
		missingSince[endpoint] = now
		return
	}
	if now-since < missingTimeout {
		return
	}
	for _, e := range list {
		d.handleEnd(e.job, e.ending)
	}
}

// stopUndelivered stops a task whose start this process sent without getting an
// answer. It reports whether the start can no longer take effect unless it
// already has.
func (d *Driver) stopUndelivered(ctx context.Context, e taskInDoubt) bool {
	if !e.job.sentHere(&e.placed) {
		return e.job.startBlocked(e.task, e.attempt)
	}
	req := stopRequest{ID: e.job.id(), Task: e.task, Attempt: e.attempt, Endpoint: e.endpoint, Mode: point.ModeStop}
	return d.stopLocal(ctx, req) || d.stopRemote(ctx, req)
}

// blockStart stops a task that isn't at its endpoint but whose start may still
// arrive, because an earlier driver had the endpoint's owner send it. The task may
// have started just before the stop, which the next round shows.
func (d *Driver) blockStart(ctx context.Context, e taskInDoubt) {
	req := stopRequest{ID: e.job.id(), Task: e.task, Attempt: e.attempt, Endpoint: e.endpoint, Mode: point.ModeStop}
	if !d.stopLocal(ctx, req) && !d.stopRemote(ctx, req) {
		return
	}
	e.job.mu.Lock()
	e.job.tasks[e.task].blockedAttempt = e.attempt
	e.job.mu.Unlock()
}

// startBlocked reports whether blockStart has stopped this attempt of a task.
func (j *job) startBlocked(n int, attempt uint32) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.tasks[n].blockedAttempt == attempt
}

// mayArrive reports whether a task's start may still arrive: the task isn't at the
// endpoint, and the owner that may have sent the start still owns the endpoint.
func (d *Driver) mayArrive(e taskInDoubt, view *point.View) bool {
	return e.phase == wire.Sent && view.Owner.Epoch == e.epoch && findTask(view.Tasks, e.job.id(), e.task, e.attempt) == nil
}

// sentHere reports whether this process sent the start of a placed task and still
// has no answer. If the endpoint was opened in the meantime and the task was found
// running there, that counts as an answer.
func (j *job) sentHere(e *placed) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	o := j.tasks[e.task].order
	unanswered := j.tasks[e.task].inDoubt && j.row.Tasks[e.task].Phase == wire.Sent
	return o.Endpoint == e.endpoint && o.Attempt == e.attempt && o.Epoch == e.epoch && unanswered
}

// resolve updates a task in doubt to what its endpoint reports. A task that isn't
// there counts as not running only if its start can no longer arrive: the endpoint
// has a later owner, or the start was stopped before the endpoint was asked.
func (d *Driver) resolve(e taskInDoubt, view *point.View, stopped bool) {
	t := findTask(view.Tasks, e.job.id(), e.task, e.attempt)
	switch {
	case t != nil || view.Owner.Epoch > e.epoch:
		d.reconcile(e.job, e.placed, view.Tasks)
	case e.phase == wire.Running:
		// It ran under the current owner and is gone: an earlier driver
		// acknowledged its end, or the endpoint was restarted.
		d.handleEnd(e.job, e.ending)
	case stopped && view.Owner.Epoch == e.epoch:
		o := e.job.orderOf(e.task)
		d.spawn(func(ctx context.Context) { d.requeueUnstarted(ctx, e.job, []queue.Order{o}, e.endpoint) })
	}
}

// orderOf returns the order of a task's current attempt.
func (j *job) orderOf(n int) queue.Order {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.tasks[n].order
}
