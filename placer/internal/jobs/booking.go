package jobs

import (
	"slices"
	"time"

	"github.com/balsamford/balsamford/placer/internal/desk"
)

// booking is room that is kept, or waited for, on behalf of another driver.
type booking struct {
	ask    book
	orders []desk.Order // once there is room for all
	until  time.Duration
}

// same reports whether a word asks for the booking once more.
func (b *booking) same(in *book) bool {
	return b.ask.Epoch == in.Epoch && b.ask.Attempt == in.Attempt && slices.Equal(b.ask.Numbers, in.Numbers)
}

// meant reports whether a decision was made for the booking.
func (b *booking) meant(orders []desk.Order) bool {
	if b.orders != nil || len(orders) != len(b.ask.Numbers) {
		return false
	}
	for _, o := range orders {
		if o.Attempt != b.ask.Attempt || !slices.Contains(b.ask.Numbers, o.Task) {
			return false
		}
	}
	return true
}

func (b *booking) kept() []booked {
	out := make([]booked, 0, len(b.orders))
	for _, o := range b.orders {
		out = append(out, booked{Task: o.Task, Endpoint: o.Endpoint, Epoch: o.Epoch, Needs: o.Needs})
	}
	return out
}
