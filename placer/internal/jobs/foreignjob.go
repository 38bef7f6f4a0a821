package jobs

import (
	"time"

	"github.com/balsamford/balsamford/placer/internal/queue"
)

// foreignJob is a batch job of another driver with tasks in this placer's queue.
type foreignJob struct {
	request reserveRequest
	waiting map[int]bool      // indexes of the tasks in the scheduler's queue
	held    map[int]heldOrder // capacity held, by the task's index
	expires time.Duration     // when the waiting tasks leave the queue
}

// heldOrder is the capacity held for one task.
type heldOrder struct {
	order   queue.Order
	expires time.Duration
}

// unqueued returns those of the task indexes that are neither queued nor have
// capacity.
func (f *foreignJob) unqueued(numbers []int) []int {
	var out []int
	for _, n := range numbers {
		if _, ok := f.held[n]; !ok && !f.waiting[n] {
			out = append(out, n)
		}
	}
	return out
}

// renew extends the capacity held for the tasks to reservationTTL from now. It
// reports whether a task is queued that isn't among them.
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

// grants returns the capacity held for the tasks.
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
