package engine

import (
	"context"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/wire"
)

// Open takes ownership: if the epoch is above the present one and the present
// owner is the same holder, has released the endpoint or is past its term.
func (e *Endpoint) Open(ctx context.Context, in point.Open) (point.View, error) {
	if err := e.enter(ctx, in.Holder); err != nil {
		return point.View{}, err
	}
	view, err := e.open(in)
	if lost := e.leave(); lost != nil {
		return point.View{}, lost
	}
	return view, err
}

func (e *Endpoint) open(in point.Open) (point.View, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.timer.Boot()
	if err := e.mayOpenLocked(in.Owner); err != nil {
		e.record(Event{Event: Fenced, Holder: in.Holder, Epoch: in.Epoch, Reason: "open"})
		return point.View{}, err
	}
	e.owner, e.released, e.term = in.Owner, false, now+in.Term
	e.record(Event{Event: Opened, Holder: in.Holder, Epoch: in.Epoch})
	return e.viewLocked(now), nil
}

func (e *Endpoint) mayOpenLocked(in point.Owner) error {
	if e.fence == point.FenceClock || in == e.owner {
		return nil
	}
	held := !e.released && e.timer.Boot() < e.term
	if in.Epoch <= e.owner.Epoch {
		return &point.FencedError{Owner: e.owner, Held: held}
	}
	if held && in.Holder != e.owner.Holder {
		return &point.FencedError{Owner: e.owner, Held: true}
	}
	return nil
}

// Release gives ownership up; tasks run on until their leases end.
func (e *Endpoint) Release(ctx context.Context, in point.Owner) error {
	if err := e.enter(ctx, in.Holder); err != nil {
		return err
	}
	err := e.release(in)
	if lost := e.leave(); lost != nil {
		return lost
	}
	return err
}

func (e *Endpoint) release(in point.Owner) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.ownedLocked(in, "release"); err != nil {
		return err
	}
	e.released = true
	e.record(Event{Event: Freed, Holder: in.Holder, Epoch: in.Epoch})
	return nil
}

// ownedLocked returns a *point.FencedError unless in is the present owner.
func (e *Endpoint) ownedLocked(in point.Owner, call string) error {
	if e.fence == point.FenceClock || (in == e.owner && !e.released) {
		return nil
	}
	e.record(Event{Event: Fenced, Holder: in.Holder, Epoch: in.Epoch, Reason: call})
	return &point.FencedError{Owner: e.owner}
}

// Renew keeps ownership and the leases of the running tasks. With Wait it
// answers once something later than Since has happened or Wait is over.
func (e *Endpoint) Renew(ctx context.Context, in point.Renew) (point.Report, error) {
	if err := e.enter(ctx, in.Holder); err != nil {
		return point.Report{}, err
	}
	err := e.renew(in)
	if err == nil && in.Wait > 0 {
		e.waitNews(ctx, in)
	}
	if lost := e.leave(); lost != nil {
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
	if err := e.ownedLocked(in.Owner, "renew"); err != nil {
		return err
	}
	now := e.timer.Boot()
	e.term = now + in.Term
	for key, t := range e.tasks {
		switch {
		case t.state.Ended() && t.seq <= in.Ack:
			delete(e.tasks, key)
		case t.state.Ended():
		case now >= t.until:
			e.endLocked(t, point.Lapsed, 0)
		default:
			e.leaseLocked(t, now+in.Lease)
		}
	}
	return nil
}

// waitNews returns once there is something to report later than Since, or
// Wait is over.
func (e *Endpoint) waitNews(ctx context.Context, in point.Renew) {
	over := make(chan struct{})
	t := e.timer.After(in.Wait, func() { close(over) })
	defer t.Stop()
	leaving := e.Faults().leaves()
	for {
		e.mu.Lock()
		changed, news := e.changed, e.seq > in.Since || e.faults.leaves() != leaving
		e.mu.Unlock()
		if news {
			return
		}
		select {
		case <-changed:
		case <-over:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (e *Endpoint) reportLocked(since uint64) point.Report {
	now := e.timer.Boot()
	r := point.Report{Seq: e.seq, Leaving: e.faults.leaves(), Tasks: make([]point.Task, 0)}
	for _, t := range e.tasks {
		r.Reported = r.Reported.Add(t.running(t.reported))
		if t.seq <= since {
			continue
		}
		r.Tasks = append(r.Tasks, t.message(now))
		if e.faults.Double {
			r.Tasks = append(r.Tasks, t.message(now))
		}
	}
	sortTasks(r.Tasks)
	return r
}

// running returns n for a task that runs and nothing for one that has ended.
func (t *task) running(n wire.Needs) wire.Needs {
	if t.state.Ended() {
		return wire.Needs{}
	}
	return n
}
