package engine

import (
	"context"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/wire"
)

// Start starts a task under a lease. A repeated Start of an attempt has no
// effect. It returns a *point.RefusedError if the attempt hasn't run and never
// will.
func (e *Endpoint) Start(ctx context.Context, in point.Start) error {
	if err := e.beforeCall(ctx, in.Holder); err != nil {
		return err
	}
	_, err := e.start(in)
	if lost := e.afterCall(); lost != nil {
		return lost
	}
	return err
}

// Run starts a task as Start does, waits for its end and returns its answer, or
// a *point.FailedError if the task isn't done successfully.
func (e *Endpoint) Run(ctx context.Context, in point.Start) (*Result, error) {
	if err := e.beforeCall(ctx, in.Holder); err != nil {
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
	if lost := e.afterCall(); lost != nil {
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
		Size: t.body.Size, Sum: answerSum(t.answerID(), t.body.Seed, t.body.Size), Short: e.faults.Short,
		answerID: t.answerID(), answerSeed: t.body.Seed}
	if e.faults.Double && e.lastResult != nil {
		return e.lastResult, nil
	}
	e.lastResult = r
	return r, nil
}

func (e *Endpoint) start(in point.Start) (*task, error) {
	body := decodeBody(in.Body)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkOwnerLocked(in.Owner, "start"); err != nil {
		return nil, err
	}
	if t, ok := e.attempts.byKey[taskKey{in.ID, in.Attempt}]; ok {
		e.recordTask(Repeated, &in, body, Event{})
		if t == nil {
			return nil, &point.RefusedError{Endpoint: e.name, Reason: wire.ReasonCancel}
		}
		return t, nil
	}
	if e.faults.refusesStarts() {
		return nil, e.refuseStartLocked(&in, body, wire.ReasonLeaving)
	}
	used := body.used(e.kind, in.Needs)
	if e.exceedsCapacityLocked(&in, body, used) && e.strict {
		return nil, e.refuseStartLocked(&in, body, wire.ReasonBusy)
	}
	return e.startTaskLocked(in, body, used), nil
}

func (e *Endpoint) refuseStartLocked(in *point.Start, body Body, reason string) error {
	e.recordTask(Refused, in, body, Event{Reason: reason})
	return &point.RefusedError{Endpoint: e.name, Reason: reason}
}

// exceedsCapacityLocked reports whether a further task would exceed the
// capacity, by the granted needs or by the actual usage, and logs it if so.
func (e *Endpoint) exceedsCapacityLocked(in *point.Start, body Body, used wire.Needs) bool {
	granted, total := enforcedNeeds(e.kind, in.Needs), used
	for _, t := range e.tasks {
		granted = granted.Add(t.ifRunning(enforcedNeeds(e.kind, t.start.Needs)))
		total = total.Add(t.ifRunning(t.used))
	}
	overGranted, overUsed := !granted.Fits(e.capacity), !total.Fits(e.capacity)
	if !overGranted && !overUsed {
		return false
	}
	reason := "used"
	if overGranted {
		reason = "granted"
	}
	e.recordTask(OverCapacity, in, body, Event{Used: used, Granted: granted, Total: total, Capacity: e.capacity, Reason: reason})
	return true
}

// enforcedNeeds returns the part of a task's needs that counts against the
// capacity of that kind of endpoint.
func enforcedNeeds(kind point.Kind, n wire.Needs) wire.Needs {
	if kind == point.Executor {
		return wire.Needs{Slots: max(n.Slots, 1), Conns: max(n.Conns, 1)}
	}
	return wire.Needs{CPU: n.CPU, Mem: n.Mem, Accel: n.Accel}
}
