package jobs

import (
	"context"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/wire"
)

// ending is the end of one attempt of a task, as reported by an endpoint or
// concluded from its lease.
type ending struct {
	task     int // index of the task
	attempt  uint32
	endpoint string
	state    point.State
	code     int
	output   []byte
}

// handleEnd records the end of an attempt and restarts the task if it may be. acks
// are sent once the row is written.
func (d *Driver) handleEnd(j *job, e ending, acks ...ack) {
	j.mu.Lock()
	if e.task >= len(j.tasks) {
		j.mu.Unlock()
		return
	}
	j.acks = append(j.acks, acks...)
	t, row := &j.tasks[e.task], &j.row.Tasks[e.task]
	if !t.live || row.Attempt != e.attempt || row.Endpoint != e.endpoint {
		j.changeLocked() // writes the row again, since acks are sent after a write
		j.mu.Unlock()
		d.queueWrite(j)
		return
	}
	t.live, t.inDoubt = false, false
	restart := j.recordEndLocked(e)
	done := j.concludeLocked()
	gangFailed := j.row.Request.Kind == wire.Gang && e.state != point.Done
	j.mu.Unlock()
	d.queueWrite(j)
	if done || !restart && !gangFailed {
		return
	}
	d.spawn(func(ctx context.Context) { d.restart(ctx, j, gangFailed) })
}

// restart queues tasks again after retryDelay. For a gang it stops the other tasks
// first.
func (d *Driver) restart(ctx context.Context, j *job, gang bool) {
	if gang {
		d.stopAll(ctx, j)
	}
	d.counts.restarts.Inc(1)
	if d.timer.Sleep(ctx, retryDelay) == nil {
		d.submit(j)
	}
}

// recordEndLocked records how an attempt ended and reports whether the task is to
// be restarted.
func (j *job) recordEndLocked(e ending) bool {
	t, row := &j.tasks[e.task], &j.row.Tasks[e.task]
	row.Code, row.Output = e.code, e.output
	if e.state == point.Done && j.row.Request.Kind != wire.Service && !j.gangRestart {
		j.endTaskLocked(e.task, wire.Done)
		return false
	}
	if e.state == point.Failed {
		t.failures++
	}
	if j.mayRestartLocked(t, e.state) {
		t.avoid = addAvoid(t.avoid, endpointToAvoid(e))
		row.Phase, row.Endpoint = wire.Queued, ""
		j.requeueGangLocked()
		j.changeLocked()
		return true
	}
	j.endTaskLocked(e.task, j.failedOutcome(e.state))
	return false
}

// requeueGangLocked makes all tasks of a gang that aren't live wait again,
// including those that were done, since a gang's tasks run together or not at all.
func (j *job) requeueGangLocked() {
	if j.row.Request.Kind != wire.Gang {
		return
	}
	j.gangRestart = true
	for n := range j.row.Tasks {
		if !j.tasks[n].live {
			j.row.Tasks[n].Phase, j.row.Tasks[n].Outcome = wire.Queued, ""
		}
	}
}

// endpointToAvoid returns the endpoint that a restart should avoid, or "" if the
// attempt ended for a reason other than a failure or an expired lease.
func endpointToAvoid(e ending) string {
	if e.state == point.Failed || e.state == point.Lapsed {
		return e.endpoint
	}
	return ""
}

// mayRestartLocked reports whether a task whose attempt ended in state s is
// restarted.
func (j *job) mayRestartLocked(t *task, s point.State) bool {
	switch {
	case j.row.Cancel || j.replaced || j.row.Outcome != "":
		return false
	case !j.row.Request.Idempotent:
		return false
	case j.row.Request.Kind == wire.Service:
		return true
	}
	return s != point.Failed || t.failures < maxFailures
}

// failedOutcome returns the outcome of a task that isn't restarted and wasn't done.
// If the lease expired it is unknown whether the task finished.
func (j *job) failedOutcome(s point.State) wire.Outcome {
	switch {
	case s == point.Lapsed:
		return wire.Unknown
	case j.row.Cancel && j.row.Request.Kind == wire.Service:
		return wire.Done
	}
	return wire.Failed
}

// endTaskLocked records a task's outcome.
func (j *job) endTaskLocked(n int, o wire.Outcome) {
	j.row.Tasks[n].Phase, j.row.Tasks[n].Outcome = wire.Ended, o
	j.changeLocked()
}

// concludeLocked sets the job's outcome once all its tasks have one. It reports
// whether the job has an outcome.
func (j *job) concludeLocked() bool {
	if j.row.Outcome != "" {
		return true
	}
	worst := wire.Outcome("")
	for n := range j.row.Tasks {
		o := j.row.Tasks[n].Outcome
		if o == "" || j.tasks[n].live {
			return false
		}
		if worst == "" {
			worst = o
		}
		worst = combineOutcomes(worst, o)
	}
	j.row.Phase, j.row.Outcome = wire.Ended, worst
	if j.row.Reason == "" {
		j.row.Reason = j.reasonLocked(worst)
	}
	j.changeLocked()
	return true
}

// reasonLocked returns the reason that is stored with the job's outcome.
func (j *job) reasonLocked(o wire.Outcome) string {
	switch {
	case j.row.Cancel:
		return wire.ReasonCancel
	case o == wire.Failed:
		return wire.ReasonError
	case o == wire.Unknown:
		return wire.ReasonLost
	}
	return ""
}

// combineOutcomes returns the outcome of two tasks together: unknown if either is
// unknown, otherwise failed unless both are equal.
func combineOutcomes(a, b wire.Outcome) wire.Outcome {
	switch {
	case a == b:
		return a
	case a == wire.Unknown || b == wire.Unknown:
		return wire.Unknown
	}
	return wire.Failed
}
