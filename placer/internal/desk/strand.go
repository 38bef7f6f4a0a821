package desk

import (
	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/wire"
)

// strand gives up the quick requests that wait here although no executor that
// is left could run them, so that their entries offer them to the placers
// which own such executors now. It looks only after an executor has gone.
func (d *Desk) strand() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.lost {
		return
	}
	d.lost = false
	for id, t := range d.tickets {
		// A ticket whose decision has been made holds nothing that waits.
		if d.runsLocked(t.needs) || !d.sched.Cancel(id) {
			continue
		}
		delete(d.tickets, id)
		close(t.moved)
	}
}

// runsLocked reports whether an executor here could run a request if nothing
// else ran.
func (d *Desk) runsLocked(needs wire.Needs) bool {
	for _, e := range d.known {
		if e.Kind == point.Executor && !e.Leaving && needs.Fits(e.Capacity) {
			return true
		}
	}
	return false
}
