package desk

import (
	"context"

	"github.com/balsamford/balsamford/coord/wire"
)

// Ticket is the place of a quick request in the queue.
type Ticket struct {
	id    string
	needs wire.Needs
	desk  *Desk
	next  chan Order
	over  chan struct{} // closed when the deadline has passed in the queue
	moved chan struct{} // closed when no executor is left that could run it
}

// Wait returns the next decision for the request. The error is an
// *ExpiredError, a *MovedError, or the context's; then nothing is queued any more.
func (t *Ticket) Wait(ctx context.Context) (Order, error) {
	select {
	case o := <-t.next:
		return o, nil
	case <-t.over:
		return Order{}, &ExpiredError{ID: t.id}
	case <-t.moved:
		return Order{}, &MovedError{ID: t.id}
	case <-ctx.Done():
		t.Close()
		return Order{}, context.Cause(ctx)
	}
}

// Close gives the place up. A decision that has been made and not been taken
// is undone.
func (t *Ticket) Close() {
	t.desk.drop(t)
	select {
	case o := <-t.next:
		t.desk.Unsent(o)
	default:
	}
}
