package jobs

import (
	"time"

	"github.com/balsamford/balsamford/placer/internal/desk"
)

// loan is what is known at the owner of endpoints of the tasks of one batch
// job that another placer drives and lets wait here.
type foreignJob struct {
	request reserveRequest
	waiting map[int]bool      // numbers of the tasks that are queued here
	held    map[int]heldOrder // by the task's number
	expires time.Duration     // when what waits is given up
}

// keptOrder is room for one task.
type heldOrder struct {
	order   desk.Order
	expires time.Duration
}

// left returns which of the numbers aren't queued and have no room.
func (f *foreignJob) unqueued(numbers []int) []int {
	var out []int
	for _, n := range numbers {
		if _, ok := f.held[n]; !ok && !f.waiting[n] {
			out = append(out, n)
		}
	}
	return out
}

// renew keeps the room of those tasks for bookTime from now, and reports
// whether something waits that isn't among them.
func (f *foreignJob) renew(numbers []int, now time.Duration) bool {
	wanted := make(map[int]bool)
	for _, n := range numbers {
		wanted[n] = true
		if h, ok := f.held[n]; ok {
			h.expires = now + reservationTTL
			f.held[n] = h
		}
	}
	for n := range f.waiting {
		if !wanted[n] {
			return true
		}
	}
	return false
}

// answer returns the room for those tasks.
func (f *foreignJob) grants(numbers []int) []grant {
	var out []grant
	for _, n := range numbers {
		if h, ok := f.held[n]; ok {
			o := h.order
			out = append(out, grant{Task: o.Task, Endpoint: o.Endpoint, Epoch: o.Epoch, Needs: o.Needs})
		}
	}
	return out
}
