package queue

import (
	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/wire"
)

// rejectStranded removes the queued quick requests that no remaining executor
// could run. Their entries then send them to placers that own such executors
// now. It does nothing unless an endpoint was lost since the last call.
func (d *Dispatcher) rejectStranded() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.endpointGone {
		return
	}
	d.endpointGone = false
	for id, t := range d.tickets {
		// The request of a ticket with a decision is no longer queued.
		if d.fitsLocked(t.needs) || !d.sched.Cancel(id) {
			continue
		}
		delete(d.tickets, id)
		close(t.moved)
	}
}

// fitsLocked reports whether an owned executor could run the request if it were
// otherwise idle.
func (d *Dispatcher) fitsLocked(needs wire.Needs) bool {
	for _, e := range d.endpoints {
		if e.Kind == point.Executor && !e.Leaving && needs.Fits(e.Capacity) {
			return true
		}
	}
	return false
}
