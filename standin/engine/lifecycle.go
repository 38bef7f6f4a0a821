package engine

import (
	"time"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/wire"
)

// failDelay is the run time of a task that Faults.Fail lets fail.
const failDelay = time.Millisecond

// throttleFactor divides the speed and the CPU use of a throttled task.
const throttleFactor = 2

// startTaskLocked creates a running task and starts the timers of its lease and
// its work.
func (e *Endpoint) startTaskLocked(in point.Start, body Body, used wire.Needs) *task {
	now := e.timer.Boot()
	t := &task{start: in, body: body, state: point.Running, startedAt: now, resumedAt: now,
		remaining: body.work(), used: used, done: make(chan struct{})}
	if e.faults.Fail {
		t.body.Fail, t.body.Code, t.remaining = true, max(body.Code, 1), failDelay
	}
	t.seq = e.nextSeqLocked()
	e.tasks[t.key()] = t
	e.attempts.add(t.key(), t)
	e.recordTask(Began, &t.start, t.body, Event{Used: used})
	e.setLeaseLocked(t, now+in.Lease)
	if !e.faults.Freeze {
		e.resumeLocked(t)
	}
	if e.kind == point.Worker {
		e.timer.After(e.usageLag, func() { e.reportUsage(t) })
	}
	return t
}

// resumeLocked starts the timer for the remaining work of the task.
func (e *Endpoint) resumeLocked(t *task) {
	if t.body.runsUntilStopped(t.start.Kind) && !t.body.Fail {
		return
	}
	t.resumedAt = e.timer.Boot()
	left := t.remaining
	if t.throttled {
		left *= throttleFactor
	}
	t.finishTimer = e.timer.After(left, func() { e.finishTask(t) })
}

// pauseLocked stops the work timer and stores how much work remains.
func (e *Endpoint) pauseLocked(t *task) {
	if t.finishTimer == nil || !t.finishTimer.Stop() {
		return
	}
	done := e.timer.Boot() - t.resumedAt
	if t.throttled {
		done /= throttleFactor
	}
	t.remaining = max(t.remaining-done, 0)
}

// freezeLocked pauses or resumes the work of all running tasks.
func (e *Endpoint) freezeLocked(on bool) {
	for _, t := range e.tasks {
		if t.state.Ended() {
			continue
		}
		if on {
			e.pauseLocked(t)
		} else {
			e.resumeLocked(t)
		}
	}
}

// setLeaseLocked sets the end of the task's lease. A later end needs no new
// timer, since checkLease sets one when the old timer fires.
func (e *Endpoint) setLeaseLocked(t *task, until time.Duration) {
	earlier := until < t.leaseEnd
	t.leaseEnd = until
	if t.leaseTimer != nil && !earlier {
		return
	}
	if t.leaseTimer != nil {
		t.leaseTimer.Stop()
	}
	e.setLeaseTimerLocked(t)
}

// setLeaseTimerLocked calls checkLease at the end of the lease.
func (e *Endpoint) setLeaseTimerLocked(t *task) {
	t.leaseTimer = e.timer.After(t.leaseEnd-e.timer.Boot(), func() { e.checkLease(t) })
}

// checkLease ends the task if its lease has expired, or else sets a new timer.
func (e *Endpoint) checkLease(t *task) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if t.state.Ended() {
		return
	}
	if e.timer.Boot() < t.leaseEnd {
		e.setLeaseTimerLocked(t)
		return
	}
	e.endLocked(t, point.Lapsed, 0)
}

// finishTask ends the task after its work, as done or failed.
func (e *Endpoint) finishTask(t *task) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if t.state.Ended() || e.faults.Freeze {
		return
	}
	if t.body.Fail || t.body.Code != 0 {
		e.endLocked(t, point.Failed, t.body.Code)
		return
	}
	if e.kind == point.Worker {
		t.output = Answer(t.answerID(), t.body.Seed, min(t.body.Size, maxOutputBytes))
	}
	e.endLocked(t, point.Done, 0)
}

// endLocked ends the task in state. If its lease has expired already the state
// is point.Lapsed instead, and the event has the time of the expiry.
func (e *Endpoint) endLocked(t *task, state point.State, code int) {
	at := e.timer.Now()
	if late := e.timer.Boot() - t.leaseEnd; late >= 0 {
		state, code, at = point.Lapsed, 0, at.Add(-late)
		t.output = nil
	}
	t.state, t.code = state, code
	t.reported = t.used
	t.stopTimers()
	t.seq = e.nextSeqLocked()
	kind := Ended
	if state == point.Lapsed {
		kind = Lapse
	}
	e.recordTask(kind, &t.start, t.body, Event{Time: at, Used: t.used, State: state})
	close(t.done)
}

// reportUsage makes the current usage of the task visible in reports.
func (e *Endpoint) reportUsage(t *task) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if t.state.Ended() {
		return
	}
	t.reported = t.used
	t.seq = e.nextSeqLocked()
}
