package engine

import (
	"time"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/wire"
)

// failTime is how long a task runs before the switch Fail ends it.
const failTime = time.Millisecond

// throttleFactor is how much slower a throttled task is.
const throttleFactor = 2

// beginLocked starts a task, its lease and its work.
func (e *Endpoint) beginLocked(in point.Start, body Body, used wire.Needs) *task {
	now := e.timer.Boot()
	t := &task{start: in, body: body, state: point.Running, began: now, since: now,
		left: body.work(), used: used, done: make(chan struct{})}
	if e.faults.Fail {
		t.body.Fail, t.body.Code, t.left = true, max(body.Code, 1), failTime
	}
	t.seq = e.nextLocked()
	e.tasks[t.key()] = t
	e.seen.add(t.key(), t)
	e.recordTask(Began, &t.start, t.body, Event{Used: used})
	e.leaseLocked(t, now+in.Lease)
	if !e.faults.Freeze {
		e.workLocked(t)
	}
	if e.kind == point.Worker {
		e.timer.After(e.lag, func() { e.measure(t) })
	}
	return t
}

// workLocked lets the task make progress from now on.
func (e *Endpoint) workLocked(t *task) {
	if t.body.lasting(t.start.Kind) && !t.body.Fail {
		return
	}
	t.since = e.timer.Boot()
	left := t.left
	if t.throttled {
		left *= throttleFactor
	}
	t.finish = e.timer.After(left, func() { e.finish(t) })
}

// restLocked stops the task's progress and notes what is left of its work.
func (e *Endpoint) restLocked(t *task) {
	if t.finish == nil || !t.finish.Stop() {
		return
	}
	done := e.timer.Boot() - t.since
	if t.throttled {
		done /= throttleFactor
	}
	t.left = max(t.left-done, 0)
}

// freezeLocked stops or resumes the progress of all running tasks.
func (e *Endpoint) freezeLocked(on bool) {
	for _, t := range e.tasks {
		if t.state.Ended() {
			continue
		}
		if on {
			e.restLocked(t)
		} else {
			e.workLocked(t)
		}
	}
}

// leaseLocked sets the end of the task's lease.
func (e *Endpoint) leaseLocked(t *task, until time.Duration) {
	earlier := until < t.until
	t.until = until
	if t.lapse != nil && !earlier {
		return // lapsed looks again when the old end has come
	}
	if t.lapse != nil {
		t.lapse.Stop()
	}
	e.armLocked(t)
}

func (e *Endpoint) armLocked(t *task) {
	t.lapse = e.timer.After(t.until-e.timer.Boot(), func() { e.lapsed(t) })
}

func (e *Endpoint) lapsed(t *task) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if t.state.Ended() {
		return
	}
	if e.timer.Boot() < t.until {
		e.armLocked(t)
		return
	}
	e.endLocked(t, point.Lapsed, 0)
}

func (e *Endpoint) finish(t *task) {
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
		t.output = Answer(t.answerName(), t.body.Seed, min(t.body.Size, outputLimit))
	}
	e.endLocked(t, point.Done, 0)
}

// endLocked ends the task. Once its lease has run out it has lapsed at that
// moment, whatever ends it and however late that is noticed.
func (e *Endpoint) endLocked(t *task, state point.State, code int) {
	at := e.timer.Now()
	if late := e.timer.Boot() - t.until; late >= 0 {
		state, code, at = point.Lapsed, 0, at.Add(-late)
		t.output = nil
	}
	t.state, t.code = state, code
	t.reported = t.used
	t.disarm()
	t.seq = e.nextLocked()
	kind := Ended
	if state == point.Lapsed {
		kind = Lapse
	}
	e.recordTask(kind, &t.start, t.body, Event{Time: at, Used: t.used, State: state})
	close(t.done)
}

// measure reports what the task uses.
func (e *Endpoint) measure(t *task) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if t.state.Ended() {
		return
	}
	t.reported = t.used
	t.seq = e.nextLocked()
}
