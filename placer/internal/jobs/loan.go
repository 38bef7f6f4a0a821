package jobs

import (
	"time"

	"github.com/balsamford/balsamford/placer/internal/desk"
)

// loan is what is known at the owner of endpoints of the tasks of one batch
// job that another placer drives and lets wait here.
type loan struct {
	ask     book
	waiting map[int]bool      // numbers of the tasks that are queued here
	kept    map[int]keptOrder // by the task's number
	until   time.Duration     // when what waits is given up
}

// keptOrder is room for one task.
type keptOrder struct {
	order desk.Order
	until time.Duration
}

// left returns which of the numbers aren't queued and have no room.
func (b *loan) left(numbers []int) []int {
	var out []int
	for _, n := range numbers {
		if _, ok := b.kept[n]; !ok && !b.waiting[n] {
			out = append(out, n)
		}
	}
	return out
}

// renew keeps the room of those tasks for bookTime from now, and reports
// whether something waits that isn't among them.
func (b *loan) renew(numbers []int, now time.Duration) bool {
	wanted := make(map[int]bool)
	for _, n := range numbers {
		wanted[n] = true
		if k, ok := b.kept[n]; ok {
			k.until = now + bookTime
			b.kept[n] = k
		}
	}
	for n := range b.waiting {
		if !wanted[n] {
			return true
		}
	}
	return false
}

// answer returns the room for those tasks.
func (b *loan) answer(numbers []int) []booked {
	var out []booked
	for _, n := range numbers {
		if k, ok := b.kept[n]; ok {
			o := k.order
			out = append(out, booked{Task: o.Task, Endpoint: o.Endpoint, Epoch: o.Epoch, Needs: o.Needs})
		}
	}
	return out
}
