package jobs

import (
	"slices"
	"time"

	"github.com/balsamford/balsamford/placer/internal/queue"
)

// reservation is the capacity that an owner of endpoints holds, or waits for, on
// behalf of a gang's driver.
type reservation struct {
	request reserveRequest
	orders  []queue.Order // nil until all tasks have capacity
	expires time.Duration // on the clock of timer.Service.Boot
}

// matches reports whether req renews this reservation.
func (r *reservation) matches(req *reserveRequest) bool {
	return r.request.Epoch == req.Epoch && r.request.Attempt == req.Attempt && slices.Equal(r.request.Numbers, req.Numbers)
}

// accepts reports whether orders are the scheduler's decision for this
// reservation.
func (r *reservation) accepts(orders []queue.Order) bool {
	if r.orders != nil || len(orders) != len(r.request.Numbers) {
		return false
	}
	for _, o := range orders {
		if o.Attempt != r.request.Attempt || !slices.Contains(r.request.Numbers, o.Task) {
			return false
		}
	}
	return true
}

// grants returns the capacity held, or an empty list if the reservation waits.
func (r *reservation) grants() []grant {
	out := make([]grant, 0, len(r.orders))
	for _, o := range r.orders {
		out = append(out, grant{Task: o.Task, Endpoint: o.Endpoint, Epoch: o.Epoch, Needs: o.Needs})
	}
	return out
}
