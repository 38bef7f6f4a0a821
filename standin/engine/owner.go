package engine

import (
	"context"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/wire"
)

// Open takes ownership. The epoch must be above the current one, and the
// current owner must be the same holder, have released the endpoint or be past
// the end of its term. Otherwise it returns a *point.FencedError. The current
// owner may repeat its call.
func (e *Endpoint) Open(ctx context.Context, in point.Open) (point.View, error) {
	if err := e.beforeCall(ctx, in.Holder); err != nil {
		return point.View{}, err
	}
	view, err := e.open(in)
	if lost := e.afterCall(); lost != nil {
		return point.View{}, lost
	}
	return view, err
}

func (e *Endpoint) open(in point.Open) (point.View, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.timer.Boot()
	if err := e.checkOpenLocked(in.Owner); err != nil {
		e.record(Event{Event: Fenced, Holder: in.Holder, Epoch: in.Epoch, Reason: "open"})
		return point.View{}, err
	}
	e.owner, e.released, e.termEnd = in.Owner, false, now+in.Term
	e.record(Event{Event: Opened, Holder: in.Holder, Epoch: in.Epoch})
	return e.viewLocked(now), nil
}

// checkOpenLocked returns a *point.FencedError unless in may take ownership.
func (e *Endpoint) checkOpenLocked(in point.Owner) error {
	if e.fence == point.FenceClock || in == e.owner {
		return nil
	}
	held := !e.released && e.timer.Boot() < e.termEnd
	if in.Epoch <= e.owner.Epoch {
		return &point.FencedError{Owner: e.owner, Held: held}
	}
	if held && in.Holder != e.owner.Holder {
		return &point.FencedError{Owner: e.owner, Held: true}
	}
	return nil
}

// Release ends ownership. Tasks keep running until their leases expire.
func (e *Endpoint) Release(ctx context.Context, in point.Owner) error {
	if err := e.beforeCall(ctx, in.Holder); err != nil {
		return err
	}
	err := e.release(in)
	if lost := e.afterCall(); lost != nil {
		return lost
	}
	return err
}

func (e *Endpoint) release(in point.Owner) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkOwnerLocked(in, "release"); err != nil {
		return err
	}
	e.released = true
	e.record(Event{Event: Released, Holder: in.Holder, Epoch: in.Epoch})
	return nil
}

// checkOwnerLocked returns a *point.FencedError unless in is the current owner,
// and logs it with the name of the call.
func (e *Endpoint) checkOwnerLocked(in point.Owner, call string) error {
	if e.fence == point.FenceClock || (in == e.owner && !e.released) {
		return nil
	}
	e.record(Event{Event: Fenced, Holder: in.Holder, Epoch: in.Epoch, Reason: call})
	return &point.FencedError{Owner: e.owner}
}

// Renew renews the owner's term and the leases of the running tasks, and
// forgets ended tasks up to Ack. With Wait it returns once there is a change
// after Since, or Wait has passed.
func (e *Endpoint) Renew(ctx context.Context, in point.Renew) (point.Report, error) {
	if err := e.beforeCall(ctx, in.Holder); err != nil {
		return point.Report{}, err
	}
	err := e.renew(in)
	if err == nil && in.Wait > 0 {
		e.waitForChange(ctx, in)
	}
	if lost := e.afterCall(); lost != nil {
		return point.Report{}, lost
	}
	if err != nil {
		return point.Report{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reportLocked(in.Since), nil
}

func (e *Endpoint) renew(in point.Renew) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkOwnerLocked(in.Owner, "renew"); err != nil {
		return err
	}
	now := e.timer.Boot()
	e.termEnd = now + in.Term
	for key, t := range e.tasks {
		switch {
		case t.state.Ended() && t.seq <= in.Ack:
			delete(e.tasks, key)
		case t.state.Ended():
		case now >= t.leaseEnd:
			e.endLocked(t, point.Lapsed, 0)
		default:
			e.setLeaseLocked(t, now+in.Lease)
		}
	}
	return nil
}

// waitForChange returns once there is a change after Since to report, the
// endpoint starts or stops to refuse starts, Wait has passed or ctx ends.
func (e *Endpoint) waitForChange(ctx context.Context, in point.Renew) {
	waitOver := make(chan struct{})
	t := e.timer.After(in.Wait, func() { close(waitOver) })
	defer t.Stop()
	leaving := e.Faults().refusesStarts()
	for {
		e.mu.Lock()
		changed, hasNews := e.changed, e.seq > in.Since || e.faults.refusesStarts() != leaving
		e.mu.Unlock()
		if hasNews {
			return
		}
		select {
		case <-changed:
		case <-waitOver:
			return
		case <-ctx.Done():
			return
		}
	}
}

// reportLocked returns the tasks that changed after since and the reported
// usage of all running tasks.
func (e *Endpoint) reportLocked(since uint64) point.Report {
	now := e.timer.Boot()
	r := point.Report{Seq: e.seq, Leaving: e.faults.refusesStarts(), Tasks: make([]point.Task, 0)}
	for _, t := range e.tasks {
		r.Reported = r.Reported.Add(t.ifRunning(t.reported))
		if t.seq <= since {
			continue
		}
		r.Tasks = append(r.Tasks, t.report(now))
		if e.faults.Double {
			r.Tasks = append(r.Tasks, t.report(now))
		}
	}
	sortTasks(r.Tasks)
	return r
}

// ifRunning returns n if the task runs, and zero needs if it has ended.
func (t *task) ifRunning(n wire.Needs) wire.Needs {
	if t.state.Ended() {
		return wire.Needs{}
	}
	return n
}
