package desk

import "github.com/balsamford/balsamford/coord/point"

// Started says that the task of an order runs.
func (d *Desk) Started(o Order) { d.sched.Started(o.ID, o.Task) }

// Unsent says that the start of an order surely didn't happen and reports
// whether the task is queued again. It is not if the endpoint was lost in the
// meantime and the scheduler forgot the task with it.
func (d *Desk) Unsent(o Order) bool {
	if !d.take(key{o.ID, o.Task}, spot{o.Endpoint, o.Attempt}) {
		return false
	}
	d.sched.Unsent(o.ID, o.Task)
	d.Kick()
	return true
}

// Ended says that the task of an order no longer runs.
func (d *Desk) Ended(o Order, ok bool) {
	d.free(key{o.ID, o.Task}, spot{o.Endpoint, o.Attempt}, ok)
}

// Fate returns how the attempt of a quick request's order ended, if the
// endpoint has said so while the request's ticket was open.
func (d *Desk) Fate(o Order) (point.State, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.fates[spotKey{key{o.ID, o.Task}, spot{o.Endpoint, o.Attempt}}]
	return s, ok
}

// note keeps the end of a quick task for its ticket.
func (d *Desk) note(k key, at spot, s point.State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.tickets[k.id] != nil {
		d.fates[spotKey{k, at}] = s
	}
}

// free gives the room of an ended attempt back. Later words on the same
// attempt change nothing.
func (d *Desk) free(k key, at spot, ok bool) {
	if !d.take(k, at) {
		return
	}
	d.sched.Ended(k.id, k.task, ok)
	d.Kick()
}

// take forgets where a task has its room, if it is there.
func (d *Desk) take(k key, at spot) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.placed[k] != at {
		return false
	}
	delete(d.placed, k)
	return true
}
