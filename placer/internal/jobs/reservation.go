package jobs

import (
	"slices"
	"time"

	"github.com/balsamford/balsamford/placer/internal/desk"
)

// booking is room that is kept, or waited for, on behalf of another driver.
type reservation struct {
	request reserveRequest
	orders  []desk.Order // once there is room for all
	expires time.Duration
}

// same reports whether a word asks for the booking once more.
func (r *reservation) matches(req *reserveRequest) bool {
	return r.request.Epoch == req.Epoch && r.request.Attempt == req.Attempt && slices.Equal(r.request.Numbers, req.Numbers)
}

// meant reports whether a decision was made for the booking.
func (r *reservation) accepts(orders []desk.Order) bool {
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

func (r *reservation) grants() []grant {
	out := make([]grant, 0, len(r.orders))
	for _, o := range r.orders {
		out = append(out, grant{Task: o.Task, Endpoint: o.Endpoint, Epoch: o.Epoch, Needs: o.Needs})
	}
	return out
}
