package engine

import (
	"context"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/wire"
)

// Start begins a task under a lease. It returns a *point.RefusedError if
// the task has not run and will not.
func (e *Endpoint) Start(ctx context.Context, in point.Start) error {
	if err := e.enter(ctx, in.Holder); err != nil {
		return err
	}
	_, err := e.start(in)
	if lost := e.leave(); lost != nil {
		return lost
	}
	return err
}

// Run does what Start does, waits for the end of the task and returns its
// answer, or a *point.FailedError.
func (e *Endpoint) Run(ctx context.Context, in point.Start) (*Result, error) {
	if err := e.enter(ctx, in.Holder); err != nil {
		return nil, err
	}
	t, err := e.start(in)
	if err == nil {
		select {
		case <-t.done:
		case <-ctx.Done():
			return nil, e.lost(ctx.Err())
		}
	}
	if lost := e.leave(); lost != nil {
		return nil, lost
	}
	if err != nil {
		return nil, err
	}
	return e.result(t)
}

func (e *Endpoint) result(t *task) (*Result, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if t.state != point.Done {
		return nil, &point.FailedError{Endpoint: e.name, ID: t.start.ID, State: t.state, Code: t.code}
	}
	r := &Result{ID: t.start.ID, Attempt: t.start.Attempt, Epoch: t.start.Epoch,
		Size: t.body.Size, Sum: sum(t.answerName(), t.body.Seed, t.body.Size), Short: e.faults.Short,
		name: t.answerName(), seed: t.body.Seed}
	if e.faults.Double && e.last != nil {
		return e.last, nil
	}
	e.last = r
	return r, nil
}

func (e *Endpoint) start(in point.Start) (*task, error) {
	body := readBody(in.Body)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.ownedLocked(in.Owner, "start"); err != nil {
		return nil, err
	}
	if t, ok := e.seen.byKey[taskKey{in.ID, in.Attempt}]; ok {
		e.recordTask(Again, &in, body, Event{})
		if t == nil {
			return nil, &point.RefusedError{Endpoint: e.name, Reason: wire.ReasonCancel}
		}
		return t, nil
	}
	if e.faults.leaves() {
		return nil, e.refuseLocked(&in, body, wire.ReasonLeaving)
	}
	used := body.used(e.kind, in.Needs)
	if e.overLocked(&in, body, used) && e.strict {
		return nil, e.refuseLocked(&in, body, wire.ReasonBusy)
	}
	return e.beginLocked(in, body, used), nil
}

func (e *Endpoint) refuseLocked(in *point.Start, body Body, reason string) error {
	e.recordTask(Refused, in, body, Event{Reason: reason})
	return &point.RefusedError{Endpoint: e.name, Reason: reason}
}

// overLocked reports whether a further task would take more than there is,
// by what is granted or by what is really used, and logs it.
func (e *Endpoint) overLocked(in *point.Start, body Body, used wire.Needs) bool {
	granted, total := grants(e.kind, in.Needs), used
	for _, t := range e.tasks {
		granted = granted.Add(t.running(grants(e.kind, t.start.Needs)))
		total = total.Add(t.running(t.used))
	}
	overGranted, overUsed := !granted.Fits(e.capacity), !total.Fits(e.capacity)
	if !overGranted && !overUsed {
		return false
	}
	reason := "used"
	if overGranted {
		reason = "granted"
	}
	e.recordTask(Over, in, body, Event{Used: used, Granted: granted, Total: total, Capacity: e.capacity, Reason: reason})
	return true
}

// grants returns the part of a task's needs that counts on that kind of
// endpoint.
func grants(kind point.Kind, n wire.Needs) wire.Needs {
	if kind == point.Executor {
		return wire.Needs{Slots: max(n.Slots, 1), Conns: max(n.Conns, 1)}
	}
	return wire.Needs{CPU: n.CPU, Mem: n.Mem, Accel: n.Accel}
}
