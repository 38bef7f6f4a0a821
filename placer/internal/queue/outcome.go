package queue

import "github.com/balsamford/balsamford/coord/point"

// Started reports that the task of an order runs.
func (d *Dispatcher) Started(o Order) { d.sched.Started(o.ID, o.Task) }

// Unsent reports that the start of an order certainly had no effect, and returns
// whether the task is queued again. It isn't if the endpoint was lost in the
// meantime, because the scheduler then has dropped its tasks.
func (d *Dispatcher) Unsent(o Order) bool {
	if !d.removePlacement(taskKey{o.ID, o.Task}, placement{o.Endpoint, o.Attempt}) {
		return false
	}
	d.sched.Unsent(o.ID, o.Task)
	d.Kick()
	return true
}

// Ended reports that the task of an order no longer runs; ok is whether it
// succeeded.
func (d *Dispatcher) Ended(o Order, ok bool) {
	d.release(taskKey{o.ID, o.Task}, placement{o.Endpoint, o.Attempt}, ok)
}

// EndState returns the end state of a quick request's order, if the endpoint has
// reported it while the request's ticket was open.
func (d *Dispatcher) EndState(o Order) (point.State, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.endStates[attemptKey{taskKey{o.ID, o.Task}, placement{o.Endpoint, o.Attempt}}]
	return s, ok
}

// recordEnd stores the end state of a quick task while its ticket is open.
func (d *Dispatcher) recordEnd(k taskKey, at placement, s point.State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.tickets[k.id] != nil {
		d.endStates[attemptKey{k, at}] = s
	}
}

// release releases the capacity of an ended attempt. Further reports of the same
// attempt have no effect.
func (d *Dispatcher) release(k taskKey, at placement, ok bool) {
	if !d.removePlacement(k, at) {
		return
	}
	d.sched.Ended(k.id, k.task, ok)
	d.Kick()
}

// removePlacement removes the placement of a task if it is the given one, and
// reports whether it was.
func (d *Dispatcher) removePlacement(k taskKey, at placement) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.placements[k] != at {
		return false
	}
	delete(d.placements, k)
	return true
}
